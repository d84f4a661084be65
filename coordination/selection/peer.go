package selection

import (
	"math"
	"slices"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Constants of the cost of a node.
const (
	reportDecayTime  = 100 * time.Millisecond // after which a report counts for 1/e
	latencyDecayTime = time.Second            // after which a latency counts for 1/e
	reportMaxAge     = 500 * time.Millisecond // after which a report is unknown
	usesPerSlot      = 4                      // uses of a report per slot of the limit
	closedTime       = 250 * time.Millisecond // a node that admits nothing is asked again after

	remoteDomainCost = 0.3  // of another failure domain, in shares of the slots
	queueingCost     = 1.0  // of a request that has to wait for a slot
	suspectCost      = 1.0  // of a node that its peers suspect
	baseCost         = 0.25 // makes latency count on an idle upstream as well
	slowRatio        = 1.5  // times the median, below which latency does not count

	latencyWeight = 0.2
)

// peer is what the entry node knows about one node.
type peer struct {
	node        mulberrylink.Node
	outstanding int // own requests on the node

	load                mulberrylink.Load
	loadAt              time.Time
	outstandingAtReport int // own outstanding requests when the report arrived
	reportUses          int // of the report
	closedUntil         time.Time

	latency           float64 // mean of the tries in seconds
	latencyAt         time.Time
	reportedLatencyAt time.Time // when the reported latency changed last

	health
	nextProbe time.Time
}

func (e *peer) recordReport(l mulberrylink.Load, now time.Time) {
	if l.Latency != e.load.Latency {
		e.reportedLatencyAt = now
	}
	e.load = l
	e.loadAt = now
	e.outstandingAtReport = e.outstanding
	e.reportUses = 0
	e.closedUntil = time.Time{}
	if l.Limit == 0 {
		e.closedUntil = now.Add(closedTime)
	}
}

// known reports whether the last report may still be used.
func (e *peer) reportUsable(now time.Time) bool {
	if e.loadAt.IsZero() || now.Sub(e.loadAt) > reportMaxAge {
		return false
	}
	return e.reportUses <= usesPerSlot*max(1, e.load.Limit)
}

// limit is the number of requests that the node admits, as far as known.
func (e *peer) limit(now time.Time) int {
	if e.reportUsable(now) && e.load.Limit > 0 {
		return e.load.Limit
	}
	if e.node.Upstream == mulberrylink.UpstreamCold {
		return 1
	}
	return max(1, e.node.Slots)
}

// busy estimates the number of requests on the node. The requests of other
// entry nodes are known from the report only, and count less as it ages.
func (e *peer) estimatedLoad(now time.Time) float64 {
	own := float64(e.outstanding)
	if !e.reportUsable(now) {
		return own
	}
	others := float64(max(0, e.load.InFlight+e.load.Queued-e.outstandingAtReport))
	tau := max(reportDecayTime, time.Duration(e.load.Latency*float64(time.Second)))
	return own + others*decay(now.Sub(e.loadAt), tau)
}

// cost compares nodes: the share of slots in use, times the slowdown.
func (e *peer) cost(median float64, now time.Time) float64 {
	limit := float64(e.limit(now))
	inFlight := e.estimatedLoad(now)
	slowdown := e.slowdown(median, now)
	c := (inFlight/limit + baseCost) * slowdown
	if inFlight+1 > limit {
		c += queueingCost * slowdown
	}
	if e.node.State == mulberrylink.NodeSuspect {
		c += suspectCost
	}
	return c
}

// slowdown is 1 for a node near the median, and grows with the latency of a
// slower one. Old latencies fade, so that a slow node is tried again.
func (e *peer) slowdown(median float64, now time.Time) float64 {
	latency := e.latencyEstimate(now)
	if latency == 0 || median == 0 {
		return 1
	}
	ratio := latency / (slowRatio * median)
	if ratio <= 1 {
		return 1
	}
	updatedAt := e.latencyAt
	if e.reportUsable(now) && e.reportedLatencyAt.After(updatedAt) {
		updatedAt = e.reportedLatencyAt
	}
	return 1 + (ratio-1)*decay(now.Sub(updatedAt), latencyDecayTime)
}

// seen is the latency of the node: what its admitting node reports counts when
// it is higher than the tries show, because it notices a stall first.
func (e *peer) latencyEstimate(now time.Time) float64 {
	if e.reportUsable(now) {
		return max(e.latency, e.load.Latency)
	}
	return e.latency
}

// observeLatency learns from a try, unless requests wait at the node: a try then
// includes the wait, and under overload that would raise the median until a slow
// node seems as fast as the others.
func (e *peer) recordLatency(took time.Duration, now time.Time) {
	if e.load.Queued > 0 {
		return
	}
	seconds := took.Seconds()
	if e.latency == 0 || now.Sub(e.latencyAt) > 10*latencyDecayTime {
		e.latency = seconds
	} else {
		e.latency += latencyWeight * (seconds - e.latency)
	}
	e.latencyAt = now
}

func decay(age, tau time.Duration) float64 {
	return math.Exp(-float64(age) / float64(tau))
}

// median returns the median latency of the peers that have one.
func median(peers []*peer, now time.Time) float64 {
	latencies := make([]float64, 0, len(peers))
	for _, e := range peers {
		if latency := e.latencyEstimate(now); latency > 0 {
			latencies = append(latencies, latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)/2]
}
