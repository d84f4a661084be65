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

// bubble hides Deadline, which must not be called in virtual time.
type bubble struct{ rapid.TB }

// TestDispatcherModel guards against a request that runs twice and against an
// untrue result, under refusals, unknown outcomes, late answers, hedges, lost
// claims and callers that go away.
func TestDispatcherModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(rt *rapid.T) {
			s := newStand()
			s.forwarder.steps = rapid.SliceOfN(rapid.Custom(anyStep), 4, 4).Draw(rt, "steps")
			s.claimer.states = rapid.SliceOfN(rapid.Custom(anyClaim), 0, 6).Draw(rt, "claims")
			s.budget.left = rapid.IntRange(0, 4).Draw(rt, "budget")
			s.budget.hedge = time.Duration(rapid.IntRange(0, 40).Draw(rt, "hedge")) * time.Millisecond
			r := &mulberrylink.Request{
				Idempotent: rapid.Bool().Draw(rt, "idempotent"),
				Keyed:      rapid.Bool().Draw(rt, "keyed"),
				Key:        rapid.SampledFrom([]string{"", "k"}).Draw(rt, "key"),
				Deadline:   time.Now().Add(time.Second),
			}
			patience := time.Duration(rapid.IntRange(1, 2000).Draw(rt, "patience")) * time.Millisecond
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			steps := append([]step(nil), s.forwarder.steps...)

			res := s.Do(ctx, r)

			if res.Answer != nil {
				_ = res.Answer.Body.Close()
			}
			time.Sleep(time.Second) // late answers
			synctest.Wait()
			s.checkOnce(rt, r, steps)
			s.checkTruth(rt, r, res)
		})
	})
}

func anyStep(rt *rapid.T) step {
	s := step{status: 200, after: time.Duration(rapid.IntRange(0, 100).Draw(rt, "ms")) * time.Millisecond}
	s.stubborn = rapid.Bool().Draw(rt, "stubborn")
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

func anyClaim(rt *rapid.T) dispatch.ClaimState {
	return dispatch.ClaimState(rapid.IntRange(0, int(dispatch.Indeterminate)).Draw(rt, "state"))
}

// checkOnce: a request that must not run twice follows only on refusals.
func (s *stand) checkOnce(rt *rapid.T, r *mulberrylink.Request, steps []step) {
	sent := len(s.forwarder.nodes)
	if r.Keyed && r.Key == "" && sent > 1 {
		rt.Fatalf("sent %d times without a key", sent)
	}
	if r.Idempotent && !r.Keyed {
		return
	}
	if s.forwarder.runs > 1 {
		rt.Fatalf("ran %d times", s.forwarder.runs)
	}
	for i := range sent - 1 {
		if steps[i].outcome != mulberrylink.NotRun {
			rt.Fatalf("try %d was sent after %s", i+2, steps[i].outcome)
		}
	}
}

// checkTruth: the outcome matches what happened, and the books are closed.
func (s *stand) checkTruth(rt *rapid.T, r *mulberrylink.Request, res mulberrylink.Result) {
	if res.Outcome == mulberrylink.NotRun && s.forwarder.runs > 0 {
		rt.Fatalf("not run (%s), but it ran", res.Reason)
	}
	if res.Outcome != mulberrylink.NotRun && len(s.forwarder.nodes) > 0 && s.claimer.released > 0 {
		rt.Fatal("claim released although the request may have run")
	}
	granted := r.Keyed && r.Key != "" && len(s.forwarder.nodes) > 0
	if res.Outcome == mulberrylink.NotRun && granted && s.claimer.released != 1 {
		rt.Fatalf("claim released %d times", s.claimer.released)
	}
	if s.budget.ends != 1 {
		rt.Fatalf("%d results counted", s.budget.ends)
	}
	for n, open := range s.picker.open {
		if open != 0 {
			rt.Fatalf("%d tries on %s were never observed", open, n)
		}
	}
}
