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
	usesPerSlot      = 4                      // picks per slot of the limit after which a load report is ignored
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

// recordReport stores a load report. A reported limit of zero closes the node for
// closedTime.
func (pr *peer) recordReport(l mulberrylink.Load, now time.Time) {
	if l.Latency != pr.load.Latency {
		pr.reportedLatencyAt = now
	}
	pr.load = l
	pr.loadAt = now
	pr.outstandingAtReport = pr.outstanding
	pr.reportUses = 0
	pr.closedUntil = time.Time{}
	if l.Limit == 0 {
		pr.closedUntil = now.Add(closedTime)
	}
}

// reportUsable reports whether the last load report is recent enough and has
// not served for too many picks.
func (pr *peer) reportUsable(now time.Time) bool {
	if pr.loadAt.IsZero() || now.Sub(pr.loadAt) > reportMaxAge {
		return false
	}
	return pr.reportUses <= usesPerSlot*max(1, pr.load.Limit)
}

// limit returns the reported concurrency limit of the node. Without a usable
// report it assumes 1 for a cold upstream and the announced slots otherwise.
func (pr *peer) limit(now time.Time) int {
	if pr.reportUsable(now) && pr.load.Limit > 0 {
		return pr.load.Limit
	}
	if pr.node.Upstream == mulberrylink.UpstreamCold {
		return 1
	}
	return max(1, pr.node.Slots)
}

// estimatedLoad estimates the number of requests on the node. The requests of
// other entry nodes are known from the report only and count less as it ages.
func (pr *peer) estimatedLoad(now time.Time) float64 {
	own := float64(pr.outstanding)
	if !pr.reportUsable(now) {
		return own
	}
	others := float64(max(0, pr.load.InFlight+pr.load.Queued-pr.outstandingAtReport))
	tau := max(reportDecayTime, time.Duration(pr.load.Latency*float64(time.Second)))
	return own + others*decay(now.Sub(pr.loadAt), tau)
}

// cost returns the cost by which nodes are compared: the share of slots in use
// times the slowdown, with surcharges for queueing and for a suspected node.
func (pr *peer) cost(median float64, now time.Time) float64 {
	limit := float64(pr.limit(now))
	inFlight := pr.estimatedLoad(now)
	slowdown := pr.slowdown(median, now)
	c := (inFlight/limit + baseCost) * slowdown
	if inFlight+1 > limit {
		c += queueingCost * slowdown
	}
	if pr.node.State == mulberrylink.NodeSuspect {
		c += suspectCost
	}
	return c
}

// slowdown returns 1 for a node whose latency is near the median, and more for
// a slower one. The excess decays with the age of the latency, so that a slow
// node is tried again.
func (pr *peer) slowdown(median float64, now time.Time) float64 {
	latency := pr.latencyEstimate(now)
	if latency == 0 || median == 0 {
		return 1
	}
	ratio := latency / (slowRatio * median)
	if ratio <= 1 {
		return 1
	}
	updatedAt := pr.latencyAt
	if pr.reportUsable(now) && pr.reportedLatencyAt.After(updatedAt) {
		updatedAt = pr.reportedLatencyAt
	}
	return 1 + (ratio-1)*decay(now.Sub(updatedAt), latencyDecayTime)
}

// latencyEstimate returns the latency of the node in seconds. It is the higher
// of the reported and the measured latency, because the admitting node detects
// a stall before any attempt completes.
func (pr *peer) latencyEstimate(now time.Time) float64 {
	if pr.reportUsable(now) {
		return max(pr.latency, pr.load.Latency)
	}
	return pr.latency
}

// recordLatency adds the duration of an attempt to the mean latency, unless
// requests are queued at the node: the duration then includes queueing time,
// and under overload that would raise the median until a slow node seems as
// fast as the others.
func (pr *peer) recordLatency(took time.Duration, now time.Time) {
	if pr.load.Queued > 0 {
		return
	}
	seconds := took.Seconds()
	if pr.latency == 0 || now.Sub(pr.latencyAt) > 10*latencyDecayTime {
		pr.latency = seconds
	} else {
		pr.latency += latencyWeight * (seconds - pr.latency)
	}
	pr.latencyAt = now
}

// decay returns the weight of a value of the given age, exp(-age/tau).
func decay(age, tau time.Duration) float64 {
	return math.Exp(-float64(age) / float64(tau))
}

// median returns the median latency of the peers whose latency is known, 0 when
// there are none.
func median(peers []*peer, now time.Time) float64 {
	latencies := make([]float64, 0, len(peers))
	for _, pr := range peers {
		if latency := pr.latencyEstimate(now); latency > 0 {
			latencies = append(latencies, latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)/2]
}
