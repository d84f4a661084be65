package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Headers of responses that the node itself generates.
const (
	headerOutcome = "Mulberry-Outcome"
	headerReason  = "Mulberry-Reason"
)

// respondFailure responds to a request without a successful attempt. It always returns
// true, the result of finishAttempt.
func (s *requestState) respondFailure() bool {
	g, req := s.req.g, s.req
	switch f := s.lastFailure; {
	case f != nil && f.res.resp != nil:
		s.relayResponse(f)
	case f != nil:
		g.writeError(s.w, req.httpReq, req, http.StatusBadGateway, mulberrylink.Unknown, mulberrylink.ReasonLost.String(), 0)
	case s.denial != nil:
		req.writeDenial(s.w, s.denial)
	default:
		retryAfter := s.retryAfter
		if retryAfter == 0 {
			retryAfter = s.awayRetryAfter
		}
		if retryAfter == 0 {
			retryAfter = defaultRetryAfter
		}
		reason := s.rejectReason
		if reason == "" {
			reason = mulberrylink.ReasonNoUpstream.String()
		}
		g.returns.record(req.fingerprint, req.asked, retryAfter, time.Now())
		if req.returning {
			g.stats.count("returned_refused")
		}
		g.writeError(s.w, req.httpReq, req, statusNotRun(reason), mulberrylink.NotRun, reason, retryAfter)
	}
	return true
}

// relayResponse sends the response of an attempt to the caller and cancels the other
// attempts.
func (s *requestState) relayResponse(a *attempt) {
	req := s.req
	s.cancelAll()
	s.running = nil
	took := time.Since(req.start)
	req.g.stats.observeLatency("answered_us."+req.route.Kind.String(), took)
	resp := a.res.resp
	defer a.discard()
	if resp.Status >= http.StatusBadRequest {
		req.g.log.Info().Str("request", req.id).Str("route", req.route.Name).Int("status", resp.Status).Str("node", a.node.Name).
			Dur("took", took).Bool("notrun", a.res.meta.NotRun).Int("placed", s.placements).Msg("error response of the upstream relayed")
	} else {
		req.g.stats.count("answered")
		event := req.g.log.Debug()
		if s.lastFailure != nil {
			event = req.g.log.Info().Str("failed", s.lastFailure.node.Name)
		}
		event.Str("request", req.id).Str("route", req.route.Name).Str("node", a.node.Name).Dur("took", took).
			Dur("body", req.bodyReadAt.Sub(req.start)).Dur("work", a.res.meta.ServiceTime).Float64("cost", a.choice.Cost).Float64("alternative", a.choice.AlternativeCost).
			Dur("age", a.choice.LoadAge).Float64("factor", a.choice.Slowdown).Float64("factor_after", a.res.meta.Load.Slowdown).
			Int("placed", s.placements).Bool("hedge", a.hedge).Msg("answered")
	}
	if a.res.meta.ServiceTime > 0 {
		size := max(resp.Length, int64(len(resp.Body)))
		req.g.transferSizes.Observe(req.route.Name, time.Duration(float64(size)/1024*float64(time.Second)))
	}
	if err := copyResponse(s.w, resp, ""); err != nil {
		if s.ctx.Err() == nil {
			req.g.balancer.RecordResult(a.node.Name, true, time.Now())
		}
		req.g.log.Warn().Str("request", req.id).Str("route", req.route.Name).Str("node", a.node.Name).Err(err).Msg("response cut off; closing the connection to the caller")
		panic(http.ErrAbortHandler)
	}
}

// writeError writes a response that the node itself generates.
func (g *Gateway) writeError(w http.ResponseWriter, r *http.Request, req *request, status int, outcome mulberrylink.Outcome, reason string, retryAfter time.Duration) {
	g.stats.count("refused." + reason)
	if req != nil && req.account != nil {
		g.stats.count("refused_account." + reason)
	}
	h := w.Header()
	h["Content-Type"] = nil
	if id := g.cfg.Headers.RequestID(r.Header); id != "" {
		g.cfg.Headers.SetRequestID(h, id)
	}
	h.Set(headerOutcome, outcome.String())
	h.Set(headerReason, reason)
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	setLength(h, 0)
	event := g.log.Info().Str("request", g.cfg.Headers.RequestID(r.Header)).Int("status", status).Str("outcome", outcome.String()).
		Str("reason", reason).Dur("after", retryAfter)
	if req != nil {
		event = event.Str("route", req.route.Name).Str("service", req.service).Uint64("version", req.active.state.Version).
			Dur("body", req.bodyReadAt.Sub(req.start)).Dur("held", time.Since(req.start)).Dur("left", time.Until(req.deadline))
	} else {
		event = event.Str("host", r.Host).Str("path", r.URL.Path)
	}
	event.Msg("request not answered by an upstream")
	w.WriteHeader(status)
}

func setLength(h http.Header, n int64) { h.Set("Content-Length", strconv.FormatInt(n, 10)) }
