package dispatch

import (
	"context"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
)

//go:generate stringer -type=ClaimState -linecomment -output=claimstate_string.go

// ClaimState is the state of the claim on (service, key) after a request for
// it.
type ClaimState uint8

// States of a claim.
const (
	// Granted: the claim is durable and held by this request.
	Granted ClaimState = iota // granted
	// Pending: another request with the same fingerprint holds it.
	Pending // pending
	// Finished: the first answer is known, in Claim.Answer.
	Finished // finished
	// AnswerNotStored: the request ran, but its answer is not held any more.
	AnswerNotStored // spent
	// Conflict: another request with a different fingerprint holds it.
	Conflict // conflict
	// Unavailable: there is no quorum, and nothing was recorded.
	Unavailable // unavailable
	// Indeterminate: the claim may or may not have been recorded.
	Indeterminate // indeterminate
)

// Claim is the answer to a request for a claim.
type Claim struct {
	State ClaimState
	// Answer is set when State is Finished.
	Answer *mulberrylink.Answer
}

// Claimer claims idempotency keys. A claim is identified by the request ID: it
// is granted again to a request that asks twice, and released only by the
// request that holds it. A release also fences the request ID, so that a claim
// with it that is still on its way is not granted later.
type Claimer interface {
	Claim(ctx context.Context, r *mulberrylink.Request) Claim
	Release(ctx context.Context, r *mulberrylink.Request)
}

// Forwarder runs one try on a node. It resolves silent connections by itself,
// honours r.Deadline, does not touch r.Body after it has returned, and returns
// NotRun only with proof. A refusal that arrives before the body was read
// leaves it unread. When ctx ends, the result has reason canceled.
type Forwarder interface {
	Forward(ctx context.Context, n mulberrylink.Node, r *mulberrylink.Request, attempt int, alone bool) mulberrylink.Result
}

// Picker chooses nodes; see package selection.
type Picker interface {
	Pick(r *mulberrylink.Request, tried []string) (mulberrylink.Node, bool)
	PickAlone(r *mulberrylink.Request, tried []string) (mulberrylink.Node, bool)
	Observe(node string, res mulberrylink.Result, took time.Duration)
}

// Suspects knows requests that crash upstreams; see package suspect.
type Suspects interface {
	Verdict(fingerprint uint64) suspect.Verdict
	ConfirmCrasher(fingerprint uint64) []suspect.Notice
}

// Budget limits tries beyond the first; see package retry.
type Budget interface {
	RecordRequest(r *mulberrylink.Request)
	AllowRetry(r *mulberrylink.Request, res mulberrylink.Result, extraAttempts int) bool
	HedgeDelay(r *mulberrylink.Request) (time.Duration, bool)
	AllowHedge(r *mulberrylink.Request, extraAttempts int) bool
	RecordLatency(r *mulberrylink.Request, took time.Duration)
	RecordResult(r *mulberrylink.Request, res mulberrylink.Result)
}

// Clock tells the time. Waiting uses the timers of package time, so a test with
// a clock of its own runs in a testing/synctest bubble.
type Clock interface{ Now() time.Time }
