package overflow

import (
	"maps"
	"slices"
	"time"
)

//go:generate ../../bin/tools/stringer -type=Reason -linecomment -output=reason_string.go

// Reason is why a request leaves its domain.
type Reason uint8

// Reasons why a request leaves its domain.
const (
	// Shortage means that the upstreams of the domain have too few slots.
	Shortage Reason = iota // shortage
	// NoUpstream means that the domain has no usable upstream.
	NoUpstream // noupstream
	// Hedge and Retry are attempts beside or after another one that found no upstream in the domain.
	Hedge // hedge
	Retry // retry
	// Reserve means that all upstreams of the domain are in reserve (package integrity), and others not.
	Reserve // reserve
	// Suspect means that the request may run on one node only (package suspect).
	Suspect // suspect
	// Sooner means that the domain has room, and that an upstream of another one with room is expected to
	// respond so much sooner that it is worth the transfer (package placement).
	Sooner // sooner
)

const (
	// homeTries is the number of rejections in the own domain after which a request may leave. Three of
	// the upstreams that look best do not reject a request while the domain has room.
	homeTries = 3
	// foreignTries is the number of upstreams that are tried in another domain, and foreignDomains the
	// number of other domains.
	foreignTries   = 2
	foreignDomains = 2
)

// Request describes a request of a caller.
type Request struct {
	// Work is the expected service time on an undisturbed host.
	Work time.Duration
	// SizeKiB is the size of the request and its response, and Value the value of a response in time.
	SizeKiB, Value float64
}

// Routing is the progress of one request. It is not safe for concurrent use.
type Routing struct {
	p          *Policy
	service    string
	req        Request
	drawn      bool
	home       bool // an upstream of the own domain was tried
	rejections int  // in the own domain
	left       bool
	foreign    []string // other domains tried
	tries      int      // in the last one of them
	spent      bool     // the last one of them is not tried again
}

// Step is where the next attempt goes.
type Step struct {
	Domain string
	Out    bool // leaves the own domain
	Reason Reason
}

// Begin counts a request of a caller, and draws whether it leaves the domain.
func (p *Policy) Begin(service string, req Request, now time.Time) *Routing {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	s.work.add(req.Work.Seconds(), now)
	s.count.add(1, now)
	s.unreported += req.Work
	r := p.plan(s, 0, now)
	s.updateShare(&r, now)
	return &Routing{p: p, service: service, req: req, drawn: p.cfg.Random() < s.share}
}

// Next returns the domain for the next attempt. has reports whether a domain has an upstream that was not
// tried yet. ok is false if the request has to be refused.
func (t *Routing) Next(reason Reason, has func(domain string) bool, now time.Time) (step Step, ok bool) {
	p := t.p
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(t.service)
	r := p.plan(s, t.req.Work.Seconds(), now)
	if len(t.foreign) > 0 && t.tries < foreignTries && !t.spent {
		if d := t.foreign[len(t.foreign)-1]; has(d) && t.affordable(now) {
			t.tries++
			return Step{Domain: d, Out: true, Reason: reason}, true
		}
	}
	if t.drawn && reason == Shortage && len(t.foreign) == 0 {
		if step, ok = t.leave(s, &r, reason, has, now); ok {
			return step, true
		}
	}
	hasHome := has(p.cfg.Domain)
	atHome := Step{Domain: p.cfg.Domain, Reason: reason}
	if hasHome && t.rejections < homeTries {
		t.home = true
		return atHome, true
	}
	if !t.home && !hasHome && reason == Shortage {
		reason = NoUpstream
	}
	if step, ok = t.leave(s, &r, reason, has, now); ok {
		return step, true
	}
	return atHome, hasHome && r.shortage == 0
}

// leave chooses another domain if the request may leave.
func (t *Routing) leave(s *serviceState, r *plan, reason Reason, has func(domain string) bool, now time.Time) (Step, bool) {
	if len(t.foreign) >= foreignDomains || !t.affordable(now) {
		return Step{}, false
	}
	d, ok := t.drawDomain(s, r, has, now)
	if !ok {
		return Step{}, false
	}
	t.foreign, t.tries, t.spent = append(t.foreign, d), 1, false
	if !t.left {
		t.left = true
		s.sent.add(t.req.Work.Seconds(), now)
	}
	return Step{Domain: d, Out: true, Reason: reason}, true
}

// affordable reports whether the link has room for the request.
func (t *Routing) affordable(now time.Time) bool {
	return t.p.link.costPerKiB(now)*t.req.SizeKiB < max(t.req.Value, 0.1)
}

// drawDomain draws a domain in proportion to its room, if the work that this node has sent out is within
// its part of the room. Without known room, a domain of which nothing is known may be asked.
func (t *Routing) drawDomain(s *serviceState, r *plan, has func(domain string) bool, now time.Time) (string, bool) {
	names := slices.Sorted(maps.Keys(s.domains))
	usable := func(name string) bool {
		return name != t.p.cfg.Domain && !slices.Contains(t.foreign, name) && has(name)
	}
	own := s.work.rate(now) / max(r.home.Demand, 1e-9)
	// A part of a request is within the limit with that probability: the part of one node may be
	// smaller than one request.
	if t.left || s.sent.rate(now)+t.p.cfg.Random()*t.req.Work.Seconds() <= r.part*min(1, own) {
		total := 0.0
		for _, name := range names {
			if usable(name) {
				total += r.rooms[name]
			}
		}
		for x := t.p.cfg.Random() * total; total > 0 && len(names) > 0; names = names[1:] {
			if usable(names[0]) {
				if x -= r.rooms[names[0]]; x < 0 {
					return names[0], true
				}
			}
		}
	}
	start := 0
	if len(names) > 0 {
		start = int(t.p.cfg.Random() * float64(len(names)))
	}
	for i := range names {
		name := names[(start+i)%len(names)]
		if usable(name) && !s.domains[name].stated.fresh(now) && s.domains[name].takeProbe(now) {
			return name, true
		}
	}
	return "", false
}

// Rejected records that an upstream of a domain rejected the request for lack of capacity. The domain
// is not tried again if domainShort is true.
func (t *Routing) Rejected(domain string, domainShort bool, now time.Time) {
	p := t.p
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(t.service)
	if domain != p.cfg.Domain {
		t.spent = t.spent || domainShort
		s.domain(domain).updateTrust(0, rejectionTrust, now)
		return
	}
	if t.rejections == 0 {
		s.rejected.add(t.req.Work.Seconds(), now)
	}
	t.rejections++
}

// Answered records that an upstream of a domain ran the request.
func (t *Routing) Answered(domain string, now time.Time) {
	p := t.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if domain != p.cfg.Domain {
		p.service(t.service).domain(domain).updateTrust(1, answerTrust, now)
	}
}
