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
// with "case" and the failure it guards against. Its steps are: "claim" and
// "try" for what the fakes answer, "budget", "verdict", "do" for the request,
// and "expect".
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
	s := &script{stand: newStand()}
	for _, line := range strings.Split(steps, "\n") {
		f := strings.Fields(line)
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		if err := s.step(f[0], f[1:]); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
	}
	synctest.Wait()
	for n, open := range s.picker.open {
		if open != 0 {
			t.Fatalf("%d tries on %s were never observed", open, n)
		}
	}
}

type script struct {
	*stand
	res  mulberrylink.Result
	took time.Duration
}

func (s *script) step(verb string, words []string) error {
	a := map[string]string{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		a[k] = v
	}
	switch verb {
	case "claim":
		for _, w := range words {
			s.claimer.states = append(s.claimer.states, claims[w])
		}
	case "nodes":
		s.picker.nodes = words
	case "try":
		s.try(words[0], a)
	case "budget":
		s.budget.left, _ = strconv.Atoi(a["left"])
		s.budget.hedge, _ = time.ParseDuration(a["hedge"])
	case "verdict":
		s.suspects.verdict = map[string]suspect.Verdict{"alone": suspect.Alone, "refuse": suspect.Refuse}[words[0]]
	case "do":
		s.do(a)
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

func (s *script) try(outcome string, a map[string]string) {
	t := step{status: 200}
	t.outcome = map[string]mulberrylink.Outcome{"notrun": mulberrylink.NotRun, "unknown": mulberrylink.Unknown}[outcome]
	for _, r := range mulberrylink.Reasons() {
		if r.String() == a["reason"] {
			t.reason = r
		}
	}
	t.after, _ = time.ParseDuration(a["after"])
	_, t.reads = a["reads"]
	_, t.stubborn = a["stubborn"]
	t.runs = t.outcome != mulberrylink.NotRun
	s.forwarder.steps = append(s.forwarder.steps, t)
}

func (s *script) do(a map[string]string) {
	r := &mulberrylink.Request{ID: "r1", Service: "registry", Deadline: time.Now().Add(time.Second)}
	_, r.Idempotent = a["idempotent"]
	_, r.Keyed = a["keyed"]
	r.Key = a["key"]
	r.Depth, _ = strconv.Atoi(a["depth"])
	r.Tries, _ = strconv.Atoi(a["tries"])
	if text, found := a["stream"]; found {
		r.Body = strings.NewReader(text)
	}
	if text, found := a["body"]; found {
		r.Body = strings.NewReader(text)
		r.Replay = func() (io.Reader, error) { return strings.NewReader(text), nil }
	}
	ctx := context.Background()
	if d, found := a["cancel"]; found {
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
		k, want, _ := strings.Cut(w, "=")
		if got := s.value(k); got != want {
			return fmt.Errorf("%s is %s", k, got)
		}
	}
	return nil
}

func (s *script) value(k string) string {
	f := &s.forwarder
	switch k {
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
		return strconv.Itoa(f.closed)
	case "asked":
		return strconv.Itoa(s.claimer.asked)
	case "released":
		return strconv.Itoa(s.claimer.released)
	case "convicted":
		return strconv.Itoa(s.suspects.convicted)
	case "took":
		return s.took.String()
	default:
		return "not a value"
	}
}
