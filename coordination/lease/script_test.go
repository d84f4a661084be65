package lease_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/lease"
)

// manualClock is a clock that the scripts set.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

// TestScripts runs the scenarios of testdata. The first lines of each file describe the failure that
// it guards against. A line is a reading of the clock, a command and its argument: "renew PROBE",
// "refused PROBE" for a renewal without effect, "valid yes|no", or "event NAME" for the result of Check.
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
			clock := &manualClock{}
			l := lease.New(lease.Config{Bound: 5 * time.Second, Clock: clock})
			for i, line := range strings.Split(string(text), "\n") {
				line, _, _ = strings.Cut(line, "#")
				if f := strings.Fields(line); len(f) == 3 {
					clock.now = parse(t, f[0])
					step(t, l, i+1, f[1], f[2])
				} else if len(f) > 0 {
					t.Fatalf("line %d: want a time, a command and an argument", i+1)
				}
			}
		})
	}
}

func step(t *testing.T, l *lease.Lease, line int, command, arg string) {
	t.Helper()
	got := ""
	switch command {
	case "renew", "refused":
		got = "refused " + arg
		if l.Renew(parse(t, arg)) {
			got = "renew " + arg
		}
	case "valid":
		got = "valid no"
		if l.Valid() {
			got = "valid yes"
		}
	case "event":
		got = "event " + l.Check().String()
	}
	if want := command + " " + arg; got != want {
		t.Fatalf("line %d: got %s, want %s", line, got, want)
	}
}

func parse(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
