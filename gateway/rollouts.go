package gateway

import (
	"context"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
	"github.com/mulberrylink/mulberrylink/coordination/rollout"
)

const (
	// resultsInterval is the interval of the reports of results while a rollout runs. The leader steps the
	// share every 300 ms.
	resultsInterval = 150 * time.Millisecond
	// staleRolloutAge bounds the time without a message of a control host that knows a leader after which
	// a node sends no more requests to a version that is not trusted. A new leader is elected, and the
	// node has moved to another control host, before it. It is half of Tuning.Rollback if that is shorter:
	// the leader needs the other half to find a bad version.
	staleRolloutAge = 2500 * time.Millisecond
	// canceledServiceTimes is the number of service times from which an attempt that the entry node has
	// given up counts as slow, and slowServiceTimes the number that is then counted. Entry nodes send
	// hedged requests after 1.7 service times, so the full time of a slow attempt is often not seen.
	canceledServiceTimes = 2
	slowServiceTimes     = 4
)

// restrictRelease returns the candidates of the version that gets the request. Without a rollout of the
// service these are all.
func (s *requestState) restrictRelease(all []placement.Candidate, nodes map[string]mulberrylink.Node) []placement.Candidate {
	g := s.req.g
	order := g.Rollout(s.req.service)
	if order == nil {
		return all
	}
	ups := make([]rollout.Upstream, len(all))
	for i := range all {
		c := &all[i]
		ups[i] = rollout.Upstream{Name: c.Name, Release: nodes[c.Name].Release, Cold: c.Cold, Slots: c.Slots, Excluded: s.excluded[c.Name]}
	}
	draw := rollout.Draw{Order: order, Random: s.releaseDraw, Repeated: s.placements > 0, Cautious: s.avoidsNewRelease(order)}
	selected := draw.Select(ups)
	kept := make([]placement.Candidate, 0, len(all))
	for i := range all {
		if selected[i] {
			kept = append(kept, all[i])
		}
	}
	if order.State == document.RolloutRunning && s.placements == 0 && len(kept) > 0 {
		if nodes[kept[0].Name].Release == order.To {
			g.stats.count("rollout_new")
		} else {
			g.stats.count("rollout_old")
		}
	}
	return kept
}

// avoidsNewRelease reports whether the request must not go to a version that is not trusted: the rollout
// may have been rolled back without the knowledge of this node, or the request has crashed upstreams.
func (s *requestState) avoidsNewRelease(order *document.Rollout) bool {
	if order.State != document.RolloutRunning {
		return false
	}
	g := s.req.g
	maxAge := staleRolloutAge
	if limit := g.cfg.Tuning.Rollback / 2; limit > 0 {
		maxAge = min(maxAge, limit)
	}
	return time.Since(g.feed.LastHeard()) > maxAge || g.suspicion(s.req.fingerprint).Remaining > 0
}

// Rollout returns the last rollout of a service that this node knows, nil without one.
func (g *Gateway) Rollout(service string) *document.Rollout {
	active := g.active.Load()
	if active == nil {
		return nil
	}
	return active.state.Rollout(service)
}

// isRolledBack reports whether a rollout to the version of an upstream instance was rolled back. The node
// beside it rejects requests of entry nodes that do not know this yet.
func (g *Gateway) isRolledBack(hb *Heartbeat) bool {
	order := g.Rollout(hb.Service)
	return order != nil && order.State == document.RolloutRolledBack && order.To == hb.Release
}

// recordRelease counts the result of an admitted request for the version of the upstream. Requests that
// were not run, and those on an upstream that leaves, tell nothing about the version.
func (g *Gateway) recordRelease(ctx context.Context, req *upstreamRequest, hb *Heartbeat, start time.Time, res *result) {
	if !res.mayHaveRun() || hb.Release == "" {
		return
	}
	state := g.upstream.nodeRecord().Upstream
	if state == mulberrylink.UpstreamDraining {
		return
	}
	took := time.Since(start)
	failed := res.err != nil || res.resp.Status >= 500
	if res.err != nil && ctx.Err() != nil {
		if took < canceledServiceTimes*req.meta.ServiceTime {
			return
		}
		took, failed = max(took, slowServiceTimes*req.meta.ServiceTime), false
	}
	g.results.Record(rollout.Result{Release: hb.Release, Route: req.meta.Route, Took: took, Failed: failed})
}

// noteRollouts logs the rollouts that have changed and wakes reportLoop.
func (g *Gateway) noteRollouts(old *activeConfig, s *document.State) {
	revision := uint64(0)
	if old != nil {
		revision = old.state.Revision
	}
	changed := s.RolloutsSince(revision)
	for _, r := range changed {
		g.log.Info().Str("service", r.Service).Str("to", r.To).Str("state", r.State.String()).Int("share", r.Share).
			Uint64("rollout", r.Number).Msg("rollout step in force")
	}
	if len(changed) == 0 {
		return
	}
	select {
	case g.rolloutSet <- struct{}{}:
	default:
	}
}

// reportLoop sends the results of the upstream while a rollout of its service runs.
func (g *Gateway) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(resultsInterval)
	ticker.Stop()
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.rolloutSet:
			ticker.Reset(resultsInterval)
		case <-ticker.C:
		}
		running := false
		if active := g.active.Load(); active != nil {
			running = g.sendResults(active.state)
		}
		if !running {
			ticker.Stop()
		}
	}
}

// sendResults sends a report if a rollout of the service of the upstream runs, and ends the reports
// otherwise. It reports whether any rollout runs: the upstream may be replaced by one of its service.
func (g *Gateway) sendResults(state *document.State) bool {
	running := false
	for i := range state.Rollouts {
		running = running || state.Rollouts[i].State == document.RolloutRunning
	}
	service := g.upstream.current().Service
	if order := state.Rollout(service); order != nil && order.State == document.RolloutRunning {
		g.results.Track(service, order.Number)
	} else {
		g.results.Track("", 0)
	}
	g.feed.SendReport(g.results.Report())
	return running
}
