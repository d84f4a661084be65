package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/capacity"
)

// learnedCalls counts arrivals of the internal route and of the route of callers, and those of them that count
// as internal calls.
type learnedCalls struct{ calls, callsMarked, requests, requestsMarked int }

// learnCalls simulates the node of an upstream of 4 slots that gets perSecond requests, 7 of 10 of which make two
// calls. Callers send as many requests of another route to the node, in groups.
func learnCalls(t *testing.T, perSecond float64, group int, seed uint64) (n learnedCalls) {
	t.Helper()
	synctest.Test(t, func(_ *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 3))
		admission, learned := capacity.New(time.Now), newInternalCalls()
		admission.Open(capacity.Upstream{Slots: 4})
		var mu sync.Mutex
		observe := func(route string, all, marked *int) {
			idle, share := admission.IdleShare()
			mu.Lock()
			defer mu.Unlock()
			*all++
			if internal, _ := learned.observe(route, idle, share); internal && !idle {
				*marked++
			}
		}
		var running sync.WaitGroup
		for at := 0.0; at < 60; at += rng.ExpFloat64() / perSecond {
			calls := 2
			if rng.IntN(10) >= 7 {
				calls = 0
			}
			running.Go(func() {
				time.Sleep(time.Duration(at * float64(time.Second)))
				now := time.Now()
				permit, _ := admission.Acquire(context.Background(), &capacity.Request{ServiceTime: 54 * time.Millisecond, Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond)})
				if permit == nil {
					return
				}
				for range calls {
					time.Sleep(18 * time.Millisecond)
					observe("call", &n.calls, &n.callsMarked)
				}
				time.Sleep(18 * time.Millisecond)
				permit.Release()
			})
		}
		for at := 0.0; at < 60; at += rng.ExpFloat64() / perSecond * float64(group) {
			running.Go(func() {
				time.Sleep(time.Duration(at * float64(time.Second)))
				for range group {
					observe("request", &n.requests, &n.requestsMarked)
				}
			})
		}
		running.Wait()
	})
	return n
}

// TestInternalCallsAreLearned guards against internal calls that wait behind the requests of callers, and
// against requests of callers that count as internal calls. Of a minute's calls, two of three must be marked, and of
// the requests of callers 1 in 100, also if they arrive four at a time.
func TestInternalCallsAreLearned(t *testing.T) {
	for _, perSecond := range []float64{4, 11, 30} { // the upstream is idle for 4 of 5, half and a fifth of the time
		for seed := range uint64(10) {
			n := learnCalls(t, perSecond, 1+3*int(seed%2), seed)
			if 3*n.callsMarked < 2*n.calls {
				t.Errorf("%.0f requests/s, seed %d: %d of %d internal calls were marked", perSecond, seed, n.callsMarked, n.calls)
			}
			if 100*n.requestsMarked > n.requests {
				t.Errorf("%.0f requests/s, seed %d: %d of %d requests of callers were marked", perSecond, seed, n.requestsMarked, n.requests)
			}
		}
	}
}
