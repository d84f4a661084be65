package selection

import (
	"time"
)

const (
	probeAfter = 50 * time.Millisecond // reports younger than this are not renewed
	activeFor  = time.Second           // services unused for longer are not probed
)

// ProbeTargets returns the nodes whose load is worth a probe now: those of services
// in use whose last report is old or used up. Each entry node uses its share of
// the budget that the configuration sets for an upstream.
func (p *Picker) ProbeTargets(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for name, s := range p.services {
		every := p.probeEvery(name)
		if every == 0 || now.Sub(s.usedAt) > activeFor {
			continue
		}
		for _, e := range s.peers {
			if e.node.Name == p.cfg.Self || now.Before(e.probeAt) || e.fresh(now) {
				continue
			}
			e.probeAt = now.Add(every)
			out = append(out, e.node.Name)
		}
	}
	return out
}

// probeEvery is the least time between two probes of one upstream by this node,
// zero when there is no budget.
func (p *Picker) probeEvery(service string) time.Duration {
	budget := p.cfg.Settings(service).ProbesPerSecond
	if budget <= 0 {
		return 0
	}
	return time.Second * time.Duration(max(1, p.cfg.EntryNodes())) / time.Duration(budget)
}

func (e *peer) fresh(now time.Time) bool {
	return e.known(now) && now.Sub(e.loadAt) < probeAfter
}
