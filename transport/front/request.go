package front

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/state/overlay"
)

// Request headers that callers set.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "Mulberry-Timeout"
	headerTries          = "Mulberry-Tries"
	headerDepth          = "Mulberry-Depth"
)

const (
	maxKeyBytes = 255
	// maxBufferedBodyBytes is the size up to which a body of known length is read before the
	// request is dispatched, so that the request can be retried after a rejection.
	maxBufferedBodyBytes = 64 << 10
	// maxTimeout limits the timeout that a caller may set.
	maxTimeout = 24 * time.Hour
	// defaultTimeout applies when neither the caller nor the service sets a timeout.
	defaultTimeout = 30 * time.Second
	// maxCount limits the values of Mulberry-Tries and Mulberry-Depth.
	maxCount = 1000
)

// rejection is the response to a request that is rejected before it is dispatched.
type rejection struct {
	status int
	reason mulberrylink.Reason
}

func reject(status int, reason mulberrylink.Reason) *rejection {
	return &rejection{status: status, reason: reason}
}

// hopByHopHeaders lists the headers that are not forwarded: those that apply to a single
// connection (RFC 9110, 7.6.1), and Host, Content-Length and the headers of the load
// balancer, whose values are forwarded in other ways.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
	headerTimeout, headerTries, headerDepth,
}

// parseRequest validates an HTTP request and returns the request to dispatch.
func (s *Server) parseRequest(w http.ResponseWriter, httpReq *http.Request, cfg *overlay.Config, now time.Time) (*mulberrylink.Request, *rejection) {
	if s.cfg.MaxHeaderBytes > 0 && headerSize(httpReq) > s.cfg.MaxHeaderBytes {
		return nil, reject(http.StatusRequestHeaderFieldsTooLarge, mulberrylink.ReasonTooLarge)
	}
	svc, ok := cfg.Service(serviceName(httpReq.Host))
	if !ok {
		return nil, reject(http.StatusNotFound, mulberrylink.ReasonNoService)
	}
	path := httpReq.URL.RequestURI()
	if !strings.HasPrefix(path, "/") {
		return nil, reject(http.StatusBadRequest, mulberrylink.ReasonBadRequest)
	}
	route, ok := findRoute(svc.Routes, httpReq.Method, httpReq.URL.Path)
	if !ok {
		return nil, reject(http.StatusNotFound, mulberrylink.ReasonNoRoute)
	}
	r := &mulberrylink.Request{
		ID: s.cfg.Name + "/" + newRequestID(), Service: svc.Name, Method: httpReq.Method, Path: path,
		Header: endToEndHeaders(httpReq.Header), Length: httpReq.ContentLength,
		Idempotent: route.Idempotent,
	}
	if rej := parseIdempotencyKey(httpReq.Header, r); rej != nil {
		return nil, rej
	}
	r.Keyed = route.Keyed && r.Key != ""
	if rej := s.parseLimits(httpReq, svc, r, now); rej != nil {
		return nil, rej
	}
	setConnDeadlines(w, httpReq, r.Deadline)
	if rej := s.readBody(httpReq, r); rej != nil {
		return nil, rej
	}
	return r, nil
}

// responseWriteGrace is the time after the deadline of a request in which the response can
// still be written.
const responseWriteGrace = time.Second

// setConnDeadlines sets the deadlines of the connection from the deadline of its request.
// Without them, a caller that neither sends nor reads could delay a graceful shutdown forever.
func setConnDeadlines(w http.ResponseWriter, httpReq *http.Request, deadline time.Time) {
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(deadline.Add(responseWriteGrace))
	if httpReq.Body != nil && httpReq.Body != http.NoBody {
		_ = controller.SetReadDeadline(deadline)
	}
}

// headerSize returns the size of the request line and the headers in bytes.
func headerSize(httpReq *http.Request) int {
	n := len(httpReq.Method) + len(httpReq.RequestURI)
	for k, vs := range httpReq.Header {
		for _, v := range vs {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}

// parseIdempotencyKey sets the idempotency key of r from the header.
func parseIdempotencyKey(h http.Header, r *mulberrylink.Request) *rejection {
	keys := h.Values(headerIdempotencyKey)
	if len(keys) == 0 {
		return nil
	}
	if len(keys) > 1 || !validIdempotencyKey(keys[0]) {
		return reject(http.StatusBadRequest, mulberrylink.ReasonBadKey)
	}
	r.Key = keys[0]
	return nil
}

func validIdempotencyKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// parseLimits sets the deadline, the number of extra attempts and the depth of r.
func (s *Server) parseLimits(httpReq *http.Request, svc overlay.Service, r *mulberrylink.Request, now time.Time) *rejection {
	timeout := svc.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	millis, ok := parseCount(httpReq.Header, headerTimeout, int(maxTimeout.Milliseconds()))
	if !ok {
		return reject(http.StatusBadRequest, mulberrylink.ReasonBadRequest)
	}
	if httpReq.Header.Get(headerTimeout) != "" {
		timeout = time.Duration(millis) * time.Millisecond
	}
	if timeout <= 0 {
		return reject(http.StatusServiceUnavailable, mulberrylink.ReasonDeadline)
	}
	r.Deadline = now.Add(timeout)
	if r.ExtraAttempts, ok = parseCount(httpReq.Header, headerTries, maxCount); !ok {
		return reject(http.StatusBadRequest, mulberrylink.ReasonBadRequest)
	}
	if r.Depth, ok = parseCount(httpReq.Header, headerDepth, maxCount); !ok {
		return reject(http.StatusBadRequest, mulberrylink.ReasonBadRequest)
	}
	if s.cfg.MaxDepth > 0 && r.Depth >= s.cfg.MaxDepth {
		return reject(http.StatusLoopDetected, mulberrylink.ReasonDepth)
	}
	r.Depth++
	return nil
}

// parseCount parses a header as an integer from 0 to limit. An absent header counts as 0.
func parseCount(h http.Header, name string, limit int) (int, bool) {
	text := h.Get(name)
	if text == "" {
		return 0, true
	}
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 0 && n <= limit
}

// readBody buffers short bodies and those of keyed requests, so that they can be compared and
// sent again. Other bodies are streamed.
func (s *Server) readBody(httpReq *http.Request, r *mulberrylink.Request) *rejection {
	switch {
	case httpReq.Body == nil || httpReq.Body == http.NoBody || httpReq.ContentLength == 0:
		r.Length = 0
		r.Fingerprint = fingerprint(r, nil)
		return nil
	case r.Keyed:
		return s.bufferBody(httpReq, r, s.cfg.MaxKeyedBodyBytes)
	case r.Length >= 0 && r.Length <= maxBufferedBodyBytes:
		return s.bufferBody(httpReq, r, maxBufferedBodyBytes)
	}
	r.Body = &streamedBody{r: httpReq.Body}
	r.Fingerprint = fingerprint(r, nil)
	return nil
}

func (s *Server) bufferBody(httpReq *http.Request, r *mulberrylink.Request, limit int64) *rejection {
	if r.Length > limit {
		return reject(http.StatusRequestEntityTooLarge, mulberrylink.ReasonTooLarge)
	}
	data, err := io.ReadAll(io.LimitReader(httpReq.Body, limit+1))
	if err != nil {
		return reject(http.StatusBadRequest, mulberrylink.ReasonBadRequest)
	}
	if int64(len(data)) > limit {
		return reject(http.StatusRequestEntityTooLarge, mulberrylink.ReasonTooLarge)
	}
	r.Length = int64(len(data))
	r.Body = bytes.NewReader(data)
	r.Replay = func() (io.Reader, error) { return bytes.NewReader(data), nil }
	r.Fingerprint = fingerprint(r, data)
	return nil
}

// fingerprint returns a hash of the service, the method, the path, the idempotency key and the
// body of a request. Of a streamed body it includes only the length.
func fingerprint(r *mulberrylink.Request, body []byte) uint64 {
	digest := xxhash.New()
	for _, s := range []string{r.Service, r.Method, r.Path, r.Key} {
		_, _ = digest.WriteString(strconv.Itoa(len(s)))
		_, _ = digest.WriteString(":")
		_, _ = digest.WriteString(s)
	}
	_, _ = digest.WriteString(strconv.FormatInt(r.Length, 10))
	_, _ = digest.WriteString(":")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// streamedBody records whether reading the body has started and whether it failed.
type streamedBody struct {
	r          io.Reader
	readFailed atomic.Bool
	started    atomic.Bool
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.started.Store(true)
	n, err := b.r.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.readFailed.Store(true)
	}
	return n, err
}

// Started reports whether reading the body has started. The request can't be retried then.
func (b *streamedBody) Started() bool { return b.started.Load() }

func serviceName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// findRoute returns the matching route with the longest path.
func findRoute(routes []overlay.Route, method, path string) (overlay.Route, bool) {
	best, found := overlay.Route{}, false
	for _, r := range routes {
		if r.Method != method || !matchesPrefix(r.Path, path) {
			continue
		}
		if !found || len(r.Path) > len(best.Path) {
			best, found = r, true
		}
	}
	return best, found
}

func matchesPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

func endToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, vs := range h {
		out[k] = vs
	}
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}

// newRequestID returns a unique identifier.
func newRequestID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
