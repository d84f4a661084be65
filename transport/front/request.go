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

// Headers of callers.
const (
	headerKey     = "Idempotency-Key"
	headerTimeout = "Mulberry-Timeout"
	headerTries   = "Mulberry-Tries"
	headerDepth   = "Mulberry-Depth"
)

const (
	maxKeyBytes = 255
	// smallBody is the size up to which a body of known length is read before
	// dispatch. A try of such a request can be repeated after a refusal.
	smallBody = 64 << 10
	// maxTimeout bounds the time that a caller may ask for.
	maxTimeout = 24 * time.Hour
	// defaultTimeout applies when neither caller nor service names one.
	defaultTimeout = 30 * time.Second
	maxTries       = 1000
)

// refusal is a bad request. It was not run unless the outcome says otherwise.
type refusal struct {
	status int
	reason mulberrylink.Reason
}

func refuse(status int, reason mulberrylink.Reason) *refusal {
	return &refusal{status: status, reason: reason}
}

// hopHeaders concern one connection and are not passed on (RFC 9110, 7.6.1).
// Host, length and the system's own headers travel in other ways.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
	headerTimeout, headerTries, headerDepth,
}

// read validates h and returns the request to dispatch.
func (f *Server) read(w http.ResponseWriter, h *http.Request, cfg *overlay.Config, now time.Time) (*mulberrylink.Request, *refusal) {
	if f.cfg.MaxHeaderBytes > 0 && headerBytes(h) > f.cfg.MaxHeaderBytes {
		return nil, refuse(http.StatusRequestHeaderFieldsTooLarge, mulberrylink.ReasonTooLarge)
	}
	svc, ok := cfg.Service(serviceName(h.Host))
	if !ok {
		return nil, refuse(http.StatusNotFound, mulberrylink.ReasonNoService)
	}
	path := h.URL.RequestURI()
	if !strings.HasPrefix(path, "/") {
		return nil, refuse(http.StatusBadRequest, mulberrylink.ReasonBadRequest)
	}
	route, ok := findRoute(svc.Routes, h.Method, h.URL.Path)
	if !ok {
		return nil, refuse(http.StatusNotFound, mulberrylink.ReasonNoRoute)
	}
	r := &mulberrylink.Request{
		ID: f.cfg.Name + "/" + newID(), Service: svc.Name, Method: h.Method, Path: path,
		Header: endToEnd(h.Header), Length: h.ContentLength,
		Idempotent: route.Idempotent,
	}
	if bad := readKey(h.Header, r); bad != nil {
		return nil, bad
	}
	r.Keyed = route.Keyed && r.Key != ""
	if bad := f.readLimits(h, svc, r, now); bad != nil {
		return nil, bad
	}
	boundStalls(w, h, r.Deadline)
	if bad := f.readBody(h, r); bad != nil {
		return nil, bad
	}
	return r, nil
}

// stallGrace is the time after a request's deadline in which its answer can
// still be written.
const stallGrace = time.Second

// boundStalls makes a caller that neither sends nor reads hold its connection
// no longer than its request can last. Otherwise it could hold up a planned
// stop for ever.
func boundStalls(w http.ResponseWriter, h *http.Request, deadline time.Time) {
	c := http.NewResponseController(w)
	_ = c.SetWriteDeadline(deadline.Add(stallGrace))
	if h.Body != nil && h.Body != http.NoBody {
		_ = c.SetReadDeadline(deadline)
	}
}

// headerBytes returns the size of the request line and the headers.
func headerBytes(h *http.Request) int {
	n := len(h.Method) + len(h.RequestURI)
	for k, vs := range h.Header {
		for _, v := range vs {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}

// readKey stores the idempotency key of the header in r.
func readKey(h http.Header, r *mulberrylink.Request) *refusal {
	keys := h.Values(headerKey)
	if len(keys) == 0 {
		return nil
	}
	if len(keys) > 1 || !validKey(keys[0]) {
		return refuse(http.StatusBadRequest, mulberrylink.ReasonBadKey)
	}
	r.Key = keys[0]
	return nil
}

func validKey(key string) bool {
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

// readLimits stores deadline, tries and depth.
func (f *Server) readLimits(h *http.Request, svc overlay.Service, r *mulberrylink.Request, now time.Time) *refusal {
	timeout := svc.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	left, ok := number(h.Header, headerTimeout, int(maxTimeout.Milliseconds()))
	if !ok {
		return refuse(http.StatusBadRequest, mulberrylink.ReasonBadRequest)
	}
	if h.Header.Get(headerTimeout) != "" {
		timeout = time.Duration(left) * time.Millisecond
	}
	if timeout <= 0 {
		return refuse(http.StatusServiceUnavailable, mulberrylink.ReasonDeadline)
	}
	r.Deadline = now.Add(timeout)
	if r.Attempts, ok = number(h.Header, headerTries, maxTries); !ok {
		return refuse(http.StatusBadRequest, mulberrylink.ReasonBadRequest)
	}
	if r.Depth, ok = number(h.Header, headerDepth, maxTries); !ok {
		return refuse(http.StatusBadRequest, mulberrylink.ReasonBadRequest)
	}
	if f.cfg.MaxDepth > 0 && r.Depth >= f.cfg.MaxDepth {
		return refuse(http.StatusLoopDetected, mulberrylink.ReasonDepth)
	}
	r.Depth++
	return nil
}

// number reads a header with a whole number from 0 to limit; an absent header
// is 0.
func number(h http.Header, name string, limit int) (int, bool) {
	text := h.Get(name)
	if text == "" {
		return 0, true
	}
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 0 && n <= limit
}

// readBody reads keyed and short bodies, so that they can be compared and sent
// again. Others are streamed.
func (f *Server) readBody(h *http.Request, r *mulberrylink.Request) *refusal {
	switch {
	case h.Body == nil || h.Body == http.NoBody || h.ContentLength == 0:
		r.Length = 0
		r.Fingerprint = fingerprint(r, nil)
		return nil
	case r.Keyed:
		return f.buffer(h, r, f.cfg.MaxKeyedBodyBytes)
	case r.Length >= 0 && r.Length <= smallBody:
		return f.buffer(h, r, smallBody)
	}
	r.Body = &streamBody{r: h.Body}
	r.Fingerprint = fingerprint(r, nil)
	return nil
}

func (f *Server) buffer(h *http.Request, r *mulberrylink.Request, limit int64) *refusal {
	if r.Length > limit {
		return refuse(http.StatusRequestEntityTooLarge, mulberrylink.ReasonTooLarge)
	}
	data, err := io.ReadAll(io.LimitReader(h.Body, limit+1))
	if err != nil {
		return refuse(http.StatusBadRequest, mulberrylink.ReasonBadRequest)
	}
	if int64(len(data)) > limit {
		return refuse(http.StatusRequestEntityTooLarge, mulberrylink.ReasonTooLarge)
	}
	r.Length = int64(len(data))
	r.Body = bytes.NewReader(data)
	r.Replay = func() (io.Reader, error) { return bytes.NewReader(data), nil }
	r.Fingerprint = fingerprint(r, data)
	return nil
}

// fingerprint identifies what a request asks for. A streamed body counts with
// its length.
func fingerprint(r *mulberrylink.Request, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Service, r.Method, r.Path, r.Key} {
		_, _ = d.WriteString(strconv.Itoa(len(s)))
		_, _ = d.WriteString(":")
		_, _ = d.WriteString(s)
	}
	_, _ = d.WriteString(strconv.FormatInt(r.Length, 10))
	_, _ = d.WriteString(":")
	_, _ = d.Write(body)
	return d.Sum64()
}

// streamBody notes whether reading the body failed.
type streamBody struct {
	r      io.Reader
	failed atomic.Bool
	read   atomic.Bool
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	n, err := b.r.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(true)
	}
	return n, err
}

// Started reports whether any of the body was read: the request cannot be sent
// a second time then.
func (b *streamBody) Started() bool { return b.read.Load() }

func serviceName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// findRoute returns the route with the longest path that matches.
func findRoute(routes []overlay.Route, method, path string) (overlay.Route, bool) {
	best, found := overlay.Route{}, false
	for _, r := range routes {
		if r.Method != method || !matches(r.Path, path) {
			continue
		}
		if !found || len(r.Path) > len(best.Path) {
			best, found = r, true
		}
	}
	return best, found
}

func matches(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, vs := range h {
		out[k] = vs
	}
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(out, name)
	}
	return out
}

// newID returns an identifier that no other request has.
func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
