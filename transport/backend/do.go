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

// Do sends r to the upstream and returns when the header of the response has
// arrived. The body of a response must be closed.
func (b *Backend) Do(ctx context.Context, r *mulberrylink.Request) Result {
	start := time.Now()
	c := b.client.Load()
	if c == nil {
		return Result{Result: notRun(mulberrylink.ReasonNoUpstream)}
	}
	f := b.crashes.add(r.Fingerprint)
	res := b.sendOnce(ctx, c, r, &f.trace)
	res.ServiceTime = f.trace.serviceTime(r, start)
	if res.Outcome != mulberrylink.Answered {
		b.checkFailure(c, f, &res)
		b.crashes.remove(f)
		return res.Result
	}
	res.Answer.Body = &responseBody{
		ReadCloser: res.Answer.Body,
		onCut:      func() { b.onResponseCut(c, f) },
		onDone:     func() { b.crashes.remove(f) },
	}
	return res.Result
}

// attempt is the result of sending a request once.
type attempt struct {
	Result
	cut bool // the connection ended without a response
}

func (b *Backend) sendOnce(ctx context.Context, c *client, r *mulberrylink.Request, trace *requestTrace) attempt {
	body := newRequestBody(r)
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace.clientTrace()), c, r, body)
	if err != nil {
		return attempt{Result: Result{Result: notRun(mulberrylink.ReasonBadRequest)}}
	}
	resp, err := c.service.DoRequest(req)
	if err != nil {
		return classifyError(ctx, err, trace, body)
	}
	if !isFinal(resp) {
		_ = resp.Body.Close()
		return attempt{Result: Result{Result: mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: mulberrylink.ReasonLost}}}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderShed) == "true" {
		_, _ = io.CopyN(io.Discard, resp.Body, bufferBytes)
		_ = resp.Body.Close()
		return attempt{Result: Result{Result: notRun(mulberrylink.ReasonShed)}}
	}
	a := &mulberrylink.Answer{
		Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Length: resp.ContentLength,
	}
	if a.Length < 0 && len(resp.TransferEncoding) == 0 {
		a.Body = &undelimitedBody{ReadCloser: a.Body, ctx: ctx, trace: trace}
	}
	if a.Length < 0 {
		a.Body = http.MaxBytesReader(nil, a.Body, maxUndelimitedBytes) // the upstream may send without end
	}
	if r.Method == http.MethodHead {
		a.Length = 0 // the Content-Length of a response to HEAD is that of a body that isn't sent
	}
	return attempt{Result: Result{Result: mulberrylink.Result{Outcome: mulberrylink.Answered, Answer: a}}}
}

// isFinal reports whether a response is a final one of HTTP/1.1. net/http accepts any version and
// any three digits as the status.
func isFinal(resp *http.Response) bool {
	return resp.Proto == "HTTP/1.1" && resp.StatusCode >= http.StatusOK && resp.StatusCode <= maxStatus
}

func classifyError(ctx context.Context, err error, trace *requestTrace, body *requestBody) attempt {
	var a attempt
	if trace.nothingWritten() {
		a.ConnectionRefused = errors.Is(err, syscall.ECONNREFUSED)
		a.Result.Result = notRun(mulberrylink.ReasonConnect)
		if ctx.Err() != nil {
			a.Reason = contextReason(ctx)
		}
		return a
	}
	a.Outcome = mulberrylink.Unknown
	switch {
	case ctx.Err() != nil:
		a.Reason = contextReason(ctx)
	case body.failed.Load():
		a.Reason = mulberrylink.ReasonBadRequest
	default:
		a.Reason = mulberrylink.ReasonLost
		a.cut = isCut(err)
	}
	return a
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
	if r.Body == nil && !isUsuallyBodyless(r.Method) {
		// With NoBody net/http sends "Content-Length: 0"; it would send an unknown
		// body in chunks. It repeats requests of these methods only if they have an
		// Idempotency-Key header under its canonical name.
		req.Body = http.NoBody
		req.ContentLength = 0
	}
	return req.WithContext(ctx), nil
}

// isUsuallyBodyless reports whether net/http may repeat a request of this method that
// has no body. Such a request gets an empty body that is not http.NoBody: net/http
// sends it without a body, but doesn't repeat it.
func isUsuallyBodyless(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodDelete, "PROPFIND", "SEARCH":
		return true
	}
	return false
}

// requestHeader returns the header to send. Idempotency keys are stored under a name
// in lower case: net/http repeats a request that has one under the canonical name,
// and header names are case-insensitive on the wire.
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
		h["User-Agent"] = nil // suppresses the default of net/http
	}
	remaining := max(time.Until(r.Deadline).Milliseconds(), 1)
	h.Set(HeaderTimeout, strconv.FormatInt(remaining, 10))
	h.Set(HeaderTries, strconv.Itoa(r.ExtraAttempts))
	h.Set(HeaderDepth, strconv.Itoa(r.Depth))
	return h
}

// requestTrace records whether any byte of a request was written to its connection,
// and when the request and its response passed.
type requestTrace struct {
	mu            sync.Mutex
	conn          *countingConn
	writtenBefore int64 // bytes written to conn before the request
	// The times are zero until the event has happened.
	headersWritten, requestWritten, firstByte time.Time
	writeErr                                  error // set with requestWritten
}

func (t *requestTrace) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			if c, ok := info.Conn.(*countingConn); ok {
				t.conn = c
				t.writtenBefore = c.written.Load()
			}
		},
		WroteHeaders:         func() { t.setNow(&t.headersWritten) },
		WroteRequest:         t.recordWritten,
		GotFirstResponseByte: func() { t.setNow(&t.firstByte) },
	}
}

func (t *requestTrace) setNow(at *time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*at = time.Now()
}

func (t *requestTrace) recordWritten(info httptrace.WroteRequestInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestWritten, t.writeErr = time.Now(), info.Err
}

// written returns the error of writing the request. done is false until that has ended.
func (t *requestTrace) written() (done bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.requestWritten.IsZero(), t.writeErr
}

// serviceTime returns the time that the request took at the upstream, until the first
// byte of the response. It includes the transfer of a streamed body, whose duration
// depends on the caller and the upstream and not on the node. Without a response it
// is the time since start.
func (t *requestTrace) serviceTime(r *mulberrylink.Request, start time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	from := t.requestWritten
	if r.Body != nil && r.Replay == nil || from.IsZero() {
		from = t.headersWritten
	}
	if t.firstByte.IsZero() || from.IsZero() {
		return time.Since(start)
	}
	return max(t.firstByte.Sub(from), 0)
}

// nothingWritten reports whether no byte of the request was given to a connection.
func (t *requestTrace) nothingWritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn == nil || t.conn.written.Load() == t.writtenBefore
}

// requestBody is a request body that records whether reading it failed.
type requestBody struct {
	r      io.Reader
	failed atomic.Bool
}

func newRequestBody(r *mulberrylink.Request) *requestBody { return &requestBody{r: r.Body} }

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

const (
	// maxWriteWait is how long the end of a response waits for the end of its request. net/http closes
	// the connection meanwhile, which ends a write.
	maxWriteWait      = time.Second
	writePollInterval = time.Millisecond
)

var errNotSent = errors.New("the connection ended before the request was sent to its end")

// undelimitedBody is a response body that ends with its connection. If the upstream resets the
// connection while the request body is being written, the write consumes the error of the socket, and the
// next read returns a plain end of file. The end of the body is therefore the end of the response only
// if the request was sent without an error.
type undelimitedBody struct {
	io.ReadCloser
	ctx   context.Context
	trace *requestTrace
}

// Read implements io.Reader.
func (b *undelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for end := time.Now().Add(maxWriteWait); time.Now().Before(end) && b.ctx.Err() == nil; time.Sleep(writePollInterval) {
		if done, writeErr := b.trace.written(); done {
			if writeErr != nil {
				err = errors.Wrap(errNotSent, writeErr.Error())
			}
			return n, err
		}
	}
	return n, errNotSent
}

// responseBody is the body of a response. It calls onCut when the connection is cut
// while the body is read, and onDone when the exchange has ended.
type responseBody struct {
	io.ReadCloser
	onCut  func()
	onDone func()
	once   sync.Once
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && isCut(err) {
		b.once.Do(func() { b.onCut(); b.onDone() })
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onDone)
	return err
}

// isCut reports whether the connection ended, as it does when the process of the
// upstream crashes. A response that can't be parsed doesn't count.
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
