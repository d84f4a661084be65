// Package capacity admits requests to one upstream at the node beside it, which
// is the only way to the upstream. It answers overload: an upstream that hangs
// when it is full is never sent more than it runs at a time, and a cold one never
// more in a second than it bears.
//
// A request that cannot start at once waits in order of priority and then of its
// deadline, but only if it can still be finished in time; otherwise it is refused
// at once, with the time after which there is room. A request that another
// upstream would finish sooner is refused as Slower, so that its entry node can
// go there; the entry node says what it expects elsewhere.
//
// # Usage
//
//	g := capacity.New()
//	g.Open(capacity.Upstream{Slots: 6, WarmRate: 17})
//	ticket, refusal := g.Enter(ctx, &ask)
//	if ticket == nil {
//		return refusal
//	}
//	defer ticket.Leave()
package capacity

import "time"

//go:generate ../../bin/tools/stringer -type=Reason -linecomment -output=reason_string.go

const (
	// bounceMargin is by how much another upstream has to be better before a
	// request is sent on: a second hop costs time on both nodes.
	rerouteMargin = 0.12
	// factorTime is how long a report of the host's speed is trusted fully.
	hostSlowdownDecay = 250 * time.Millisecond
	// shareTime is the span over which the share of disturbed time is taken, and
	// maxShare the largest share that is believed.
	disturbedWindow   = 5 * time.Second
	maxDisturbedShare = 0.7
	// slowGain is the weight of one request in the slowness of an upstream,
	// slowTime how fast it is forgotten and maxSlow what one request counts at
	// most.
	upstreamSlowdownWeight = 0.15
	upstreamSlowdownDecay  = 3 * time.Second
	maxUpstreamSlowdown    = 20
	// slowSlack is what a request may take beyond its work without the upstream
	// being slow: connections and the network, which is much for short work.
	latencySlack = 20 * time.Millisecond
	// failGain is the weight of one outcome in the share that fails.
	failureWeight = 0.15
	// failTime is how fast the share of failures is forgotten without outcomes.
	failureDecay = 2 * time.Second
	// rateWindow is the span in which requests to a cold upstream are counted.
	warmupWindow = time.Second
	// waitMargin is the part of the expected time that is kept in reserve before a
	// request is let into the queue: those before it may take a little longer.
	waitMarginDivisor = 10
	// overdue is when a request is expected to leave that has taken longer than
	// expected already.
	overdueRemaining = 20 * time.Millisecond
	// maxWaiting bounds the queue; what waits longer is of no use to anybody.
	maxQueueLength = 1024
)

// Reason says why a request was refused.
type Reason uint8

// Reasons for a refusal.
const (
	Admitted Reason = iota // admitted
	// Closed means that the upstream takes no work: it is down, draining, or its
	// failure domain is out of service.
	Closed // closed
	// Full means that the request cannot be finished in time behind those that
	// run and wait.
	Full // full
	// Warming means that the upstream is cold and has had enough requests for
	// this second.
	Warming // warming
	// Slower means that another upstream would finish the request sooner.
	Slower // slower
	// Expired means that the deadline passed, or the caller left, in the queue.
	Expired // expired
)

// Rejection is why and for how long a request is refused.
type Rejection struct {
	Reason Reason
	// RetryAfter is when there will be room, zero when that is not known.
	RetryAfter time.Duration
}

// Upstream is what is known of the upstream beside the node.
type Upstream struct {
	Slots int
	// ColdUntil is when the upstream has warmed up.
	ColdUntil time.Time
	// WarmupRate is the number of requests a second that it bears while cold.
	WarmupRate float64
}

// Request describes a request that wants to enter.
type Request struct {
	// ServiceTime is the time that it takes on an undisturbed host.
	ServiceTime time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority            int
	Objective, Deadline time.Time
	// AlternativeCost is the expected cost at the best other upstream, as computed by
	// placement; 0 when there is none to go to.
	AlternativeCost float64
}
