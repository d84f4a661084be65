package dispatch

import (
	"context"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
)

//go:generate stringer -type=ClaimState -linecomment -output=claimstate_string.go

// ClaimState is the state of the claim on a service and idempotency key, as
// returned by Claimer.Claim.
type ClaimState uint8

// States of a claim.
const (
	// Granted: the claim is durable and held by this request.
	Granted ClaimState = iota // granted
	// Pending: another request with the same fingerprint holds the claim.
	Pending // pending
	// Finished: a request with the key has run, and Claim.Answer is its response.
	Finished // finished
	// AnswerNotStored: a request with the key has run, but its response is not
	// stored any more.
	AnswerNotStored // spent
	// Conflict: a request with a different fingerprint holds the claim.
	Conflict // conflict
	// Unavailable: there is no quorum, and nothing was recorded.
	Unavailable // unavailable
	// Indeterminate: the claim may or may not have been recorded.
	Indeterminate // indeterminate
)

// Claim is the response to a request for a claim.
type Claim struct {
	State ClaimState
	// Answer is set when State is Finished.
	Answer *mulberrylink.Answer
}

// Claimer claims idempotency keys. A claim is identified by the request ID: it
// is granted again to the request that holds it, and only that request can
// release it. A release also fences the request ID, so that a delayed message
// that claims with this ID is not granted later.
type Claimer interface {
	Claim(ctx context.Context, r *mulberrylink.Request) Claim
	Release(ctx context.Context, r *mulberrylink.Request)
}

// Forwarder runs one attempt on a node. When a connection goes silent, it finds
// out the outcome itself. It honours r.Deadline, does not touch r.Body after it
// has returned, and returns NotRun only if it is certain that the request was not
// run. A rejection that arrives before the body was read leaves it unread. When
// ctx ends, the result has reason canceled.
type Forwarder interface {
	Forward(ctx context.Context, n mulberrylink.Node, r *mulberrylink.Request, attempt int, alone bool) mulberrylink.Result
}

// Picker chooses nodes; see package selection.
type Picker interface {
	Pick(r *mulberrylink.Request, tried []string) (mulberrylink.Node, bool)
	PickAlone(r *mulberrylink.Request, tried []string) (mulberrylink.Node, bool)
	Observe(node string, res mulberrylink.Result, took time.Duration)
}

// Suspects tracks the requests that crash upstreams; see package suspect.
type Suspects interface {
	Verdict(fingerprint uint64) suspect.Verdict
	ConfirmCrasher(fingerprint uint64) []suspect.Notice
}

// Budget limits the attempts of a request beyond its first; see package retry.
type Budget interface {
	RecordRequest(r *mulberrylink.Request)
	AllowRetry(r *mulberrylink.Request, res mulberrylink.Result, extraAttempts int) bool
	HedgeDelay(r *mulberrylink.Request) (time.Duration, bool)
	AllowHedge(r *mulberrylink.Request, extraAttempts int) bool
	RecordLatency(r *mulberrylink.Request, took time.Duration)
	RecordResult(r *mulberrylink.Request, res mulberrylink.Result)
}

// Clock returns the current time. Waiting uses the timers of package time, so
// tests with their own clock run in a testing/synctest bubble.
type Clock interface{ Now() time.Time }
