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

// Request and answer headers.
const (
	HeaderServiceTime = "Upstream-Service-Time"
	HeaderBytes       = "Upstream-Bytes"
	HeaderStatus      = "Upstream-Status"
	HeaderStall       = "Upstream-Stall"
	HeaderCut         = "Upstream-Cut"
	HeaderCrash       = "Upstream-Crash"
	HeaderCall        = "Upstream-Call"
	HeaderToken       = "Upstream-Token"
	// HeaderShed marks an answer to a request that was not run.
	HeaderShed = "Upstream-Shed"
	// HeaderName names the upstream that answered.
	HeaderName = "Upstream-Name"
	// HeaderChecksum is the checksum of the answer body, or of the stored body in
	// the answer to PUT.
	HeaderChecksum = "Upstream-Sum"
	// HeaderSize is the size of the stored body in the answer to PUT.
	HeaderSize = "Upstream-Size"

	headerTimeoutLeft = "Mulberry-Timeout"
	headerTries       = "Mulberry-Tries"
	headerDepth       = "Mulberry-Depth"
)

// maxAnswer bounds Upstream-Bytes.
const maxAnswer = 128 << 20

// defaultAnswer is the body size of an answer that names none.
const defaultAnswer = 256

// behavior is what the headers ask for.
type behavior struct {
	service time.Duration // -1 draws one
	stall   time.Duration
	bytes   int
	cut     int // -1 sends the whole answer
	status  int
	crash   bool
	timeout time.Duration // 0 for none
}

func parseBehavior(h http.Header) (behavior, error) {
	b := behavior{service: -1, bytes: defaultAnswer, cut: -1, status: http.StatusOK}
	var left int
	err := errors.Join(
		durationHeader(h, HeaderServiceTime, &b.service),
		durationHeader(h, HeaderStall, &b.stall),
		intHeader(h, HeaderBytes, &b.bytes, maxAnswer),
		intHeader(h, HeaderCut, &b.cut, maxAnswer),
		intHeader(h, HeaderStatus, &b.status, 999),
		intHeader(h, headerTimeoutLeft, &left, 1<<40),
	)
	b.crash = h.Get(HeaderCrash) == "true"
	b.timeout = time.Duration(left) * time.Millisecond
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

func intHeader(h http.Header, name string, n *int, high int) error {
	text := h.Get(name)
	if text == "" {
		return nil
	}
	v, err := strconv.Atoi(text)
	if err != nil || v < 0 || v > high {
		return errors.Newf("header %s: %q is not a number from 0 to %d", name, text, high)
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
	if err := s.slots.enter(ctx); err != nil {
		s.refuse(w, err)
		return
	}
	defer s.slots.leave()
	s.execute(ctx, w, r, b)
}

// refuse answers a request that was not run. A request that gave up in the
// queue was not run either, but its client no longer reads the answer.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	if errors.Is(err, errShed) {
		s.sheds.Add(1)
	} else {
		s.cancels.Add(1)
	}
	w.Header().Set(HeaderShed, "true")
	http.Error(w, "not run: "+err.Error(), http.StatusServiceUnavailable)
}

func (s *Server) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, b behavior) {
	if err := s.record(r); err != nil {
		s.log.Error().Err(err).Msg("journal failed")
		http.Error(w, "journal failed", http.StatusInternalServerError)
		return
	}
	if b.crash {
		s.crash("request header")
	}
	running, _, _ := s.slots.load()
	ok, crash := s.cold.check(time.Now(), running)
	if crash {
		s.crash("overload in cold start")
	}
	if !ok {
		http.Error(w, "fell over in cold start", http.StatusInternalServerError)
		return
	}
	body, err := s.receive(w, r)
	if err != nil {
		http.Error(w, "body is incomplete", http.StatusBadRequest)
		return
	}
	if err := s.nested(ctx, r); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	if !pause.For(ctx, s.serviceTime(b)) {
		s.cancels.Add(1)
		http.Error(w, "gave up", http.StatusGatewayTimeout)
		return
	}
	s.cold.completed()
	s.answer(w, r, b, body)
}

func (s *Server) record(r *http.Request) error {
	s.runs.Add(1)
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

// receive reads the body and stores that of a PUT. Only a complete body is
// stored; the bound of the store also bounds the memory of one request.
func (s *Server) receive(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	sum, size := xxhash.New(), int64(0)
	if r.Method != http.MethodPut {
		_, err := io.Copy(io.Discard, r.Body)
		return nil, err
	}
	keep := make([]byte, 0, max(0, min(r.ContentLength, int64(s.cfg.Store.Bytes))))
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(buf)
		_, _ = sum.Write(buf[:n])
		size += int64(n)
		if size <= int64(s.cfg.Store.Bytes) {
			keep = append(keep, buf[:n]...)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if size <= int64(s.cfg.Store.Bytes) {
		s.store.put(r.URL.Path, keep)
	}
	w.Header().Set(HeaderSize, strconv.FormatInt(size, 10))
	w.Header().Set(HeaderChecksum, FormatChecksum(sum.Sum64()))
	return fmt.Appendf(nil, "size=%d sum=%s\n", size, FormatChecksum(sum.Sum64())), nil
}

// FormatChecksum formats a checksum as the headers carry it.
func FormatChecksum(x uint64) string { return strconv.FormatUint(x, 16) }

func (s *Server) serviceTime(b behavior) time.Duration {
	now := time.Now()
	d := b.service
	if d < 0 {
		d = s.work.draw()
	}
	factor := s.work.scale(now)
	if s.cold.active(now) {
		factor *= s.cfg.Cold.Factor
	}
	return time.Duration(float64(d)*factor) + b.stall
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, b behavior, body []byte) {
	token := r.Header.Get(HeaderToken)
	if body == nil {
		stored, ok := s.store.get(r.URL.Path)
		if body = stored; !ok || r.Method != http.MethodGet {
			body = TokenBody(token, b.bytes)
		}
		w.Header().Set(HeaderChecksum, FormatChecksum(xxhash.Sum64(body)))
	}
	w.Header().Set(HeaderName, s.cfg.Upstream.Name)
	w.Header().Set(HeaderToken, token)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(b.status)
	if b.cut >= 0 && b.cut < len(body) {
		_, _ = w.Write(body[:b.cut])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// TokenBody returns n bytes that repeat token, so that a client can tell an answer
// that belongs to another request.
func TokenBody(token string, n int) []byte {
	if token == "" {
		token = "mulberry"
	}
	return []byte(strings.Repeat(token, n/len(token)+1)[:n])
}

// nested makes the call that the request asks for through the own node.
func (s *Server) nested(ctx context.Context, r *http.Request) error {
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
		return errors.Wrap(err, "nested call")
	}
	req.Host = service
	depth, _ := strconv.Atoi(r.Header.Get(headerDepth))
	req.Header.Set(headerDepth, strconv.Itoa(depth+1))
	if tries := r.Header.Get(headerTries); tries != "" {
		req.Header.Set(headerTries, tries)
	}
	if end, ok := ctx.Deadline(); ok {
		req.Header.Set(headerTimeoutLeft, strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "nested call")
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errors.Wrap(err, "nested call")
	}
	if resp.StatusCode/100 != 2 {
		return errors.Newf("nested call: %s", resp.Status)
	}
	return nil
}
