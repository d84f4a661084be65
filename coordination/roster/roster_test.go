package roster_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/roster"
)

// TestCases runs the cases of testdata/cases.txt. Each line has the members, the hosts that ask to
// join and the expected action. The comments name the failure that each group of cases guards
// against.
func TestCases(t *testing.T) {
	data, err := os.ReadFile("testdata/cases.txt")
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(string(data), "\n") {
		line, _, _ = strings.Cut(line, "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		left, want, ok := strings.Cut(line, "->")
		members, joiners, ok2 := strings.Cut(left, "|")
		if !ok || !ok2 {
			t.Fatalf("line %d: want MEMBERS | JOINERS -> ACTION", i+1)
		}
		now := time.Now()
		a := roster.Next(parseMembers(t, members, now), parseJoiners(t, joiners), 5, now)
		got := a.Kind.String()
		if a.Kind != roster.None {
			got = fmt.Sprintf("%s %d %s", a.Kind, a.ID, a.Cause)
			if a.Successor != 0 {
				got += fmt.Sprintf(" by %d", a.Successor)
			}
		}
		if got != strings.TrimSpace(want) {
			t.Errorf("line %d: %s, want %s", i+1, got, strings.TrimSpace(want))
		}
	}
}

// parseMembers parses words such as 1@a, 2@b+learner or 3@c+silent=3s.
func parseMembers(t *testing.T, text string, now time.Time) (all []roster.Member) {
	for _, w := range strings.Fields(text) {
		parts := strings.Split(w, "+")
		id, addr := parseHost(t, parts[0])
		m := roster.Member{ID: id, Addr: addr}
		for _, p := range parts[1:] {
			if p == "learner" || p == "connected" {
				m.Learner, m.Connected = m.Learner || p == "learner", m.Connected || p == "connected"
				continue
			}
			d, err := time.ParseDuration(strings.TrimPrefix(p, "silent="))
			if err != nil {
				t.Fatal(err)
			}
			m.UnresponsiveSince = now.Add(-d)
		}
		all = append(all, m)
	}
	return all
}

func parseJoiners(t *testing.T, text string) (all []roster.Joiner) {
	for _, w := range strings.Fields(text) {
		id, addr := parseHost(t, w)
		all = append(all, roster.Joiner{ID: id, Addr: addr})
	}
	return all
}

func parseHost(t *testing.T, text string) (uint64, string) {
	n, addr, _ := strings.Cut(text, "@")
	id, err := strconv.ParseUint(n, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return id, addr
}
