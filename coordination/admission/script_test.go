package admission_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/admission"
)

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// TestScripts runs every scenario of testdata in virtual time. The first lines of each file state
// the failure that it guards against.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			synctest.Test(t, func(t *testing.T) { newScript(t).run(string(text)) })
		})
	}
}

// scriptRequest is a request of a script.
type scriptRequest struct {
	permit *admission.Permit
	reason mulberrylink.Reason
	ended  atomic.Bool // set after permit and reason
	cancel context.CancelFunc
}

type script struct {
	t        *testing.T
	gate     *admission.Gate
	requests map[string]*scriptRequest
}

func newScript(t *testing.T) *script {
	cfg := admission.Config{Clock: clock{}}
	return &script{t: t, gate: admission.New(cfg), requests: map[string]*scriptRequest{}}
}

func (s *script) run(text string) {
	for i, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if err := s.step(words[0], words[1:], parseArgs(words[1:])); err != nil {
			s.t.Fatalf("line %d: %s: %v", i+1, line, err)
		}
		synctest.Wait()
	}
	for _, req := range s.requests {
		req.cancel()
	}
	synctest.Wait()
}

func parseArgs(words []string) map[string]string {
	m := map[string]string{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		m[k] = v
	}
	return m
}

func (s *script) step(verb string, words []string, args map[string]string) error {
	switch verb {
	case "announce":
		s.gate.Announce(number(args["slots"]), number(args["conns"]), states[args["state"]], uint64(number(args["incarnation"])))
	case "down":
		s.gate.SetDown()
	case "ramp":
		s.gate.Ramp()
	case "block":
		s.gate.Block(reasons()[words[0]])
	case "advance":
		time.Sleep(duration(words[0]))
	case "enter":
		s.enter(words[0], args)
	case "cancel":
		s.requests[words[0]].cancel()
	case "sent":
		s.requests[words[0]].permit.Sent()
	case "responded":
		s.requests[words[0]].permit.Responded()
	case "done":
		s.requests[words[0]].permit.Done(admission.Completion{Class: classes[args["class"]]})
	case "probe":
		return s.probe(words[0])
	case "serve":
		return s.serve(number(args["n"]), number(args["at"]), duration(args["took"]))
	case "expect":
		return s.expect(words)
	default:
		return fmt.Errorf("unknown step")
	}
	return nil
}

func (s *script) enter(name string, args map[string]string) {
	r := &mulberrylink.Request{}
	if d, found := args["deadline"]; found {
		r.Deadline = time.Now().Add(duration(d))
	}
	if _, found := args["body"]; found {
		r.Length = -1
	}
	_, alone := args["alone"]
	ctx, cancel := context.WithCancel(context.Background())
	req := &scriptRequest{cancel: cancel}
	s.requests[name] = req
	go func() {
		req.permit, req.reason = s.gate.Acquire(ctx, r, alone)
		req.ended.Store(true)
	}()
}

func (s *script) probe(want string) error {
	p, ok := s.gate.AcquireProbe()
	if ok {
		defer p.Done(admission.Completion{Class: admission.Success})
	}
	if got := map[bool]string{true: "admitted", false: "refused"}[ok]; got != want {
		return fmt.Errorf("probe %s", got)
	}
	return nil
}

// serve completes n requests in batches of at most concurrency, each batch after
// serviceTime.
func (s *script) serve(n, concurrency int, serviceTime time.Duration) error {
	for n > 0 {
		var batch []*admission.Permit
		for range min(n, max(1, concurrency)) {
			p, reason := s.gate.Acquire(context.Background(), &mulberrylink.Request{}, false)
			if p == nil {
				return fmt.Errorf("rejected: %s", reason)
			}
			batch = append(batch, p)
		}
		time.Sleep(serviceTime)
		for _, p := range batch {
			p.Done(admission.Completion{})
			n--
		}
	}
	return nil
}

func (s *script) expect(words []string) error {
	l := s.gate.Load()
	for _, w := range words {
		k, want, _ := strings.Cut(w, "=")
		var got string
		switch k {
		case "limit":
			got = strconv.Itoa(l.Limit)
		case "inflight":
			got = strconv.Itoa(l.InFlight)
		case "queued":
			got = strconv.Itoa(l.Queued)
		case "cold":
			got = strconv.FormatBool(l.Cold)
		default:
			got = s.requests[k].String()
		}
		if got != want {
			return fmt.Errorf("%s is %s (load %+v)", k, got, l)
		}
	}
	return nil
}

func (r *scriptRequest) String() string {
	switch {
	case !r.ended.Load():
		return "waiting"
	case r.permit != nil:
		return "admitted"
	default:
		return r.reason.String()
	}
}

var states = map[string]mulberrylink.UpstreamState{
	"up":       mulberrylink.UpstreamUp,
	"cold":     mulberrylink.UpstreamCold,
	"draining": mulberrylink.UpstreamDraining,
}

var classes = map[string]admission.Class{
	"":         admission.Success,
	"failure":  admission.Failure,
	"shed":     admission.Shed,
	"refused":  admission.ConnectionRefused,
	"died":     admission.UpstreamDied,
	"canceled": admission.Canceled,
}

func reasons() map[string]mulberrylink.Reason {
	m := map[string]mulberrylink.Reason{}
	for _, r := range mulberrylink.Reasons() {
		m[r.String()] = r
	}
	return m
}

func number(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

func duration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		panic(err)
	}
	return d
}
