// Package integrity estimates how often an upstream sends malformed responses: bytes that are no
// response, a response that ends early, or a success without the stamp of the upstream. A refusal or a
// timeout describes the load of a moment, and coordination/placement forgets it within seconds. A
// malformed response shows that the upstream is faulty at any load.
//
// The rate is taken over responses and not over time: each well-formed response lowers it. It is the
// expected loss of a request that may run only once, since its response can't be asked for again.
// coordination/placement adds it to the cost of such requests.
//
// An upstream with a malformed response is in reserve: coordination/placement passes it over for requests
// of every kind while well-formed upstreams have room. It leaves the reserve after as many well-formed
// responses as its rate asks for. A rate of one in n would show itself in 3n responses with a probability
// of 95%. When the others have no room, the upstream is in use and its responses count. When they have,
// its node admits trials: single requests that may run again, which another upstream answers if the
// response is malformed. Trials are so far apart that a faulty upstream spoils one of them in trustDelay/3
// on average, whatever its rate is and however many nodes send requests. Each relapse doubles the interval.
//
// The node beside the upstream, through which every request passes, keeps the Record and grants the
// trials. Nodes tell each other the Estimate with requests and responses (protocol/hop), so that it
// outlasts a restart of one of them. It belongs to one instance of the upstream; the next one starts
// without it.
//
// # Usage
//
//	var r integrity.Record
//	r.Begin("i-7f3a91c2", 1700000000000)
//	r.RecordResponse("i-7f3a91c2", malformed, now)
//	if r.Estimate().Reserved(now) && !r.TakeTrial(now) {
//		return errReserved
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
	// evidenceFactor is the number of well-formed responses that trust asks for, as a multiple of the
	// responses in which one was malformed. With the same rate they would all be well-formed with a
	// probability of exp(-3), 5%.
	evidenceFactor = 3
	// maxEvidence is the number of well-formed responses that trust asks for at minRate.
	maxEvidence = evidenceFactor / minRate
	// trustDelay is the time until a mended upstream is trusted again if it gets nothing but trials. It
	// may be long: an upstream that is needed is in use anyway, and a repair that restarts it makes a
	// new instance, which is trusted at once.
	trustDelay = 90 * time.Second
	// maxRelapses limits how often the interval between trials doubles.
	maxRelapses = 2
)

// Estimate is what is known of one instance of an upstream. The zero value is that of
// one without malformed responses.
type Estimate struct {
	// Instance identifies the instance.
	Instance uint32
	// Malformed and Responses are the weighted numbers of malformed and of all responses until At.
	Malformed, Responses float64
	At                   time.Time
	// Required is the number of well-formed responses that trust asks for since the last malformed
	// one, and Missing the number that has not been received yet.
	Required, Missing int
	// Relapses is the number of malformed responses while the upstream was in reserve or shortly after
	// it. Those in quick succession count as one.
	Relapses int
	// TrialAt is when the next trial may start.
	TrialAt time.Time
	// ReservedUntil is when the upstream leaves the reserve if it gets no requests.
	ReservedUntil time.Time
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

// Reserved reports whether the upstream is passed over while others have room.
func (e Estimate) Reserved(now time.Time) bool {
	return e.Missing > 0 && e.Required > 0 && now.Before(e.ReservedUntil)
}

// ReservedRate returns the rate that trust has to disprove, 0 for an upstream that is not in reserve. It
// does not fall with time.
func (e Estimate) ReservedRate(now time.Time) float64 {
	if !e.Reserved(now) {
		return 0
	}
	return min(1, evidenceFactor/float64(e.Required))
}

// TrialDue reports whether the next trial of an upstream in reserve may start.
func (e Estimate) TrialDue(now time.Time) bool { return !now.Before(e.TrialAt) }

// TrialInterval returns the time between two trials.
func (e Estimate) TrialInterval() time.Duration {
	return e.trustDelay() / time.Duration(max(1, e.Required))
}

func (e Estimate) trustDelay() time.Duration {
	return trustDelay << min(max(0, e.Relapses), maxRelapses)
}

// Record is the record of the upstream beside a node. Its methods are not safe for concurrent use.
type Record struct {
	id          string
	incarnation int64
	estimate    Estimate
	settled     bool // estimates of other nodes are not taken over
	// wellFormed is the number of responses since the last malformed one, and malformedAt its time.
	wellFormed  int
	malformedAt time.Time
}

// Begin starts the record of an instance. It keeps the record if the instance is the known one:
// incarnation is 0 while it is not known.
func (r *Record) Begin(id string, incarnation int64) {
	same := id == r.id && (incarnation == r.incarnation || incarnation == 0 || r.incarnation == 0)
	if !same && r.id != "" {
		// Other nodes may still hold the estimate of the former process of the same identity.
		r.estimate, r.settled = Estimate{}, true
		r.wellFormed, r.malformedAt = 0, time.Time{}
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
		r.reserve(now)
	} else {
		r.wellFormed++
		e.Missing = max(0, e.Missing-1)
		if r.wellFormed >= maxEvidence {
			e.Required, e.Relapses = 0, 0
		}
	}
	e.ReservedUntil = now.Add(e.trustDelay())
}

// reserve puts the upstream in reserve after a malformed response.
func (r *Record) reserve(now time.Time) {
	e := &r.estimate
	oneIn := 1 / max(e.Rate(now), minRate)
	if e.Required > 0 && now.Sub(r.malformedAt) >= e.TrialInterval() {
		e.Relapses = min(e.Relapses+1, maxRelapses)
		oneIn = max(oneIn, float64(r.wellFormed+1))
	}
	e.Required = int(math.Ceil(min(evidenceFactor*oneIn, maxEvidence)))
	e.Missing = e.Required
	e.TrialAt = now.Add(e.TrialInterval())
	r.wellFormed, r.malformedAt = 0, now
}

// TakeTrial reports whether a request may be sent to the upstream as a trial, and if so starts the
// interval until the next one.
func (r *Record) TakeTrial(now time.Time) bool {
	e := &r.estimate
	if !e.Reserved(now) || !e.TrialDue(now) {
		return false
	}
	e.TrialAt = now.Add(e.TrialInterval())
	return true
}

// Merge takes over the estimate that another node has of the upstream, if this process has not seen a
// malformed response itself. It reports whether it has.
func (r *Record) Merge(e Estimate) bool {
	if r.settled || r.id == "" || e.Instance != r.estimate.Instance || e.Malformed <= 0 {
		return false
	}
	r.estimate, r.settled = e, true
	r.malformedAt = time.Time{}
	r.wellFormed = max(0, e.Required-e.Missing)
	return true
}

// Estimate returns the current estimate.
func (r *Record) Estimate() Estimate { return r.estimate }

// instanceHash returns a short form of an identity.
func instanceHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }
