package selection_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/selection"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

type nodeSource struct{ nodes []mulberrylink.Node }

func (s *nodeSource) Nodes(string) []mulberrylink.Node { return s.nodes }

// random returns a seeded source of random bits that is safe for concurrent use.
func random(seed uint64) func() uint64 {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 0))
	return func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Uint64()
	}
}

// nodes returns n usable nodes, spread over the given number of failure domains
// d0, d1 and so on.
func nodes(n, domains int) []mulberrylink.Node {
	var out []mulberrylink.Node
	for i := range n {
		out = append(out, mulberrylink.Node{
			Name:     fmt.Sprintf("n%d", i),
			Domain:   fmt.Sprintf("d%d", i%domains),
			Service:  "registry",
			Upstream: mulberrylink.UpstreamUp,
			Slots:    6,
		})
	}
	return out
}

var request = &mulberrylink.Request{Service: "registry"}

// fixture is an adaptive policy with a clock and nodes that the test controls.
type fixture struct {
	selection.Policy
	clock  clock
	source nodeSource
}

func newFixture(ns []mulberrylink.Node, configure func(*selection.Config)) *fixture {
	f := &fixture{clock: clock{now: time.Unix(1000, 0)}, source: nodeSource{nodes: ns}}
	cfg := selection.Config{Clock: &f.clock, Rand: random(1), Nodes: &f.source}
	if configure != nil {
		configure(&cfg)
	}
	f.Policy = selection.NewPicker(cfg)
	return f
}

// succeed ends an attempt with status 200 and the given load.
func (f *fixture) succeed(node string, took time.Duration, l mulberrylink.Load) {
	res := mulberrylink.Result{Answer: &mulberrylink.Answer{Status: 200}, Load: l}
	f.Observe(node, res, took)
}

// countPicks picks n times, ends each attempt before the next, and counts the
// picks of each node.
func (f *fixture) countPicks(n int, took func(node string) time.Duration, load func(node string) mulberrylink.Load) map[string]int {
	counts := map[string]int{}
	for range n {
		node, ok := f.Pick(request, nil)
		if !ok {
			counts["none"]++
			continue
		}
		counts[node.Name]++
		f.succeed(node.Name, took(node.Name), load(node.Name))
		f.clock.now = f.clock.now.Add(5 * time.Millisecond)
	}
	return counts
}

func equalLatency(string) time.Duration { return 10 * time.Millisecond }

func idleLoad(string) mulberrylink.Load { return mulberrylink.Load{Limit: 6, Latency: 0.01} }
