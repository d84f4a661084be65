package selection

import (
	"time"
)

const (
	probeMinAge       = 50 * time.Millisecond // nodes with a younger load report are not probed
	serviceActiveTime = time.Second           // services unused for longer are not probed
)

// ProbeTargets returns the nodes to probe now: those of services in use without
// a fresh load report. Each entry node uses an equal share of the probe budget
// that the configuration sets for an upstream.
func (p *Picker) ProbeTargets(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var targets []string
	for name, s := range p.services {
		interval := p.probeInterval(name)
		if interval == 0 || now.Sub(s.usedAt) > serviceActiveTime {
			continue
		}
		for _, pr := range s.peers {
			if pr.node.Name == p.cfg.Self || now.Before(pr.nextProbe) || pr.reportFresh(now) {
				continue
			}
			pr.nextProbe = now.Add(interval)
			targets = append(targets, pr.node.Name)
		}
	}
	return targets
}

// probeInterval returns the minimum time between two probes of one upstream by
// this node, zero when there is no budget.
func (p *Picker) probeInterval(service string) time.Duration {
	budget := p.cfg.Settings(service).ProbesPerSecond
	if budget <= 0 {
		return 0
	}
	return time.Second * time.Duration(max(1, p.cfg.EntryNodes())) / time.Duration(budget)
}

func (pr *peer) reportFresh(now time.Time) bool {
	return pr.reportUsable(now) && now.Sub(pr.loadAt) < probeMinAge
}
