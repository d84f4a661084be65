package selection_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/selection"
)

// TestOwnFirst guards against forwarding while the entry node's own upstream has
// a free slot, and against queueing at it while another upstream has one.
func TestOwnFirst(t *testing.T) {
	is := is.New(t)
	load := mulberrylink.Load{InFlight: 5, Limit: 6}
	f := newFixture(nodes(4, 4), func(c *selection.Config) {
		c.Self, c.Domain = "n0", "d0"
		c.LocalLoad = func() mulberrylink.Load { return load }
	})
	n, _ := f.Pick(request, nil)
	is.Equal(n.Name, "n0")
	load.InFlight = 6
	n, _ = f.Pick(request, nil)
	is.True(n.Name != "n0")
}

// TestDomain guards against traffic to another failure domain while the nodes of
// the own one are lightly loaded, and against staying in it when they are full.
func TestDomain(t *testing.T) {
	is := is.New(t)
	f := newFixture(nodes(4, 2), func(c *selection.Config) { c.Domain = "d0" })
	count := f.countPicks(100, equalLatency, idleLoad)
	is.Equal(count["n0"]+count["n2"], 100)
	reportLocal := func(inFlight int) {
		f.ReportLoad("n0", mulberrylink.Load{InFlight: inFlight, Limit: 6})
		f.ReportLoad("n2", mulberrylink.Load{InFlight: inFlight, Limit: 6})
	}
	reportLocal(1)
	n, _ := f.Pick(request, nil)
	is.Equal(n.Domain, "d0")
	reportLocal(6)
	n, _ = f.Pick(request, nil)
	is.Equal(n.Domain, "d1")
}

// TestCold guards against a cold upstream that gets much more than the share of
// its limit, and against one that gets too few requests to warm up.
func TestCold(t *testing.T) {
	is := is.New(t)
	f := newFixture(nodes(5, 1), func(c *selection.Config) { c.Domain = "d0" })
	count := f.countPicks(2000, equalLatency, func(node string) mulberrylink.Load {
		if node == "n0" {
			return mulberrylink.Load{Limit: 1, Cold: true}
		}
		return mulberrylink.Load{Limit: 6}
	})
	fairShare := 2000 * 1 / 25 // in proportion to the limits, 1 of 1+4*6
	is.True(count["n0"] > fairShare/4 && count["n0"] < 2*fairShare)
}

// TestTried guards against choosing a node twice for one request, and against a
// pick when all nodes have been tried.
func TestTried(t *testing.T) {
	for _, name := range selection.PolicyNames() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(nodes(5, 2), nil)
			p, err := selection.New(name, selection.Config{Clock: &f.clock, Rand: random(1), Nodes: &f.source})
			is.NoErr(err)
			var tried []string
			for range 5 {
				n, ok := p.Pick(request, tried)
				is.True(ok)
				tried = append(tried, n.Name)
			}
			_, ok := p.Pick(request, tried)
			is.True(!ok)
			seen := map[string]bool{}
			for _, n := range tried {
				seen[n] = true
			}
			is.Equal(len(seen), 5)
		})
	}
}

// TestEjection guards against an upstream that attracts requests because it
// fails fast, against ejections above the cap, and against more than one trial
// request to a node whose ejection has ended.
func TestEjection(t *testing.T) {
	is := is.New(t)
	f := newFixture(nodes(5, 1), nil)
	fail := func(node string) {
		f.Observe(node, mulberrylink.Result{Answer: &mulberrylink.Answer{Status: 500}, Load: mulberrylink.Load{Limit: 6}}, time.Millisecond)
	}
	f.countPicks(50, equalLatency, idleLoad)
	for range 3 {
		fail("n0")
		fail("n1") // not ejected: the cap of 20% is one of five
	}
	count := f.countPicks(50, equalLatency, idleLoad)
	is.Equal(count["n0"], 0)
	is.True(count["n1"] > 0)

	f.clock.now = f.clock.now.Add(time.Second)
	trials := 0
	for range 30 { // none of the requests ends
		if n, _ := f.Pick(request, nil); n.Name == "n0" {
			trials++
		}
	}
	is.Equal(trials, 1)
	fail("n0")
	f.clock.now = f.clock.now.Add(900 * time.Millisecond) // the second ejection takes 1 s
	is.Equal(f.countPicks(10, equalLatency, idleLoad)["n0"], 0)
}

// TestSlow guards against a full share of requests for a slow upstream, and
// against never choosing a slow upstream again.
func TestSlow(t *testing.T) {
	is := is.New(t)
	f := newFixture(nodes(5, 1), nil)
	f.countPicks(200, equalLatency, idleLoad)
	latency := func(node string) time.Duration {
		if node == "n0" {
			return 40 * time.Millisecond // below five times the median: no ejection
		}
		return equalLatency(node)
	}
	count := f.countPicks(1000, latency, idleLoad)
	is.True(count["n0"] < 100) // a fair share is 200
	is.True(count["n0"] > 0)
}

// TestSlowUnderOverload guards against preferring a slow upstream when the
// others have queues and attempts there take longer because of the queueing.
func TestSlowUnderOverload(t *testing.T) {
	f := newFixture(nodes(5, 1), nil)
	f.countPicks(200, equalLatency, idleLoad)
	latency := func(node string) time.Duration {
		if node == "n0" {
			return 80 * time.Millisecond
		}
		return 100 * time.Millisecond
	}
	load := func(node string) mulberrylink.Load {
		if node == "n0" {
			return mulberrylink.Load{InFlight: 1, Limit: 1, Latency: 0.08}
		}
		return mulberrylink.Load{InFlight: 6, Queued: 20, Limit: 6, Latency: 0.01}
	}
	count := f.countPicks(1000, latency, load)
	is.New(t).True(count["n0"] < 41) // its share of all limits is 40, its share of the capacity 5
}

// TestLatencyOutlier guards against choosing an upstream that was ejected for
// its latency when the others are full.
func TestLatencyOutlier(t *testing.T) {
	is := is.New(t)
	f := newFixture(nodes(5, 1), nil)
	f.countPicks(200, equalLatency, idleLoad)
	for range 5 {
		f.succeed("n0", 100*time.Millisecond, idleLoad("n0"))
	}
	for _, n := range []string{"n1", "n2", "n3", "n4"} {
		f.ReportLoad(n, mulberrylink.Load{InFlight: 30, Limit: 6})
	}
	for range 20 {
		n, _ := f.Pick(request, nil)
		is.True(n.Name != "n0")
	}
}

// TestClosed guards against choosing a node that has just rejected a request as
// draining, before the node group reports the new state.
func TestClosed(t *testing.T) {
	is := is.New(t)
	f := newFixture(nodes(3, 1), nil)
	f.Pick(request, []string{"n1", "n2"})
	f.Observe("n0", mulberrylink.Result{
		Outcome: mulberrylink.NotRun, Reason: mulberrylink.ReasonDraining, Load: mulberrylink.Load{At: f.clock.now},
	}, time.Millisecond)
	is.Equal(f.countPicks(40, equalLatency, idleLoad)["n0"], 0)
	f.clock.now = f.clock.now.Add(300 * time.Millisecond) // past closedTime of 250 ms
	is.True(f.countPicks(40, equalLatency, idleLoad)["n0"] > 0)
}

// TestAlone guards against entry nodes that choose different nodes for requests
// with the same fingerprint: such requests could then run at the same time.
func TestAlone(t *testing.T) {
	is := is.New(t)
	r := &mulberrylink.Request{Service: "registry", Fingerprint: 42}
	var first string
	for i, self := range []string{"n0", "n3", "n7"} {
		f := newFixture(nodes(9, 3), func(c *selection.Config) {
			c.Self, c.Domain, c.Rand = self, "d1", random(uint64(i))
		})
		n, ok := f.PickAlone(r, nil)
		is.True(ok)
		if first == "" {
			first = n.Name
		}
		is.Equal(n.Name, first)
	}
}

// TestSubset guards against subsets above the configured size, against subsets
// that lose more than one node when one node is removed, and against subsets
// that leave out a failure domain.
func TestSubset(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := nodes(rapid.IntRange(40, 80).Draw(rt, "n"), 4)
		removed := rapid.IntRange(0, len(all)-1).Draw(rt, "removed")
		reachable := func(ns []mulberrylink.Node) map[string]string {
			f := newFixture(ns, func(c *selection.Config) {
				c.Self, c.Domain = "entry", "d1"
				c.Settings = func(string) selection.Settings { return selection.Settings{SubsetSize: 12} }
			})
			domains, tried := map[string]string{}, []string{}
			for n, ok := f.Pick(request, tried); ok; n, ok = f.Pick(request, tried) {
				domains[n.Name] = n.Domain
				tried = append(tried, n.Name)
			}
			return domains
		}
		before := reachable(all)
		after := reachable(append(append([]mulberrylink.Node(nil), all[:removed]...), all[removed+1:]...))
		if len(before) != 12 || len(after) != 12 {
			rt.Fatalf("%d and %d nodes", len(before), len(after))
		}
		domains, replaced := map[string]bool{}, 0
		for n, d := range before {
			domains[d] = true
			if _, kept := after[n]; !kept {
				replaced++
			}
		}
		if len(domains) != 4 || replaced > 1 {
			rt.Fatalf("%d domains, %d nodes replaced", len(domains), replaced)
		}
	})
}

// TestProbes guards against more probes than this entry node's share of the
// probe budget, and against probes of nodes with a fresh report.
func TestProbes(t *testing.T) {
	is := is.New(t)
	f := newFixture(nodes(5, 1), func(c *selection.Config) {
		c.Settings = func(string) selection.Settings { return selection.Settings{ProbesPerSecond: 10} }
		c.EntryNodes = func() int { return 5 }
	})
	is.Equal(len(f.ProbeTargets(f.clock.now)), 0) // the service is not in use
	count := map[string]int{}
	for range 1000 {
		if n, ok := f.Pick(request, nil); ok {
			f.Observe(n.Name, mulberrylink.Result{Reason: mulberrylink.ReasonCanceled}, 0)
		}
		for _, n := range f.ProbeTargets(f.clock.now) {
			count[n]++
		}
		f.clock.now = f.clock.now.Add(10 * time.Millisecond)
	}
	for n, c := range count {
		if c > 21 { // 10 s at 10/5 probes a second, and one at the start
			t.Fatalf("%d probes of %s", c, n)
		}
	}
	is.Equal(len(count), 5)
	for i := range 5 {
		f.ReportLoad(nodes(5, 1)[i].Name, mulberrylink.Load{Limit: 6})
	}
	f.clock.now = f.clock.now.Add(10 * time.Millisecond)
	is.Equal(len(f.ProbeTargets(f.clock.now)), 0) // all reports are fresh
}
