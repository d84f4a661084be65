// Package exchange sends one HTTP/1.1 request over a pooled connection and
// reports how far a failed exchange got. net/http doesn't report that, but retries
// depend on it: a request that may run at most once is sent again only if no byte
// of it was sent. The server at the other end, called the upstream here, may also
// be another node.
//
// Idle connections are checked before reuse, each response is matched to its
// request, and a connection on which unexpected bytes arrived is closed. Response
// heads are checked against the grammar of HTTP/1.1 as their bytes arrive: an exchange
// fails at the first byte that no response can have there. The
// request body is sent while the response is read, so that an upstream may
// respond before it has read a long body. When the context of an exchange ends,
// its connection is closed.
//
// # Usage
//
//	p := exchange.NewPool(exchange.Config{DialTimeout: 300 * time.Millisecond})
//	resp, err := p.Do(ctx, &exchange.Request{Addr: addr, Method: "GET", Target: "/x", …})
//	var stageErr *exchange.StageError
//	if errors.As(err, &stageErr) && stageErr.Stage == exchange.NotSent {
//		// nothing was sent: the request has not run
//	}
package exchange

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/mulberrylink/mulberrylink/state/memory"
)

//go:generate ../../bin/tools/stringer -type=Stage -linecomment -output=stage_string.go

// Stage tells how far an exchange got before it failed.
type Stage uint8

// Stages of an exchange.
const (
	// NotSent means that no byte of the request was sent.
	NotSent Stage = iota // notsent
	// Sent means that the upstream may have read the request, but no response
	// arrived.
	Sent // sent
	// ResponseBegun means that a response arrived that is cut off or can't be
	// parsed.
	ResponseBegun // begun
)

// StageError is the error that Do returns.
type StageError struct {
	Stage Stage
	// ConnectionRefused reports whether nothing listens on the address.
	ConnectionRefused bool
	Err               error
}

// Error implements error.
func (e *StageError) Error() string { return fmt.Sprintf("exchange failed (%s): %v", e.Stage, e.Err) }

// Unwrap returns the cause.
func (e *StageError) Unwrap() error { return e.Err }

// Request is one HTTP request to send.
type Request struct {
	Addr   string
	Method string
	// Target is the request target, exactly as written in the request line.
	Target string
	Host   string
	Header http.Header
	// Body may be nil. Length is its size in bytes, -1 when it is unknown.
	Body   io.Reader
	Length int64
	// ExpectContinue sends the body only after a 100 Continue response, so that a
	// rejection doesn't cost the transfer of the body.
	ExpectContinue bool
	// Deadline ends the exchange.
	Deadline time.Time
	// InactivityTimeout ends the exchange when nothing, not even an interim (1xx)
	// response, has arrived for that long before the final response begins. Zero
	// waits until the deadline. With OnInactivity, the exchange doesn't end then:
	// OnInactivity is called once, must return at once, and the exchange waits until
	// the deadline.
	InactivityTimeout time.Duration
	OnInactivity      func()
	// MaxIdleTime limits how long a reused connection may have been idle. Zero
	// selects the limit of the pool.
	MaxIdleTime time.Duration
	// NewConn opens a new connection instead of reusing an idle one.
	NewConn bool
	// Match reports whether a response with this header belongs to the request.
	// Other responses are skipped. It may be nil.
	Match func(http.Header) bool
	// OnInterim is called with the header of each interim (1xx) response. It may
	// be nil.
	OnInterim func(http.Header)
	// Memory is the account of the request. The head and the buffered part of the response are
	// charged to it. It may be nil.
	Memory *memory.Account
}

// Response is the response to a Request.
type Response struct {
	Status int
	Header http.Header
	// Length is the declared length of the body, -1 when none is declared.
	Length int64
	// Body holds the first bytes of the body, all of them when Rest is nil.
	Body []byte
	// Rest streams the remaining bytes. It must be closed. It returns an error
	// other than io.EOF when the response was cut off.
	Rest io.ReadCloser
}

// Close closes Rest. It may be called on a nil Response.
func (r *Response) Close() {
	if r != nil && r.Rest != nil {
		_ = r.Rest.Close()
	}
}
