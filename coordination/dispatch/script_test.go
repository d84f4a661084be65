package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/dispatch"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
)

// TestScripts runs the scenarios of testdata in virtual time. A scenario begins
// with "case" and the behaviour that it checks. Its steps are "claim" and "try"
// for the results of the fake claimer and forwarder, "nodes", "budget" and
// "verdict" for the other fakes, "do" for the request, and "expect".
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range strings.Split(string(text), "case ")[1:] {
			title, steps, _ := strings.Cut(c, "\n")
			t.Run(title, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runCase(t, steps) })
			})
		}
	}
}

func runCase(t *testing.T, steps string) {
	s := &script{fixture: newFixture()}
	for _, line := range strings.Split(steps, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if err := s.step(words[0], words[1:]); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
	}
	synctest.Wait()
	for n, count := range s.picker.unobserved {
		if count != 0 {
			t.Fatalf("%d attempts on %s were never observed", count, n)
		}
	}
}

type script struct {
	*fixture
	res  mulberrylink.Result
	took time.Duration
}

func (s *script) step(verb string, words []string) error {
	args := map[string]string{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		args[k] = v
	}
	switch verb {
	case "claim":
		for _, w := range words {
			s.claimer.states = append(s.claimer.states, claims[w])
		}
	case "nodes":
		s.picker.nodes = words
	case "try":
		s.addAttempt(words[0], args)
	case "budget":
		s.budget.left, _ = strconv.Atoi(args["left"])
		s.budget.hedge, _ = time.ParseDuration(args["hedge"])
	case "verdict":
		s.suspects.verdict = map[string]suspect.Verdict{"alone": suspect.Alone, "refuse": suspect.Refuse}[words[0]]
	case "do":
		s.do(args)
	case "expect":
		return s.expect(words)
	default:
		return fmt.Errorf("unknown step")
	}
	return nil
}

var claims = map[string]dispatch.ClaimState{
	"granted": dispatch.Granted, "pending": dispatch.Pending, "finished": dispatch.Finished,
	"spent": dispatch.AnswerNotStored, "conflict": dispatch.Conflict, "unavailable": dispatch.Unavailable,
	"indeterminate": dispatch.Indeterminate,
}

func (s *script) addAttempt(outcome string, args map[string]string) {
	st := step{status: 200}
	st.outcome = map[string]mulberrylink.Outcome{"notrun": mulberrylink.NotRun, "unknown": mulberrylink.Unknown}[outcome]
	for _, r := range mulberrylink.Reasons() {
		if r.String() == args["reason"] {
			st.reason = r
		}
	}
	st.delay, _ = time.ParseDuration(args["after"])
	_, st.readsBody = args["reads"]
	_, st.ignoresCancel = args["stubborn"]
	st.runs = st.outcome != mulberrylink.NotRun
	s.forwarder.steps = append(s.forwarder.steps, st)
}

func (s *script) do(args map[string]string) {
	r := &mulberrylink.Request{ID: "r1", Service: "registry", Deadline: time.Now().Add(time.Second)}
	_, r.Idempotent = args["idempotent"]
	_, r.Keyed = args["keyed"]
	r.Key = args["key"]
	r.Depth, _ = strconv.Atoi(args["depth"])
	r.ExtraAttempts, _ = strconv.Atoi(args["tries"])
	if text, found := args["stream"]; found {
		r.Body = strings.NewReader(text)
	}
	if text, found := args["body"]; found {
		r.Body = strings.NewReader(text)
		r.Replay = func() (io.Reader, error) { return strings.NewReader(text), nil }
	}
	ctx := context.Background()
	if d, found := args["cancel"]; found {
		after, _ := time.ParseDuration(d)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, after)
		defer cancel()
	}
	start := time.Now()
	s.res = s.Do(ctx, r)
	s.took = time.Since(start)
	if s.res.Answer != nil {
		_ = s.res.Answer.Body.Close()
	}
	synctest.Wait()
}

func (s *script) expect(words []string) error {
	for _, w := range words {
		key, want, _ := strings.Cut(w, "=")
		if got := s.value(key); got != want {
			return fmt.Errorf("%s is %s", key, got)
		}
	}
	return nil
}

func (s *script) value(key string) string {
	f := &s.forwarder
	switch key {
	case "outcome":
		return s.res.Outcome.String()
	case "reason":
		return s.res.Reason.String()
	case "status":
		return strconv.Itoa(s.res.Answer.Status)
	case "node":
		return s.res.Node
	case "nodes":
		return strings.Join(f.nodes, ",")
	case "attempts":
		return strings.Trim(fmt.Sprint(f.attempts), "[]")
	case "tries":
		return strings.ReplaceAll(strings.Trim(fmt.Sprint(f.tries), "[]"), " ", ",")
	case "bodies":
		return strings.Join(f.bodies, ",")
	case "alone":
		return strings.ReplaceAll(strings.Trim(fmt.Sprint(f.alone), "[]"), " ", ",")
	case "sent":
		return strconv.Itoa(len(f.nodes))
	case "canceled":
		return strconv.Itoa(f.canceled)
	case "closed":
		return strconv.Itoa(f.closedBodies)
	case "asked":
		return strconv.Itoa(s.claimer.requests)
	case "released":
		return strconv.Itoa(s.claimer.released)
	case "convicted":
		return strconv.Itoa(s.suspects.confirmed)
	case "took":
		return s.took.String()
	default:
		return "not a value"
	}
}
