// Package capacity is the admission controller of package gateway. It runs on the node
// beside an upstream, through which every request to that upstream passes, and admits,
// queues or rejects each request before any byte reaches the upstream.
//
// The controller keeps the number of running requests at or below a concurrency limit,
// because some upstreams hang when they are full, and limits the request rate of a cold
// upstream. Unlike coordination/admission, the admission controller of mulberrynode, it
// orders its queue by priority and deadline, takes disturbances of a shared host into
// account (see coordination/placement), and compares the upstream with the alternative that
// the entry node knows.
//
// A request that finds no free slot waits in a queue that is ordered by priority, then by
// deadline. It is rejected at once when it cannot finish in time, with the time after
// which a slot is expected to be free. A request that another upstream would finish
// sooner is rejected with Slower, so that its entry node can choose that upstream; the
// entry node states the expected cost there in Request.AlternativeCost.
//
// Requests that have a client account share the upstream: while requests of a priority are refused, those
// of accounts with less recent work go first within it, and an account that gets far less of what it asks
// for than the mean always goes first.
//
// A rejection names the time at which there will be a slot. It is promised to one caller only: the next
// one gets a later time. A caller that returns at its time goes before new requests of its priority, and
// internal calls go before both.
//
// A cold upstream gets requests from a token bucket. After a loss of power a whole deployment
// returns, and more is asked than all cold upstreams together may take: a request that can still meet its objective waits for its turn by priority
// and deadline, so that callers that were refused before go first. The others are rejected at
// once with Warming and the time that the queue takes.
//
// An upstream in trouble may state how many requests per second it accepts. SetRateLimit applies
// that limit with a second token bucket, and a request that it would make late is rejected with
// Limited. When most upstreams of a service have asked for fewer requests, Load.RateWait tells entry
// nodes which of them have room for another one.
//
// The controller also holds the record of the upstream's malformed responses
// (coordination/integrity), whose rate is a part of that comparison. While the upstream is in reserve,
// a request for which the entry node knows a well-formed upstream with room is rejected with Reserved,
// apart from trials.
//
// # Usage
//
//	c := capacity.New(time.Now)
//	c.Open(capacity.Upstream{Slots: 6, WarmupRate: 17, WarmupBurst: 4})
//	permit, rejection := c.Acquire(ctx, &req)
//	if permit == nil {
//		return rejection
//	}
//	defer permit.Release()
package capacity

import "time"

//go:generate ../../bin/tools/stringer -type=Reason -linecomment -output=reason_string.go

const (
	// rerouteMargin is by how much the cost at another upstream must be lower before
	// a request is rejected with Slower: a second hop costs time on both nodes.
	rerouteMargin = 0.12
	// hostSlowdownDecay is how long a report of the host's slowdown counts in full,
	// and the time constant of its decay after that.
	hostSlowdownDecay = 250 * time.Millisecond
	// disturbedWindow is the time constant of the average share of time in which the
	// host is disturbed. A share above maxDisturbedShare counts as maxDisturbedShare.
	disturbedWindow   = 5 * time.Second
	maxDisturbedShare = 0.7
	// upstreamSlowdownWeight is the weight of one request in the moving average of
	// the upstream's slowdown, upstreamSlowdownDecay the time constant with which the
	// average decays without requests, and maxUpstreamSlowdown the largest slowdown
	// that one request contributes.
	upstreamSlowdownWeight = 0.15
	upstreamSlowdownDecay  = 3 * time.Second
	maxUpstreamSlowdown    = 20
	// latencySlack is how much longer than its service time a request may take
	// without the upstream counting as slow. It covers connection setup and the
	// network, which dominate short requests.
	latencySlack = 20 * time.Millisecond
	// failureWeight is the weight of one result in the moving average of the failure
	// rate.
	failureWeight = 0.15
	// failureDecay is the time constant with which the failure rate decays without
	// results.
	failureDecay = 2 * time.Second
	// waitMarginDivisor makes the safety margin for entering the queue a tenth of the
	// expected time to finish, because the requests ahead may take a little longer.
	waitMarginDivisor = 10
	// overdueRemaining is the minimum remaining time that is assumed for a running
	// request, also when it has already run longer than expected.
	overdueRemaining = 20 * time.Millisecond
	// rateLimitBurst is the time whose requests an upstream with a rate limit may get at once.
	// Without a burst, each gap between requests that come at random would lower the rate.
	rateLimitBurst = 500 * time.Millisecond
	// maxQueueLength bounds the queue. A longer queue could not be served before its
	// deadlines.
	maxQueueLength = 1024
)

// Reason says why a request was rejected.
type Reason uint8

// Reasons for a rejection. Admitted is the absence of a rejection.
const (
	Admitted Reason = iota // admitted
	// Closed means that the upstream accepts no requests: it is down, draining, or its
	// failure domain is out of service.
	Closed // closed
	// Full means that the request cannot finish in time behind the running and queued
	// requests, or that the queue is full.
	Full // full
	// Warming means that the upstream is cold and has reached its request rate.
	Warming // warming
	// Limited means that the upstream has stated a rate limit and has reached it.
	Limited // limited
	// Slower means that the request has a lower expected cost at another upstream.
	Slower // slower
	// Reserved means that the upstream is in reserve after malformed responses, and that another one
	// has room for the request.
	Reserved // reserved
	// Expired means that the deadline passed or the request was canceled while it was
	// queued.
	Expired // expired
)

// Rejection says why a request was rejected and when a retry may succeed.
type Rejection struct {
	Reason Reason
	// RetryAfter is the time after which a retry may succeed, zero when it is not known.
	RetryAfter time.Duration
}

// Upstream describes the upstream beside the node.
type Upstream struct {
	// Slots is the largest number of requests that the upstream runs at a time.
	Slots int
	// ColdUntil is the end of the warm-up.
	ColdUntil time.Time
	// WarmupRate is the limit of requests per second while the upstream is cold, and
	// WarmupBurst the number of requests beyond it that the upstream takes at once.
	WarmupRate, WarmupBurst float64
	// ID and Incarnation identify the instance (coordination/integrity).
	ID          string
	Incarnation int64
}

// Request describes a request to admit.
type Request struct {
	// ServiceTime is the expected service time on an undisturbed host.
	ServiceTime time.Duration
	// Priority orders the queue; 0 is the most urgent.
	Priority int
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// Objective is the time by which the request should finish. After Deadline its
	// response is of no use.
	Objective, Deadline time.Time
	// AlternativeCost is the expected cost at the best other upstream, as estimated by
	// package placement, or 0 when there is no other upstream.
	AlternativeCost float64
	// SoundAlternative is true if the entry node knows an upstream that is not in reserve and has room
	// for the request, and SoundExtraCost is by how much the cost there is higher. Trial is true if the
	// request may test whether this upstream is well-formed again.
	SoundAlternative, Trial bool
	SoundExtraCost          float64
	// Account is the name of the client account, empty without one.
	Account string
	// Returning is true if the caller was refused and returns at the time that the refusal named. Promised
	// is true if another upstream has refused the request and named a time to return.
	Returning, Promised bool
	// Internal is true if the request is a call of another upstream, whose own request holds a slot
	// meanwhile.
	Internal bool
}
