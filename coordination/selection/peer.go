package selection

import (
	"math"
	"slices"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Constants of the cost of a node. Costs are in shares of its slots.
const (
	reportDecayTime  = 100 * time.Millisecond // age at which a load report has a weight of 1/e
	latencyDecayTime = time.Second            // age at which a latency has a weight of 1/e
	reportMaxAge     = 500 * time.Millisecond // older load reports are ignored
	usesPerSlot      = 4                      // picks per slot of the limit that one report serves for
	closedTime       = 250 * time.Millisecond // a node that admits nothing is not chosen for this long

	remoteDomainCost = 0.3  // for a node in another failure domain
	queueingCost     = 1.0  // for a request that has to wait for a slot
	suspectCost      = 1.0  // for a node that its peers suspect
	baseCost         = 0.25 // makes latency count on an idle upstream as well
	slowRatio        = 1.5  // multiple of the median latency up to which a node is not slow

	latencyWeight = 0.2 // of the newest attempt in the mean latency
)

// peer is the state that the entry node keeps about one node.
type peer struct {
	node        mulberrylink.Node
	outstanding int // requests of this entry node

	load                mulberrylink.Load // last report
	loadAt              time.Time
	outstandingAtReport int // value of outstanding when the report arrived
	reportUses          int // picks since the report arrived
	closedUntil         time.Time

	latency           float64 // moving average over attempts in seconds
	latencyAt         time.Time
	reportedLatencyAt time.Time // when the reported latency last changed

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

// reportUsable reports whether the last load report is recent enough and has
// not served for too many picks.
func (e *peer) reportUsable(now time.Time) bool {
	if e.loadAt.IsZero() || now.Sub(e.loadAt) > reportMaxAge {
		return false
	}
	return e.reportUses <= usesPerSlot*max(1, e.load.Limit)
}

// limit returns the reported concurrency limit of the node. Without a usable
// report it assumes 1 for a cold upstream and the announced slots otherwise.
func (e *peer) limit(now time.Time) int {
	if e.reportUsable(now) && e.load.Limit > 0 {
		return e.load.Limit
	}
	if e.node.Upstream == mulberrylink.UpstreamCold {
		return 1
	}
	return max(1, e.node.Slots)
}

// estimatedLoad estimates the number of requests on the node. The requests of
// other entry nodes are known from the report only and count less as it ages.
func (e *peer) estimatedLoad(now time.Time) float64 {
	own := float64(e.outstanding)
	if !e.reportUsable(now) {
		return own
	}
	others := float64(max(0, e.load.InFlight+e.load.Queued-e.outstandingAtReport))
	tau := max(reportDecayTime, time.Duration(e.load.Latency*float64(time.Second)))
	return own + others*decay(now.Sub(e.loadAt), tau)
}

// cost returns the cost by which nodes are compared: the share of slots in use
// times the slowdown, with surcharges for queueing and for a suspected node.
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

// slowdown returns 1 for a node whose latency is near the median, and more for
// a slower one. The excess decays with the age of the latency, so that a slow
// node is tried again.
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

// latencyEstimate returns the latency of the node in seconds. It is the higher
// of the reported and the measured latency, because the admitting node detects
// a stall before any attempt completes.
func (e *peer) latencyEstimate(now time.Time) float64 {
	if e.reportUsable(now) {
		return max(e.latency, e.load.Latency)
	}
	return e.latency
}

// recordLatency adds the duration of an attempt to the mean latency, unless
// requests are queued at the node: the duration then includes queueing time,
// and under overload that would raise the median until a slow node seems as
// fast as the others.
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

// decay returns the weight of a value of the given age, exp(-age/tau).
func decay(age, tau time.Duration) float64 {
	return math.Exp(-float64(age) / float64(tau))
}

// median returns the median latency of the peers whose latency is known, 0 when
// there are none.
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
