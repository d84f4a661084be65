package controlplane

import (
	"context"
	"net/http"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/control"
)

//go:generate stringer -type=ClaimState -linecomment -output=client_claims_string.go

// ClaimState is the outcome of a claim.
type ClaimState uint8

// Outcomes of a claim.
const (
	// Granted means that the attempt may run the request.
	Granted ClaimState = iota // granted
	// Pending means that the attempt named in the reply holds the claim.
	Pending // pending
	// Finished means that the request has run; the reply holds its answer.
	Finished // finished
	// Ran means that the request has run and its answer is not held.
	Ran // ran
	// Mismatch means that the key belongs to a different request.
	Mismatch // mismatch
	// Unavailable means that the claim was certainly not granted.
	Unavailable // unavailable
	// Indeterminate means that the claim may have been granted to this attempt.
	// It may be sent again with the same Request, or released.
	Indeterminate // indeterminate
)

// Claim names one attempt to run a keyed request.
type Claim struct {
	Service string
	Key     string
	// Fingerprint is the hash of the request.
	Fingerprint uint64
	// Holder is the name of this node.
	Holder string
	// RequestID identifies the attempt.
	RequestID string
	// Deadline is when the claim expires.
	Deadline time.Time
}

// Response is the recorded first response to a keyed request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// ClaimReply is the outcome of a claim.
type ClaimReply struct {
	State ClaimState
	// Holder and RequestID name the attempt that holds the claim, if any.
	Holder    string
	RequestID string
	// Response is set when State is Finished.
	Response *Response
}

// Claim asks for the claim on (Service, Key). It tries again until ctx ends,
// for at most 3 s.
func (c *Client) Claim(ctx context.Context, q Claim) ClaimReply {
	out, status := call[claimReply](ctx, c, methodClaim, q.wire())
	switch status {
	case StatusCommitted:
		return out.claim()
	case StatusIndeterminate:
		return ClaimReply{State: Indeterminate}
	default:
		return ClaimReply{State: Unavailable}
	}
}

// Finish records the first answer of a granted claim. With a nil answer, or one
// whose body is over 16 KiB, only the fact that the request ran is recorded.
func (c *Client) Finish(ctx context.Context, q Claim, a *Response) Status {
	in := q.wire()
	if a != nil && len(a.Body) <= control.MaxResponseBodyBytes {
		in.Answer = &control.Response{Status: a.Status, Header: a.Header, Body: a.Body}
	}
	_, status := call[claimReply](ctx, c, methodFinish, in)
	return status
}

// Release gives up a claim whose request was not run. It may be called after
// an indeterminate claim; a claim of the same attempt that arrives later is
// then refused.
func (c *Client) Release(ctx context.Context, q Claim) Status {
	_, status := call[claimReply](ctx, c, methodRelease, q.wire())
	return status
}

func (q Claim) wire() *claimRequest {
	return &claimRequest{
		Service: q.Service,
		Key:     q.Key,
		Print:   q.Fingerprint,
		Holder:  q.Holder,
		Request: q.RequestID,
		Left:    time.Until(q.Deadline).Milliseconds(),
	}
}

func (r *claimReply) claim() ClaimReply {
	out := ClaimReply{Holder: r.Result.Holder, RequestID: r.Result.RequestID}
	switch r.Result.Code {
	case control.Granted:
		out.State = Granted
	case control.Pending:
		out.State = Pending
	case control.Finished:
		out.State = Finished
		if a := r.Result.Response; a != nil {
			out.Response = &Response{Status: a.Status, Header: a.Header, Body: a.Body}
		}
	case control.Ran:
		out.State = Ran
	case control.Mismatch:
		out.State = Mismatch
	default:
		out.State = Unavailable
	}
	return out
}
