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
	// Granted means that this attempt holds the claim and may run the request.
	Granted ClaimState = iota // granted
	// Pending means that another attempt, named in the reply, holds the claim.
	Pending // pending
	// Finished means that the request has run. The reply holds its first response.
	Finished // finished
	// Ran means that the request has run and its response is not stored.
	Ran // ran
	// Mismatch means that the key is claimed by a request with another fingerprint.
	Mismatch // mismatch
	// Unavailable means that the claim was not granted and will not be.
	Unavailable // unavailable
	// Indeterminate means that the claim may have been granted to this attempt. It may be sent again
	// with the same RequestID, or released.
	Indeterminate // indeterminate
)

// Claim identifies one attempt to run a request with an idempotency key.
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

// Claim requests the claim on (Service, Key). It retries until ctx ends, for at most 3 s.
func (c *Client) Claim(ctx context.Context, claim Claim) ClaimReply {
	out, status := call[claimReply](ctx, c, methodClaim, claim.wire())
	switch status {
	case StatusCommitted:
		return out.clientReply()
	case StatusIndeterminate:
		return ClaimReply{State: Indeterminate}
	default:
		return ClaimReply{State: Unavailable}
	}
}

// Finish records the first response to the request of a granted claim. If resp is nil or its body is
// larger than 16 KiB, Finish records only that the request ran.
func (c *Client) Finish(ctx context.Context, claim Claim, resp *Response) Status {
	in := claim.wire()
	if resp != nil && len(resp.Body) <= control.MaxResponseBodyBytes {
		in.Response = &control.Response{Status: resp.Status, Header: resp.Header, Body: resp.Body}
	}
	_, status := call[claimReply](ctx, c, methodFinish, in)
	return status
}

// Release releases a claim whose request did not run. It may be called after an indeterminate claim:
// a late claim of the same attempt is then refused.
func (c *Client) Release(ctx context.Context, claim Claim) Status {
	_, status := call[claimReply](ctx, c, methodRelease, claim.wire())
	return status
}

func (c Claim) wire() *claimRequest {
	return &claimRequest{
		Service:         c.Service,
		Key:             c.Key,
		Fingerprint:     c.Fingerprint,
		Holder:          c.Holder,
		RequestID:       c.RequestID,
		RemainingMillis: time.Until(c.Deadline).Milliseconds(),
	}
}

func (r *claimReply) clientReply() ClaimReply {
	out := ClaimReply{Holder: r.Result.Holder, RequestID: r.Result.RequestID}
	switch r.Result.Code {
	case control.Granted:
		out.State = Granted
	case control.Pending:
		out.State = Pending
	case control.Finished:
		out.State = Finished
		if resp := r.Result.Response; resp != nil {
			out.Response = &Response{Status: resp.Status, Header: resp.Header, Body: resp.Body}
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
