package capacity_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/capacity"
)

// ledgerTally counts requests that need two calls of an upstream, and holds that callers send to it.
type ledgerTally struct {
	parents, parentsServed int
	parentTime             time.Duration // for which they held slots of their own upstream
	holds                  returnTally
}

// ledgerAtItsLimit simulates an upstream of 4 slots with overload times its capacity in work, half of which is holds and
// half probes. Internal calls are marked if marked is true.
func ledgerAtItsLimit(t *testing.T, overload float64, marked bool, seed uint64) (n ledgerTally) {
	t.Helper()
	const slots, span = 4, 12.0
	hold := requestClass{serviceTime: 37 * time.Millisecond, objective: 200 * time.Millisecond, deadline: 1200 * time.Millisecond}
	const probeTime = 16 * time.Millisecond
	holdRate, parentRate := overload*slots/2/hold.serviceTime.Seconds(), overload*slots/2/(2*probeTime.Seconds())
	synctest.Test(t, func(_ *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 4))
		c := capacity.New(time.Now)
		c.Open(capacity.Upstream{Slots: slots})
		holds := returningCaller{c: c, class: &hold, promises: true}
		var mu sync.Mutex
		var running sync.WaitGroup
		noise := func() float64 { return max(0.3, 1+0.3*rng.NormFloat64()) }
		for at := 0.0; at < span; at += rng.ExpFloat64() / holdRate {
			took := time.Duration(float64(hold.serviceTime) * noise())
			running.Go(func() {
				time.Sleep(time.Duration(at * float64(time.Second)))
				holds.call(took, &mu, &n.holds)
			})
		}
		for at := 0.0; at < span; at += rng.ExpFloat64() / parentRate {
			took := time.Duration(float64(probeTime) * noise())
			running.Go(func() {
				time.Sleep(time.Duration(at * float64(time.Second)))
				start := time.Now()
				served := 0
				for range 2 {
					now := time.Now()
					permit, _ := c.Acquire(context.Background(), &capacity.Request{
						ServiceTime: probeTime, Objective: now.Add(200 * time.Millisecond), Deadline: now.Add(200 * time.Millisecond), Internal: marked,
					})
					if permit == nil {
						break
					}
					time.Sleep(took)
					permit.Release()
					served++
				}
				mu.Lock()
				defer mu.Unlock()
				n.parents++
				n.parentsServed += served / 2
				n.parentTime += time.Since(start)
			})
		}
		running.Wait()
	})
	return n
}

// TestInternalCallsGoFirst guards against requests that hold slots of their own upstream while their calls
// wait behind new requests at another one. As long as the calls alone fit into the capacity, all must be served and
// their requests hold their slots for no longer than with unmarked calls. The upstream must serve as much work as
// before, up to 1 in 20, and without overload as many holds in time, up to 1 in 50.
func TestInternalCallsGoFirst(t *testing.T) {
	for _, overload := range []float64{0.9, 1.2, 1.6} {
		for seed := range uint64(2) {
			without, with := ledgerAtItsLimit(t, overload, false, seed), ledgerAtItsLimit(t, overload, true, seed)
			t.Logf("%.1f times the capacity, seed %d: unmarked %+v, marked %+v", overload, seed, without, with)
			if with.parentsServed < with.parents {
				t.Errorf("%.1f times the capacity, seed %d: %d of %d requests had their calls served", overload, seed, with.parentsServed, with.parents)
			}
			if with.parentTime > without.parentTime {
				t.Errorf("%.1f times the capacity, seed %d: requests held their slots for %v, with unmarked calls for %v", overload, seed, with.parentTime, without.parentTime)
			}
			if with.work() < 0.95*without.work() {
				t.Errorf("%.1f times the capacity, seed %d: %.1f s of work were served, with unmarked calls %.1f s", overload, seed, with.work(), without.work())
			}
			if overload < 1 && with.holds.inTime < without.holds.inTime*49/50 {
				t.Errorf("seed %d: %d holds were in time, with unmarked calls %d", seed, with.holds.inTime, without.holds.inTime)
			}
		}
	}
}

// work returns the seconds of work of the requests that were served.
func (n *ledgerTally) work() float64 {
	return 0.032*float64(n.parentsServed) + 0.037*float64(n.holds.inTime+n.holds.late)
}
