package forward

import (
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink"
)

// Names of the drpc methods.
const (
	methodExchange = "forward/exchange"
	methodResolve  = "forward/resolve"
	methodConfig   = "forward/config"
)

// Sizes and intervals of the protocol.
const (
	// chunkBytes is the maximum size of a body chunk.
	chunkBytes = 32 << 10
	// maxRetainedBytes is the largest response body that is retained for a resolve.
	maxRetainedBytes = 256 << 10
	// retentionTime is how long a result that was not acknowledged is retained.
	retentionTime = 10 * time.Second
	// firstHeartbeat is the delay of the admitting node's first heartbeat, which
	// shows that an exchange waits for admission. It is below reusedConnTimeout.
	firstHeartbeat = 100 * time.Millisecond
	// heartbeatInterval is the interval of heartbeats on both sides.
	heartbeatInterval = 250 * time.Millisecond
	// inactivityTimeout is how long the entry node waits for the next frame, or for
	// the reply to a unary call.
	inactivityTimeout = time.Second
	// reusedConnTimeout replaces inactivityTimeout for the first frame on a reused
	// connection, which may have stopped working unnoticed while it was idle.
	reusedConnTimeout = 300 * time.Millisecond
	// entryNodeTimeout is how long the admitting node keeps an exchange running
	// whose entry node is neither connected nor resolving it.
	entryNodeTimeout = 2 * time.Second
	// resultGrace is how long after the deadline the result of the admitting node
	// may still arrive.
	resultGrace = 100 * time.Millisecond

	maxIDBytes     = 256
	maxHeaderBytes = 1 << 20
)

type frameKind uint8

const (
	frameOpen frameKind = iota + 1
	frameAdmitted
	frameRejected
	frameHeartbeat
	frameChunk
	frameBodyEnd
	frameBodyAborted
	frameResponse
	frameResponseEnd
	frameFailed
	frameCancel
	frameKindEnd
)

// frame is a message on the stream of an exchange. Its kind says which fields are
// set.
type frame struct {
	Kind     frameKind     `cbor:"k"`
	Open     *openMessage  `cbor:"o,omitempty"`
	Response *responseHead `cbor:"a,omitempty"`
	Data     []byte        `cbor:"d,omitempty"`
	// Last marks Data as the last chunk of a request or response body.
	Last    bool                 `cbor:"e,omitempty"`
	Outcome mulberrylink.Outcome `cbor:"u,omitempty"`
	Reason  mulberrylink.Reason  `cbor:"r,omitempty"`
	Load    *loadMessage         `cbor:"l,omitempty"`
}

// openMessage is the header of a request.
type openMessage struct {
	ID          string              `cbor:"i"`
	Attempt     int                 `cbor:"n"`
	Service     string              `cbor:"s"`
	Method      string              `cbor:"m"`
	Path        string              `cbor:"p"`
	Header      map[string][]string `cbor:"h,omitempty"`
	Length      int64               `cbor:"l"`
	Key         string              `cbor:"k,omitempty"`
	Fingerprint uint64              `cbor:"f"`
	Idempotent  bool                `cbor:"e,omitempty"`
	Keyed       bool                `cbor:"y,omitempty"`
	// RemainingMS is the time until the deadline. It is sent instead of the
	// deadline, because the clocks of hosts differ.
	RemainingMS int64 `cbor:"t"`
	// ExtraAttempts counts the attempts beyond the first along the whole call chain,
	// unlike Attempt, which is the number of this attempt.
	ExtraAttempts int `cbor:"r,omitempty"`
	// Depth is the depth of the request in a chain of nested calls.
	Depth int `cbor:"d,omitempty"`
	// Alone requests that no other request is in flight on the upstream.
	Alone bool `cbor:"a,omitempty"`
}

// responseHead is the status and the header of a response.
type responseHead struct {
	Status int                 `cbor:"s"`
	Header map[string][]string `cbor:"h,omitempty"`
	Length int64               `cbor:"l"`
}

type loadMessage struct {
	InFlight int     `cbor:"f"`
	Limit    int     `cbor:"l"`
	Queued   int     `cbor:"q,omitempty"`
	Latency  float64 `cbor:"t"`
	Cold     bool    `cbor:"c,omitempty"`
}

// exchangeState is the state of an exchange on the admitting node, as a resolve
// reply reports it.
type exchangeState uint8

const (
	stateFenced   exchangeState = iota + 1 // never seen; rejected from now on
	stateRunning                           // admitted or waiting for admission
	stateAnswered                          // ended; the response is in the reply
	stateFailed                            // ended without a response; outcome and reason are in the reply
	stateUnknown                           // the node can't tell whether the request was run
	exchangeStateEnd
)

type resolveRequest struct {
	ID      string `cbor:"i"`
	Attempt int    `cbor:"n"`
	// AgeMS is the time since the exchange was opened. A node whose process is
	// younger cannot prove that the exchange was never seen.
	AgeMS int64 `cbor:"a"`
	// WaitMS is how long the reply may wait for the end of the exchange.
	WaitMS int64 `cbor:"w,omitempty"`
	// Peek only queries the state. Without it, a request body that is still
	// arriving on the first connection is aborted.
	Peek bool `cbor:"p,omitempty"`
}

type resolveReply struct {
	State    exchangeState        `cbor:"s"`
	Outcome  mulberrylink.Outcome `cbor:"u,omitempty"`
	Reason   mulberrylink.Reason  `cbor:"r,omitempty"`
	Response *responseHead        `cbor:"a,omitempty"`
	Body     []byte               `cbor:"b,omitempty"`
	Load     loadMessage          `cbor:"l"`
}

type configRequest struct {
	Version uint64 `cbor:"v"`
}

type configReply struct {
	Version uint64 `cbor:"v"`
	// Data is empty when the peer has no newer version.
	Data []byte `cbor:"d,omitempty"`
}

func newOpenMessage(r *mulberrylink.Request, attempt int, alone bool, now time.Time) *openMessage {
	return &openMessage{
		ID: r.ID, Attempt: attempt, Service: r.Service, Method: r.Method, Path: r.Path,
		Header: r.Header, Length: r.Length, Key: r.Key, Fingerprint: r.Fingerprint,
		Idempotent: r.Idempotent, Keyed: r.Keyed,
		RemainingMS:   r.Deadline.Sub(now).Milliseconds(),
		ExtraAttempts: r.ExtraAttempts, Depth: r.Depth, Alone: alone,
	}
}

// maxRemainingMS bounds the remaining time that a peer states, one day. A larger value, or a very
// negative one, would overflow a time.Duration.
const maxRemainingMS = 24 * 60 * 60 * 1000

func (m *openMessage) toRequest(now time.Time) *mulberrylink.Request {
	return &mulberrylink.Request{
		ID: m.ID, Service: m.Service, Method: m.Method, Path: m.Path,
		Header: m.Header, Length: m.Length, Key: m.Key, Fingerprint: m.Fingerprint,
		Idempotent: m.Idempotent, Keyed: m.Keyed,
		Deadline:      now.Add(time.Duration(min(max(m.RemainingMS, 0), maxRemainingMS)) * time.Millisecond),
		ExtraAttempts: m.ExtraAttempts, Depth: m.Depth,
	}
}

// validate returns an error for a frame that violates the protocol.
func (f *frame) validate() error {
	switch {
	case f.Kind == 0 || f.Kind >= frameKindEnd:
		return errors.Newf("frame kind %d does not exist", f.Kind)
	case f.Kind == frameOpen && f.Open == nil:
		return errors.New("open frame without its header")
	case f.Kind == frameResponse && f.Response == nil:
		return errors.New("response frame without its header")
	case f.Kind == frameRejected && f.Outcome != mulberrylink.NotRun:
		return errors.Newf("rejected frame with outcome %s", f.Outcome)
	case f.Kind == frameFailed && f.Outcome != mulberrylink.Unknown:
		return errors.Newf("failed frame with outcome %s", f.Outcome)
	case len(f.Data) > chunkBytes:
		return errors.Newf("chunk of %d bytes is above the limit of %d", len(f.Data), chunkBytes)
	}
	if f.Open != nil {
		return f.Open.validate()
	}
	if f.Response != nil {
		return f.Response.validate()
	}
	return nil
}

// maxRemaining bounds the remaining time, so that adding it to the current time
// cannot overflow.
const maxRemaining = 24 * time.Hour

func (m *openMessage) validate() error {
	switch {
	case m.ID == "" || len(m.ID) > maxIDBytes:
		return errors.Newf("exchange identifier has %d bytes, not 1 to %d", len(m.ID), maxIDBytes)
	case m.Attempt < 0:
		return errors.Newf("attempt %d is negative", m.Attempt)
	case m.Method == "" || strings.ContainsAny(m.Method, " \r\n"):
		return errors.Newf("method %q is malformed", m.Method)
	case !strings.HasPrefix(m.Path, "/"):
		return errors.Newf("path %q does not start with a slash", m.Path)
	case m.Length < -1:
		return errors.Newf("body length %d is negative", m.Length)
	case m.RemainingMS > maxRemaining.Milliseconds():
		return errors.Newf("remaining time of %d ms is above the limit of %s", m.RemainingMS, maxRemaining)
	case headerBytes(m.Header) > maxHeaderBytes:
		return errors.Newf("headers are above the limit of %d bytes", maxHeaderBytes)
	}
	return nil
}

func (m *responseHead) validate() error {
	switch {
	case m.Status < 200 || m.Status > 999:
		return errors.Newf("response status %d is not a final status", m.Status)
	case m.Length < -1:
		return errors.Newf("response length %d is negative", m.Length)
	}
	return nil
}

func (m *resolveReply) validate() error {
	if m.State == 0 || m.State >= exchangeStateEnd {
		return errors.Newf("exchange state %d does not exist", m.State)
	}
	if m.State == stateAnswered && m.Response == nil {
		return errors.New("resolve reply without its response")
	}
	if m.State == stateFailed && m.Outcome != mulberrylink.NotRun && m.Outcome != mulberrylink.Unknown {
		return errors.Newf("resolve reply of a failed exchange with outcome %s", m.Outcome)
	}
	if m.State == stateAnswered && m.Response.Length >= 0 && m.Response.Length != int64(len(m.Body)) {
		return errors.Newf("retained response has %d bytes, not %d", len(m.Body), m.Response.Length)
	}
	return nil
}

func headerBytes(h http.Header) int {
	n := 0
	for k, vs := range h {
		for _, v := range vs {
			n += len(k) + len(v)
		}
	}
	return n
}

func newLoadMessage(l mulberrylink.Load) *loadMessage {
	return &loadMessage{InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued, Latency: l.Latency, Cold: l.Cold}
}

func (m *loadMessage) toLoad(now time.Time) mulberrylink.Load {
	if m == nil {
		return mulberrylink.Load{}
	}
	return mulberrylink.Load{
		InFlight: m.InFlight, Limit: m.Limit, Queued: m.Queued,
		Latency: m.Latency, Cold: m.Cold, At: now,
	}
}
