package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/lease"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/state/boottime"
)

const (
	// leaseCheckInterval is how often the lease is checked for the log and the metrics. Requests check
	// it themselves.
	leaseCheckInterval = 100 * time.Millisecond
	// renewalDelay is the time until the next confirmation over a working feed: a probe and the quorum
	// read that covers it come every 300 ms each.
	renewalDelay = 600 * time.Millisecond
	// reconnectDelay is the time until the first confirmation over another feed: a node leaves a silent
	// control host after 1 s, and an election takes as long.
	reconnectDelay = 1500 * time.Millisecond
	// feedSilence is the time without a message of a control host that knows a leader after which the
	// feed does not count as working. Control hosts send at least every 300 ms.
	feedSilence = time.Second
)

// newLease returns the lease under which the node knows the client accounts, nil if Config.Revoke is 0.
func newLease(cfg *Config) *lease.Lease {
	if cfg.Revoke <= 0 {
		return nil
	}
	clock := cfg.LeaseClock
	if clock == nil {
		clock = boottime.Clock{}
	}
	return lease.New(lease.Config{Bound: cfg.Revoke, Clock: clock})
}

// leaseProbe returns feed.ClientConfig.Probe, nil if the node holds no lease: then it asks for no
// confirmations.
func (g *Gateway) leaseProbe() func() time.Duration {
	if g.lease == nil {
		return nil
	}
	return g.lease.Probe
}

// renewLease implements feed.ClientConfig.OnConfirmed. A state that could not be decoded is not in
// force, so its confirmation does not renew the lease.
func (g *Gateway) renewLease(probe time.Duration, revision uint64) {
	if active := g.active.Load(); active == nil || active.state.Revision < revision {
		g.stats.count("lease_unapplied")
		return
	}
	g.reportLease()
	if g.lease.Renew(probe) {
		g.stats.count("lease_renewed")
	}
	g.reportLease()
}

// leaseLoop reports changes of the lease until ctx ends.
func (g *Gateway) leaseLoop(ctx context.Context) {
	if g.lease == nil {
		return
	}
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.reportLease()
		}
	}
}

func (g *Gateway) reportLease() {
	switch event := g.lease.Check(); event {
	case lease.None:
	case lease.Ended:
		g.stats.count("lease_ended")
		g.log.Warn().Dur("bound", g.cfg.Revoke).Dur("silent", time.Since(g.feed.LastHeard())).
			Msg("lease of the client accounts ended; refusing requests with a key")
	case lease.Regained:
		g.stats.count("lease_regained")
		g.log.Info().Msg("lease of the client accounts regained")
	case lease.Began:
		g.log.Info().Dur("after", time.Since(g.startedAt)).Msg("lease of the client accounts began")
	}
}

// needsLease reports whether a request may only run while the accounts are known: it carries a key, or
// its route needs one.
func (g *Gateway) needsLease(table *routes.Table, route *routes.Route, r *http.Request) bool {
	return g.lease != nil && table.Accounts != nil && (!route.Public || g.cfg.Headers.Credential(r.Header) != "")
}

// awaitLease returns the configuration in force once a node that has just started has its lease, if the
// request needs one. It holds requests within the same limits as awaitConfig. active may be nil.
func (g *Gateway) awaitLease(active *activeConfig, r *http.Request, now time.Time) *activeConfig {
	if active == nil || g.lease == nil || g.lease.HasBegun() {
		return active
	}
	if route := active.table.Match(r.Host, r.RequestURI); route == nil || !g.needsLease(active.table, route, r) {
		return active
	}
	end := g.startedAt.Add(maxConfigDelay)
	if timeout, ok := g.cfg.Headers.Timeout(r.Header); ok && now.Add(timeout/2).Before(end) {
		end = now.Add(timeout / 2)
	}
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-g.lease.Begun():
	case <-timer.C:
	case <-r.Context().Done():
	}
	return g.active.Load()
}

// leaseRetryAfter returns the time until the node is likely to have a lease again.
func (g *Gateway) leaseRetryAfter() time.Duration {
	if time.Since(g.feed.LastHeard()) < feedSilence {
		return renewalDelay
	}
	return reconnectDelay
}

// hasFirstLease reports whether a node that has just started needs no lease, has got it, or has waited
// for it as long as its requests do. A lease that ends later does not count: when the control hosts have
// no majority, all nodes lose their leases at the same time, and callers must still reach public routes.
func (g *Gateway) hasFirstLease(active *activeConfig) bool {
	return g.lease == nil || active.table.Accounts == nil || g.lease.HasBegun() || time.Since(g.startedAt) >= maxConfigDelay
}

// denial is why a request may not run although a route and an upstream exist for it.
type denial struct {
	status     int
	reason     mulberrylink.Reason
	retryAfter time.Duration
}

// checkAccess reports why the request may not run any more, nil if it may. The lease may have ended and
// the key may have been revoked since the request was accepted. The lease is checked first: while it is
// valid, the table that is in force after the check contains every revocation that counts.
func (q *request) checkAccess() *denial {
	g := q.g
	if !g.needsLease(q.active.table, q.route, q.httpReq) {
		return nil
	}
	if !g.lease.Valid() {
		return &denial{status: http.StatusServiceUnavailable, reason: mulberrylink.ReasonLeaseEnded, retryAfter: g.leaseRetryAfter()}
	}
	table := g.active.Load().table
	if q.account == nil || table == q.active.table || table.Accounts == nil {
		return nil
	}
	account, known := table.Accounts.Lookup(g.cfg.Headers.Credential(q.httpReq.Header))
	if !known && !q.route.Public {
		return &denial{status: http.StatusUnauthorized, reason: mulberrylink.ReasonUnknownKey}
	}
	q.account = account
	return nil
}

// writeDenial refuses a request that checkAccess denies. No attempt of it may have run.
func (q *request) writeDenial(w http.ResponseWriter, d *denial) {
	q.g.writeError(w, q.httpReq, q, d.status, mulberrylink.NotRun, d.reason.String(), d.retryAfter)
}
