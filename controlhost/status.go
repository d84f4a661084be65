package controlhost

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink/coordination/quorum"
)

// noLeaderReportInterval is the time between two reports about a missing leader. It is longer than an
// election.
const noLeaderReportInterval = 2 * time.Second

// diskStallTimeout is the time after which a sync in flight counts as stalled. A host applies no entries
// meanwhile, and its nodes must have moved to another host before the next change has to be in force.
const diskStallTimeout = 500 * time.Millisecond

// diskStalled reports whether the sync in flight of a host is stalled.
func diskStalled(status *quorum.MemberStatus, now time.Time) bool {
	return !status.SyncingSince.IsZero() && now.Sub(status.SyncingSince) >= diskStallTimeout
}

// isCurrent reports whether a host learns and applies what its group commits.
func isCurrent(status *quorum.MemberStatus, now time.Time) bool {
	return status.Err == nil && status.Leader != 0 && !diskStalled(status, now)
}

// watchStatus logs each change of leader or term that this host sees, and when this host ceases to
// take part in the group or takes part again. It keeps the gauges up to date.
func (h *Host) watchStatus(ctx context.Context) {
	ticker := time.NewTicker(rosterInterval)
	defer ticker.Stop()
	var leader, term uint64
	var failed, stalled bool
	nextReport := time.Now().Add(noLeaderReportInterval) // of a group without a leader
	for {
		r := h.replica.Load()
		status := r.quorumHost.Status()
		h.updateGauges(&status)
		switch now := time.Now(); {
		case status.Err == nil && status.Leader != 0:
			nextReport = now.Add(noLeaderReportInterval)
		case !now.Before(nextReport):
			nextReport = now.Add(noLeaderReportInterval)
			h.logMissingLeader(ctx, r.quorumHost)
		}
		if status.Leader != leader || status.Term != term {
			h.cfg.Log.Info().Uint64("leader", status.Leader).Uint64("before", leader).Uint64("term", status.Term).
				Str("role", status.Role.String()).Uint64("commit", status.Commit).Msg("leader changed")
			leader, term = status.Leader, status.Term
		}
		if stalls := diskStalled(&status, time.Now()); stalls != stalled {
			h.cfg.Log.Warn().Bool("stalled", stalls).Uint64("commit", status.Commit).Uint64("applied", status.Applied).Msg("disk of this host stalls or writes again")
			stalled = stalls
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

// logMissingLeader logs what this host knows about why it has no leader.
func (h *Host) logMissingLeader(ctx context.Context, quorumHost *quorum.Host) {
	ctx, cancel := context.WithTimeout(ctx, noLeaderReportInterval)
	defer cancel()
	d, err := quorumHost.Diagnose(ctx)
	if err != nil {
		h.cfg.Log.Warn().Err(err).Msg("no leader is known; the state of the log could not be read")
		return
	}
	voters := 0
	for _, m := range d.Members {
		if !m.Learner {
			voters++
		}
	}
	var silent []string
	for _, m := range d.Silent {
		silent = append(silent, m.Addr)
	}
	line := h.cfg.Log.Warn().Str("role", d.Role.String()).Bool("voting", d.Voting).Int("members", len(d.Members)).Int("voters", voters).
		Strs("silent", silent).Uint64("term", d.Term).Uint64("commit", d.Commit).Uint64("last", d.LastIndex).Err(d.Err)
	if d.Ballot.Kind != 0 {
		line = line.Str("ballot", d.Ballot.Kind.String()).Dur("ago", time.Since(d.Ballot.At)).Int("granted", d.Ballot.Granted).Int("refused", d.Ballot.Refused)
	}
	if !d.SyncingSince.IsZero() {
		line = line.Dur("syncing", time.Since(d.SyncingSince))
	}
	line.Msg("no leader is known")
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
		"control.stalled":      boolGauge(diskStalled(status, time.Now())),
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
