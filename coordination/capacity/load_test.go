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

// requestClass is a class of requests in a simulated load.
type requestClass struct {
	perSecond   float64
	serviceTime time.Duration
	priority    int
	objective   time.Duration
	deadline    time.Duration
	accounts    []string // each request is of one of them
}

// outcome counts the results of one request class.
type outcome struct {
	sent, inTime, late, lost, rejected int
	rejectedLate                       int // rejected after more than half of their deadline
}

// simulate sends the load to one upstream for span and returns the outcome for each
// request class.
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
		for i, class := range classes {
			for at := time.Duration(0); at < span; at += time.Duration(rng.ExpFloat64() / class.perSecond * float64(time.Second)) {
				took := time.Duration(float64(class.serviceTime) * max(0.3, 1+0.3*rng.NormFloat64()))
				account := ""
				if len(class.accounts) > 0 {
					account = class.accounts[rng.IntN(len(class.accounts))]
				}
				callers.Go(func() {
					time.Sleep(at)
					start := time.Now()
					permit, _ := c.Acquire(context.Background(), &capacity.Request{
						ServiceTime: class.serviceTime, Priority: class.priority, Objective: start.Add(class.objective), Deadline: start.Add(class.deadline), Account: account,
					})
					if permit != nil {
						time.Sleep(took)
						permit.Release()
						c.RecordResult(class.serviceTime, took, false)
					}
					mu.Lock()
					defer mu.Unlock()
					out[i].count(&class, permit != nil, time.Since(start))
				})
			}
		}
		time.Sleep(time.Until(end))
		callers.Wait()
	})
	return out
}

// TestOverloadedUpstreamServesInTime guards against late responses and late rejections when
// failed upstreams leave the others with 1.16 times their capacity. At most 86% of the
// requests can meet their objective. At least 80% of those must do so, the urgent class
// must not do worse than the other one, and at most 1 request in 20 may be rejected after
// more than half of its deadline.
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
			t.Errorf("seed %d: %.2f of the requests met their objective, want at least %.2f", seed, share, 0.8*best)
		}
		if a, b := share(out[0]), share(out[1]); a < b {
			t.Errorf("seed %d: %.2f of the urgent requests met their objective, but %.2f of the others", seed, a, b)
		}
		if limit := all.sent / 20; all.rejectedLate > limit {
			t.Errorf("seed %d: %d requests were rejected after half of their deadline, want at most %d", seed, all.rejectedLate, limit)
		}
	}
}

func share(o outcome) float64 { return float64(o.inTime) / float64(o.sent) }
