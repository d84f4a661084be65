package forward

import (
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink"
)

// Method names of the drpc calls.
const (
	methodExchange = "forward/exchange"
	methodResolve  = "forward/resolve"
	methodConfig   = "forward/config"
)

// Sizes and intervals of the protocol.
const (
	// chunkBytes is the size of one body chunk.
	chunkBytes = 32 << 10
	// heldBytes is the largest answer body kept for a resolve.
	heldBytes = 256 << 10
	// heldTime is how long an answer that was not acknowledged is kept.
	heldTime = 10 * time.Second
	// firstBeat is when an exchange that still waits for admission first
	// shows that it is alive. It is below admitSilence.
	firstBeat = 100 * time.Millisecond
	// beatInterval is the interval of heartbeats on both sides.
	beatInterval = 250 * time.Millisecond
	// silence is how long a receiver waits for any frame.
	silence = time.Second
	// admitSilence replaces silence for the first frame on a reused
	// connection, which may have gone silent while it was idle.
	admitSilence = 300 * time.Millisecond
	// callerSilence is how long the admitting node keeps an exchange running
	// whose entry node is neither connected nor resolving it.
	callerSilence = 2 * time.Second
	// verdictGrace is the time after the deadline in which the admitting
	// node's own verdict may still arrive.
	verdictGrace = 100 * time.Millisecond

	maxIDBytes     = 256
	maxHeaderBytes = 1 << 20
)

type frameKind uint8

const (
	frameOpen frameKind = iota + 1
	frameAdmitted
	frameRefused
	frameHeartbeat
	frameChunk
	frameBodyEnd
	frameBodyCut
	frameAnswer
	frameEnd
	frameFailed
	frameCancel
	frameLimit
)

// frame is every message of an exchange.
type frame struct {
	Kind   frameKind    `cbor:"k"`
	Open   *openMessage `cbor:"o,omitempty"`
	Answer *answerHead  `cbor:"a,omitempty"`
	Data   []byte       `cbor:"d,omitempty"`
	// Last marks Data as the end of the body it belongs to.
	Last    bool                 `cbor:"e,omitempty"`
	Outcome mulberrylink.Outcome `cbor:"u,omitempty"`
	Reason  mulberrylink.Reason  `cbor:"r,omitempty"`
	Load    *loadMessage         `cbor:"l,omitempty"`
}

type openMessage struct {
	ID         string              `cbor:"i"`
	Attempt    int                 `cbor:"n"`
	Service    string              `cbor:"s"`
	Method     string              `cbor:"m"`
	Path       string              `cbor:"p"`
	Header     map[string][]string `cbor:"h,omitempty"`
	Length     int64               `cbor:"l"`
	Key        string              `cbor:"k,omitempty"`
	Print      uint64              `cbor:"f"`
	Idempotent bool                `cbor:"e,omitempty"`
	Keyed      bool                `cbor:"y,omitempty"`
	// Left is the remaining time in milliseconds.
	Left  int64 `cbor:"t"`
	Tries int   `cbor:"r,omitempty"`
	Depth int   `cbor:"d,omitempty"`
	Alone bool  `cbor:"a,omitempty"`
}

type answerHead struct {
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

type exchangeState uint8

const (
	stateFenced   exchangeState = iota + 1 // never seen, refused from now on
	stateRunning                           // admitted or waiting for admission
	stateAnswered                          // the answer is in the reply
	stateFailed                            // ended with outcome and reason
	stateLost                              // nothing can be said
	stateLimit
)

type resolveRequest struct {
	ID      string `cbor:"i"`
	Attempt int    `cbor:"n"`
	// Age is the time in milliseconds since the exchange was opened. A node
	// that has not been running for so long cannot prove that the exchange
	// was never seen.
	Age int64 `cbor:"a"`
	// Wait is how long in milliseconds the reply may wait for the end.
	Wait int64 `cbor:"w,omitempty"`
	// Peek leaves a body that is still arriving alone.
	Peek bool `cbor:"p,omitempty"`
}

type resolveReply struct {
	State   exchangeState        `cbor:"s"`
	Outcome mulberrylink.Outcome `cbor:"u,omitempty"`
	Reason  mulberrylink.Reason  `cbor:"r,omitempty"`
	Answer  *answerHead          `cbor:"a,omitempty"`
	Body    []byte               `cbor:"b,omitempty"`
	Load    loadMessage          `cbor:"l"`
}

type configRequest struct {
	Version uint64 `cbor:"v"`
}

type configReply struct {
	Version uint64 `cbor:"v"`
	// Data is empty when the peer has nothing newer.
	Data []byte `cbor:"d,omitempty"`
}

func newOpen(r *mulberrylink.Request, attempt int, alone bool, now time.Time) *openMessage {
	return &openMessage{
		ID: r.ID, Attempt: attempt, Service: r.Service, Method: r.Method, Path: r.Path,
		Header: r.Header, Length: r.Length, Key: r.Key, Print: r.Fingerprint,
		Idempotent: r.Idempotent, Keyed: r.Keyed,
		Left:  r.Deadline.Sub(now).Milliseconds(),
		Tries: r.Attempts, Depth: r.Depth, Alone: alone,
	}
}

func (m *openMessage) request(now time.Time) *mulberrylink.Request {
	return &mulberrylink.Request{
		ID: m.ID, Service: m.Service, Method: m.Method, Path: m.Path,
		Header: m.Header, Length: m.Length, Key: m.Key, Fingerprint: m.Print,
		Idempotent: m.Idempotent, Keyed: m.Keyed,
		Deadline: now.Add(time.Duration(m.Left) * time.Millisecond),
		Attempts: m.Tries, Depth: m.Depth,
	}
}

// check returns an error for a frame that no correct peer sends.
func (f *frame) check() error {
	switch {
	case f.Kind == 0 || f.Kind >= frameLimit:
		return errors.Newf("frame kind %d does not exist", f.Kind)
	case f.Kind == frameOpen && f.Open == nil:
		return errors.New("open frame without its header")
	case f.Kind == frameAnswer && f.Answer == nil:
		return errors.New("answer frame without its header")
	case f.Kind == frameRefused && f.Outcome != mulberrylink.NotRun:
		return errors.Newf("refused frame with outcome %s", f.Outcome)
	case f.Kind == frameFailed && f.Outcome != mulberrylink.Unknown:
		return errors.Newf("failed frame with outcome %s", f.Outcome)
	case len(f.Data) > chunkBytes:
		return errors.Newf("chunk of %d bytes is above the limit of %d", len(f.Data), chunkBytes)
	}
	if f.Open != nil {
		return f.Open.check()
	}
	if f.Answer != nil {
		return f.Answer.check()
	}
	return nil
}

// maxLeft bounds the remaining time, so that adding it to the clock cannot
// overflow.
const maxLeft = 24 * time.Hour

func (m *openMessage) check() error {
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
	case m.Left > maxLeft.Milliseconds():
		return errors.Newf("remaining time of %d ms is above the limit of %s", m.Left, maxLeft)
	case headerBytes(m.Header) > maxHeaderBytes:
		return errors.Newf("headers are above the limit of %d bytes", maxHeaderBytes)
	}
	return nil
}

func (m *answerHead) check() error {
	switch {
	case m.Status < 200 || m.Status > 999:
		return errors.Newf("answer status %d is not a final status", m.Status)
	case m.Length < -1:
		return errors.Newf("answer length %d is negative", m.Length)
	}
	return nil
}

func (m *resolveReply) check() error {
	if m.State == 0 || m.State >= stateLimit {
		return errors.Newf("exchange state %d does not exist", m.State)
	}
	if m.State == stateAnswered && m.Answer == nil {
		return errors.New("resolve reply without its answer")
	}
	if m.State == stateFailed && m.Outcome != mulberrylink.NotRun && m.Outcome != mulberrylink.Unknown {
		return errors.Newf("resolve reply of a failed exchange with outcome %s", m.Outcome)
	}
	if m.State == stateAnswered && m.Answer.Length >= 0 && m.Answer.Length != int64(len(m.Body)) {
		return errors.Newf("held answer has %d bytes, not %d", len(m.Body), m.Answer.Length)
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

func newLoad(l mulberrylink.Load) *loadMessage {
	return &loadMessage{InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued, Latency: l.Latency, Cold: l.Cold}
}

func (m *loadMessage) load(now time.Time) mulberrylink.Load {
	if m == nil {
		return mulberrylink.Load{}
	}
	return mulberrylink.Load{
		InFlight: m.InFlight, Limit: m.Limit, Queued: m.Queued,
		Latency: m.Latency, Cold: m.Cold, At: now,
	}
}
