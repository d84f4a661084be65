package capacity_test

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/capacity"
)

// TestScripts runs every scenario of testdata in virtual time. Each file names
// the failure it guards against in its first lines.
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
			synctest.Test(t, func(t *testing.T) {
				s := &script{t: t, gate: capacity.New(time.Now), entries: map[string]*entry{}}
				s.run(string(text))
			})
		})
	}
}

// entry is a request of a script.
type entry struct {
	ticket  *capacity.Permit
	refusal capacity.Rejection
	ended   bool
	cancel  context.CancelFunc
}

type script struct {
	t       *testing.T
	gate    *capacity.Controller
	entries map[string]*entry
	line    int
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
	for _, e := range s.entries {
		e.cancel()
	}
	s.gate.Close()
}

// options splits words of the form key=value; words without a value get "".
func options(words []string) map[string]string {
	m := make(map[string]string)
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		m[k] = v
	}
	return m
}

func (s *script) number(text string, otherwise float64) float64 {
	if text == "" {
		return otherwise
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	return x
}

func (s *script) time(text string, otherwise time.Duration) time.Duration {
	if text == "" {
		return otherwise
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatalf("line %d: %v", s.line, err)
	}
	return d
}

func (s *script) step(verb string, words []string) {
	o := options(words)
	switch verb {
	case "open":
		s.gate.Open(capacity.Upstream{
			Slots: int(s.number(o["slots"], 1)), ColdUntil: time.Now().Add(s.time(o["cold"], 0)), WarmupRate: s.number(o["rate"], 0),
		})
	case "close":
		s.gate.Close()
	case "speed":
		for range int(s.number(o["times"], 1)) {
			s.gate.ReportSlowdown(s.number(o["factor"], 1), int(s.number(o["running"], 0)))
			time.Sleep(s.time(o["every"], 0))
		}
	case "ended":
		for range int(s.number(o["times"], 1)) {
			s.gate.RecordResult(s.time(o["work"], 80*time.Millisecond), s.time(o["took"], 80*time.Millisecond), o["failed"] == "yes")
		}
	case "enter":
		s.enter(words[0], o)
	case "leave":
		for _, name := range words {
			s.entries[name].ticket.Release()
		}
	case "cancel":
		s.entries[words[0]].cancel()
	case "advance":
		time.Sleep(s.time(words[0], 0))
	case "expect":
		s.expect(o)
	default:
		s.t.Fatalf("line %d: unknown step %q", s.line, verb)
	}
}

func (s *script) enter(name string, o map[string]string) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{cancel: cancel}
	s.entries[name] = e
	now := time.Now()
	ask := &capacity.Request{
		ServiceTime: s.time(o["work"], 80*time.Millisecond), Priority: int(s.number(o["priority"], 0)),
		Objective: now.Add(s.time(o["objective"], 300*time.Millisecond)),
		Deadline:  now.Add(s.time(o["deadline"], time.Second)), AlternativeCost: s.number(o["elsewhere"], 0),
	}
	go func() {
		e.ticket, e.refusal = s.gate.Acquire(ctx, ask)
		e.ended = true
	}()
}

func (s *script) expect(o map[string]string) {
	for name, want := range o {
		got := ""
		switch name {
		case "running":
			got = strconv.Itoa(s.gate.Load().Running)
		case "waiting":
			got = strconv.Itoa(s.gate.Load().Waiting)
		case "limit":
			got = strconv.Itoa(s.gate.Load().Slots)
		default:
			got = s.entries[name].state()
		}
		if got != want {
			s.t.Errorf("line %d: %s is %s, want %s", s.line, name, got, want)
		}
	}
}

func (e *entry) state() string {
	switch {
	case !e.ended:
		return "waiting"
	case e.ticket != nil:
		return "admitted"
	}
	return e.refusal.Reason.String()
}
