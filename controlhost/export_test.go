package controlhost

import (
	"context"

	"github.com/mulberrylink/mulberrylink/coordination/quorum"
	"github.com/mulberrylink/mulberrylink/coordination/quota"
)

// Leads reports whether this host is the leader.
func (h *Host) Leads() bool { return h.replica.Load().quorumHost.Status().Role == quorum.Leader }

// TransferLeadership makes another host the leader.
func (h *Host) TransferLeadership(ctx context.Context) {
	h.replica.Load().quorumHost.TransferLeadership(ctx)
}

// DrawQuota draws tokens for a node.
func (h *Host) DrawQuota(ctx context.Context, asks []quota.Ask) ([]quota.Grant, bool) {
	return h.quotas.Draw(ctx, 1, asks)
}

// QuotaLeaderAddr returns the address that nodes are sent to.
func (h *Host) QuotaLeaderAddr() string { return h.quotas.LeaderAddr() }
