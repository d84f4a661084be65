package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/admission"
	"github.com/mulberrylink/mulberrylink/coordination/selection"
)

// probeInterval is how often the policy is asked for due load probes. The policy limits their rate.
const probeInterval = 20 * time.Millisecond

// candidateSource returns the nodes of a service without those in failure domains that are out of
// service. It implements selection.NodeSource.
type candidateSource struct {
	group  nodeGroup
	active *activeConfig

	mu    sync.Mutex
	cache map[string]candidateList
}

// candidateList is the cached result of Nodes for one service.
type candidateList struct {
	all, inService []mulberrylink.Node
	version        uint64
}

// Nodes implements selection.NodeSource. It returns the same slice until the group or the
// configuration changes.
func (c *candidateSource) Nodes(service string) []mulberrylink.Node {
	all := c.group.Nodes(service)
	version := c.active.version()
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.cache[service]
	if ok && cached.version == version && sameSlice(cached.all, all) {
		return cached.inService
	}
	list := candidateList{all: all, version: version, inService: nodesInService(all, c.active)}
	c.cache[service] = list
	return list.inService
}

func nodesInService(nodes []mulberrylink.Node, a *activeConfig) []mulberrylink.Node {
	cfg := a.config()
	inService := make([]mulberrylink.Node, 0, len(nodes))
	for _, n := range nodes {
		if cfg == nil || !cfg.DomainOut(n.Domain) {
			inService = append(inService, n)
		}
	}
	return inService
}

// sameSlice reports whether a and b are the same slice, without comparing elements.
func sameSlice(a, b []mulberrylink.Node) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

func (n *node) newPolicy() (selection.Policy, error) {
	return selection.New(n.cfg.Measure.Policy, selection.Config{
		Clock: systemClock{}, Rand: rand.Uint64,
		Nodes: &candidateSource{group: n.deps.group, active: n.active, cache: make(map[string]candidateList)},
		Self:  n.cfg.Node.Name, Domain: n.cfg.Node.Domain,
		LocalLoad:  n.deps.gate.Load,
		Settings:   n.selectionSettings,
		EntryNodes: func() int { return len(n.deps.group.All()) },
	})
}

func (n *node) selectionSettings(service string) selection.Settings {
	cfg := n.active.config()
	if cfg == nil {
		return selection.Settings{}
	}
	s, _ := cfg.Service(service)
	return selection.Settings{MaxEjectPercent: s.EjectPercent, SubsetSize: s.Subset, ProbesPerSecond: s.Probes}
}

func (n *node) retryPercent(service string) int {
	cfg := n.active.config()
	if cfg == nil {
		return 0
	}
	s, _ := cfg.Service(service)
	return s.RetryPercent
}

// probeLoop sends due load probes to other nodes until ctx ends.
func (n *node) probeLoop(ctx context.Context) {
	if n.deps.probe == nil {
		return
	}
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			n.sendProbes(now)
		}
	}
}

func (n *node) sendProbes(now time.Time) {
	names := n.policy.ProbeTargets(now)
	if len(names) == 0 {
		return
	}
	addrs := make(map[string]string)
	for _, member := range n.deps.group.All() {
		addrs[member.Name] = member.Addr
	}
	for _, name := range names {
		if addr := addrs[name]; addr != "" && name != n.cfg.Node.Name {
			n.deps.probe(addr)
		}
	}
}

// adaptiveGate adapts admission.Gate to gate.
type adaptiveGate struct{ *admission.Gate }

// Acquire implements gate.
func (g adaptiveGate) Acquire(ctx context.Context, r *mulberrylink.Request, alone bool) (permit, mulberrylink.Reason) {
	p, reason := g.Gate.Acquire(ctx, r, alone)
	if p == nil {
		return nil, reason // a nil *admission.Permit in the interface would compare as non-nil
	}
	return p, reason
}

// Announce implements gate.
func (g adaptiveGate) Announce(a announcement) {
	if a.State == mulberrylink.UpstreamDown {
		g.SetDown()
		return
	}
	g.Gate.Announce(a.Slots, a.Connections, a.State, a.Incarnation)
}

// newGate returns the gate of the policy. The baseline policies have no adaptive limit.
func newGate(policy string) gate {
	if policy != selection.Adaptive {
		return &fixedLimitGate{}
	}
	return adaptiveGate{admission.New(admission.Config{Clock: systemClock{}})}
}
