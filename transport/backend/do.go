package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink"
)

// Do sends r to the upstream and returns when the header of the answer is
// there. The body of an answer must be closed.
func (b *Backend) Do(ctx context.Context, r *mulberrylink.Request) Result {
	start := time.Now()
	c := b.target.Load()
	if c == nil {
		return Result{Result: notRun(mulberrylink.ReasonNoUpstream)}
	}
	flight := b.deaths.enter(r.Fingerprint)
	res := b.once(ctx, c, r, &flight.written)
	res.ServiceTime = flight.written.wait(r, start)
	if res.Outcome != mulberrylink.Answered {
		b.failed(c, flight, &res)
		b.deaths.leave(flight)
		return res.Result
	}
	res.Answer.Body = &answerBody{
		ReadCloser: res.Answer.Body,
		cut:        func() { b.cutAnswer(c, flight) },
		leave:      func() { b.deaths.leave(flight) },
	}
	return res.Result
}

// try is the result of one attempt to send.
type try struct {
	Result
	cut bool // the connection ended without an answer
}

func (b *Backend) once(ctx context.Context, c *client, r *mulberrylink.Request, w *written) try {
	body := newBody(r)
	req, err := newRequest(httptrace.WithClientTrace(ctx, w.trace()), c, r, body)
	if err != nil {
		return try{Result: Result{Result: notRun(mulberrylink.ReasonBadRequest)}}
	}
	resp, err := c.service.DoRequest(req)
	if err != nil {
		return classify(ctx, err, w, body)
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderShed) == "true" {
		_, _ = io.CopyN(io.Discard, resp.Body, bufferBytes)
		_ = resp.Body.Close()
		return try{Result: Result{Result: notRun(mulberrylink.ReasonShed)}}
	}
	a := &mulberrylink.Answer{
		Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Length: resp.ContentLength,
	}
	if r.Method == http.MethodHead {
		a.Length = 0 // Content-Length describes a body that is not sent
	}
	return try{Result: Result{Result: mulberrylink.Result{Outcome: mulberrylink.Answered, Answer: a}}}
}

func classify(ctx context.Context, err error, w *written, body *requestBody) try {
	var t try
	if w.none() {
		t.ConnectionRefused = errors.Is(err, syscall.ECONNREFUSED)
		t.Result.Result = notRun(mulberrylink.ReasonConnect)
		if ctx.Err() != nil {
			t.Reason = contextReason(ctx)
		}
		return t
	}
	t.Outcome = mulberrylink.Unknown
	switch {
	case ctx.Err() != nil:
		t.Reason = contextReason(ctx)
	case body.failed.Load():
		t.Reason = mulberrylink.ReasonBadRequest
	default:
		t.Reason = mulberrylink.ReasonLost
		t.cut = isCut(err)
	}
	return t
}

func newRequest(ctx context.Context, c *client, r *mulberrylink.Request, body *requestBody) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, err
	}
	u.Scheme = "http"
	u.Host = c.target.Addr
	req := &http.Request{
		Method: r.Method, URL: u, Host: r.Service, Header: requestHeader(r),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: r.Length, Body: body,
	}
	if r.Body == nil && !usuallyWithoutBody(r.Method) {
		// NoBody sends "Content-Length: 0"; an unknown body would be chunked.
		// Requests of these methods are only repeated by net/http when they
		// carry an Idempotency-Key under its canonical name.
		req.Body = http.NoBody
		req.ContentLength = 0
	}
	return req.WithContext(ctx), nil
}

// usuallyWithoutBody names the methods that net/http repeats when they have no
// body. They get a body that is not http.NoBody and is empty, which net/http
// does not send and does not repeat.
func usuallyWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodDelete, "PROPFIND", "SEARCH":
		return true
	}
	return false
}

// requestHeader copies the headers. Idempotency keys are stored under a name
// in lower case, which is the same on the wire: net/http repeats a request when
// it finds them under the canonical name.
func requestHeader(r *mulberrylink.Request) http.Header {
	h := make(http.Header, len(r.Header)+4)
	for k, vs := range r.Header {
		switch k {
		case "Idempotency-Key":
			k = "idempotency-key"
		case "X-Idempotency-Key":
			k = "x-idempotency-key"
		}
		h[k] = vs
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // suppresses the library's own
	}
	left := max(time.Until(r.Deadline).Milliseconds(), 1)
	h.Set(HeaderTimeout, strconv.FormatInt(left, 10))
	h.Set(HeaderTries, strconv.Itoa(r.Attempts))
	h.Set(HeaderDepth, strconv.Itoa(r.Depth))
	return h
}

// written tells whether any byte of one request reached a connection.
type written struct {
	mu     sync.Mutex
	conn   *countedConn
	before int64
	// Times of one request on its connection.
	head, whole, answer time.Time
}

func (w *written) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if c, ok := info.Conn.(*countedConn); ok {
				w.conn = c
				w.before = c.written.Load()
			}
		},
		WroteHeaders:         func() { w.stamp(&w.head) },
		WroteRequest:         func(httptrace.WroteRequestInfo) { w.stamp(&w.whole) },
		GotFirstResponseByte: func() { w.stamp(&w.answer) },
	}
}

func (w *written) stamp(at *time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*at = time.Now()
}

// wait returns how long the upstream let the node wait for the first byte of
// its answer. The time of a streamed body is the caller's or the upstream's and
// not the node's, so it counts as well. Without an answer it is the whole time.
func (w *written) wait(r *mulberrylink.Request, start time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	from := w.whole
	if r.Body != nil && r.Replay == nil || from.IsZero() {
		from = w.head
	}
	if w.answer.IsZero() || from.IsZero() {
		return time.Since(start)
	}
	return max(w.answer.Sub(from), 0)
}

func (w *written) none() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conn == nil || w.conn.written.Load() == w.before
}

// requestBody notes whether reading the body failed.
type requestBody struct {
	r      io.Reader
	failed atomic.Bool
}

func newBody(r *mulberrylink.Request) *requestBody { return &requestBody{r: r.Body} }

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.r == nil {
		return 0, io.EOF
	}
	n, err := b.r.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(true)
	}
	return n, err
}

// Close implements io.Closer.
func (b *requestBody) Close() error { return nil }

// answerBody reports a connection that is cut while the body is read.
type answerBody struct {
	io.ReadCloser
	cut   func()
	leave func()
	once  sync.Once
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && isCut(err) {
		b.once.Do(func() { b.cut(); b.leave() })
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.leave)
	return err
}

// isCut reports whether the connection ended, as it does when the process of
// the upstream dies. An answer that cannot be parsed is no such sign.
func isCut(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op) ||
		strings.Contains(err.Error(), "server closed idle connection") // not exported by net/http
}

func notRun(reason mulberrylink.Reason) mulberrylink.Result {
	return mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: reason}
}

func contextReason(ctx context.Context) mulberrylink.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return mulberrylink.ReasonDeadline
	}
	return mulberrylink.ReasonCanceled
}
