package capacity_test

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/capacity"
)

// TestScripts runs the scenarios of testdata in virtual time. The first lines of each file
// describe the failure that it guards against.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios found: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			synctest.Test(t, func(t *testing.T) {
				s := &script{t: t, controller: capacity.New(time.Now), requests: map[string]*request{}}
				s.run(string(text))
			})
		})
	}
}

// request is a named request of a script.
type request struct {
	mu        sync.Mutex // a timer of the controller, and not the script, may end the wait
	permit    *capacity.Permit
	rejection capacity.Rejection
	done      bool
	cancel    context.CancelFunc
}

// script runs the commands of one scenario against a Controller.
type script struct {
	t          *testing.T
	controller *capacity.Controller
	requests   map[string]*request
	line       int
}

func (s *script) run(text string) {
	for i, line := range strings.Split(text, "\n") {
		s.line = i + 1
		line, _, _ = strings.Cut(line, "#")
		if f := strings.Fields(line); len(f) > 0 {
			s.step(f[0], f[1:])
		}
		synctest.Wait()
	}
	for _, r := range s.requests {
		r.cancel()
	}
	s.controller.Close()
}

// options splits words of the form key=value. Words without "=" get an empty value.
func options(words []string) map[string]string {
	m := make(map[string]string)
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		m[k] = v
	}
	return m
}

func (s *script) number(text string, fallback float64) float64 {
	if text == "" {
		return fallback
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	return x
}

func (s *script) time(text string, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	return d
}

func (s *script) step(command string, words []string) {
	o := options(words)
	switch command {
	case "open":
		s.controller.Open(capacity.Upstream{
			Slots: int(s.number(o["slots"], 1)), ColdUntil: time.Now().Add(s.time(o["cold"], 0)), WarmupRate: s.number(o["rate"], 0), WarmupBurst: s.number(o["burst"], 1),
		})
	case "rate":
		s.controller.SetRateLimit(s.number(o["limit"], 0), o["limit"] != "")
	case "close":
		s.controller.Close()
	case "speed":
		for range int(s.number(o["times"], 1)) {
			s.controller.ReportSlowdown(s.number(o["factor"], 1), int(s.number(o["running"], 0)))
			time.Sleep(s.time(o["every"], 0))
		}
	case "ended":
		for range int(s.number(o["times"], 1)) {
			s.controller.RecordResult(s.time(o["work"], 80*time.Millisecond), s.time(o["took"], 80*time.Millisecond), o["failed"] == "yes")
		}
	case "enter":
		s.enter(words[0], o)
	case "leave":
		for _, name := range words {
			if s.requests[name].permit == nil {
				s.t.Fatalf("line %d: %s is %s, want admitted", s.line, name, s.requests[name].state())
			}
			s.requests[name].permit.Release()
		}
	case "cancel":
		s.requests[words[0]].cancel()
	case "advance":
		time.Sleep(s.time(words[0], 0))
	case "expect":
		s.expect(o)
	default:
		s.t.Fatalf("line %d: unknown command %q", s.line, command)
	}
}

func (s *script) enter(name string, o map[string]string) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &request{cancel: cancel}
	s.requests[name] = r
	now := time.Now()
	req := &capacity.Request{
		ServiceTime: s.time(o["work"], 80*time.Millisecond), Priority: int(s.number(o["priority"], 0)),
		Objective: now.Add(s.time(o["objective"], 300*time.Millisecond)),
		Deadline:  now.Add(s.time(o["deadline"], time.Second)), AlternativeCost: s.number(o["elsewhere"], 0),
		Account: o["account"],
	}
	go func() {
		permit, rejection := s.controller.Acquire(ctx, req)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.permit, r.rejection, r.done = permit, rejection, true
	}()
}

func (s *script) expect(o map[string]string) {
	for name, want := range o {
		got := ""
		if request, ok := strings.CutSuffix(name, ".after"); ok {
			if got = s.requests[request].retryAfter().String(); got != want {
				s.t.Errorf("line %d: %s is %s, want %s", s.line, name, got, want)
			}
			continue
		}
		switch name {
		case "running":
			got = strconv.Itoa(s.controller.Load().Running)
		case "waiting":
			got = strconv.Itoa(s.controller.Load().Waiting)
		case "ratewait":
			got = s.controller.Load().RateWait.String()
		case "limit":
			got = strconv.Itoa(s.controller.Load().Slots)
		default:
			got = s.requests[name].state()
		}
		if got != want {
			s.t.Errorf("line %d: %s is %s, want %s", s.line, name, got, want)
		}
	}
}

func (r *request) retryAfter() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rejection.RetryAfter
}

func (r *request) state() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.done:
		return "waiting"
	case r.permit != nil:
		return "admitted"
	}
	return r.rejection.Reason.String()
}
