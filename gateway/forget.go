package gateway

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink"
)

const (
	// forgetInterval is how often a node looks for state that it needs no longer.
	forgetInterval = 2 * time.Second
	// departedRetention is how long the state of a node is kept after it has left. The nodes of a
	// control host that has failed return within that time.
	departedRetention = 5 * time.Second
)

// forgetLoop forgets nodes that have left, and routes and services that were removed from the
// configuration, until ctx ends. Otherwise a process that outlives many of them would grow without
// bound.
func (g *Gateway) forgetLoop(ctx context.Context) {
	ticker := time.NewTicker(forgetInterval)
	defer ticker.Stop()
	previous := g.active.Load()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.forgetDepartedNodes(now)
			current := g.active.Load()
			g.forgetRemovedRoutes(previous, current)
			previous = current
			g.outcomes.prune(now)
			g.returns.prune(now)
			g.updateGauges()
			g.updateMemoryGauges()
		}
	}
}

// forgetDepartedNodes closes the idle connections to nodes that have left, and drops what is
// known of them.
func (g *Gateway) forgetDepartedNodes(now time.Time) {
	entries, _, _ := g.directory.ChangedSince(0)
	names, addrs := map[string]bool{g.cfg.Name: true}, make(map[string]bool)
	for i := range entries {
		e := &entries[i]
		if e.Node.State != mulberrylink.NodeGone || now.Sub(e.UpdatedAt) < departedRetention {
			names[e.Node.Name], addrs[e.Node.Addr] = true, true
		}
	}
	g.peerPool.RetainIdle(func(addr string) bool { return addrs[addr] })
	g.balancer.Retain(func(name string) bool { return names[name] })
	g.peerEpochs.retain(func(name string) bool { return names[name] })
}

// forgetRemovedRoutes drops the estimates and budgets of routes and services that are neither in
// the current configuration nor in the one before.
func (g *Gateway) forgetRemovedRoutes(previous, current *activeConfig) {
	if previous == nil || previous == current {
		return
	}
	isRoute := func(name string) bool { return previous.table.HasRoute(name) || current.table.HasRoute(name) }
	g.serviceTimes.Retain(isRoute)
	g.transferSizes.Retain(isRoute)
	g.splitter.Retain(isRoute)
	g.routeShares.retain(isRoute)
	g.internalCalls.retain(isRoute)
	g.retryBudgets.Retain(func(name string) bool {
		_, before := previous.table.Services[name]
		_, now := current.table.Services[name]
		return before || now
	})
}

// updateGauges publishes the sizes of the tables and pools that grow with other hosts.
func (g *Gateway) updateGauges() {
	for name, value := range map[string]int{
		"known_nodes":           g.balancer.Size(),
		"idle_peer_connections": g.peerPool.IdleSize(),
		"caller_connections":    g.outbound.OpenConns(),
		"peer_connections":      g.inbound.OpenConns(),
	} {
		metrics.GetOrRegisterGauge(name, g.cfg.Registry).Update(int64(value))
	}
}
