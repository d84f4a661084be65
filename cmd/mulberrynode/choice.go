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

// probeInterval is how often the picker is asked for probes that are due. The
// picker keeps the probe budget.
const probeInterval = 20 * time.Millisecond

// candidates leaves out the nodes of failure domains that are out of service.
// It implements selection.NodeSource.
type candidates struct {
	group  group
	active *active

	mu    sync.Mutex
	cache map[string]candidateList
}

type candidateList struct {
	in, out []mulberrylink.Node
	version uint64
}

// Nodes implements selection.NodeSource. It returns the same slice as long as
// neither the group nor the configuration changes.
func (c *candidates) Nodes(service string) []mulberrylink.Node {
	in := c.group.Nodes(service)
	version := c.active.version()
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.cache[service]
	if ok && old.version == version && same(old.in, in) {
		return old.out
	}
	l := candidateList{in: in, version: version, out: inService(in, c.active)}
	c.cache[service] = l
	return l.out
}

func inService(in []mulberrylink.Node, a *active) []mulberrylink.Node {
	cfg := a.config()
	out := make([]mulberrylink.Node, 0, len(in))
	for _, n := range in {
		if cfg == nil || !cfg.DomainOut(n.Domain) {
			out = append(out, n)
		}
	}
	return out
}

func same(a, b []mulberrylink.Node) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

func (n *node) newPolicy() (selection.Policy, error) {
	return selection.New(n.cfg.Measure.Policy, selection.Config{
		Clock: systemClock{}, Rand: rand.Uint64,
		Nodes: &candidates{group: n.parts.group, active: n.active, cache: make(map[string]candidateList)},
		Self:  n.cfg.Node.Name, Domain: n.cfg.Node.Domain,
		LocalLoad:  n.parts.gate.Load,
		Settings:   n.selectionSettings,
		EntryNodes: func() int { return len(n.parts.group.All()) },
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

// probe sends the load probes that are due until ctx ends.
func (n *node) probe(ctx context.Context) {
	if n.parts.probe == nil {
		return
	}
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			n.probeNow(now)
		}
	}
}

func (n *node) probeNow(now time.Time) {
	names := n.policy.ProbeTargets(now)
	if len(names) == 0 {
		return
	}
	addrs := make(map[string]string)
	for _, m := range n.parts.group.All() {
		addrs[m.Name] = m.Addr
	}
	for _, name := range names {
		if addr := addrs[name]; addr != "" && name != n.cfg.Node.Name {
			n.parts.probe(addr)
		}
	}
}

// adaptiveGate adapts admission.Gate.
type adaptiveGate struct{ *admission.Gate }

// Acquire implements gate.
func (g adaptiveGate) Acquire(ctx context.Context, r *mulberrylink.Request, alone bool) (ticket, mulberrylink.Reason) {
	t, reason := g.Gate.Acquire(ctx, r, alone)
	if t == nil {
		return nil, reason // a nil pointer in the interface would not be nil
	}
	return t, reason
}

// Announce implements gate.
func (g adaptiveGate) Announce(a announcement) {
	if a.State == mulberrylink.UpstreamDown {
		g.SetDown()
		return
	}
	g.Gate.Announce(a.Slots, a.Connections, a.State, a.Incarnation)
}

// newGate returns the gate of the policy. The baselines have no admission
// limit of their own.
func newGate(policy string) gate {
	if policy != selection.Adaptive {
		return &slotGate{}
	}
	return adaptiveGate{admission.New(admission.Config{Clock: systemClock{}})}
}
