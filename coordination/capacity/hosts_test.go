package capacity_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/capacity"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
)

// fleet simulates a service of several upstreams whose hosts are disturbed at random. Each
// upstream has a node with a Controller, which is also an entry node with a Balancer.
type fleet struct {
	controllers []*capacity.Controller
	balancers   []*placement.Balancer
	candidates  []placement.Candidate
	mu          sync.Mutex
	slowdown    []float64
	reportedAt  []time.Time // time of the last report of each upstream
	slots       int
}

// Disturbed hosts are 7 times slower for 0.5 s, and in about one case of three for
// another 0.5 s.
const (
	disturbedSlowdown = 7.0
	phaseTime         = 500 * time.Millisecond
	staysDisturbed    = 0.36
)

// becomesDisturbed returns the probability that a quiet host is disturbed in the next phase,
// for a host that is disturbed for the given share of the time.
func becomesDisturbed(share float64) float64 { return share * (1 - staysDisturbed) / (1 - share) }

func newFleet(n, slots int) *fleet {
	f := &fleet{slowdown: make([]float64, n), reportedAt: make([]time.Time, n), slots: slots}
	for i := range n {
		name := string(rune('a' + i))
		f.controllers = append(f.controllers, capacity.New(time.Now))
		f.controllers[i].Open(capacity.Upstream{Slots: slots})
		f.balancers = append(f.balancers, placement.New(placement.Config{CrossDomainRTT: time.Millisecond}))
		f.candidates = append(f.candidates, placement.Candidate{Name: name, Slots: slots})
		f.slowdown[i] = 1
	}
	return f
}

// disturb changes the slowdown of the hosts in each phase until end.
func (f *fleet) disturb(rng *rand.Rand, share float64, end time.Time) {
	for time.Now().Before(end) {
		f.mu.Lock()
		for i := range f.slowdown {
			p := becomesDisturbed(share)
			if f.slowdown[i] > 1 {
				p = staysDisturbed
			}
			f.slowdown[i] = 1
			if rng.Float64() < p {
				f.slowdown[i] = disturbedSlowdown
			}
		}
		f.mu.Unlock()
		time.Sleep(phaseTime)
	}
}

// refreshReport renews the load report of an upstream when it is older than age, as its
// node does before it admits a request.
func (f *fleet) refreshReport(i int, age time.Duration) {
	f.mu.Lock()
	now := time.Now()
	fresh, slowdown := now.Sub(f.reportedAt[i]) < age, f.slowdown[i]
	if !fresh {
		f.reportedAt[i] = now
	}
	f.mu.Unlock()
	if !fresh {
		f.controllers[i].ReportSlowdown(slowdown, f.controllers[i].Load().Running)
	}
}

func (f *fleet) pollReports(i int, end time.Time) {
	for time.Now().Before(end) {
		f.refreshReport(i, 60*time.Millisecond)
		time.Sleep(60 * time.Millisecond)
	}
}

// request simulates one request that arrives at an entry node and returns whether it ran.
func (f *fleet) request(entry int, class *requestClass, noise float64) bool {
	start := time.Now()
	b := f.balancers[entry]
	exclude := make(map[string]bool)
	reroutes := 0
	for range 8 {
		now := time.Now()
		candidates := make([]placement.Candidate, len(f.candidates))
		copy(candidates, f.candidates)
		candidates[entry].Local = true
		b.RecordLoad(candidates[entry].Name, f.controllers[entry].Load(), now)
		c, ok := b.Choose(now, &placement.Request{
			ServiceTime: class.serviceTime, Objective: start.Add(class.objective), Deadline: start.Add(class.deadline), SizeKiB: 1, Value: 1, Exclude: exclude, Reroutable: reroutes < 3,
		}, candidates)
		if !ok {
			return false
		}
		i := int(c.Name[0] - 'a')
		req := &capacity.Request{ServiceTime: class.serviceTime, Priority: class.priority, Objective: start.Add(class.objective), Deadline: start.Add(class.deadline)}
		if reroutes < 3 {
			req.AlternativeCost = c.AlternativeCost
		}
		b.RequestSent(c.Name)
		time.Sleep(time.Millisecond / 2)
		f.refreshReport(i, 35*time.Millisecond)
		permit, rejection := f.controllers[i].Acquire(context.Background(), req)
		if permit != nil {
			f.mu.Lock()
			slowdown := f.slowdown[i]
			f.mu.Unlock()
			took := time.Duration(float64(class.serviceTime) * noise)
			time.Sleep(time.Duration(float64(took) * slowdown))
			permit.Release()
			f.controllers[i].RecordResult(class.serviceTime, took, false)
		}
		time.Sleep(time.Millisecond / 2)
		b.RequestEnded(c.Name)
		b.RecordLoad(c.Name, f.controllers[i].Load(), time.Now())
		switch {
		case permit != nil:
			return true
		case rejection.Reason == capacity.Slower:
			reroutes++
		default:
			b.RecordRejection(c.Name, time.Now())
			exclude[c.Name] = true
		}
	}
	return false
}

// simulateFleet sends the load to the upstreams for span and returns the outcome for each
// request class.
func simulateFleet(t *testing.T, n, slots int, share float64, classes []requestClass, span time.Duration, seed uint64) []outcome {
	t.Helper()
	out := make([]outcome, len(classes))
	var mu sync.Mutex
	synctest.Test(t, func(_ *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(n, slots)
		end := time.Now().Add(span)
		var running sync.WaitGroup
		running.Go(func() { f.disturb(rand.New(rand.NewPCG(seed, 2)), share, end) })
		for i := range n {
			running.Go(func() { f.pollReports(i, end) })
		}
		for i, class := range classes {
			for at := time.Duration(0); at < span; at += time.Duration(rng.ExpFloat64() / class.perSecond * float64(time.Second)) {
				noise, entry := max(0.3, 1+0.3*rng.NormFloat64()), rng.IntN(n)
				running.Go(func() {
					time.Sleep(at)
					start := time.Now()
					ran := f.request(entry, &class, noise)
					mu.Lock()
					defer mu.Unlock()
					out[i].count(&class, ran, time.Since(start))
				})
			}
		}
		running.Wait()
	})
	return out
}

func (o *outcome) count(class *requestClass, ran bool, took time.Duration) {
	o.sent++
	switch {
	case !ran:
		o.rejected++
		if took > class.deadline/2 {
			o.rejectedLate++
		}
	case took <= class.objective:
		o.inTime++
	case took <= class.deadline:
		o.late++
	default:
		o.lost++
	}
}

// floorDeskLoad is the load of the service floor-desk in the deployment tsd-lantern.
var floorDeskLoad = []requestClass{
	{perSecond: 28.7, serviceTime: 160 * time.Millisecond, priority: 1, objective: 400 * time.Millisecond, deadline: 1200 * time.Millisecond},
	{perSecond: 58.6, serviceTime: 120 * time.Millisecond, priority: 2, objective: 400 * time.Millisecond, deadline: time.Second},
}

// TestDisturbedHosts guards against late responses on hosts that are disturbed for 43% of
// the time; a balancer that ignored the disturbances would meet 57% of the objectives.
// It simulates 5 upstreams and the 3 or 2 that are left after failures. With 5 or 3, on which
// the load fits about twice or more, 90% of the requests must meet their objective; with 2,
// on which it just fits, 75%. At most 1 request in 30 may be rejected after more than half
// of its deadline.
func TestDisturbedHosts(t *testing.T) {
	for _, c := range []struct {
		upstreams int
		inTime    float64
	}{{5, 0.9}, {3, 0.9}, {2, 0.75}} {
		var sum outcome
		for seed := range uint64(6) {
			for _, o := range simulateFleet(t, c.upstreams, 12, 0.43, floorDeskLoad, 30*time.Second, seed) {
				sum.add(o)
			}
		}
		fraction := func(n int) float64 { return float64(n) / float64(sum.sent) }
		t.Logf("%d upstreams: in time %.3f, late %.3f, lost %.3f, rejected %.3f, rejected late %.3f",
			c.upstreams, fraction(sum.inTime), fraction(sum.late), fraction(sum.lost), fraction(sum.rejected), fraction(sum.rejectedLate))
		if fraction(sum.inTime) < c.inTime {
			t.Errorf("%d upstreams: %.3f of the requests met their objective, want at least %.2f", c.upstreams, fraction(sum.inTime), c.inTime)
		}
		if fraction(sum.rejectedLate) > 1.0/30 {
			t.Errorf("%d upstreams: %.3f of the requests were rejected after half of their deadline, want at most 1 in 30", c.upstreams, fraction(sum.rejectedLate))
		}
	}
}

func (o *outcome) add(x outcome) {
	o.sent += x.sent
	o.inTime += x.inTime
	o.late += x.late
	o.lost += x.lost
	o.rejected += x.rejected
	o.rejectedLate += x.rejectedLate
}
