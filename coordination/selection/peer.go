package selection

import (
	"math"
	"slices"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Constants of the cost of a node.
const (
	reportAge  = 100 * time.Millisecond // after which a report counts for 1/e
	latencyAge = time.Second            // after which a latency counts for 1/e
	dropAge    = 500 * time.Millisecond // after which a report is unknown
	usesPer    = 4                      // uses of a report per slot of the limit
	closedFor  = 250 * time.Millisecond // a node that admits nothing is asked again after

	farCost     = 0.3  // of another failure domain, in shares of the slots
	queueCost   = 1.0  // of a request that has to wait for a slot
	suspectCost = 1.0  // of a node that its peers suspect
	idleCost    = 0.25 // makes latency count on an idle upstream as well
	slowFrom    = 1.5  // times the median, below which latency does not count

	latencyWeight = 0.2
)

// peer is what the entry node knows about one node.
type peer struct {
	node        mulberrylink.Node
	outstanding int // own requests on the node

	load     mulberrylink.Load
	loadAt   time.Time
	ownThen  int // own outstanding requests when the report arrived
	uses     int // of the report
	closedTo time.Time

	latency    float64 // mean of the tries in seconds
	latencyAt  time.Time
	reportedAt time.Time // when the reported latency changed last

	health
	probeAt time.Time
}

func (e *peer) report(l mulberrylink.Load, now time.Time) {
	if l.Latency != e.load.Latency {
		e.reportedAt = now
	}
	e.load = l
	e.loadAt = now
	e.ownThen = e.outstanding
	e.uses = 0
	e.closedTo = time.Time{}
	if l.Limit == 0 {
		e.closedTo = now.Add(closedFor)
	}
}

// known reports whether the last report may still be used.
func (e *peer) known(now time.Time) bool {
	if e.loadAt.IsZero() || now.Sub(e.loadAt) > dropAge {
		return false
	}
	return e.uses <= usesPer*max(1, e.load.Limit)
}

// limit is the number of requests that the node admits, as far as known.
func (e *peer) limit(now time.Time) int {
	if e.known(now) && e.load.Limit > 0 {
		return e.load.Limit
	}
	if e.node.Upstream == mulberrylink.UpstreamCold {
		return 1
	}
	return max(1, e.node.Slots)
}

// busy estimates the number of requests on the node. The requests of other
// entry nodes are known from the report only, and count less as it ages.
func (e *peer) busy(now time.Time) float64 {
	own := float64(e.outstanding)
	if !e.known(now) {
		return own
	}
	others := float64(max(0, e.load.InFlight+e.load.Queued-e.ownThen))
	tau := max(reportAge, time.Duration(e.load.Latency*float64(time.Second)))
	return own + others*decay(now.Sub(e.loadAt), tau)
}

// cost compares nodes: the share of slots in use, times the slowdown.
func (e *peer) cost(median float64, now time.Time) float64 {
	limit := float64(e.limit(now))
	busy := e.busy(now)
	slowdown := e.slowdown(median, now)
	c := (busy/limit + idleCost) * slowdown
	if busy+1 > limit {
		c += queueCost * slowdown
	}
	if e.node.State == mulberrylink.NodeSuspect {
		c += suspectCost
	}
	return c
}

// slowdown is 1 for a node near the median, and grows with the latency of a
// slower one. Old latencies fade, so that a slow node is tried again.
func (e *peer) slowdown(median float64, now time.Time) float64 {
	seen := e.seen(now)
	if seen == 0 || median == 0 {
		return 1
	}
	ratio := seen / (slowFrom * median)
	if ratio <= 1 {
		return 1
	}
	at := e.latencyAt
	if e.known(now) && e.reportedAt.After(at) {
		at = e.reportedAt
	}
	return 1 + (ratio-1)*decay(now.Sub(at), latencyAge)
}

// seen is the latency of the node: what its admitting node reports counts when
// it is higher than the tries show, because it notices a stall first.
func (e *peer) seen(now time.Time) float64 {
	if e.known(now) {
		return max(e.latency, e.load.Latency)
	}
	return e.latency
}

// observeLatency learns from a try, unless requests wait at the node: a try then
// includes the wait, and under overload that would raise the median until a slow
// node seems as fast as the others.
func (e *peer) observeLatency(took time.Duration, now time.Time) {
	if e.load.Queued > 0 {
		return
	}
	s := took.Seconds()
	if e.latency == 0 || now.Sub(e.latencyAt) > 10*latencyAge {
		e.latency = s
	} else {
		e.latency += latencyWeight * (s - e.latency)
	}
	e.latencyAt = now
}

func decay(age, tau time.Duration) float64 {
	return math.Exp(-float64(age) / float64(tau))
}

// median returns the median latency of the peers that have one.
func median(peers []*peer, now time.Time) float64 {
	all := make([]float64, 0, len(peers))
	for _, e := range peers {
		if s := e.seen(now); s > 0 {
			all = append(all, s)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}
