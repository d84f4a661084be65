// Package integrity estimates how often an upstream sends malformed responses: bytes that are no
// response, a response that ends early, or a success without the stamp of the upstream. A refusal or a
// timeout describes the load of a moment, and coordination/placement forgets it within seconds. A
// malformed response shows that the upstream is faulty at any load.
//
// The rate is taken over responses and not over time: each well-formed response lowers it. It is the
// expected loss of a request that may run only once, since its response can't be asked for again.
// coordination/placement adds it to the cost of such requests, so that they go to other upstreams as
// long as these have room. Requests that may run again are placed as before, because another upstream
// answers them after a malformed response. They show whether the upstream is still faulty.
//
// The node beside the upstream, through which every request passes, keeps the Record. Nodes tell
// each other the Estimate with requests and responses (protocol/hop), so that it outlasts a restart
// of one of them. It belongs to one instance of the upstream; the next one starts without it.
//
// # Usage
//
//	var r integrity.Record
//	r.Begin("i-7f3a91c2", 1700000000000)
//	r.RecordResponse("i-7f3a91c2", malformed, now)
//	if !repeatable {
//		cost += r.Estimate().Rate(now)
//	}
package integrity

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// window is the number of responses that the rate covers; older ones have little weight.
	window = 64
	// prior is the number of well-formed responses that are assumed before the first one.
	prior = 8
	// minRate is the rate below which an upstream counts as free of malformed responses.
	minRate = 0.002
	// decay is the time constant with which the rate is forgotten. It matters only without responses:
	// an upstream that gets no request can't show that it has been mended.
	decay = 30 * time.Second
)

// Estimate is what is known of one instance of an upstream. The zero value is that of
// one without malformed responses.
type Estimate struct {
	// Instance identifies the instance.
	Instance uint32
	// Malformed and Responses are the weighted numbers of malformed and of all responses until At.
	Malformed, Responses float64
	At                   time.Time
}

// Rate returns the expected share of malformed responses.
func (e Estimate) Rate(now time.Time) float64 {
	if rate := e.MalformedAt(now) / (e.Responses + prior); rate >= minRate {
		return min(1, rate)
	}
	return 0
}

// MalformedAt returns Malformed as far as it is not forgotten.
func (e Estimate) MalformedAt(now time.Time) float64 {
	return e.Malformed * math.Exp(-float64(max(0, now.Sub(e.At)))/float64(decay))
}

// Record is the record of the upstream beside a node. Its methods are not safe for concurrent use.
type Record struct {
	id          string
	incarnation int64
	estimate    Estimate
	settled     bool // estimates of other nodes are not taken over
}

// Begin starts the record of an instance. It keeps the record if the instance is the known one:
// incarnation is 0 while it is not known.
func (r *Record) Begin(id string, incarnation int64) {
	same := id == r.id && (incarnation == r.incarnation || incarnation == 0 || r.incarnation == 0)
	if !same && r.id != "" {
		// Other nodes may still hold the estimate of the former process of the same identity.
		r.estimate, r.settled = Estimate{}, true
	}
	if !same || incarnation != 0 {
		r.id, r.incarnation = id, incarnation
	}
	r.estimate.Instance = instanceHash(id)
}

// RecordResponse records a response of the instance with an identity. Responses of others are ignored.
func (r *Record) RecordResponse(id string, malformed bool, now time.Time) {
	e := &r.estimate
	if id != r.id {
		return
	}
	e.Malformed, e.Responses, e.At = e.MalformedAt(now)*(1-1.0/window), e.Responses*(1-1.0/window)+1, now
	if malformed {
		e.Malformed++
		r.settled = true
	}
}

// Merge takes over the estimate that another node has of the upstream, if this process has not seen a
// malformed response itself. It reports whether it has.
func (r *Record) Merge(e Estimate) bool {
	if r.settled || r.id == "" || e.Instance != r.estimate.Instance || e.Malformed <= 0 {
		return false
	}
	r.estimate, r.settled = e, true
	return true
}

// Estimate returns the current estimate.
func (r *Record) Estimate() Estimate { return r.estimate }

// instanceHash returns a short form of an identity.
func instanceHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }
