package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/pause"
)

// Request and response headers.
const (
	HeaderServiceTime = "Upstream-Service-Time"
	HeaderBytes       = "Upstream-Bytes"
	HeaderStatus      = "Upstream-Status"
	HeaderStall       = "Upstream-Stall"
	HeaderCut         = "Upstream-Cut"
	HeaderCrash       = "Upstream-Crash"
	HeaderEndless     = "Upstream-Endless"
	HeaderCall        = "Upstream-Call"
	HeaderToken       = "Upstream-Token"
	// HeaderShed marks the response to a request that was not run.
	HeaderShed = "Upstream-Shed"
	// HeaderName is the name of the upstream that sent the response.
	HeaderName = "Upstream-Name"
	// HeaderChecksum is the checksum of the response body or, in the response to a PUT, of the
	// received body.
	HeaderChecksum = "Upstream-Sum"
	// HeaderSize is the size of the received body in the response to a PUT.
	HeaderSize = "Upstream-Size"

	headerTimeout = "Mulberry-Timeout"
	headerTries   = "Mulberry-Tries"
	headerDepth   = "Mulberry-Depth"
)

// maxResponseBytes bounds the values of Upstream-Bytes and Upstream-Cut.
const maxResponseBytes = 128 << 20

// defaultResponseBytes is the body size of the response to a request without Upstream-Bytes.
const defaultResponseBytes = 256

// behavior holds what the request headers ask for.
type behavior struct {
	serviceTime time.Duration // -1 draws a service time
	stall       time.Duration
	bodyBytes   int
	cutAfter    int // -1 sends the whole body
	status      int
	crash       bool
	endless     endlessPart
	timeout     time.Duration // 0 for none
}

func parseBehavior(h http.Header) (behavior, error) {
	b := behavior{serviceTime: -1, bodyBytes: defaultResponseBytes, cutAfter: -1, status: http.StatusOK}
	var timeoutMillis int
	err := errors.Join(
		durationHeader(h, HeaderServiceTime, &b.serviceTime),
		durationHeader(h, HeaderStall, &b.stall),
		intHeader(h, HeaderBytes, &b.bodyBytes, maxResponseBytes),
		intHeader(h, HeaderCut, &b.cutAfter, maxResponseBytes),
		intHeader(h, HeaderStatus, &b.status, 999),
		intHeader(h, headerTimeout, &timeoutMillis, 1<<40),
	)
	b.crash = h.Get(HeaderCrash) == "true"
	if name := h.Get(HeaderEndless); name != "" {
		var ok bool
		if b.endless, ok = endlessParts[name]; !ok {
			err = errors.Join(err, errors.Newf("header %s: unknown part %q", HeaderEndless, name))
		}
	}
	b.timeout = time.Duration(timeoutMillis) * time.Millisecond
	return b, err
}

func durationHeader(h http.Header, name string, d *time.Duration) error {
	text := h.Get(name)
	if text == "" {
		return nil
	}
	v, err := time.ParseDuration(text)
	if err != nil || v < 0 {
		return errors.Newf("header %s: %q is not a duration such as 20ms", name, text)
	}
	*d = v
	return nil
}

func intHeader(h http.Header, name string, n *int, maxValue int) error {
	text := h.Get(name)
	if text == "" {
		return nil
	}
	v, err := strconv.Atoi(text)
	if err != nil || v < 0 || v > maxValue {
		return errors.Newf("header %s: %q is not a number from 0 to %d", name, text, maxValue)
	}
	*n = v
	return nil
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	b, err := parseBehavior(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx := r.Context()
	if b.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, b.timeout)
		defer cancel()
	}
	if err := s.slots.acquire(ctx); err != nil {
		s.reject(w, err)
		return
	}
	defer s.slots.release()
	s.execute(ctx, w, r, b)
}

// reject responds to a request that was not run. That includes a request that was canceled in the
// queue, but its client no longer reads the response.
func (s *Server) reject(w http.ResponseWriter, err error) {
	if errors.Is(err, errShed) {
		s.shedCount.Add(1)
	} else {
		s.canceledCount.Add(1)
	}
	w.Header().Set(HeaderShed, "true")
	http.Error(w, "not run: "+err.Error(), http.StatusServiceUnavailable)
}

func (s *Server) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, b behavior) {
	if err := s.recordExecution(r); err != nil {
		s.log.Error().Err(err).Msg("cannot write the journal; responding with 500 without running the request")
		http.Error(w, "cannot write the journal", http.StatusInternalServerError)
		return
	}
	if b.crash {
		s.crash("request header")
	}
	running, _, _ := s.slots.counts()
	ok, crash := s.cold.admit(time.Now(), running)
	if crash {
		s.crash("overload in the cold start")
	}
	if !ok {
		http.Error(w, "overloaded in the cold start", http.StatusInternalServerError)
		return
	}
	body, err := s.readBody(w, r)
	if err != nil {
		http.Error(w, "request body is incomplete", http.StatusBadRequest)
		return
	}
	if err := s.callNested(ctx, r); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	if !pause.For(ctx, s.serviceTime(b)) {
		s.canceledCount.Add(1)
		http.Error(w, "the deadline passed or the client left", http.StatusGatewayTimeout)
		return
	}
	s.cold.recordCompletion()
	if b.endless.repeated != "" {
		s.respondEndlessly(ctx, w, b.endless)
		return
	}
	s.respond(w, r, b, body)
}

func (s *Server) recordExecution(r *http.Request) error {
	s.executionCount.Add(1)
	if s.journal == nil {
		return nil
	}
	return s.journal.Append(journal.Entry{
		Time:    time.Now(),
		Service: s.cfg.Upstream.Service,
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Key:     r.Header.Get("Idempotency-Key"),
	})
}

// readBody reads the request body and returns the response body to a PUT. Only a complete PUT body
// is stored; the capacity of the store also bounds the memory of one request.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	digest, size := xxhash.New(), int64(0)
	if r.Method != http.MethodPut {
		_, err := io.Copy(io.Discard, r.Body)
		return nil, err
	}
	stored := make([]byte, 0, max(0, min(r.ContentLength, int64(s.cfg.Store.Bytes))))
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(buf)
		_, _ = digest.Write(buf[:n])
		size += int64(n)
		if size <= int64(s.cfg.Store.Bytes) {
			stored = append(stored, buf[:n]...)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if size <= int64(s.cfg.Store.Bytes) {
		s.store.put(r.URL.Path, stored)
	}
	w.Header().Set(HeaderSize, strconv.FormatInt(size, 10))
	w.Header().Set(HeaderChecksum, FormatChecksum(digest.Sum64()))
	return fmt.Appendf(nil, "size=%d sum=%s\n", size, FormatChecksum(digest.Sum64())), nil
}

// FormatChecksum formats a checksum as in HeaderChecksum.
func FormatChecksum(x uint64) string { return strconv.FormatUint(x, 16) }

func (s *Server) serviceTime(b behavior) time.Duration {
	now := time.Now()
	d := b.serviceTime
	if d < 0 {
		d = s.serviceTimes.draw()
	}
	factor := s.serviceTimes.slowdown(now)
	if s.cold.active(now) {
		factor *= s.cfg.Cold.Factor
	}
	return time.Duration(float64(d)*factor) + b.stall
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, b behavior, body []byte) {
	token := r.Header.Get(HeaderToken)
	if body == nil {
		stored, ok := s.store.get(r.URL.Path)
		if body = stored; !ok || r.Method != http.MethodGet {
			body = TokenBody(token, b.bodyBytes)
		}
		w.Header().Set(HeaderChecksum, FormatChecksum(xxhash.Sum64(body)))
	}
	w.Header().Set(HeaderName, s.cfg.Upstream.Name)
	w.Header().Set(HeaderToken, token)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(b.status)
	if b.cutAfter >= 0 && b.cutAfter < len(body) {
		_, _ = w.Write(body[:b.cutAfter])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// TokenBody returns n bytes that repeat token, so that a client detects a response that belongs to
// another request.
func TokenBody(token string, n int) []byte {
	if token == "" {
		token = "mulberry"
	}
	return []byte(strings.Repeat(token, n/len(token)+1)[:n])
}

// callNested makes the nested call that the request asks for through the upstream's own node.
func (s *Server) callNested(ctx context.Context, r *http.Request) error {
	target := r.Header.Get(HeaderCall)
	if target == "" {
		return nil
	}
	service, path, ok := strings.Cut(target, "/")
	if !ok {
		return errors.Newf("header %s: %q has no path", HeaderCall, target)
	}
	if service == "" {
		service = s.cfg.Upstream.Service
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.cfg.Node.Front+"/"+path, nil)
	if err != nil {
		return errors.Wrap(err, "build nested call")
	}
	req.Host = service
	depth, _ := strconv.Atoi(r.Header.Get(headerDepth))
	req.Header.Set(headerDepth, strconv.Itoa(depth+1))
	if tries := r.Header.Get(headerTries); tries != "" {
		req.Header.Set(headerTries, tries)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(headerTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send nested call")
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errors.Wrap(err, "read response of nested call")
	}
	if resp.StatusCode/100 != 2 {
		return errors.Newf("nested call failed with status %s", resp.Status)
	}
	return nil
}
