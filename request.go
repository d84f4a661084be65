package mulberrylink

import (
	"io"
	"net/http"
	"time"
)

// Request is a request of a caller, as the coordination packages handle it.
type Request struct {
	// ID identifies the request on all nodes that handle it.
	ID string
	// Service is the name of the service, taken from the Host header.
	Service string
	// Method is the HTTP method.
	Method string
	// Path is the path and query, unchanged from what the caller sent.
	Path string
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is nil if the request has no body.
	Body io.Reader
	// Length is the length of the body in bytes, -1 if it is unknown.
	Length int64
	// Replay returns a new reader of the whole body. It is nil if the body is streamed and
	// therefore cannot be sent again.
	Replay func() (io.Reader, error)
	// Key is the idempotency key, empty if the caller sent none.
	Key string
	// Fingerprint is a hash of what the request asks for. Requests with equal fingerprints are
	// treated as the same request.
	Fingerprint uint64
	// Idempotent is true if running the request twice has the same effect as running it once.
	Idempotent bool
	// Keyed is true if a durable claim on the idempotency key is required before dispatch.
	Keyed bool
	// Deadline is when the caller stops waiting for the response.
	Deadline time.Time
	// ExtraAttempts counts the attempts beyond the first that were made along the whole call chain.
	// First attempts are left out, so that a deep chain without retries does not use up the limit.
	ExtraAttempts int
	// Depth is the depth of the request in a chain of nested calls, which bounds call loops.
	Depth int
}

// Answer is the response of an upstream.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Body must be closed by the reader. Read returns an error other than io.EOF if the response
	// was truncated.
	Body io.ReadCloser
	// Length is the length of the body in bytes, -1 if it is unknown.
	Length int64
}

// Result is the result of a request or of one attempt.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// Answer is nil unless Outcome is Answered.
	Answer *Answer
	// Load is the load of the admitting node's upstream at the time of the result.
	Load Load
	// Node is the name of the admitting node, empty if the request was sent to none.
	Node string
}
