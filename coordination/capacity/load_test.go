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

// kind is a kind of request of a played load.
type requestClass struct {
	perSecond   float64
	serviceTime time.Duration
	priority    int
	objective   time.Duration
	deadline    time.Duration
}

// outcome counts what callers of one kind get.
type outcome struct {
	sent, inTime, late, lost, rejected int
	rejectedLate                       int // refused after more than half of their deadline
}

// play sends the load to one upstream for span and returns what callers get.
func simulate(t *testing.T, slots int, classes []requestClass, span time.Duration, seed uint64) []outcome {
	t.Helper()
	out := make([]outcome, len(classes))
	var mu sync.Mutex
	synctest.Test(t, func(_ *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := capacity.New(time.Now)
		c.Open(capacity.Upstream{Slots: slots})
		end := time.Now().Add(span)
		var callers sync.WaitGroup
		for i, k := range classes {
			for at := time.Duration(0); at < span; at += time.Duration(rng.ExpFloat64() / k.perSecond * float64(time.Second)) {
				took := time.Duration(float64(k.serviceTime) * max(0.3, 1+0.3*rng.NormFloat64()))
				callers.Go(func() {
					time.Sleep(at)
					began := time.Now()
					permit, _ := c.Acquire(context.Background(), &capacity.Request{
						ServiceTime: k.serviceTime, Priority: k.priority, Objective: began.Add(k.objective), Deadline: began.Add(k.deadline),
					})
					if permit != nil {
						time.Sleep(took)
						permit.Release()
						c.RecordResult(k.serviceTime, took, false)
					}
					mu.Lock()
					defer mu.Unlock()
					out[i].count(&k, permit != nil, time.Since(began))
				})
			}
		}
		time.Sleep(time.Until(end))
		callers.Wait()
	})
	return out
}

// TestOverloadedUpstreamServesInTime plays the load of tsd-lantern on the days on
// which upstreams are away, 1.16 times what fits. At most 86% can be in time;
// four fifths of that must be, the urgent kind must not be worse off, and what is
// refused must not be held for long.
func TestOverloadedUpstreamServesInTime(t *testing.T) {
	const slots, best = 10, 0.86
	for seed := range uint64(3) {
		out := simulate(t, slots, floorDeskLoad, 20*time.Second, seed)
		var all outcome
		for _, o := range out {
			all.sent += o.sent
			all.inTime += o.inTime
			all.rejectedLate += o.rejectedLate
		}
		t.Logf("seed %d: %+v", seed, out)
		if share := float64(all.inTime) / float64(all.sent); share < 0.8*best {
			t.Errorf("seed %d: %.2f of the requests are answered in time, want %.2f", seed, share, 0.8*best)
		}
		if a, b := share(out[0]), share(out[1]); a < b {
			t.Errorf("seed %d: %.2f of the urgent requests are in time, of the others %.2f", seed, a, b)
		}
		if limit := all.sent / 20; all.rejectedLate > limit {
			t.Errorf("seed %d: %d requests were refused after half of their deadline, want at most %d", seed, all.rejectedLate, limit)
		}
	}
}

func share(o outcome) float64 { return float64(o.inTime) / float64(o.sent) }
