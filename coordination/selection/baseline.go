package selection

import (
	"slices"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// baseline is a textbook policy for measurements. It shares the bookkeeping of
// the adaptive policy, but none of its judgement: no locality, ejection, subset
// or cold start.
type baseline struct {
	*Picker
	choose func(s *service, from []*peer, now time.Time) *peer
}

// Pick returns the node for r, or false when all nodes have been tried.
func (b *baseline) Pick(r *mulberrylink.Request, tried []string) (mulberrylink.Node, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	s := b.view(r.Service, now)
	from := make([]*peer, 0, len(s.peers))
	for _, e := range s.peers {
		if !slices.Contains(tried, e.node.Name) {
			from = append(from, e)
		}
	}
	if len(from) == 0 {
		return mulberrylink.Node{}, false
	}
	return b.take(b.choose(s, from, now), now), true
}

func (p *Picker) random(_ *service, from []*peer, _ time.Time) *peer {
	return from[p.cfg.Rand()%uint64(len(from))]
}

func (p *Picker) roundRobin(s *service, from []*peer, _ time.Time) *peer {
	s.turn++
	return from[s.turn%len(from)]
}

// leastLoaded takes the node with the fewest requests in its last report, at
// any age, and a random one among equals.
func (p *Picker) leastLoaded(_ *service, from []*peer, _ time.Time) *peer {
	at := int(p.cfg.Rand() % uint64(len(from)))
	best := from[at]
	for i := range from {
		e := from[(at+i)%len(from)]
		if e.load.InFlight+e.load.Queued < best.load.InFlight+best.load.Queued {
			best = e
		}
	}
	return best
}

// twoChoices draws two nodes and takes the one with fewer own requests.
func (p *Picker) twoChoices(_ *service, from []*peer, _ time.Time) *peer {
	if len(from) == 1 {
		return from[0]
	}
	i := int(p.cfg.Rand() % uint64(len(from)))
	j := int(p.cfg.Rand() % uint64(len(from)-1))
	if j >= i {
		j++
	}
	if from[j].outstanding < from[i].outstanding {
		return from[j]
	}
	return from[i]
}
