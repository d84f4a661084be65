package quota_test

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/quota"
)

// TestScripts runs the scenarios of testdata in virtual time. The first lines of each file describe the
// failure that it guards against. Each scenario ends with a check of the bound in every window.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios found: %v", err)
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(strings.TrimSuffix(filepath.Base(f), ".txt"), seed), func(t *testing.T) {
				s := &script{t: t, seed: seed / 2, windowed: seed%2 == 1}
				for i, line := range strings.Split(string(text), "\n") {
					s.line = i + 1
					line, _, _ = strings.Cut(line, "#")
					if f := strings.Fields(line); len(f) > 0 {
						s.step(f[0], f[1:])
					}
				}
				s.checkBound()
				t.Log(s.describe())
			})
		}
	}
}

// script runs the commands of one scenario.
type script struct {
	*model
	t    *testing.T
	seed uint64
	line int
	// windowed is true if the limits state the window of the bound.
	windowed bool
}

func (s *script) fatalf(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("line %d: %s", s.line, fmt.Sprintf(format, args...))
}

func (s *script) number(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.fatalf("%v", err)
	}
	return v
}

func (s *script) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.fatalf("%v", err)
	}
	return d
}

// step runs one command.
func (s *script) step(cmd string, words []string) {
	word := func(i int) string {
		if i >= len(words) {
			s.fatalf("%s needs more words", cmd)
		}
		return words[i]
	}
	switch cmd {
	case "deployment": // NODES ACCOUNTS RATE: accounts of different sizes, the largest one with RATE
		s.model = newModel(s.t, s.seed, int(s.number(word(0))), s.limits(int(s.number(word(1))), s.number(word(2))))
	case "load": // ACCOUNT FACTOR: demand as a multiple of the rate
		s.load[word(0)] = s.number(word(1))
	case "start":
		s.startLoad()
	case "run": // TIME
		s.run(s.duration(word(0)))
	case "near": // ACCOUNT FROM TO: the callers of the account use only these nodes
		s.near[word(0)] = [2]int{int(s.number(word(1))), int(s.number(word(2)))}
	case "lose-leader": // TIME: until another one leads
		s.leader.frozen = true
		s.leader = nil
		s.elect(s.duration(word(0)))
	case "freeze-leader": // TIME TIME: until another one leads, until the first one wakes
		old := s.leader
		old.frozen, s.leader = true, nil
		s.elect(s.duration(word(0)))
		s.after(s.duration(word(1)), old.wake)
	case "depose-leader": // another one leads at once, and the first one does not know it yet
		s.elect(0)
	case "restart-nodes": // FROM TO TIME: the nodes are down for the time
		for _, n := range s.nodes[int(s.number(word(0))):int(s.number(word(1)))] {
			s.restart(n, s.duration(word(2)))
		}
	case "lower": // ACCOUNT FACTOR
		s.lower(word(0), s.number(word(1)))
	case "expect-window-served": // ACCOUNT: it has got rate x window + burst in each window since the first one
		if s.windowed {
			s.checkServed(word(0))
		}
	case "expect-refused-below": // PART: of the requests within quota
		if f := s.shortfall(); f >= s.number(word(0)) {
			s.fatalf("%.5f of the requests within quota were refused", f)
		}
	case "expect-standby-above": // COUNT of requests that ran on a standby token
		n := 0
		for _, node := range s.nodes {
			n += int(node.cache.Counts().Standby)
		}
		if float64(n) <= s.number(word(0)) {
			s.fatalf("%d requests on standby tokens", n)
		}
	case "expect-late-below": // PART: of the refusals, that came only after a wait
		if f := float64(s.late) / float64(max(1, s.refused)); f >= s.number(word(0)) {
			s.fatalf("%.3f of the refused requests have waited", f)
		}
	case "expect-messages-below": // COUNT for each request that ran
		if f := float64(s.messages) / float64(s.totalRuns()); f >= s.number(word(0)) {
			s.fatalf("%.3f messages for each request", f)
		}
	case "expect-cached-above": // PART: of the requests
		if f := float64(s.cached) / float64(s.cached+s.waited); f <= s.number(word(0)) {
			s.fatalf("%.3f of the requests found a token in the cache", f)
		}
	default:
		s.fatalf("unknown command %q", cmd)
	}
}

// limits returns accounts of very different sizes: a few large ones, and many with less than one request a
// second over all nodes.
func (s *script) limits(n int, largest float64) map[string]quota.Limit {
	m := make(map[string]quota.Limit)
	for i := range n {
		rate := largest / math.Pow(float64(i+1), 1.2)
		l := quota.Limit{Rate: rate, Burst: rate}
		if s.windowed {
			l.Window = window
		}
		m[fmt.Sprintf("a%02d", i)] = l
	}
	return m
}
