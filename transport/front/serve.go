package front

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink"
)

// Response headers of the load balancer.
const (
	headerOutcome = "Mulberry-Outcome"
	headerReason  = "Mulberry-Reason"
	// HeaderUpstreamTime carries, from the admitting node to the entry node, the time in
	// microseconds that a request took at its upstream, including the wait for admission.
	// The entry node removes it from the response to the caller.
	HeaderUpstreamTime = "Mulberry-Took"
)

const (
	// retryAfterSeconds is the value of Retry-After in a rejection.
	retryAfterSeconds = "1"
	copyBufferBytes   = 32 << 10
)

func (s *Server) handle(w http.ResponseWriter, httpReq *http.Request) {
	s.beginRequest()
	defer s.endRequest()
	start := time.Now()
	// A persistent connection still has the write deadline of the previous request.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	ev := Event{Service: serviceName(httpReq.Host), Outcome: mulberrylink.NotRun}
	defer func() {
		if s.cfg.OnDone != nil {
			s.cfg.OnDone(ev)
		}
	}()
	if reason := s.rejectionReason(httpReq.Context()); reason != mulberrylink.ReasonNone {
		ev.Reason = reason
		if reason == mulberrylink.ReasonBusy || reason == mulberrylink.ReasonLeaving {
			w.Header().Set("Connection", "close") // so that the caller connects to another node
		}
		ev.Status = s.writeResult(w, mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: reason})
		return
	}
	cfg := s.cfg.ActiveConfig()
	if cfg == nil {
		ev.Reason = mulberrylink.ReasonNoConfig
		ev.Status = s.writeResult(w, mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: ev.Reason})
		return
	}
	r, rej := s.parseRequest(w, httpReq, cfg, start)
	if rej != nil {
		ev.Reason, ev.Status = rej.reason, rej.status
		writeOutcome(w, rej.status, mulberrylink.NotRun, rej.reason)
		return
	}
	s.dispatch(w, httpReq, r, start, &ev)
}

func parseUpstreamTime(h http.Header) time.Duration {
	us, err := strconv.ParseInt(h.Get(HeaderUpstreamTime), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

func (s *Server) rejectionReason(ctx context.Context) mulberrylink.Reason {
	if ctx.Value(overLimitKey{}) != nil {
		return mulberrylink.ReasonBusy
	}
	if s.cfg.RejectReason == nil {
		return mulberrylink.ReasonNone
	}
	return s.cfg.RejectReason()
}

func (s *Server) dispatch(w http.ResponseWriter, httpReq *http.Request, r *mulberrylink.Request, start time.Time, ev *Event) {
	ctx, cancel := context.WithDeadline(httpReq.Context(), r.Deadline)
	defer cancel()
	if _, ok := r.Body.(*streamedBody); ok {
		// The upstream may respond while the request body is still being read.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	res := s.cfg.Dispatch(ctx, r)
	if res.Reason == mulberrylink.ReasonCanceled && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		res.Reason = mulberrylink.ReasonDeadline
	}
	ev.Outcome, ev.Reason = res.Outcome, res.Reason
	if res.Outcome != mulberrylink.Answered {
		ev.Status = s.writeFailure(w, r, res)
		return
	}
	defer func() { _ = res.Answer.Body.Close() }()
	ev.Status = res.Answer.Status
	ev.UpstreamTime = parseUpstreamTime(res.Answer.Header)
	ev.TimeToFirstByte = time.Since(start)
	if err := writeResponse(w, httpReq.Method, res.Answer); err != nil {
		ev.Outcome, ev.Reason = mulberrylink.Unknown, mulberrylink.ReasonTruncated
		// Aborting the connection shows the caller that the response is truncated.
		panic(http.ErrAbortHandler)
	}
}

// writeFailure writes the response to a dispatched request that got no upstream response. If
// the caller didn't send the complete body, the status is 400, with the actual outcome.
func (s *Server) writeFailure(w http.ResponseWriter, r *mulberrylink.Request, res mulberrylink.Result) int {
	if b, ok := r.Body.(*streamedBody); ok && b.readFailed.Load() {
		writeOutcome(w, http.StatusBadRequest, res.Outcome, mulberrylink.ReasonBadRequest)
		return http.StatusBadRequest
	}
	return s.writeResult(w, res)
}

// writeResult writes the response for a result without an upstream response and returns its
// status.
func (s *Server) writeResult(w http.ResponseWriter, res mulberrylink.Result) int {
	status := statusFor(res)
	if res.Reason == mulberrylink.ReasonLeaving {
		w.Header().Set("Connection", "close") // so that the caller connects to another node
	}
	writeOutcome(w, status, res.Outcome, res.Reason)
	return status
}

func statusFor(res mulberrylink.Result) int {
	switch {
	case res.Outcome == mulberrylink.NotRun && res.Reason == mulberrylink.ReasonConflict:
		return http.StatusUnprocessableEntity // the key was used for another request
	case res.Outcome == mulberrylink.NotRun:
		return http.StatusServiceUnavailable
	case res.Reason == mulberrylink.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

func writeOutcome(w http.ResponseWriter, status int, outcome mulberrylink.Outcome, reason mulberrylink.Reason) {
	text := "outcome=" + outcome.String() + " reason=" + reason.String() + "\n"
	h := w.Header()
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfterSeconds)
	}
	h.Set(headerOutcome, outcome.String())
	h.Set(headerReason, reason.String())
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// writeResponse copies the response of an upstream to the caller. It returns an error when the
// response was truncated or the caller has disconnected.
func writeResponse(w http.ResponseWriter, method string, resp *mulberrylink.Answer) error {
	h := w.Header()
	for k, vs := range endToEndHeaders(resp.Header) {
		h[k] = vs
	}
	// Only the load balancer may state the outcome of a request.
	h.Del(headerOutcome)
	h.Del(headerReason)
	h.Del(HeaderUpstreamTime)
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil // the upstream sent none, and net/http must not add one
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // net/http would otherwise detect one from the body
	}
	if method == http.MethodHead {
		if vs := resp.Header.Values("Content-Length"); len(vs) > 0 {
			h["Content-Length"] = vs
		}
	} else if resp.Length >= 0 && bodyAllowed(resp.Status) {
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	w.WriteHeader(resp.Status)
	return copyBody(w, resp)
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// copyBuffers saves an allocation of 32 KiB for each response. These were a third of the bytes
// allocated.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// copyBody copies the body of a response. If its length is unknown, it flushes after each read,
// because the upstream may be sending a stream of small parts.
func copyBody(w http.ResponseWriter, resp *mulberrylink.Answer) error {
	pooled, _ := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(pooled)
	buf := pooled[:]
	controller := http.NewResponseController(w)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return errors.Wrap(werr, "write response to caller")
			}
			if resp.Length < 0 {
				if ferr := controller.Flush(); ferr != nil {
					return errors.Wrap(ferr, "flush response to caller")
				}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read upstream response")
		}
	}
}
