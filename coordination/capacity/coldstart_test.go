package capacity_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/capacity"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
)

// coldService is a service of which all upstreams are cold.
type coldService struct {
	controllers []*capacity.Controller
	candidates  []placement.Candidate
}

const (
	coldFor = 3 * time.Second
)

func newColdService(name string, n, slots int, coldRate float64) *coldService {
	s := &coldService{}
	for i := range n {
		c := capacity.New(time.Now)
		c.Open(capacity.Upstream{Slots: slots, ColdUntil: time.Now().Add(coldFor), WarmupRate: coldRate, WarmupBurst: 2})
		s.controllers = append(s.controllers, c)
		s.candidates = append(s.candidates, placement.Candidate{Name: fmt.Sprint(name, i), Slots: slots, Cold: true, WarmupRate: coldRate})
	}
	return s
}

// coldStart simulates the start of a whole deployment: callers send look-ups and orders to 53 upstreams of one
// service and holds to 16 of another, and the upstreams of the first call those of the second.
type coldStart struct {
	shared  bool // calls are marked and promises are given
	desk    *coldService
	ledger  *coldService
	entries []*placement.Balancer // one for each node; the first ones are those of desk
	mu      sync.Mutex
	rng     *rand.Rand
	tally   map[string]*coldTally
}

// coldTally counts the requests of one kind.
type coldTally struct {
	sent, inTime, late, failed, gaveUp, refusals, again int
}

// send places a request like the entry node of package gateway.
func (s *coldStart) send(entry int, service *coldService, req capacity.Request, value float64) (*capacity.Permit, *capacity.Controller, int, time.Duration) {
	b := s.entries[entry]
	exclude := map[string]bool{}
	after := time.Duration(0)
	for warming := 0; warming < 3; {
		now := time.Now()
		choice, ok := b.Choose(now, &placement.Request{ServiceTime: req.ServiceTime, Objective: req.Objective, Deadline: req.Deadline, SizeKiB: 1, Value: value, Exclude: exclude}, service.candidates)
		if !ok {
			break
		}
		i := 0
		for service.candidates[i].Name != choice.Name {
			i++
		}
		c := service.controllers[i]
		b.RequestSent(choice.Name)
		time.Sleep(time.Millisecond)
		attempt := req
		promised := s.shared && after > 0 && after <= req.Deadline.Sub(now)/3
		attempt.Promised = promised || !s.shared
		permit, rejection := c.Acquire(context.Background(), &attempt)
		b.RecordLoad(choice.Name, c.Load(), time.Now())
		if permit != nil {
			return permit, c, i, 0
		}
		b.RequestEnded(choice.Name)
		b.RecordRejection(choice.Name, time.Now())
		exclude[choice.Name] = true
		if rejection.RetryAfter > 0 && !promised && (after == 0 || rejection.RetryAfter < after) {
			after = rejection.RetryAfter
		}
		warming++
	}
	if after == 0 {
		after = 250 * time.Millisecond
	}
	return nil, nil, 0, after
}

// call makes a call of the upstream of a desk node, and reports whether it was served by its deadline.
func (s *coldStart) call(node int) bool {
	start := time.Now()
	deadline := start.Add(200 * time.Millisecond)
	for {
		now := time.Now()
		permit, _, i, after := s.send(node, s.ledger, capacity.Request{ServiceTime: 16 * time.Millisecond, Priority: 1, Objective: deadline, Deadline: deadline, Internal: s.shared}, 1)
		if permit != nil {
			time.Sleep(16 * time.Millisecond)
			permit.Release()
			s.entries[node].RequestEnded(s.ledger.candidates[i].Name)
			return time.Now().Before(deadline)
		}
		if after > deadline.Sub(now)/3 {
			return false
		}
		time.Sleep(after)
	}
}

// request sends a request of a caller, who returns if it is told to within a third of its time.
func (s *coldStart) request(kind string, class *requestClass, entry, calls int, service *coldService) {
	start := time.Now()
	deadline := start.Add(class.deadline)
	refusals := 0
	t := coldTally{sent: 1}
	for {
		now := time.Now()
		permit, _, i, after := s.send(entry, service, capacity.Request{
			ServiceTime: class.serviceTime, Priority: class.priority, Objective: now.Add(class.objective), Deadline: deadline, Returning: s.shared && refusals > 0,
		}, 1)
		if permit != nil {
			time.Sleep(class.serviceTime)
			ok := true
			for range calls {
				ok = ok && s.call(i)
			}
			permit.Release()
			s.entries[entry].RequestEnded(service.candidates[i].Name)
			switch {
			case !ok || time.Now().After(deadline):
				t.failed++
			case time.Since(start) <= class.objective:
				t.inTime++
			default:
				t.late++
			}
			break
		}
		refusals++
		if after > time.Until(deadline)/3 {
			t.gaveUp++
			break
		}
		time.Sleep(after)
	}
	t.refusals, t.again = refusals, max(0, refusals-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := s.tally[kind]
	sum.sent += t.sent
	sum.inTime += t.inTime
	sum.late += t.late
	sum.failed += t.failed
	sum.gaveUp += t.gaveUp
	sum.refusals += t.refusals
	sum.again += t.again
}

// runColdStart runs the load of the deployment for six seconds after its start.
func runColdStart(t *testing.T, shared bool, coldRate float64, seed uint64) *coldStart {
	t.Helper()
	s := &coldStart{shared: shared, rng: rand.New(rand.NewPCG(seed, 5)), tally: map[string]*coldTally{"lookup": {}, "order": {}, "hold": {}}}
	synctest.Test(t, func(_ *testing.T) {
		s.desk, s.ledger = newColdService("desk", 53, 4, coldRate), newColdService("ledger", 16, 4, coldRate)
		for range 69 {
			s.entries = append(s.entries, placement.New(placement.Config{CrossDomainRTT: 9 * time.Millisecond}))
		}
		var running sync.WaitGroup
		for _, k := range []struct {
			kind    string
			class   requestClass
			service *coldService
		}{
			{"lookup", requestClass{perSecond: 477, serviceTime: 54 * time.Millisecond, priority: 1, objective: 300 * time.Millisecond, deadline: 1500 * time.Millisecond}, s.desk},
			{"order", requestClass{perSecond: 123, serviceTime: 70 * time.Millisecond, priority: 0, objective: 300 * time.Millisecond, deadline: 1500 * time.Millisecond}, s.desk},
			{"hold", requestClass{perSecond: 139, serviceTime: 37 * time.Millisecond, priority: 0, objective: 200 * time.Millisecond, deadline: 1200 * time.Millisecond}, s.ledger},
		} {
			for at := 0.0; at < 6; at += s.rng.ExpFloat64() / k.class.perSecond {
				entry, calls := s.rng.IntN(69), 0
				if k.kind == "lookup" && s.rng.IntN(10) < 7 {
					calls = 2
				}
				running.Go(func() {
					time.Sleep(time.Duration(at * float64(time.Second)))
					s.request(k.kind, &k.class, entry, calls, k.service)
				})
			}
		}
		running.Wait()
	})
	return s
}

// TestColdStart guards against a start of everything in which urgent requests are refused for less urgent ones,
// and in which refused callers return together and are refused again. At each rate of the cold upstreams,
// orders, which have the highest priority there, must be in time, and as many requests as without promises and
// marks, up to 1 in 50. At most 1 caller in 50 may be refused again, also at the
// lowest rate, which is far too low for the load.
func TestColdStart(t *testing.T) {
	for _, rate := range []float64{14, 10, 7} {
		without, with := runColdStart(t, false, rate, 1), runColdStart(t, true, rate, 1)
		var sent, inTime, again [2]int
		for i, s := range []*coldStart{without, with} {
			for kind, n := range s.tally {
				t.Logf("%.0f requests/s, shared %v: %s %+v", rate, s.shared, kind, *n)
				sent[i] += n.sent
				inTime[i] += n.inTime
				again[i] += n.again
			}
		}
		if n := with.tally["order"]; n.inTime < n.sent*99/100 {
			t.Errorf("%.0f requests/s: %d of %d orders were in time", rate, n.inTime, n.sent)
		}
		if inTime[1] < inTime[0]*49/50 {
			t.Errorf("%.0f requests/s: %d requests were in time, %d without sharing", rate, inTime[1], inTime[0])
		}
		if 50*again[1] > sent[1] {
			t.Errorf("%.0f requests/s: %d of %d callers were refused again, %d without sharing", rate, again[1], sent[1], again[0])
		}
	}
}
