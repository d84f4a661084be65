package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/retry"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

var (
	busy   = mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: mulberrylink.ReasonBusy}
	silent = mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: mulberrylink.ReasonSilent}
)

// TestBudgetModel guards against retry storms: in any order of calls, retries and hedged
// requests together never exceed the share of the first attempts plus the reserve of each
// refill interval.
func TestBudgetModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &clock{now: time.Unix(1000, 0)}
		percent := rapid.IntRange(0, 50).Draw(rt, "percent")
		reserve := rapid.IntRange(1, 5).Draw(rt, "reserve")
		b := retry.New(retry.Config{
			Clock:          c,
			Percent:        func(string) int { return percent },
			Reserve:        reserve,
			RefillInterval: time.Second,
		})
		r := &mulberrylink.Request{Service: "registry", Idempotent: true}
		start, firstAttempts, extraAttempts := c.now, 0, 0
		count := func(allowed bool) {
			if allowed {
				extraAttempts++
			}
			periods := int(c.now.Sub(start)/time.Second) + 1
			if 100*extraAttempts > firstAttempts*percent+100*reserve*periods {
				rt.Fatalf("%d extra attempts after %d first attempts in %d refill intervals", extraAttempts, firstAttempts, periods)
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"first": func(*rapid.T) { firstAttempts++; b.RecordRequest(r) },
			"retry": func(*rapid.T) { count(b.AllowRetry(r, busy, 0)) },
			"hedge": func(*rapid.T) { count(b.AllowHedge(r, 0)) },
			"wait": func(rt *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
			},
		})
	})
}

// TestEligible guards against running a request twice that is not idempotent, and against
// sending a request that crashes upstreams to another one.
func TestEligible(t *testing.T) {
	crashed := mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: mulberrylink.ReasonCrashed}
	tests := []struct {
		name       string
		idempotent bool
		res        mulberrylink.Result
		want       bool
	}{
		{"answered", true, mulberrylink.Result{}, false},
		{"rejected write", false, busy, true},
		{"unknown write", false, silent, false},
		{"unknown read", true, silent, true},
		{"crashed read", true, crashed, false},
		{"crasher", true, mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: mulberrylink.ReasonCrasher}, false},
		{"conflict", true, mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: mulberrylink.ReasonConflict}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &mulberrylink.Request{Idempotent: tt.idempotent}
			is.New(t).Equal(retry.Eligible(r, tt.res), tt.want)
		})
	}
}

// TestBounds guards against attempts that multiply along a chain of calls and against attempts
// that cannot finish in time.
func TestBounds(t *testing.T) {
	is := is.New(t)
	c := &clock{now: time.Unix(1000, 0)}
	registry := metrics.NewRegistry()
	b := retry.New(retry.Config{Clock: c, Registry: registry, Reserve: 100, MaxExtraAttempts: 2})
	r := &mulberrylink.Request{Service: "registry", Idempotent: true, Deadline: c.now.Add(time.Second)}
	is.True(b.AllowRetry(r, silent, 1))
	is.True(!b.AllowRetry(r, silent, 2)) // used up on this node
	r.ExtraAttempts = 2
	is.True(!b.AllowRetry(r, silent, 0)) // used up by earlier nodes of the chain
	is.True(!b.AllowHedge(r, 0))
	r.ExtraAttempts = 0

	_, ok := b.HedgeDelay(r)
	is.True(!ok) // no latency samples yet
	for i := range 200 {
		b.RecordLatency(r, time.Duration(i+1)*time.Millisecond)
	}
	c.now = c.now.Add(100 * time.Millisecond) // the percentiles are computed again after this time
	after, ok := b.HedgeDelay(r)
	is.True(ok)
	is.True(after > 170*time.Millisecond && after < 210*time.Millisecond) // p95 within 10%
	r.Deadline = c.now.Add(50 * time.Millisecond)                         // the median is 100 ms
	is.True(!b.AllowRetry(r, silent, 0))
	is.Equal(metrics.GetOrRegisterCounter("retried.silent", registry).Count(), int64(1))
	is.Equal(metrics.GetOrRegisterCounter("denied.silent", registry).Count(), int64(3))
}
