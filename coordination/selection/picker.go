package selection

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Defaults of Config and Settings.
const (
	DefaultChoices         = 2
	DefaultMaxEjectPercent = 20
)

// Picker is the adaptive policy. It is safe for concurrent use.
type Picker struct {
	cfg Config

	mu        sync.Mutex
	services  map[string]*service
	peers     map[string]*peer // by node name
	nextSweep time.Time
}

// NewPicker returns the adaptive policy.
func NewPicker(cfg Config) *Picker {
	cfg.Choices = cmp.Or(cfg.Choices, DefaultChoices)
	if cfg.Settings == nil {
		cfg.Settings = func(string) Settings { return Settings{} }
	}
	if cfg.EntryNodes == nil {
		cfg.EntryNodes = func() int { return 1 }
	}
	return &Picker{
		cfg:      cfg,
		services: make(map[string]*service),
		peers:    make(map[string]*peer),
	}
}

// service is the state that the entry node keeps about one service.
type service struct {
	nodes           []mulberrylink.Node // as returned by the NodeSource
	peers           []*peer             // of the subset
	roundRobinIndex int                 // used by the roundrobin policy only
	usedAt          time.Time
	median          float64   // median latency of the peers in seconds
	medianDue       time.Time // when median is computed again
}

const medianInterval = 20 * time.Millisecond

// Pick returns the node for r, or false when all nodes are in tried.
func (p *Picker) Pick(r *mulberrylink.Request, tried []string) (mulberrylink.Node, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	s := p.refresh(r.Service, now)
	if local := p.localPeer(s, now, tried); local != nil {
		return p.assign(local, now), true
	}
	best := p.lowestCost(s, now, tried)
	if best == nil {
		return mulberrylink.Node{}, false
	}
	return p.assign(best, now), true
}

// PickAlone returns the node for a request that must run alone: the usable node
// with the highest rendezvous hash of its fingerprint.
func (p *Picker) PickAlone(r *mulberrylink.Request, tried []string) (mulberrylink.Node, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	p.refresh(r.Service, now)
	var best mulberrylink.Node
	var bestScore uint64
	for _, n := range p.cfg.Nodes.Nodes(r.Service) {
		if !n.Usable() || slices.Contains(tried, n.Name) {
			continue
		}
		if score := Rendezvous(r.Fingerprint, n.Name); best.Name == "" || score > bestScore {
			best, bestScore = n, score
		}
	}
	if best.Name == "" {
		return best, false
	}
	return p.assign(p.peerFor(best), now), true
}

// Observe records the end of an attempt that Pick or PickAlone started.
func (p *Picker) Observe(node string, res mulberrylink.Result, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr, found := p.peers[node]
	if !found {
		return
	}
	now := p.cfg.Clock.Now()
	pr.outstanding = max(0, pr.outstanding-1)
	if pr.state == halfOpen {
		pr.trialsInFlight = max(0, pr.trialsInFlight-1)
	}
	if res.Reason == mulberrylink.ReasonCanceled {
		return
	}
	reached := res.Load != (mulberrylink.Load{})
	if reached {
		pr.recordReport(res.Load, now)
	}
	p.updateHealth(pr, res, reached, took, now)
}

// ReportLoad records a load that arrived by other means, such as a probe.
func (p *Picker) ReportLoad(node string, load mulberrylink.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pr, found := p.peers[node]; found {
		pr.recordReport(load, p.cfg.Clock.Now())
	}
}

// refresh returns the state of a service after bringing its peers and median
// latency up to date.
func (p *Picker) refresh(name string, now time.Time) *service {
	s, found := p.services[name]
	if !found {
		s = &service{}
		p.services[name] = s
	}
	s.usedAt = now
	nodes := p.cfg.Nodes.Nodes(name)
	if !sameSlice(nodes, s.nodes) {
		s.nodes = nodes
		s.peers = s.peers[:0]
		for _, n := range subset(nodes, p.cfg.Self, p.cfg.Domain, p.cfg.Settings(name).SubsetSize) {
			s.peers = append(s.peers, p.peerFor(n))
		}
		s.medianDue = time.Time{}
	}
	if !now.Before(s.medianDue) {
		s.median = median(s.peers, now)
		s.medianDue = now.Add(medianInterval)
	}
	p.sweep(now)
	return s
}

// sameSlice reports whether a and b are the same slice. The slices of a
// NodeSource never change, so the nodes are then the same, too.
func sameSlice(a, b []mulberrylink.Node) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

// peerFor returns the state of node n. A new incarnation of a node starts with
// new state, but keeps the count of outstanding requests.
func (p *Picker) peerFor(n mulberrylink.Node) *peer {
	pr, found := p.peers[n.Name]
	if !found || pr.node.Incarnation != n.Incarnation {
		replacement := &peer{node: n}
		if found {
			replacement.outstanding = pr.outstanding
		}
		pr = replacement
		p.peers[n.Name] = pr
	}
	pr.node = n
	return pr
}

// localPeer returns the peer of the entry node itself when its own upstream should
// run the request: it is available, has a free slot and an empty queue, and is not
// slow.
func (p *Picker) localPeer(s *service, now time.Time, tried []string) *peer {
	if p.cfg.LocalLoad == nil || slices.Contains(tried, p.cfg.Self) {
		return nil
	}
	for _, pr := range s.peers {
		if pr.node.Name != p.cfg.Self || !pr.available(now) {
			continue
		}
		l := p.cfg.LocalLoad()
		pr.recordReport(l, now)
		if l.Queued > 0 || l.InFlight >= l.Limit || pr.slowdown(s.median, now) > 1 {
			return nil
		}
		return pr
	}
	return nil
}

// lowestCost draws candidates in the entry node's failure domain and in the
// others and returns the one with the lowest cost. It falls back to ejected and
// closed nodes when all available ones have been tried.
func (p *Picker) lowestCost(s *service, now time.Time, tried []string) *peer {
	var local, remote, unavailable []*peer
	for _, pr := range s.peers {
		switch {
		case slices.Contains(tried, pr.node.Name):
		case !pr.available(now):
			unavailable = append(unavailable, pr)
		case pr.node.Domain == p.cfg.Domain:
			local = append(local, pr)
		default:
			remote = append(remote, pr)
		}
	}
	candidates := append(p.drawCandidates(local, now), p.drawCandidates(remote, now)...)
	if len(candidates) == 0 {
		candidates = p.drawCandidates(unavailable, now)
	}
	var best *peer
	var lowest float64
	for _, pr := range candidates {
		cost := pr.cost(s.median, now)
		if pr.node.Domain != p.cfg.Domain {
			cost += remoteDomainCost
		}
		if best == nil || cost < lowest {
			best, lowest = pr, cost
		}
	}
	return best
}

// drawCandidates draws Choices candidates without replacement, each with a
// probability in proportion to its limit, so that a cold upstream gets no more
// than its share. It reorders peers.
func (p *Picker) drawCandidates(peers []*peer, now time.Time) []*peer {
	if len(peers) <= 1 {
		return peers
	}
	total := 0
	for _, pr := range peers {
		total += pr.limit(now)
	}
	drawn := make([]*peer, 0, 2*p.cfg.Choices)
	for range min(p.cfg.Choices, len(peers)) {
		target := int(p.cfg.Rand() % uint64(max(1, total)))
		for i, pr := range peers {
			if target -= pr.limit(now); target < 0 || i == len(peers)-1 {
				drawn = append(drawn, pr)
				total -= pr.limit(now)
				last := len(peers) - 1
				peers[i], peers = peers[last], peers[:last]
				break
			}
		}
	}
	return drawn
}

// assign counts a request on the node and makes it half-open when its ejection
// has ended.
func (p *Picker) assign(pr *peer, now time.Time) mulberrylink.Node {
	pr.outstanding++
	pr.reportUses++
	if pr.state == ejected && !now.Before(pr.stateUntil) {
		pr.state = halfOpen
		pr.trialsInFlight = 0
	}
	if pr.state == halfOpen {
		pr.trialsInFlight++
	}
	return pr.node
}

const (
	sweepInterval   = time.Minute
	serviceIdleTime = 10 * time.Minute // the state of an unused service is dropped after this time
)

// sweep drops the state of unused services, and of nodes that no service chooses
// from and that have no outstanding requests.
func (p *Picker) sweep(now time.Time) {
	if now.Before(p.nextSweep) {
		return
	}
	p.nextSweep = now.Add(sweepInterval)
	for name, s := range p.services {
		if now.Sub(s.usedAt) > serviceIdleTime {
			delete(p.services, name)
		}
	}
	used := make(map[*peer]bool)
	for _, s := range p.services {
		for _, pr := range s.peers {
			used[pr] = true
		}
	}
	for name, pr := range p.peers {
		if !used[pr] && pr.outstanding == 0 {
			delete(p.peers, name)
		}
	}
}
