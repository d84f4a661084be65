package controlhost

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink/coordination/quorum"
)

// watchStatus logs each change of leader or term that this host sees, and when this host ceases to
// take part in the group or takes part again. It keeps the gauges up to date.
func (h *Host) watchStatus(ctx context.Context) {
	ticker := time.NewTicker(rosterInterval)
	defer ticker.Stop()
	var leader, term uint64
	var failed bool
	for {
		status := h.replica.Load().quorumHost.Status()
		h.updateGauges(&status)
		if status.Leader != leader || status.Term != term {
			h.cfg.Log.Info().Uint64("leader", status.Leader).Uint64("before", leader).Uint64("term", status.Term).
				Str("role", status.Role.String()).Uint64("commit", status.Commit).Msg("leader changed")
			leader, term = status.Leader, status.Term
		}
		switch failsNow := status.Err != nil; {
		case failsNow && !failed:
			h.cfg.Log.Error().Err(status.Err).Msg("this host no longer takes part in the group")
			metrics.GetOrRegisterCounter("control.suspensions", h.cfg.Registry).Inc(1)
		case !failsNow && failed:
			h.cfg.Log.Info().Msg("this host takes part in the group again")
		}
		failed = status.Err != nil
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateGauges publishes the state of the group as this host sees it.
func (h *Host) updateGauges(status *quorum.MemberStatus) {
	for name, value := range map[string]int64{
		"control.voting":       boolGauge(status.Voting),
		"control.knows_leader": boolGauge(status.Err == nil && status.Leader != 0),
		"control.leads":        boolGauge(status.Err == nil && status.Role == quorum.Leader),
		"control.members":      int64(len(status.Members)),
		"control.unresponsive": int64(len(status.Unresponsive)),
		"control.commit":       int64(status.Commit),
	} {
		metrics.GetOrRegisterGauge(name, h.cfg.Registry).Update(value)
	}
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
