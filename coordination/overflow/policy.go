package overflow

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// homeTarget is the part of the usable slots up to which a domain serves its own callers. Above it,
	// the wait for one of the 4 to 18 slots of an upstream takes a large part of the objective.
	homeTarget = 0.85
	// reserve is the part of the usable slots that a domain keeps free for its own callers. Demand that
	// swings by 55% over 17 s grows by up to 20% of its mean in the second that the estimate is behind.
	reserve = 0.15
	// shareStep is the largest change of the share in a second. The demand above changes it by less.
	shareStep = 0.5
	// maxStepSpan is the longest time for which one step of the share counts.
	maxStepSpan = 200 * time.Millisecond
	// useOfShortage and useOfFullShortage are the use of the domain at which a shortage in the demand
	// starts to count and counts in full. Demand is measured at the upstreams that a node meets, and
	// would be too high if one entry node has a burst and the others do not.
	useOfShortage     = 0.55
	useOfFullShortage = 0.75
	// rejectionTrust and answerTrust are the weights of a rejection and of an answer in the trust in a
	// domain's room, and trustRecovery the time constant with which trust comes back. They hold the
	// rejections at about 2% of the requests sent there.
	rejectionTrust = 0.1
	answerTrust    = 0.02
	trustRecovery  = 3 * time.Second
	// maxProbes and probeInterval limit the requests that a node sends to a domain of which it knows nothing:
	// enough for a burst until the first response, and few while all domains are short.
	maxProbes     = 4
	probeInterval = 4 * time.Second
)

// Config holds the settings of a Policy.
type Config struct {
	// Domain is the failure domain of this node.
	Domain string
	// LinkBytesPerSecond is the limit of the node's link, 0 if none is known.
	LinkBytesPerSecond float64
	// Random returns a number in [0, 1). nil stands for math/rand/v2.
	Random func() float64
}

// Site is what the directory tells of a service in one domain.
type Site struct {
	Domain string
	// Nodes is the number of entry nodes in the domain, and Upstreams that of usable upstreams.
	Nodes, Upstreams int
	// Slots are the slots of the upstreams that are warm, and ColdRate the requests per second that
	// the cold ones take together.
	Slots, ColdRate float64
}

// Report is the load of one upstream in the domain of this node.
type Report struct {
	// Busy is the number of requests that run or wait. Limit is the current concurrency limit, and Slots
	// the number of slots in the directory.
	Busy, Limit, Slots int
	Slowdown           float64
}

// domainState is what a node knows of a service in one domain.
type domainState struct {
	site     Site
	stated   statement
	trust    float64
	trustAt  time.Time
	probes   float64
	probesAt time.Time
}

// serviceState is what a node knows of a service.
type serviceState struct {
	domains map[string]*domainState
	// Of the callers of this node: the work of all requests, their number, the work not yet told to an
	// admitting node, that of requests rejected by the own domain, and that sent out of the domain.
	work, count, rejected, sent decayingSum
	unreported                  time.Duration
	// Of the upstreams of the own domain: sums over the load reports.
	busy, capacity, slots decayingSum
	// reportedWork is the work that entry nodes of the own domain told the upstream beside this node.
	reportedWork decayingSum

	share   float64
	shareAt time.Time
}

// Policy holds the estimates of one node and decides from them. It is safe for concurrent use.
type Policy struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*serviceState
	link     linkMeter
}

// New returns a Policy that knows nothing of any domain.
func New(cfg Config) *Policy {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Policy{cfg: cfg, services: make(map[string]*serviceState), link: linkMeter{perSecond: cfg.LinkBytesPerSecond}}
}

func (p *Policy) service(name string) *serviceState {
	s := p.services[name]
	if s == nil {
		s = &serviceState{domains: make(map[string]*domainState)}
		p.services[name] = s
	}
	return s
}

func (s *serviceState) domain(name string) *domainState {
	d := s.domains[name]
	if d == nil {
		d = &domainState{trust: 1, probes: maxProbes}
		s.domains[name] = d
	}
	return d
}

// SetSites sets the domains with usable upstreams of a service. Others have none.
func (p *Policy) SetSites(service string, sites []Site, _ time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	for _, d := range s.domains {
		d.site = Site{Nodes: d.site.Nodes}
	}
	for _, site := range sites {
		s.domain(site.Domain).site = site
	}
}

// Retain drops what is known of services for which keep returns false.
func (p *Policy) Retain(keep func(service string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.services {
		if !keep(name) {
			delete(p.services, name)
		}
	}
}

// RecordReport records the load of an upstream in the domain of this node.
func (p *Policy) RecordReport(service string, r Report, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	s.busy.add(float64(r.Busy), now)
	s.capacity.add(float64(r.Limit)/max(1, r.Slowdown), now)
	s.slots.add(float64(max(r.Slots, r.Limit)), now)
}

// TakeWork returns the work of the callers' requests that no admitting node of the own domain has been
// told. It goes with the next request to one of them.
func (p *Policy) TakeWork(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	work := s.unreported
	s.unreported = 0
	return work
}

// RecordWork records the work that an entry node of the own domain told with a request. Each request
// of the domain's callers is told to one admitting node, so the sum over these is the demand.
func (p *Policy) RecordWork(service string, work time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(service).reportedWork.add(work.Seconds(), now)
}

// Merge records the statements of a node: the first one is about its own domain, the others were
// passed on.
func (p *Policy) Merge(service string, list []Estimate, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	for i, e := range list {
		passedOn := i > 0
		if passedOn && e.Domain == p.cfg.Domain {
			continue // the nodes of the domain know better
		}
		age := minStaleAge + time.Duration(p.cfg.Random()*float64(maxStaleAge-minStaleAge))
		s.domain(e.Domain).stated.merge(e, passedOn, now, age)
	}
}

// State returns what an admitting node tells others: the estimate of its own domain, from what it has seen
// itself, and the fresh statements of other domains. A statement about the own domain is not passed on,
// so that no figure returns to its source. Those of others are passed on only while the own domain is busy:
// nobody needs them otherwise, and each takes 25 bytes.
func (p *Policy) State(service string, now time.Time) []Estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	list := []Estimate{p.ownEstimate(s, now)}
	if s.directUse(now) < useOfShortage {
		return list
	}
	for name, d := range s.domains {
		if name != p.cfg.Domain && d.stated.fresh(now) {
			e := d.stated.Estimate
			e.Age = now.Sub(d.stated.at)
			list = append(list, e)
		}
	}
	slices.SortFunc(list[1:], func(a, b Estimate) int { return strings.Compare(a.Domain, b.Domain) })
	return list
}

// ownEstimate returns the estimate of the own domain from the reports and the work told to this node.
func (p *Policy) ownEstimate(s *serviceState, now time.Time) Estimate {
	site := s.domain(p.cfg.Domain).site
	usable, use := s.usable(site, now), s.directUse(now)
	e := Estimate{Domain: p.cfg.Domain, Usable: usable, Used: usable * use, Demand: s.reportedWork.rate(now) * float64(site.Upstreams)}
	if e.Demand > e.Used {
		// A domain that is far from full serves all its callers, so the demand is within the use,
		// whatever service times the entry nodes expect.
		e.Demand = e.Used + shortageWeight(use)*(e.Demand-e.Used)
	}
	return e
}

// shortageWeight returns how much the demand counts beyond the measured use of a domain.
func shortageWeight(use float64) float64 {
	return min(1, max(0, (use-useOfShortage)/(useOfFullShortage-useOfShortage)))
}

// usable returns the usable slots of the own domain.
func (s *serviceState) usable(site Site, now time.Time) float64 {
	factor := 1.0
	if slots := s.slots.get(now); slots > 0 {
		factor = min(1, max(minCapacityFactor, s.capacity.get(now)/slots))
	}
	return site.Slots*factor + site.ColdRate*s.meanWork(now)
}

// meanWork returns the mean work of a request in seconds.
func (s *serviceState) meanWork(now time.Time) float64 {
	if n := s.count.get(now); n > 0 {
		return s.work.get(now) / n
	}
	return 0
}

// directUse returns the use of the upstreams from which this node has reports.
func (s *serviceState) directUse(now time.Time) float64 {
	if c := s.capacity.get(now); c > 0 {
		return s.busy.get(now) / c
	}
	return 0
}

// Use returns the expected number of requests per slot at an upstream of a domain without a recent
// report, 0 if nothing is known.
func (p *Policy) Use(service, domain string, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	d := s.domain(domain)
	switch {
	case d.stated.fresh(now) && d.stated.Usable > 0:
		return d.stated.Used / d.stated.Usable
	case domain == p.cfg.Domain:
		return s.directUse(now)
	}
	return 0
}

// HasRoom reports whether another domain has room, so that it may take requests by the cost of single
// upstreams. A domain of which nothing is known has room until it says otherwise.
func (p *Policy) HasRoom(service, domain string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.service(service).domain(domain)
	return !d.stated.fresh(now) || d.stated.Usable > 0 && max(d.stated.Used, d.stated.Demand)/d.stated.Usable < homeTarget-reserve
}

// Transferred records bytes that the node exchanged with another host.
func (p *Policy) Transferred(bytes int64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link.bytes.add(float64(bytes), now)
}

// LinkUse returns the use of the node's link, 1 at its limit.
func (p *Policy) LinkUse(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.use(now)
}

// LinkCostPerKiB returns the cost of a KiB on the node's link, in units of one response in time.
func (p *Policy) LinkCostPerKiB(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.costPerKiB(now)
}

// AdmitsForeign decides on the admitting node whether its domain has room for a request from another one.
// waiting is the number of requests that wait at the upstream.
func (p *Policy) AdmitsForeign(service string, waiting int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if waiting > 0 {
		return false
	}
	s := p.service(service)
	home := p.home(s, now)
	if home.Usable <= 0 {
		return true // the directory does not have the upstream yet
	}
	// The probability falls linearly: with a fixed limit, all nodes would turn at the same time.
	return p.cfg.Random() >= (home.Used/home.Usable-homeTarget)/(1-homeTarget)
}

// home returns the estimate of the own domain: what its admitting nodes state or, without a statement,
// what this node sees.
func (p *Policy) home(s *serviceState, now time.Time) Estimate {
	d := s.domain(p.cfg.Domain)
	e := p.ownEstimate(s, now)
	if d.stated.fresh(now) {
		e.Demand, e.Used = d.stated.Demand, min(d.stated.Used, 2*e.Usable)
		if d.site.Upstreams > 0 {
			e.Usable = min(d.stated.Usable, d.site.Slots+d.site.ColdRate*s.meanWork(now))
		}
	}
	if d.site.Upstreams == 0 {
		e.Usable, e.Used = 0, 0
		e.Demand = s.work.rate(now) * float64(max(1, d.site.Nodes))
	}
	e.Demand = max(e.Demand, s.work.rate(now))
	return e
}

// plan is what follows from the estimates, in slots.
type plan struct {
	home Estimate
	// shortage is that of the own domain, room that of all other ones together, and part the part of
	// the room that the own domain may take.
	shortage, room, part float64
	rooms                map[string]float64
}

// plan returns what follows from the estimates. work is that of a request that could not run in its
// domain, in seconds, which is a shortage of that size.
func (p *Policy) plan(s *serviceState, work float64, now time.Time) plan {
	r := plan{home: p.home(s, now), rooms: make(map[string]float64)}
	use := 1.0
	if r.home.Usable > 0 {
		use = r.home.Used / r.home.Usable
	}
	r.shortage = shortageWeight(use) * max(0, r.home.Demand-homeTarget*r.home.Usable)
	others := 0.0
	for name, d := range s.domains {
		if name == p.cfg.Domain || !d.stated.fresh(now) {
			continue
		}
		usable := d.stated.Usable
		if d.site.Upstreams == 0 {
			usable = 0
		}
		others += max(0, d.stated.Demand-homeTarget*usable)
		if room := ((homeTarget-reserve)*usable - d.stated.Demand) * d.currentTrust(now); room > 0 {
			r.rooms[name] = room
			r.room += room
		}
	}
	// Requests that were rejected at home show a shortage that the demand does not show yet.
	seen := max(r.shortage, work/memory.Seconds())
	if own := s.work.rate(now); own > 0 {
		seen = max(seen, min(1, s.rejected.rate(now)/own)*r.home.Demand)
	}
	if seen > 0 {
		r.part = r.room * seen / (seen + others)
	}
	return r
}

func (d *domainState) currentTrust(now time.Time) float64 {
	return 1 - (1-d.trust)*math.Exp(-float64(max(0, now.Sub(d.trustAt)))/float64(trustRecovery))
}

func (d *domainState) updateTrust(target, weight float64, now time.Time) {
	t := d.currentTrust(now)
	d.trust, d.trustAt = t+weight*(target-t), now
}

// takeProbe reports whether a request may go to a domain of which nothing is known.
func (d *domainState) takeProbe(now time.Time) bool {
	if !d.probesAt.IsZero() {
		d.probes = min(maxProbes, d.probes+float64(now.Sub(d.probesAt))/float64(probeInterval))
	}
	d.probesAt = now
	if d.probes < 1 {
		return false
	}
	d.probes--
	return true
}

// updateShare moves the share towards its target.
func (s *serviceState) updateShare(r *plan, now time.Time) {
	target := 0.0
	if r.home.Demand > 0 {
		target = min(r.shortage, r.part) / r.home.Demand
	}
	step := 0.0
	if !s.shareAt.IsZero() {
		step = shareStep * min(now.Sub(s.shareAt), maxStepSpan).Seconds()
	}
	s.share, s.shareAt = min(max(target, s.share-step), s.share+step), now
}

// Home returns the estimate of the own domain, as it is told to other domains with a request.
func (p *Policy) Home(service string, now time.Time) Estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.home(p.service(service), now)
}

// Status is the state of a service for logs and metrics.
type Status struct {
	Share, Shortage, Room float64
	Home                  Estimate
}

// Status returns the state of a service and moves its share on.
func (p *Policy) Status(service string, now time.Time) Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	r := p.plan(s, 0, now)
	s.updateShare(&r, now)
	return Status{Share: s.share, Shortage: r.shortage, Room: r.room, Home: r.home}
}
