package selection_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/selection"
)

// TestOwnFirst guards against needless hops, and against a queue at the own
// upstream while another one has a free slot.
func TestOwnFirst(t *testing.T) {
	is := is.New(t)
	load := mulberrylink.Load{InFlight: 5, Limit: 6}
	b := newBed(nodes(4, 4), func(c *selection.Config) {
		c.Self, c.Domain = "n0", "d0"
		c.LocalLoad = func() mulberrylink.Load { return load }
	})
	n, _ := b.Pick(request, nil)
	is.Equal(n.Name, "n0")
	load.InFlight = 6
	n, _ = b.Pick(request, nil)
	is.True(n.Name != "n0")
}

// TestDomain guards against traffic between failure domains without need, and
// against local preference that defeats the balance.
func TestDomain(t *testing.T) {
	is := is.New(t)
	b := newBed(nodes(4, 2), func(c *selection.Config) { c.Domain = "d0" })
	count := b.share(100, evenly, idle)
	is.Equal(count["n0"]+count["n2"], 100)
	near := func(inFlight int) {
		b.ReportLoad("n0", mulberrylink.Load{InFlight: inFlight, Limit: 6})
		b.ReportLoad("n2", mulberrylink.Load{InFlight: inFlight, Limit: 6})
	}
	near(1)
	n, _ := b.Pick(request, nil)
	is.Equal(n.Domain, "d0")
	near(6)
	n, _ = b.Pick(request, nil)
	is.Equal(n.Domain, "d1")
}

// TestCold guards against more work for a cold upstream than its limit allows,
// and against an upstream that never gets the work it needs to warm up.
func TestCold(t *testing.T) {
	is := is.New(t)
	b := newBed(nodes(5, 1), func(c *selection.Config) { c.Domain = "d0" })
	count := b.share(2000, evenly, func(node string) mulberrylink.Load {
		if node == "n0" {
			return mulberrylink.Load{Limit: 1, Cold: true}
		}
		return mulberrylink.Load{Limit: 6}
	})
	fair := 2000 * 1 / 25 // its share of all limits
	is.True(count["n0"] > fair/4 && count["n0"] < 2*fair)
}

// TestTried guards against asking a node twice for one request, and against a
// loop when all have refused.
func TestTried(t *testing.T) {
	for _, name := range selection.PolicyNames() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBed(nodes(5, 2), nil)
			p, err := selection.New(name, selection.Config{Clock: &b.clock, Rand: random(1), Nodes: &b.source})
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

// TestEjection guards against an upstream that fails fast and so attracts all
// work, against ejecting too many, and against full load on the first return.
func TestEjection(t *testing.T) {
	is := is.New(t)
	b := newBed(nodes(5, 1), nil)
	fail := func(node string) {
		b.Observe(node, mulberrylink.Result{Answer: &mulberrylink.Answer{Status: 500}, Load: mulberrylink.Load{Limit: 6}}, time.Millisecond)
	}
	b.share(50, evenly, idle)
	for range 3 {
		fail("n0")
		fail("n1") // one of five is the cap
	}
	count := b.share(50, evenly, idle)
	is.Equal(count["n0"], 0)
	is.True(count["n1"] > 0)

	b.clock.now = b.clock.now.Add(time.Second)
	trial := 0
	for range 30 { // none of them ends
		if n, _ := b.Pick(request, nil); n.Name == "n0" {
			trial++
		}
	}
	is.Equal(trial, 1)
	fail("n0")
	b.clock.now = b.clock.now.Add(900 * time.Millisecond) // the second ejection takes 1 s
	is.Equal(b.share(10, evenly, idle)["n0"], 0)
}

// TestSlow guards against an upstream that answers late, and against one that
// is never tried again after it was slow.
func TestSlow(t *testing.T) {
	is := is.New(t)
	b := newBed(nodes(5, 1), nil)
	b.share(200, evenly, idle)
	slow := func(node string) time.Duration {
		if node == "n0" {
			return 40 * time.Millisecond // too little for an ejection
		}
		return evenly(node)
	}
	count := b.share(1000, slow, idle)
	is.True(count["n0"] < 100) // a fair share is 200
	is.True(count["n0"] > 0)
}

// TestSlowUnderOverload guards against work for a slow upstream when the others
// have queues, so that their tries take longer than those of the slow one.
func TestSlowUnderOverload(t *testing.T) {
	b := newBed(nodes(5, 1), nil)
	b.share(200, evenly, idle)
	took := func(node string) time.Duration {
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
	count := b.share(1000, took, load)
	is.New(t).True(count["n0"] < 41) // its share of all limits is 40, of the capacity 5
}

// TestLatencyOutlier guards against work for an upstream far above the median
// when the others are full.
func TestLatencyOutlier(t *testing.T) {
	is := is.New(t)
	b := newBed(nodes(5, 1), nil)
	b.share(200, evenly, idle)
	for range 5 {
		b.answer("n0", 100*time.Millisecond, idle("n0"))
	}
	for _, n := range []string{"n1", "n2", "n3", "n4"} {
		b.ReportLoad(n, mulberrylink.Load{InFlight: 30, Limit: 6})
	}
	for range 20 {
		n, _ := b.Pick(request, nil)
		is.True(n.Name != "n0")
	}
}

// TestClosed guards against sending work to a node that has just refused it as
// draining, before its peers say so.
func TestClosed(t *testing.T) {
	is := is.New(t)
	b := newBed(nodes(3, 1), nil)
	b.Pick(request, []string{"n1", "n2"})
	b.Observe("n0", mulberrylink.Result{
		Outcome: mulberrylink.NotRun, Reason: mulberrylink.ReasonDraining, Load: mulberrylink.Load{At: b.clock.now},
	}, time.Millisecond)
	is.Equal(b.share(40, evenly, idle)["n0"], 0)
	b.clock.now = b.clock.now.Add(300 * time.Millisecond) // the report is dropped
	is.True(b.share(40, evenly, idle)["n0"] > 0)
}

// TestAlone guards against twins of one suspect on two upstreams at once.
func TestAlone(t *testing.T) {
	is := is.New(t)
	r := &mulberrylink.Request{Service: "registry", Print: 42}
	var first string
	for i, self := range []string{"n0", "n3", "n7"} {
		b := newBed(nodes(9, 3), func(c *selection.Config) {
			c.Self, c.Domain, c.Rand = self, "d1", random(uint64(i))
		})
		n, ok := b.PickAlone(r, nil)
		is.True(ok)
		if first == "" {
			first = n.Name
		}
		is.Equal(n.Name, first)
	}
}

// TestSubset guards against entry nodes that each know the whole of a large
// service, against subsets that change with every node, and against a subset
// without some failure domain.
func TestSubset(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := nodes(rapid.IntRange(40, 80).Draw(rt, "n"), 4)
		gone := rapid.IntRange(0, len(all)-1).Draw(rt, "gone")
		reach := func(ns []mulberrylink.Node) map[string]string {
			b := newBed(ns, func(c *selection.Config) {
				c.Self, c.Domain = "entry", "d1"
				c.Settings = func(string) selection.Settings { return selection.Settings{SubsetSize: 12} }
			})
			seen, tried := map[string]string{}, []string{}
			for n, ok := b.Pick(request, tried); ok; n, ok = b.Pick(request, tried) {
				seen[n.Name] = n.Domain
				tried = append(tried, n.Name)
			}
			return seen
		}
		before := reach(all)
		after := reach(append(append([]mulberrylink.Node(nil), all[:gone]...), all[gone+1:]...))
		if len(before) != 12 || len(after) != 12 {
			rt.Fatalf("%d and %d nodes", len(before), len(after))
		}
		domains, moved := map[string]bool{}, 0
		for n, d := range before {
			domains[d] = true
			if _, kept := after[n]; !kept {
				moved++
			}
		}
		if len(domains) != 4 || moved > 1 {
			rt.Fatalf("%d domains, %d nodes replaced", len(domains), moved)
		}
	})
}

// TestProbes guards against probes above the budget that all entry nodes share.
func TestProbes(t *testing.T) {
	is := is.New(t)
	b := newBed(nodes(5, 1), func(c *selection.Config) {
		c.Settings = func(string) selection.Settings { return selection.Settings{ProbesPerSecond: 10} }
		c.EntryNodes = func() int { return 5 }
	})
	is.Equal(len(b.ProbeTargets(b.clock.now)), 0) // the service is not in use
	count := map[string]int{}
	for range 1000 {
		if n, ok := b.Pick(request, nil); ok {
			b.Observe(n.Name, mulberrylink.Result{Reason: mulberrylink.ReasonCanceled}, 0)
		}
		for _, n := range b.ProbeTargets(b.clock.now) {
			count[n]++
		}
		b.clock.now = b.clock.now.Add(10 * time.Millisecond)
	}
	for n, c := range count {
		if c > 21 { // 10 s at 10/5 a second, and one at the start
			t.Fatalf("%d probes of %s", c, n)
		}
	}
	is.Equal(len(count), 5)
	for i := range 5 {
		b.ReportLoad(nodes(5, 1)[i].Name, mulberrylink.Load{Limit: 6})
	}
	b.clock.now = b.clock.now.Add(10 * time.Millisecond)
	is.Equal(len(b.ProbeTargets(b.clock.now)), 0) // fresh reports are not renewed
}
