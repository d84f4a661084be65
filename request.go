package mulberrylink

import (
	"io"
	"net/http"
	"time"
)

// Request is one request of a caller as the coordination parts see it.
type Request struct {
	// ID identifies the request on every node that handles it.
	ID string
	// Service is the name of the service, taken from the Host header.
	Service string
	// Method is the HTTP method.
	Method string
	// Path holds path and query as the caller sent them.
	Path string
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is nil when the request has none.
	Body io.Reader
	// Length is the body length in bytes, -1 when it is not known.
	Length int64
	// Replay returns the body from its start. It is nil when the body is
	// streamed and cannot be sent a second time.
	Replay func() (io.Reader, error)
	// Key is the idempotency key, empty when the caller sent none.
	Key string
	// Fingerprint is a hash of what the request asks for. Requests with equal fingerprints are
	// treated as the same request.
	Fingerprint uint64
	// Idempotent is true when running the request twice does no harm.
	Idempotent bool
	// Keyed is true when the route needs a durable claim before dispatch.
	Keyed bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Attempts counts the attempts beyond the first that were made along the whole call chain.
	// First attempts are left out, so that a deep chain without retries does not use up the limit.
	Attempts int
	// Depth counts the nested calls above this request.
	Depth int
}

// Answer is the answer of an upstream.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Body must be closed by the reader. It returns an error other than
	// io.EOF when the answer was cut.
	Body io.ReadCloser
	// Length is the body length in bytes, -1 when it is not known.
	Length int64
}

// Result is what became of a request, or of one try of it.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// Answer is set only when Outcome is Answered.
	Answer *Answer
	// Load is the admitting node's load when the result was made.
	Load Load
	// Node is the name of the admitting node, empty when there was none.
	Node string
}
