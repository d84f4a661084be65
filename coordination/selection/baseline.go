package selection

import (
	"slices"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// baseline is a simple load-balancing policy to compare the adaptive policy
// with. It records the same state as the adaptive policy, but ignores locality,
// outlier ejection, subsets and cold start when it chooses.
type baseline struct {
	*Picker
	choose func(s *service, candidates []*peer, now time.Time) *peer
}

// Pick returns the node for r, or false when all nodes are in tried.
func (b *baseline) Pick(r *mulberrylink.Request, tried []string) (mulberrylink.Node, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	s := b.refresh(r.Service, now)
	candidates := make([]*peer, 0, len(s.peers))
	for _, pr := range s.peers {
		if !slices.Contains(tried, pr.node.Name) {
			candidates = append(candidates, pr)
		}
	}
	if len(candidates) == 0 {
		return mulberrylink.Node{}, false
	}
	return b.assign(b.choose(s, candidates, now), now), true
}

func (p *Picker) random(_ *service, candidates []*peer, _ time.Time) *peer {
	return candidates[p.cfg.Rand()%uint64(len(candidates))]
}

func (p *Picker) roundRobin(s *service, candidates []*peer, _ time.Time) *peer {
	s.roundRobinIndex++
	return candidates[s.roundRobinIndex%len(candidates)]
}

// leastLoaded returns the node with the fewest running and queued requests in
// its last report, however old the report is. Ties are broken at random.
func (p *Picker) leastLoaded(_ *service, candidates []*peer, _ time.Time) *peer {
	start := int(p.cfg.Rand() % uint64(len(candidates)))
	best := candidates[start]
	for i := range candidates {
		pr := candidates[(start+i)%len(candidates)]
		if pr.load.InFlight+pr.load.Queued < best.load.InFlight+best.load.Queued {
			best = pr
		}
	}
	return best
}

// twoChoices draws two nodes at random and returns the one with fewer
// outstanding requests of this entry node (power of two choices).
func (p *Picker) twoChoices(_ *service, candidates []*peer, _ time.Time) *peer {
	if len(candidates) == 1 {
		return candidates[0]
	}
	i := int(p.cfg.Rand() % uint64(len(candidates)))
	j := int(p.cfg.Rand() % uint64(len(candidates)-1))
	if j >= i {
		j++
	}
	if candidates[j].outstanding < candidates[i].outstanding {
		return candidates[j]
	}
	return candidates[i]
}
