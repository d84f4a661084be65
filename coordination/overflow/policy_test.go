package overflow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/overflow"
)

// everywhere is a deployment that has an upstream to try in each domain.
func everywhere(string) bool { return true }

// newPolicy returns a Policy of domain a, of which b and c have the given room each, in slots. Every
// random draw is 0.5.
func newPolicy(now time.Time, room float64) *overflow.Policy {
	p := overflow.New(overflow.Config{Domain: "a", LinkBytesPerSecond: 500_000, Random: func() float64 { return 0.5 }})
	sites := []overflow.Site{{Domain: "a", Nodes: 10, Upstreams: 10, Slots: 40}, {Domain: "b", Nodes: 10, Upstreams: 10, Slots: 40}, {Domain: "c", Nodes: 10, Upstreams: 10, Slots: 40}}
	p.SetSites("desk", sites, now)
	if room >= 0 {
		for _, d := range []string{"b", "c"} {
			p.Merge("desk", []overflow.Estimate{{Domain: d, Usable: 40, Used: 28 - room, Demand: 28 - room}}, now)
		}
	}
	return p
}

// leavers returns how many of n requests that the own domain rejects leave it.
func leavers(p *overflow.Policy, n int, now time.Time) (left int) {
	for range n {
		routing := p.Begin("desk", overflow.Request{Work: 100 * time.Millisecond, SizeKiB: 4, Value: 1}, now)
		for range maxPlacements {
			step, ok := routing.Next(overflow.Shortage, everywhere, now)
			if !ok {
				break
			}
			if step.Out {
				left++
				break
			}
			routing.Rejected("a", false, now)
		}
	}
	return left
}

// Guards against requests that leave beyond the room of the others, and against a node that sends all its
// requests to domains of which it knows nothing.
func TestRoomLimitsRequestsThatLeave(t *testing.T) {
	for _, c := range []struct {
		name     string
		room     float64
		min, max int
	}{
		{"no room", 0, 0, 0},
		// This node has all of the demand that it knows of: 10 slots in two domains are 100 requests of
		// 100 ms within the memory of a second.
		{"room", 5, 90, 110},
		// Four requests may ask at each of two domains.
		{"unknown", -1, 8, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			left := leavers(newPolicy(now, c.room), 400, now)
			is.True(left >= c.min && left <= c.max) // requests that leave
		})
	}
}

// Guards against a third domain that is tried, against a second try in a domain that is short, and against
// a request that does not return to its own domain after that.
func TestOneOtherDomainAfterARejection(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := newPolicy(now, 5)
	routing := p.Begin("desk", overflow.Request{Work: 100 * time.Millisecond, SizeKiB: 4, Value: 1}, now)
	var tried []string
	for range maxPlacements {
		step, ok := routing.Next(overflow.Shortage, everywhere, now)
		if !ok {
			break
		}
		if step.Out {
			tried = append(tried, step.Domain)
		}
		routing.Rejected(step.Domain, step.Out, now)
	}
	is.Equal(len(tried), 2)
	is.True(tried[0] != tried[1])
	step, ok := routing.Next(overflow.Shortage, everywhere, now)
	is.True(ok) // the demand of the own domain is low
	is.Equal(step.Domain, "a")
}

// Guards against a hedge or a retry that leaves although the own domain can take it, and against one that
// cannot leave if it cannot.
func TestHedgesAndRetriesFollowTheSameRules(t *testing.T) {
	for _, reason := range []overflow.Reason{overflow.Hedge, overflow.Retry} {
		t.Run(reason.String(), func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			for _, room := range []float64{5, 0} {
				p := newPolicy(now, room)
				routing := p.Begin("desk", overflow.Request{Work: 100 * time.Millisecond, SizeKiB: 4, Value: 1}, now)
				step, ok := routing.Next(reason, everywhere, now)
				is.True(ok && !step.Out)
				step, ok = routing.Next(reason, func(domain string) bool { return domain != "a" }, now)
				is.Equal(ok, room > 0)
				is.Equal(step.Out, room > 0)
			}
		})
	}
}

// Guards against requests of other domains that take the place of the domain's own callers, and against a
// domain that refuses them while it has room.
func TestForeignRequestsAreRejectedFirst(t *testing.T) {
	for _, c := range []struct {
		busy, waiting int
		admits        bool
	}{{2, 0, true}, {3, 0, true}, {4, 0, false}, {1, 1, false}} {
		is := is.New(t)
		now := time.Now()
		p := newPolicy(now, 5)
		for range 20 {
			p.RecordReport("desk", overflow.Report{Busy: c.busy, Limit: 4, Slots: 4, Slowdown: 1}, now)
		}
		is.Equal(p.AdmitsForeign("desk", c.waiting, now), c.admits)
	}
}

// Guards against a cost below 70% of the link, and against requests that leave over a link that is full.
func TestLinkAtItsLimit(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	for _, c := range []struct {
		bytes int64
		costs bool
		left  int
	}{{349_000, false, 10}, {450_000, true, 10}, {600_000, true, 0}} {
		p := newPolicy(now, 5)
		p.Transferred(c.bytes, now)
		is.Equal(p.LinkCostPerKiB(now) > 0, c.costs)
		is.Equal(leavers(p, 10, now), c.left)
		is.Equal(p.LinkCostPerKiB(now.Add(5*time.Second)), 0.0) // the sum decays
	}
}

// Guards against a statement that is passed on and replaces a newer one, and against one that counts for
// ever.
func TestStatementsAge(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := newPolicy(now, 5)
	p.Merge("desk", []overflow.Estimate{{Domain: "b", Usable: 40, Used: 23, Demand: 23}, {Domain: "c", Usable: 40, Used: 40, Demand: 40, Age: time.Second}}, now)
	is.Equal(p.Use("desk", "c", now), 23.0/40)
	p.Merge("desk", []overflow.Estimate{{Domain: "b", Usable: 40, Used: 23, Demand: 23}, {Domain: "c", Usable: 40, Used: 40, Demand: 40}}, now.Add(time.Second))
	is.True(p.Use("desk", "c", now.Add(time.Second)) > 0.7)
	is.Equal(p.Use("desk", "c", now.Add(10*time.Second)), 0.0)
}

// Guards against single requests that go to a busy domain for the sake of a faster upstream, and against a
// domain that is never tried because nothing is known of it.
func TestRoomOfADomain(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	is.True(newPolicy(now, 1).HasRoom("desk", "b", now))
	is.True(newPolicy(now, -1).HasRoom("desk", "b", now)) // unknown
	for _, busy := range []overflow.Estimate{{Domain: "b", Usable: 40, Used: 29}, {Domain: "b", Usable: 40, Demand: 29}, {Domain: "b"}} {
		p := newPolicy(now, -1)
		p.Merge("desk", []overflow.Estimate{busy}, now)
		is.True(!p.HasRoom("desk", "b", now))
	}
}
