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

// Headers of answers that the system itself makes.
const (
	headerOutcome = "Mulberry-Outcome"
	headerReason  = "Mulberry-Reason"
	// HeaderUpstreamTime carries the time in microseconds that an answer spent at its
	// upstream, from the admitting node to the entry node. Callers do not see
	// it.
	HeaderUpstreamTime = "Mulberry-Took"
)

const (
	// retryAfter is the pause in seconds suggested after a refusal.
	retryAfter = "1"
	copyBytes  = 32 << 10
)

func (f *Server) serve(w http.ResponseWriter, h *http.Request) {
	f.enter()
	defer f.leave()
	start := time.Now()
	// A kept connection still has the deadline of the request before.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	ev := Event{Service: serviceName(h.Host), Outcome: mulberrylink.NotRun}
	defer func() {
		if f.cfg.OnDone != nil {
			f.cfg.OnDone(ev)
		}
	}()
	if reason := f.refusal(h.Context()); reason != mulberrylink.ReasonNone {
		ev.Reason = reason
		if reason == mulberrylink.ReasonBusy || reason == mulberrylink.ReasonLeaving {
			w.Header().Set("Connection", "close") // the next request goes elsewhere
		}
		ev.Status = f.report(w, mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: reason})
		return
	}
	cfg := f.cfg.ActiveConfig()
	if cfg == nil {
		ev.Reason = mulberrylink.ReasonNoConfig
		ev.Status = f.report(w, mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: ev.Reason})
		return
	}
	r, bad := f.read(w, h, cfg, start)
	if bad != nil {
		ev.Reason, ev.Status = bad.reason, bad.status
		writeOwn(w, bad.status, mulberrylink.NotRun, bad.reason)
		return
	}
	f.run(w, h, r, start, &ev)
}

func took(h http.Header) time.Duration {
	us, err := strconv.ParseInt(h.Get(HeaderUpstreamTime), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

func (f *Server) refusal(ctx context.Context) mulberrylink.Reason {
	if ctx.Value(overLimit{}) != nil {
		return mulberrylink.ReasonBusy
	}
	if f.cfg.RejectReason == nil {
		return mulberrylink.ReasonNone
	}
	return f.cfg.RejectReason()
}

func (f *Server) run(w http.ResponseWriter, h *http.Request, r *mulberrylink.Request, start time.Time, ev *Event) {
	ctx, cancel := context.WithDeadline(h.Context(), r.Deadline)
	defer cancel()
	if _, ok := r.Body.(*streamBody); ok {
		// The upstream may answer while the body is still being read.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	res := f.cfg.Dispatch(ctx, r)
	if res.Reason == mulberrylink.ReasonCanceled && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		res.Reason = mulberrylink.ReasonDeadline
	}
	ev.Outcome, ev.Reason = res.Outcome, res.Reason
	if res.Outcome != mulberrylink.Answered {
		ev.Status = f.unanswered(w, r, res)
		return
	}
	defer func() { _ = res.Answer.Body.Close() }()
	ev.Status = res.Answer.Status
	ev.UpstreamTime = took(res.Answer.Header)
	ev.TimeToFirstByte = time.Since(start)
	if err := writeAnswer(w, h.Method, res.Answer); err != nil {
		ev.Outcome, ev.Reason = mulberrylink.Unknown, mulberrylink.ReasonTruncated
		// The connection must not end as if the answer were complete.
		panic(http.ErrAbortHandler)
	}
}

// unanswered reports a result without an answer. A body that the caller did
// not complete is the caller's fault: it gets a 4xx with the true outcome.
func (f *Server) unanswered(w http.ResponseWriter, r *mulberrylink.Request, res mulberrylink.Result) int {
	if b, ok := r.Body.(*streamBody); ok && b.failed.Load() {
		writeOwn(w, http.StatusBadRequest, res.Outcome, mulberrylink.ReasonBadRequest)
		return http.StatusBadRequest
	}
	return f.report(w, res)
}

// report writes the status that belongs to a result without an answer.
func (f *Server) report(w http.ResponseWriter, res mulberrylink.Result) int {
	status := statusOf(res)
	if res.Reason == mulberrylink.ReasonLeaving {
		w.Header().Set("Connection", "close") // the next request goes elsewhere
	}
	writeOwn(w, status, res.Outcome, res.Reason)
	return status
}

func statusOf(res mulberrylink.Result) int {
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

func writeOwn(w http.ResponseWriter, status int, outcome mulberrylink.Outcome, reason mulberrylink.Reason) {
	text := "outcome=" + outcome.String() + " reason=" + reason.String() + "\n"
	h := w.Header()
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfter)
	}
	h.Set(headerOutcome, outcome.String())
	h.Set(headerReason, reason.String())
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// writeAnswer copies the answer of an upstream. It returns an error when the
// answer was cut or the caller has gone.
func writeAnswer(w http.ResponseWriter, method string, a *mulberrylink.Answer) error {
	h := w.Header()
	for k, vs := range endToEnd(a.Header) {
		h[k] = vs
	}
	// Only the system itself may say what became of a request.
	h.Del(headerOutcome)
	h.Del(headerReason)
	h.Del(HeaderUpstreamTime)
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil // the upstream sent none
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // no guessing
	}
	if method == http.MethodHead {
		if vs := a.Header.Values("Content-Length"); len(vs) > 0 {
			h["Content-Length"] = vs
		}
	} else if a.Length >= 0 && bodyAllowed(a.Status) {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	return copyBody(w, a)
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// copyBuffers saves an allocation of 32 KiB for each answer, which was a third
// of the bytes allocated.
var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// copyBody sends what has arrived at once when the length is not known,
// because the upstream may be sending piece by piece.
func copyBody(w http.ResponseWriter, a *mulberrylink.Answer) error {
	held, _ := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(held)
	buf := held[:]
	flush := http.NewResponseController(w)
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return errors.Wrap(werr, "write to caller")
			}
			if a.Length < 0 {
				if ferr := flush.Flush(); ferr != nil {
					return errors.Wrap(ferr, "flush to caller")
				}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
	}
}
