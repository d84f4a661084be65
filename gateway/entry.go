package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
)

const (
	// keptBody is the largest body that is read whole before it is sent, so that
	// it can be sent once more when an upstream refused the request.
	maxReplayableBody = 1 << 20
	// defaultWait is how long a caller waits who does not say.
	defaultTimeout = 30 * time.Second
	// timeoutSlack is how much later than its route's timeout a request ends:
	// the answer of the upstream at that time says more than ours.
	routeTimeoutSlack = 60 * time.Millisecond
	// headerKiB is the size of the headers of a request and its answer.
	headersKiB = 0.9
	// noRoom is the time after which a caller is told to come back when no
	// upstream said when it has room.
	defaultRetryAfter = 250 * time.Millisecond
	// startTime is how long a started node waits for its configuration, mostly:
	// control hosts that were restarted too elect a leader meanwhile.
	typicalConfigDelay = 700 * time.Millisecond
	// silentWork is how many times its work a try without an answer has to have
	// taken to count as a failure of its upstream.
	serviceTimesBeforeFailure = 2
	// objectiveWorks is how many times the work of a route its objective is taken
	// to be until a request was answered: 2.5 to 4.2 on the users' sheets.
	serviceTimesPerObjective = 3
	// maxPlaced bounds how often one request is placed, and maxBounced how often
	// because another upstream is faster.
	maxPlacements       = 8
	maxSlowerRejections = 3
)

// Words of Mulberry-Reason for answers that the node makes itself.
const (
	headerOutcome = "Mulberry-Outcome"
	headerReason  = "Mulberry-Reason"
)

// serveCaller answers one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	active := g.active.Load()
	if active == nil {
		g.writeError(w, r, nil, http.StatusServiceUnavailable, mulberrylink.NotRun, reasonNoConfig, max(defaultRetryAfter, g.startedAt.Add(typicalConfigDelay).Sub(now)))
		return
	}
	if remaining := g.timeToExit(now); remaining < rejectBeforeExit {
		g.writeError(w, r, nil, http.StatusServiceUnavailable, mulberrylink.NotRun, reasonLeaving, max(remaining, defaultRetryAfter))
		return
	}
	route := active.table.Match(r.Host, r.RequestURI)
	if route == nil {
		g.writeError(w, r, nil, http.StatusNotFound, mulberrylink.NotRun, mulberrylink.ReasonNoRoute.String(), 0)
		return
	}
	if limit := active.table.Limits.MaxBodyBytes; limit > 0 && r.ContentLength > limit {
		g.writeError(w, r, nil, http.StatusRequestEntityTooLarge, mulberrylink.NotRun, mulberrylink.ReasonTooLarge.String(), 0)
		return
	}
	req := g.newRequest(active, route, r, now)
	if err := req.readBody(); err != nil {
		if r.Context().Err() == nil {
			g.writeError(w, r, req, http.StatusBadRequest, mulberrylink.NotRun, mulberrylink.ReasonBadRequest.String(), 0)
		}
		return
	}
	req.bodyReadAt = time.Now()
	req.serve(w)
}

// try is one attempt to have the request run.
type attempt struct {
	node   mulberrylink.Node
	local  bool
	choice placement.Choice
	hedge  bool
	start  time.Time
	cancel context.CancelFunc
	res    result
}

// state is the progress of a request at its entry node.
type requestState struct {
	req              *request
	w                http.ResponseWriter
	ctx              context.Context
	done             chan *attempt
	running          []*attempt
	avoid            map[string]bool
	placements       int
	slowerRejections int
	attempts         int // upstreams that the request was sent to
	retriesSpent     int // tries taken from the budget
	retryAfter       time.Duration
	rejectReason     string
	lastFailure      *result // the last answer or failure that is not passed on yet
	hedged           bool
}

// serve places the request until it is answered.
func (q *request) serve(w http.ResponseWriter) {
	ctx, cancel := context.WithDeadline(q.httpReq.Context(), q.deadline)
	defer cancel()
	s := &requestState{
		req: q, w: w, ctx: ctx, done: make(chan *attempt, maxPlacements+1), avoid: make(map[string]bool),
	}
	q.g.retryBudgets.RecordRequest(q.budgetRequest)
	if q.g.upstream.current().Service == q.service {
		q.g.upstream.refreshLoad(ctx) // the choice compares the others with it
	}
	defer s.cancelAll()
	if !s.startAttempt(nil) {
		s.respondFailure()
		return
	}
	hedgeTimer := time.NewTimer(s.hedgeDelay())
	defer hedgeTimer.Stop()
	for {
		select {
		case t := <-s.done:
			if s.finishAttempt(t) {
				return
			}
		case <-hedgeTimer.C:
			s.startHedge()
			if !s.hedged && time.Now().Before(q.objective) {
				hedgeTimer.Reset(max(time.Until(q.objective), time.Millisecond))
			}
		case <-ctx.Done():
			s.handleContextDone()
			return
		}
	}
}

func (s *requestState) cancelAll() {
	for _, t := range s.running {
		t.cancel()
	}
}

// expired ends a request whose caller has left, or whose time is up.
func (s *requestState) handleContextDone() {
	g := s.req.g
	if s.req.httpReq.Context().Err() != nil {
		g.stats.count("caller_left")
		panic(http.ErrAbortHandler) // nobody reads an answer
	}
	now := time.Now()
	for _, t := range s.running {
		if now.Sub(t.start) > serviceTimesBeforeFailure*s.req.serviceTime {
			g.placer.RecordResult(t.node.Name, true, now)
		}
	}
	g.writeError(s.w, s.req.httpReq, s.req, http.StatusGatewayTimeout, mulberrylink.Unknown, mulberrylink.ReasonDeadline.String(), 0)
}

// over takes a try that has ended and reports whether the request has been
// answered.
func (s *requestState) finishAttempt(t *attempt) bool {
	g, now := s.req.g, time.Now()
	for i, r := range s.running {
		if r == t {
			s.running = append(s.running[:i], s.running[i+1:]...)
			break
		}
	}
	t.cancel()
	s.recordAttempt(t, now)
	res := &t.res
	switch {
	case res.meta.RejectReason != "":
		s.rejectReason, s.retryAfter = res.meta.RejectReason, earliestRetryAfter(s.retryAfter, res.meta.RetryAfter)
		s.attempts--
		if res.meta.RejectReason == reasonSlower {
			s.slowerRejections++ // its report keeps it from being chosen again, unless all are slow
		} else {
			s.avoid[t.node.Name] = true
		}
		if len(s.running) > 0 || s.startAttempt(nil) {
			return false
		}
		return s.respondFailure()
	case res.resp != nil && !res.meta.NotRun && (res.resp.Status < http.StatusInternalServerError || s.req.route.Kind != routes.Safe):
		s.relayResponse(t)
		return true
	}
	// It failed, or the upstream did not run it.
	s.lastFailure.close()
	s.lastFailure = res
	s.avoid[t.node.Name] = true
	if len(s.running) > 0 {
		return false
	}
	if (res.meta.NotRun || s.req.route.Kind == routes.Safe) && s.takeRetry() && s.startAttempt(nil) {
		g.stats.count("retried")
		return false
	}
	return s.respondFailure()
}

func (r *result) close() {
	if r != nil {
		r.resp.Close()
	}
}

func earliestRetryAfter(current, next time.Duration) time.Duration {
	if current == 0 || next > 0 && next < current {
		return next
	}
	return current
}

// mayRetry takes one more try from the budget.
func (s *requestState) takeRetry() bool {
	if s.attempts >= s.req.route.MaxAttempts || !s.req.replayable() {
		return false
	}
	if !s.req.g.retryBudgets.AllowHedge(&mulberrylink.Request{Service: s.req.service, Idempotent: true, Deadline: s.req.deadline}, s.retriesSpent) {
		s.req.g.stats.count("retry_denied")
		return false
	}
	s.retriesSpent++
	return true
}

// finish answers a request that no try has answered.
func (s *requestState) respondFailure() bool {
	g, req := s.req.g, s.req
	switch f := s.lastFailure; {
	case f != nil && f.resp != nil:
		s.relayResponse(&attempt{res: *f})
	case f != nil:
		g.writeError(s.w, req.httpReq, req, http.StatusBadGateway, mulberrylink.Unknown, mulberrylink.ReasonLost.String(), 0)
	default:
		retryAfter := s.retryAfter
		if retryAfter == 0 {
			retryAfter = defaultRetryAfter
		}
		reason := s.rejectReason
		if reason == "" {
			reason = mulberrylink.ReasonNoUpstream.String()
		}
		g.writeError(s.w, req.httpReq, req, http.StatusServiceUnavailable, mulberrylink.NotRun, reason, retryAfter)
	}
	return true
}

// deliver passes an answer on to the caller.
func (s *requestState) relayResponse(t *attempt) {
	req := s.req
	s.cancelAll()
	s.running = nil
	took := time.Since(req.start)
	req.g.stats.observeLatency("answered_us."+req.route.Kind.String(), took)
	resp := t.res.resp
	defer resp.Close()
	if resp.Status >= http.StatusBadRequest {
		req.g.log.Info().Str("request", req.id).Str("route", req.route.Name).Int("status", resp.Status).Str("node", t.node.Name).
			Dur("took", took).Bool("notrun", t.res.meta.NotRun).Int("placed", s.placements).Msg("failure of the upstream passed on")
	} else {
		req.g.stats.count("answered")
		req.g.log.Debug().Str("request", req.id).Str("route", req.route.Name).Str("node", t.node.Name).Dur("took", took).
			Dur("body", req.bodyReadAt.Sub(req.start)).Dur("work", t.res.meta.ServiceTime).Float64("cost", t.choice.Cost).Float64("alternative", t.choice.AlternativeCost).
			Dur("age", t.choice.LoadAge).Float64("factor", t.choice.Slowdown).Float64("factor_after", t.res.meta.Load.Slowdown).
			Int("placed", s.placements).Bool("hedge", t.hedge).Msg("answered")
	}
	if t.res.meta.ServiceTime > 0 {
		req.g.transferSizes.Observe(req.route.Name, time.Duration(float64(len(resp.Body))/1024*float64(time.Second)))
	}
	copyResponse(s.w, resp, "")
}

// learn takes what a try tells about the upstream and its node.
func (s *requestState) recordAttempt(t *attempt, now time.Time) {
	g := s.req.g
	res := &t.res
	if res.meta.Epoch != "" && !t.local {
		g.peerEpochs.set(t.node.Name, res.meta.Epoch)
	}
	if res.meta.Epoch != "" {
		g.placer.RecordLoad(t.node.Name, res.meta.Load, now)
	}
	switch {
	case res.meta.RejectReason == reasonNodeUnreachable:
		pause := g.placer.RecordUnreachable(t.node.Name, now)
		g.log.Warn().Str("request", s.req.id).Str("node", t.node.Name).Str("addr", t.node.Addr).
			Dur("pause", pause).Err(res.err).Msg("node not reached")
	case res.meta.RejectReason != "":
		if res.meta.RejectReason != reasonSlower {
			g.placer.RecordRejection(t.node.Name, now)
		}
		g.log.Debug().Str("request", s.req.id).Str("node", t.node.Name).Str("reason", res.meta.RejectReason).
			Float64("cost", t.choice.Cost).Float64("alternative", t.choice.AlternativeCost).Msg("placed again")
	default:
		if !res.meta.NotRun && (res.err == nil || s.ctx.Err() == nil) {
			failed := res.err != nil || res.resp.Status >= http.StatusInternalServerError
			g.placer.RecordResult(t.node.Name, failed, now)
			if !failed && !t.local {
				g.serviceTimes.Observe(s.req.route.Name, res.meta.ServiceTime)
			}
		}
		if res.err != nil {
			g.log.Warn().Str("request", s.req.id).Str("route", s.req.route.Name).Str("node", t.node.Name).
				Dur("took", now.Sub(t.start)).Err(res.err).Msg("try failed")
		}
	}
}

// reply answers with what the node itself says.
func (g *Gateway) writeError(w http.ResponseWriter, r *http.Request, req *request, status int, outcome mulberrylink.Outcome, reason string, retryAfter time.Duration) {
	g.stats.count("refused." + reason)
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

// askFor returns what another node is told about a try.
func (s *requestState) newRequestMeta(t *attempt, now time.Time) hop.RequestMeta {
	req := s.req
	meta := hop.RequestMeta{
		ExchangeID: fmt.Sprintf("%s-%s-%d", req.g.cfg.Name, req.g.epoch, req.g.exchangeSeq.Add(1)),
		Service:    req.service, Route: req.route.Name, Kind: req.route.Kind, CallerService: req.g.upstream.current().Service,
		Priority: req.route.Priority, Objective: req.objective.Sub(now), Timeout: req.deadline.Sub(now), ServiceTime: req.serviceTime, ServiceTimeAssumed: req.serviceTimeAssumed,
	}
	if s.slowerRejections < maxSlowerRejections {
		meta.AlternativeCost = t.choice.AlternativeCost
	}
	return meta
}
