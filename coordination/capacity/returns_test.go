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

// returnTally counts the requests of callers that return after a refusal.
type returnTally struct {
	sent, inTime, late, refused, refusedAgain int
	failed                                    int // had neither a response nor a refusal after which they could return
}

// returningCaller is a caller that is told to return and does so, if that is at most a third of its
// remaining time.
type returningCaller struct {
	c        *capacity.Controller
	class    *requestClass
	account  string
	promises bool // its refusals promise a time, and it goes before new requests when it returns
}

// call sends one request until it is served or the caller gives up.
func (r *returningCaller) call(took time.Duration, mu *sync.Mutex, tally *returnTally) {
	start := time.Now()
	deadline := start.Add(r.class.deadline)
	refusals, served := 0, false
	for {
		now := time.Now()
		permit, rejection := r.c.Acquire(context.Background(), &capacity.Request{
			ServiceTime: r.class.serviceTime, Priority: r.class.priority, Objective: now.Add(r.class.objective), Deadline: deadline,
			Returning: r.promises && refusals > 0, Promised: !r.promises, Account: r.account,
		})
		if permit != nil {
			time.Sleep(took)
			permit.Release()
			served = true
			break
		}
		refusals++
		after := max(rejection.RetryAfter, time.Millisecond)
		if after > time.Until(deadline)/3 {
			break
		}
		time.Sleep(after)
	}
	mu.Lock()
	defer mu.Unlock()
	tally.sent++
	tally.refused += min(1, refusals)
	tally.refusedAgain += max(0, refusals-1)
	switch {
	case !served:
		tally.failed++
	case time.Since(start) <= r.class.objective:
		tally.inTime++
	default:
		tally.late++
	}
}

// callsWithReturns sends bursts of requests at the start of each second beside a steady load to an upstream
// of 4 slots, both in parts of its capacity.
func callsWithReturns(t *testing.T, class *requestClass, steady, burst float64, promises bool, seed uint64) (tally returnTally) {
	t.Helper()
	const slots, span = 4, 20
	perSecond := slots / class.serviceTime.Seconds()
	synctest.Test(t, func(_ *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := returningCaller{c: capacity.New(time.Now), class: class, promises: promises}
		r.c.Open(capacity.Upstream{Slots: slots})
		var mu sync.Mutex
		var callers sync.WaitGroup
		send := func(at time.Duration) {
			took := time.Duration(float64(class.serviceTime) * max(0.3, 1+0.3*rng.NormFloat64()))
			callers.Go(func() {
				time.Sleep(at)
				r.call(took, &mu, &tally)
			})
		}
		for at := 0.0; at < span; at += rng.ExpFloat64() / (steady * perSecond) {
			send(time.Duration(at * float64(time.Second)))
		}
		for second := range span {
			for range int(burst * perSecond) {
				send(time.Duration(second)*time.Second + time.Duration(rng.IntN(20))*time.Millisecond)
			}
		}
		callers.Wait()
	})
	return tally
}

// TestRefusedCallersReturn guards against callers that are refused, return at the time that they were told, and
// are refused again although there is capacity: many were told the same time, and new requests were served
// before them. With bursts that fit into the capacity of the upstream, nobody may be refused twice; at up to
// 2.5 times the capacity, 1 in 100. Either way, as many requests must meet their objective as without
// promises, up to 1 in 100 of all.
func TestRefusedCallersReturn(t *testing.T) {
	class := &requestClass{serviceTime: 54 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 1500 * time.Millisecond}
	for _, c := range []struct{ steady, burst, again float64 }{{0.3, 0.5, 0}, {0.4, 0.5, 0}, {1.2, 0, 0.01}, {2.5, 0, 0.01}} {
		for seed := range uint64(2) {
			without, with := callsWithReturns(t, class, c.steady, c.burst, false, seed), callsWithReturns(t, class, c.steady, c.burst, true, seed)
			t.Logf("steady %.1f, bursts %.1f, seed %d: without promises %+v, with them %+v", c.steady, c.burst, seed, without, with)
			if with.refusedAgain > int(c.again*float64(with.sent)) {
				t.Errorf("steady %.1f, bursts %.1f, seed %d: %d of %d callers were refused again", c.steady, c.burst, seed, with.refusedAgain, with.sent)
			}
			if with.inTime < without.inTime-with.sent/100 {
				t.Errorf("steady %.1f, bursts %.1f, seed %d: %d requests in time, %d without promises", c.steady, c.burst, seed, with.inTime, without.inTime)
			}
		}
	}
}
