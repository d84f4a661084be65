// Package exchange sends one HTTP/1.1 request over a pooled connection and tells
// exactly how far it got, which a general HTTP client does not: a request that
// may run at most once is sent again only when nothing of it was sent.
//
// Connections are checked before they are used again, answers are matched to
// their request, and a connection on which anything unexpected arrived is
// closed. The body is sent while the answer is read, so an upstream may answer
// before it has read a long body. A request ends, and its connection with it,
// when its context ends.
//
// # Usage
//
//	p := exchange.NewPool(exchange.Config{Dial: 300 * time.Millisecond})
//	ans, err := p.Do(ctx, &exchange.Call{Addr: addr, Method: "GET", Target: "/x", …})
//	var f *exchange.StageError
//	if errors.As(err, &f) && f.Stage == exchange.NotSent {
//		// nothing was sent: the request has not run
//	}
package exchange

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

//go:generate ../../bin/tools/stringer -type=Stage -linecomment -output=stage_string.go

// Stage is how far a failed exchange got.
type Stage uint8

// Stages of an exchange.
const (
	// NotSent means that no byte of the request was sent.
	NotSent Stage = iota // notsent
	// Sent means that the request may have been read; no answer came.
	Sent // sent
	// Begun means that an answer came which is cut off or unreadable.
	Begun // begun
)

// StageError is the error of Do.
type StageError struct {
	Stage Stage
	// Refused is true when nothing listens at the address.
	Refused bool
	Err     error
}

// Error implements error.
func (f *StageError) Error() string { return fmt.Sprintf("exchange failed (%s): %v", f.Stage, f.Err) }

// Unwrap returns the cause.
func (f *StageError) Unwrap() error { return f.Err }

// Call is one request.
type Call struct {
	Addr   string
	Method string
	// Target is the request target as it stands in the request line.
	Target string
	Host   string
	Header http.Header
	// Body is nil without a body. Length is its size, -1 when it is not known.
	Body   io.Reader
	Length int64
	// Wait sends the body only when the other side asks for it, so that a
	// refusal costs no bytes.
	Wait bool
	// Deadline ends the exchange.
	Deadline time.Time
	// Silence ends the exchange when the other side has sent nothing, not even
	// an interim answer, for that long. Zero waits until the deadline.
	Silence time.Duration
	// MaxIdle limits how long a reused connection may have been idle; zero
	// takes the limit of the pool.
	MaxIdle time.Duration
	// Fresh opens a new connection.
	Fresh bool
	// Match reports whether an answer belongs to this request. Others are
	// dropped. It may be nil.
	Match func(http.Header) bool
	// Interim is called with the header of each interim answer. It may be nil.
	Interim func(http.Header)
}

// Answer is the answer to a Call.
type Answer struct {
	Status int
	Header http.Header
	// Length is the announced length, -1 without one.
	Length int64
	// Body holds the first bytes, all of them when Rest is nil.
	Body []byte
	// Rest is what follows. It must be closed. It returns an error other than
	// io.EOF when the answer was cut off.
	Rest io.ReadCloser
}

// Close gives up what was not read.
func (a *Answer) Close() {
	if a != nil && a.Rest != nil {
		_ = a.Rest.Close()
	}
}
