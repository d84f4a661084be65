package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/dispatch"
)

// virtualTimeTB hides the method Deadline of a test, which must not be called in
// a synctest bubble.
type virtualTimeTB struct{ rapid.TB }

// TestDispatcherModel guards against running a request twice that must not, and
// against a result that contradicts what the upstreams did. It draws rejections,
// unknown outcomes, slow responses, hedged requests, claim states and callers
// that go away.
func TestDispatcherModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(virtualTimeTB{t}, func(rt *rapid.T) {
			f := newFixture()
			f.forwarder.steps = rapid.SliceOfN(rapid.Custom(drawStep), 4, 4).Draw(rt, "steps")
			f.claimer.states = rapid.SliceOfN(rapid.Custom(drawClaim), 0, 6).Draw(rt, "claims")
			f.budget.left = rapid.IntRange(0, 4).Draw(rt, "budget")
			f.budget.hedge = time.Duration(rapid.IntRange(0, 40).Draw(rt, "hedge")) * time.Millisecond
			r := &mulberrylink.Request{
				Idempotent: rapid.Bool().Draw(rt, "idempotent"),
				Keyed:      rapid.Bool().Draw(rt, "keyed"),
				Key:        rapid.SampledFrom([]string{"", "k"}).Draw(rt, "key"),
				Deadline:   time.Now().Add(time.Second),
			}
			callerTimeout := time.Duration(rapid.IntRange(1, 2000).Draw(rt, "caller timeout")) * time.Millisecond
			ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
			defer cancel()
			steps := append([]step(nil), f.forwarder.steps...)

			res := f.Do(ctx, r)

			if res.Answer != nil {
				_ = res.Answer.Body.Close()
			}
			time.Sleep(time.Second) // for attempts that end late
			synctest.Wait()
			f.checkRunsOnce(rt, r, steps)
			f.checkOutcome(rt, r, res)
		})
	})
}

func drawStep(rt *rapid.T) step {
	s := step{status: 200, delay: time.Duration(rapid.IntRange(0, 100).Draw(rt, "ms")) * time.Millisecond}
	s.ignoresCancel = rapid.Bool().Draw(rt, "ignores cancel")
	s.outcome = mulberrylink.Outcome(rapid.IntRange(0, 2).Draw(rt, "outcome"))
	switch s.outcome {
	case mulberrylink.Answered:
		s.runs = true
	case mulberrylink.NotRun:
		s.reason = rapid.SampledFrom([]mulberrylink.Reason{mulberrylink.ReasonBusy, mulberrylink.ReasonLeaving}).Draw(rt, "why")
	case mulberrylink.Unknown:
		s.reason = rapid.SampledFrom([]mulberrylink.Reason{mulberrylink.ReasonSilent, mulberrylink.ReasonCrashed}).Draw(rt, "why")
		s.runs = rapid.Bool().Draw(rt, "ran")
	}
	return s
}

func drawClaim(rt *rapid.T) dispatch.ClaimState {
	return dispatch.ClaimState(rapid.IntRange(0, int(dispatch.Indeterminate)).Draw(rt, "state"))
}

// checkRunsOnce checks that a request that must not run twice was sent again only
// after rejections.
func (f *fixture) checkRunsOnce(rt *rapid.T, r *mulberrylink.Request, steps []step) {
	sent := len(f.forwarder.nodes)
	if r.Keyed && r.Key == "" && sent > 1 {
		rt.Fatalf("sent %d times without a key", sent)
	}
	if r.Idempotent && !r.Keyed {
		return
	}
	if f.forwarder.runs > 1 {
		rt.Fatalf("ran %d times", f.forwarder.runs)
	}
	for i := range sent - 1 {
		if steps[i].outcome != mulberrylink.NotRun {
			rt.Fatalf("attempt %d was sent after %s", i+2, steps[i].outcome)
		}
	}
}

// checkOutcome checks that the outcome matches what the upstreams did, that the
// claim was released only if nothing ran, and that every attempt was observed.
func (f *fixture) checkOutcome(rt *rapid.T, r *mulberrylink.Request, res mulberrylink.Result) {
	if res.Outcome == mulberrylink.NotRun && f.forwarder.runs > 0 {
		rt.Fatalf("not run (%s), but it ran", res.Reason)
	}
	if res.Outcome != mulberrylink.NotRun && len(f.forwarder.nodes) > 0 && f.claimer.released > 0 {
		rt.Fatal("claim released although the request may have run")
	}
	granted := r.Keyed && r.Key != "" && len(f.forwarder.nodes) > 0
	if res.Outcome == mulberrylink.NotRun && granted && f.claimer.released != 1 {
		rt.Fatalf("claim released %d times", f.claimer.released)
	}
	if f.budget.results != 1 {
		rt.Fatalf("%d results counted", f.budget.results)
	}
	for n, count := range f.picker.unobserved {
		if count != 0 {
			rt.Fatalf("%d attempts on %s were never observed", count, n)
		}
	}
}
