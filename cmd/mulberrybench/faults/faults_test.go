package faults

import (
	"bufio"
	"context"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/load"
)

// testPortOffset avoids the ports that the faults command uses.
const testPortOffset = 9000

// testedScenarios holds the scenarios that run with the tests; mulberrybench faults runs all.
var testedScenarios = []string{"2-pair-entry-leader", "4-leave", "5-domain-cut", "6-crasher"}

// Guards against duplicate executions and false outcomes when real processes are killed, drained,
// cut off or crashed.
func TestScenarios(t *testing.T) {
	bin := buildPrograms(t)
	all, err := Embedded()
	is.New(t).NoErr(err)
	for _, name := range testedScenarios {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, s := range all {
				if s.Name != name {
					continue
				}
				var out strings.Builder
				err := Run(t.Context(), &out, Options{Bin: bin, Config: "../../../config", Run: t.TempDir(), PortOffset: testPortOffset}, s)
				t.Log(out.String())
				is.NoErr(err)
				return
			}
			t.Fatal("no such scenario")
		})
	}
}

// buildPrograms builds the programs without the race detector. With it, the thirteen processes on
// one machine would be too slow for their timeouts.
func buildPrograms(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	for _, p := range []string{"mulberrynode", "mulberrycontrol", "mulberryctl", "mulberrybench"} {
		cmd := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(bin, p), ".")
		cmd.Dir = filepath.Join("../..", p)
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", p, err, out)
		}
	}
	return bin
}

// Guards against accepting a mistyped scenario that then checks nothing.
func TestParseErrors(t *testing.T) {
	for text, want := range map[string]string{
		"load rate=1 for=1s\nexpect deathz<=1":                   `x.txt:2: unknown expectation "deathz<=1"`,
		"load rate=1 for=1s\nat 1s kil a":                        `x.txt:2: unknown verb "kil"`,
		"load rate=1 for=1s\nat 1s kill":                         `a step has the form`,
		"load rate=9999 for=1s":                                  `rate must be from 0 to 2000`,
		"load rate=1 for=1s\nexpect quiet d2 within 3s":          `has the form`,
		"load rate=1 for=1s\nexpect quiet d2 within 3s after 2s": `no step at 2s`,
		"expect wrong=0":                                         `no load`,
		"lod rate=1":                                             `unknown statement "lod"`,
	} {
		_, err := Parse("x.txt", text)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %s", text, err, want)
		}
	}
}

// Guards against a timing check that passes although executions started too late or never, and
// against a threshold that accepts a value beyond it.
func TestTimingChecksAndThresholds(t *testing.T) {
	is := is.New(t)
	s, err := Parse("x.txt", "load rate=1 for=9s\nat 1s kill a\nexpect quiet keyed within 1s after 1s\nexpect work keyed within 1s after 1s\nexpect deaths<=2 falls=0 answered>=0.5")
	is.NoErr(err)
	begin := time.Now()
	r := &run{scenario: s, out: &strings.Builder{}, stepDone: map[time.Duration]time.Time{time.Second: begin.Add(time.Second)}}
	entriesAt := func(at ...time.Duration) (all []journal.Entry) {
		for _, d := range at {
			all = append(all, journal.Entry{Time: begin.Add(d), Key: "k"})
		}
		return all
	}
	quiet, work := s.TimingChecks[0], s.TimingChecks[1]
	is.NoErr(r.checkTiming(quiet, entriesAt(time.Second/2, 3*time.Second/2), begin))
	is.True(r.checkTiming(quiet, entriesAt(time.Second/2, 3*time.Second), begin) != nil) // too late
	is.True(r.checkTiming(quiet, nil, begin) != nil)                                     // no execution before the step
	is.NoErr(r.checkTiming(work, entriesAt(3*time.Second/2), begin))
	is.True(r.checkTiming(work, entriesAt(time.Second/2, 3*time.Second), begin) != nil) // too late
	is.True(s.Thresholds[0].holds(2) && !s.Thresholds[0].holds(3))
	is.True(s.Thresholds[1].holds(0) && !s.Thresholds[1].holds(1))
	is.True(s.Thresholds[2].holds(0.5) && !s.Thresholds[2].holds(0.4))
}

// Guards against counting a resent request as unknown although a later attempt was answered,
// against shares over the wrong routes, and against shares that include requests lost by a frozen
// entry node.
func TestOutcomes(t *testing.T) {
	is := is.New(t)
	rep := &load.Report{Routes: []load.RouteReport{{}, {Route: load.Route{Keyed: true}}}}
	addCall := func(route int, attempts ...load.Attempt) {
		rep.Calls = append(rep.Calls, load.Call{Arrival: load.Arrival{Route: route}, Attempts: attempts})
	}
	addCall(0, load.Attempt{Outcome: load.Answered})
	addCall(1, load.Attempt{Outcome: load.Unknown}, load.Attempt{Outcome: load.Answered})
	addCall(1, load.Attempt{Outcome: load.NotRun, Reason: "noquorum"})
	addCall(0, load.Attempt{Outcome: load.Failed})
	addCall(0, load.Attempt{Outcome: load.Unknown, Reason: "broken", EntryAddr: "frozen"})
	addCall(0, load.Attempt{Outcome: load.Answered, EntryAddr: "frozen"})
	f := outcomeFigures(rep, map[string]bool{"frozen": true})
	is.Equal(f["entrylost"], 1.0)
	is.Equal(f["answered"], 0.6)
	is.Equal(f["lookups"], 2.0/3)
	is.Equal(f["keyed"], 0.5)
	is.Equal(f["notrun.noquorum"], 1.0)
	is.Equal(f["failed"], 1.0)
	is.Equal(f["unknown"], 0.0)
}

// Guards against a load with too few keyed requests in flight when a fault occurs.
func TestKeyedShare(t *testing.T) {
	is := is.New(t)
	weight := map[string]float64{"registry": 750, "archive": 600}
	keyed, all := 0.0, 0.0
	for _, m := range keyedShare(load.Mix(weight), 0.7) {
		all += m.Weight
		if m.Keyed {
			keyed += m.Weight
		}
	}
	is.True(keyed/all > 0.699 && keyed/all < 0.701)
}

// Guards against a relay that forwards bytes while it is cut, or loses the bytes it held back.
func TestRelayCut(t *testing.T) {
	is := is.New(t)
	var lc net.ListenConfig
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	got := make(chan string, 2)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		lines := bufio.NewScanner(c)
		for lines.Scan() {
			got <- lines.Text()
		}
	}()
	relay, err := newRelay(context.WithoutCancel(t.Context()), ln.Addr().String())
	is.NoErr(err)
	defer relay.close()
	var d net.Dialer
	c, err := d.DialContext(t.Context(), "tcp", relay.addr())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("one\n"))
	is.NoErr(err)
	is.Equal(<-got, "one")
	relay.cut()
	_, err = c.Write([]byte("two\n"))
	is.NoErr(err)
	select {
	case text := <-got:
		t.Fatalf("forwarded %q while cut", text)
	case <-time.After(100 * time.Millisecond):
	}
	relay.heal()
	is.Equal(<-got, "two")
}
