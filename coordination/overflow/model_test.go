package overflow_test

import (
	"context"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/capacity"
	"github.com/mulberrylink/mulberrylink/coordination/overflow"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
)

const (
	crossDomainDelay = 4500 * time.Microsecond
	inDomainDelay    = 250 * time.Microsecond
	// sitesDelay is how late a node learns which upstreams are usable.
	sitesDelay = 300 * time.Millisecond
	// maxPlacements and maxSlowerRejections are those of package gateway.
	maxPlacements       = 8
	maxSlowerRejections = 3
	headersKiB          = 0.9
	bodyKiB             = 2.0
	responseKiB         = 1.0
)

// kind is a kind of request of customer B.
type kind struct {
	service             string
	weight              float64 // of the requests of callers
	work                time.Duration
	expected            time.Duration // mean time for which the request takes a slot
	objective, deadline time.Duration
	repeatable          bool
	value               float64
	calls               bool // makes two probes in 7 of 10 cases, and takes 7 times as long in 3 of 100
}

var (
	probe = kind{service: "ledger", work: 16 * time.Millisecond, expected: 16 * time.Millisecond, objective: 100 * time.Millisecond, deadline: 200 * time.Millisecond, repeatable: true, value: 1}
	kinds = []kind{
		{"desk", 477, 54 * time.Millisecond, 87 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond, true, 1, true},
		{"desk", 123, 70 * time.Millisecond, 70 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond, false, 2, false},
		{"ledger", 139, 37 * time.Millisecond, 37 * time.Millisecond, 200 * time.Millisecond, 1200 * time.Millisecond, false, 2, false},
	}
)

// domain is a failure domain of a script.
type domain struct {
	name      string
	nodes     int
	upstreams map[string]int
	rate      float64
	phase     float64
	bursts    []interval // additional rates
	lost      []interval // spans without upstreams
}

type interval struct {
	from, to time.Duration
	rate     float64
}

func inside(list []interval, at time.Duration) (sum float64, found bool) {
	for _, i := range list {
		if at >= i.from && at < i.to {
			sum, found = sum+i.rate, true
		}
	}
	return sum, found
}

// result is what became of one request of a caller.
type result struct {
	domain       string
	start        time.Duration
	answered     bool
	inTime       bool
	tries        int
	out          bool
	outKiB       float64
	foreign      int // rejections by other domains
	hops         int // attempts at other hosts
	refusedAfter time.Duration
}

// node is an entry node, with an upstream beside it if admission is not nil.
type node struct {
	m         *model
	name      string
	domain    *domain
	service   string
	slowdown  float64
	admission *capacity.Controller
	balancer  *placement.Balancer
	policy    *overflow.Policy // nil with the feature off
}

// model is a deployment in virtual time. It uses the real placement and admission; the network, the
// directory and the upstreams are simulated.
type model struct {
	domains  []*domain
	slots    int
	swing    float64
	scale    float64
	linkKBps float64 // of nodes, 0 for no limit
	disturb  float64 // share of time in which a host is five times slower
	on       bool
	start    time.Time
	nodes    []*node
	usable   map[string]bool // domains with upstreams, as the directory has them

	mu      sync.Mutex
	rng     *rand.Rand
	results []result
	peak    map[string]float64 // highest use of the link by domain
}

const swingPeriod = 17 * time.Second

func (m *model) build(seed uint64) {
	m.rng, m.start, m.usable, m.peak = rand.New(rand.NewPCG(seed, 1)), time.Now(), map[string]bool{}, map[string]float64{}
	for _, d := range m.domains {
		services := make([]string, 0, d.nodes)
		for _, s := range []string{"desk", "ledger"} {
			for range d.upstreams[s] {
				services = append(services, s)
			}
		}
		m.usable[d.name] = true
		for i := range max(d.nodes, len(services)) {
			n := &node{m: m, name: d.name + strconv.Itoa(i), domain: d, slowdown: 1}
			n.balancer = placement.New(placement.Config{TransferCostPerKiB: 0.035, CrossDomainRTT: 2 * crossDomainDelay, Domain: d.name})
			if m.on {
				n.policy = overflow.New(overflow.Config{Domain: d.name, LinkBytesPerSecond: m.linkKBps * 1000, Random: m.random})
			}
			if i < len(services) {
				n.service, n.admission = services[i], capacity.New(time.Now)
				n.admission.Open(capacity.Upstream{Slots: m.slots})
			}
			m.nodes = append(m.nodes, n)
		}
	}
	m.updateSites()
}

func (m *model) random() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.Float64()
}

func (m *model) updateSites() {
	for _, service := range []string{"desk", "ledger"} {
		var sites []overflow.Site
		for _, d := range m.domains {
			s := overflow.Site{Domain: d.name, Nodes: d.nodes}
			if m.usable[d.name] {
				s.Upstreams, s.Slots = d.upstreams[service], float64(d.upstreams[service]*m.slots)
			}
			sites = append(sites, s)
		}
		for _, n := range m.nodes {
			if n.policy != nil {
				n.policy.SetSites(service, sites, time.Now())
			}
		}
	}
}

// run sends requests for the given time and waits until all have ended.
func (m *model) run(length time.Duration) {
	var wg sync.WaitGroup
	if m.disturb > 0 {
		for _, n := range m.nodes {
			if n.admission != nil {
				wg.Go(func() { n.disturb(length) })
			}
		}
	}
	for _, d := range m.domains {
		wg.Go(func() { m.callers(d, length, &wg) })
		for _, i := range d.lost {
			for _, change := range []struct {
				at   time.Duration
				lost bool
			}{{i.from, true}, {i.to, false}} {
				wg.Go(func() {
					time.Sleep(change.at)
					for _, n := range m.nodes {
						if n.domain != d || n.admission == nil {
							continue
						}
						if change.lost {
							n.admission.Close()
						} else {
							n.admission.Open(capacity.Upstream{Slots: m.slots})
						}
					}
					time.Sleep(sitesDelay)
					m.mu.Lock()
					m.usable[d.name] = !change.lost
					m.mu.Unlock()
					m.updateSites()
				})
			}
		}
	}
	wg.Wait()
}

// disturb makes the host slow for half a second on average, at random times.
func (n *node) disturb(length time.Duration) {
	const reports = 50 * time.Millisecond
	ends := reports.Seconds() / 0.5
	begins := ends * n.m.disturb / (1 - n.m.disturb)
	for time.Since(n.m.start) < length {
		x := n.m.random()
		n.m.mu.Lock()
		switch {
		case n.slowdown == 1 && x < begins:
			n.slowdown = 5
		case n.slowdown > 1 && x < ends:
			n.slowdown = 1
		}
		slowdown := n.slowdown
		n.m.mu.Unlock()
		n.admission.ReportSlowdown(slowdown, n.admission.Load().Running)
		time.Sleep(reports)
	}
}

// callers sends the requests of the callers of one domain, as a Poisson process with a rate that changes.
func (m *model) callers(d *domain, length time.Duration, wg *sync.WaitGroup) {
	var entries []*node
	for _, n := range m.nodes {
		if n.domain == d {
			entries = append(entries, n)
		}
	}
	total := 0.0
	for i := range kinds {
		total += kinds[i].weight
	}
	for {
		at := time.Since(m.start)
		if at >= length {
			return
		}
		rate := d.rate * (1 + m.swing*math.Sin(2*math.Pi*(at.Seconds()/swingPeriod.Seconds()+d.phase)))
		extra, _ := inside(d.bursts, at)
		rate = (rate + extra) * m.scale
		time.Sleep(time.Duration(-math.Log(1-m.random()) / rate * float64(time.Second)))
		x, k := m.random()*total, 0
		for k = 0; k < len(kinds)-1 && x >= kinds[k].weight; k++ {
			x -= kinds[k].weight
		}
		n := entries[int(m.random()*float64(len(entries)))]
		wg.Go(func() {
			r, use := n.serve(&kinds[k]), 0.0
			if n.policy != nil {
				use = n.policy.LinkUse(time.Now())
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			m.results = append(m.results, r)
			m.peak[d.name] = max(m.peak[d.name], use)
		})
	}
}

// serve takes a request at its entry node the way of package gateway.
func (n *node) serve(k *kind) result {
	m, begin := n.m, time.Now()
	res := result{domain: n.domain.name, start: begin.Sub(m.start)}
	objective, deadline := begin.Add(k.objective), begin.Add(k.deadline)
	excluded, slower := map[string]bool{}, 0
	var routing *overflow.Routing
	if n.policy != nil {
		routing = n.policy.Begin(k.service, overflow.Request{Work: k.expected, SizeKiB: headersKiB + bodyKiB + responseKiB, Value: k.value}, begin)
	}
	for res.tries < maxPlacements && time.Now().Before(deadline) {
		now := time.Now()
		var all []placement.Candidate
		byName := map[string]*node{}
		m.mu.Lock()
		for _, c := range m.nodes {
			if c.service == k.service && m.usable[c.domain.name] {
				byName[c.name] = c
				all = append(all, placement.Candidate{Name: c.name, Domain: c.domain.name, Slots: m.slots, Local: c == n})
			}
		}
		m.mu.Unlock()
		if n.service == k.service {
			n.balancer.RecordLoad(n.name, n.admission.Load(), now)
		}
		req := &placement.Request{
			ServiceTime: k.expected, Objective: objective, Deadline: deadline, SizeKiB: headersKiB + bodyKiB + responseKiB, Value: k.value,
			Reroutable: slower < maxSlowerRejections, Repeatable: k.repeatable, Exclude: excluded,
		}
		step := overflow.Step{Domain: n.domain.name}
		if routing != nil {
			has := func(domain string) bool {
				for _, c := range all {
					if c.Domain == domain && !excluded[c.Name] {
						return true
					}
				}
				return false
			}
			var ok bool
			if step, ok = routing.Next(overflow.Shortage, has, now); !ok {
				break
			}
			req.LinkCostPerKiB = n.policy.LinkCostPerKiB(now)
			var in []placement.Candidate
			for _, c := range all {
				if c.Domain == step.Domain {
					c.Use = n.policy.Use(k.service, c.Domain, now)
					in = append(in, c)
				}
			}
			all = in
		}
		choice, ok := n.balancer.Choose(now, req, all)
		if !ok {
			break
		}
		res.tries++
		peer := byName[choice.Name]
		n.balancer.RequestSent(choice.Name)
		if slower >= maxSlowerRejections {
			choice.AlternativeCost = 0
		}
		reason := n.attempt(peer, k, choice, objective, deadline, &res)
		n.balancer.RequestEnded(choice.Name)
		now = time.Now()
		if reason == "" {
			if routing != nil {
				routing.Answered(peer.domain.name, now)
			}
			res.answered, res.inTime = true, !now.After(objective)
			res.out = peer.domain != n.domain
			return res
		}
		if reason == capacity.Slower.String() {
			slower++
		} else {
			excluded[choice.Name] = true
			n.balancer.RecordRejection(choice.Name, now)
			if routing != nil {
				routing.Rejected(peer.domain.name, reason == "foreign", now)
			}
		}
	}
	res.refusedAfter = time.Since(begin)
	return res
}

// attempt sends a request to one upstream and returns the reason of a rejection.
func (n *node) attempt(peer *node, k *kind, choice placement.Choice, objective, deadline time.Time, res *result) string {
	delay, foreign := inDomainDelay, peer.domain != n.domain
	if foreign {
		delay = crossDomainDelay
	}
	if peer == n {
		delay = 0
	}
	var home overflow.Estimate
	var work time.Duration
	if n.policy != nil {
		if foreign {
			home = n.policy.Home(k.service, time.Now())
		} else {
			work = n.policy.TakeWork(k.service)
		}
	}
	time.Sleep(delay)
	kib := headersKiB + bodyKiB
	reason := peer.run(n, k, choice, objective, deadline, home, work)
	load, said := peer.admission.Load(), []overflow.Estimate(nil)
	if peer.policy != nil {
		said = peer.policy.State(k.service, time.Now())
	}
	time.Sleep(delay)
	now := time.Now()
	if reason == "" {
		kib += responseKiB
	}
	if foreign {
		res.outKiB += kib
		if reason != "" {
			res.foreign++
		}
	}
	n.balancer.RecordLoad(peer.name, load, now)
	if peer != n {
		res.hops++
	}
	if n.policy != nil {
		if peer != n {
			n.policy.Transferred(int64(kib*1024), now)
			peer.policy.Transferred(int64(kib*1024), now)
		}
		if !foreign {
			n.policy.RecordReport(k.service, overflow.Report{Busy: load.Running + load.Waiting, Limit: load.Slots, Slots: n.m.slots, Slowdown: load.Slowdown}, now)
		}
		n.policy.Merge(k.service, said, now)
	}
	return reason
}

// run admits a request and runs it.
func (n *node) run(entry *node, k *kind, choice placement.Choice, objective, deadline time.Time, home overflow.Estimate, work time.Duration) string {
	now := time.Now()
	if n.policy != nil {
		load := n.admission.Load()
		n.policy.RecordReport(k.service, overflow.Report{Busy: load.Running + load.Waiting, Limit: load.Slots, Slots: n.m.slots, Slowdown: load.Slowdown}, now)
		n.policy.RecordWork(k.service, work, now)
		if entry.domain != n.domain {
			n.policy.Merge(k.service, []overflow.Estimate{home}, now)
			if !n.policy.AdmitsForeign(k.service, load.Waiting, now) {
				return "foreign"
			}
		}
	}
	permit, rejection := n.admission.Acquire(context.Background(), &capacity.Request{
		ServiceTime: k.expected, Repeatable: k.repeatable, Objective: objective, Deadline: deadline, AlternativeCost: choice.AlternativeCost,
	})
	if permit == nil {
		return rejection.Reason.String()
	}
	n.m.mu.Lock()
	took := time.Duration(float64(k.work) * n.slowdown)
	n.m.mu.Unlock()
	if k.calls && n.m.random() < 0.03 {
		took *= 7
	}
	began := time.Now()
	time.Sleep(took)
	if k.calls && n.m.random() < 0.7 {
		n.serve(&probe)
		n.serve(&probe)
	}
	n.admission.RecordResult(k.expected, time.Duration(float64(time.Since(began))*float64(k.work)/float64(max(took, k.work))), false)
	permit.Release()
	return ""
}
