package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/accounts"
	"github.com/mulberrylink/mulberrylink/coordination/overflow"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
	"github.com/mulberrylink/mulberrylink/coordination/quota"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
	"github.com/mulberrylink/mulberrylink/state/memory"
)

const (
	// maxReplayableBody is the largest body that is buffered before it is sent, so that
	// it can be sent again when an upstream has rejected the request.
	maxReplayableBody = 1 << 20
	// defaultTimeout is the timeout of a request whose caller doesn't state one.
	defaultTimeout = 30 * time.Second
	// routeTimeoutSlack is how long past the timeout of its route a request may last:
	// a response that the upstream sends at the timeout tells the caller more than a
	// timeout of the node.
	routeTimeoutSlack = 60 * time.Millisecond
	// headersKiB is the typical size of the headers of a request and its response.
	headersKiB = 0.9
	// defaultRetryAfter is the Retry-After value when no rejection stated one.
	defaultRetryAfter = 250 * time.Millisecond
	// typicalConfigDelay is the usual time from the start of a node until it has a
	// configuration: control hosts that restart with it elect a leader first.
	// maxConfigDelay allows for a second election.
	typicalConfigDelay = 700 * time.Millisecond
	maxConfigDelay     = 1500 * time.Millisecond
	// serviceTimesBeforeFailure is the number of service times that an attempt must have
	// run without a response to count as a failure of its upstream at the deadline.
	serviceTimesBeforeFailure = 2
	// serviceTimesPerObjective is the assumed ratio of a route's latency objective to
	// its service time until the first response. In users' specifications the ratio is
	// 2.5 to 4.2.
	serviceTimesPerObjective = 3
	// maxPlacements limits how often an upstream is chosen for one request.
	// maxSlowerRejections limits how often a node may reject one request because another
	// upstream is faster.
	maxPlacements       = 8
	maxSlowerRejections = 3
	// maxWarmingRejections limits how many cold upstreams with a full queue are tried. When
	// all of them have one, each further try only delays the refusal.
	maxWarmingRejections = 3
)

// serveCaller handles a request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	req := g.acceptHead(w, r, now)
	if req == nil {
		return
	}
	defer req.end()
	req.internal = g.isInternalCall(req)
	if now := time.Now(); !req.finishesBeforeExit(now) {
		g.writeError(w, r, req, http.StatusServiceUnavailable, mulberrylink.NotRun, reasonLeaving, g.retryAfterShutdown(now))
		return
	}
	if !req.mem.Acquire(memory.Requests, requestBytes, memory.RequestLevel(req.route.Priority)) {
		g.refuseForMemory(w, req)
		return
	}
	if err := g.receiveBody(w, req); err != nil {
		g.refuseBody(w, req, err)
		return
	}
	req.bodyReadAt = time.Now()
	req.fingerprint = req.computeFingerprint()
	if d := req.checkAccess(); d != nil {
		req.writeDenial(w, d)
		return
	}
	if !g.awaitQuota(w, req) {
		return
	}
	defer req.returnTokens()
	if asked, returning := g.returns.take(req.fingerprint, req.bodyReadAt); returning {
		g.stats.count("returned")
		req.resume(asked)
	}
	req.serve(w)
}

// acceptHead returns the request of a caller whose head may be served. Otherwise it refuses the request and
// returns nil.
func (g *Gateway) acceptHead(w http.ResponseWriter, r *http.Request, now time.Time) *request {
	refuse := func(status int, reason string, retryAfter time.Duration) *request {
		g.writeError(w, r, nil, status, mulberrylink.NotRun, reason, retryAfter)
		return nil
	}
	active := g.awaitLease(g.awaitConfig(r, now), r, now)
	if active == nil {
		return refuse(http.StatusServiceUnavailable, reasonNoConfig, max(defaultRetryAfter, g.startedAt.Add(typicalConfigDelay).Sub(now)))
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler) // nobody reads a response
	}
	route := active.table.Match(r.Host, r.RequestURI)
	if route == nil {
		return refuse(http.StatusNotFound, mulberrylink.ReasonNoRoute.String(), 0)
	}
	if limit := active.table.Limits.MaxBodyBytes; limit > 0 && r.ContentLength > limit {
		return refuse(http.StatusRequestEntityTooLarge, mulberrylink.ReasonTooLarge.String(), 0)
	}
	account, known := g.authenticate(active.table, route, r)
	switch {
	case g.needsLease(active.table, route, r) && !g.lease.Valid():
		return refuse(http.StatusServiceUnavailable, mulberrylink.ReasonLeaseEnded.String(), g.leaseRetryAfter())
	case !known:
		return refuse(http.StatusUnauthorized, mulberrylink.ReasonUnknownKey.String(), 0)
	}
	return g.newRequest(active, route, account, r, now)
}

// refuseBody refuses a request whose body could not be received.
func (g *Gateway) refuseBody(w http.ResponseWriter, req *request, err error) {
	r := req.httpReq
	var tooLarge *http.MaxBytesError
	switch {
	case r.Context().Err() != nil:
		panic(http.ErrAbortHandler) // nobody reads a response
	case errors.Is(err, errNoMemory):
		g.refuseForMemory(w, req)
	case errors.As(err, &tooLarge):
		g.writeError(w, r, req, http.StatusRequestEntityTooLarge, mulberrylink.NotRun, mulberrylink.ReasonTooLarge.String(), 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		g.writeError(w, r, req, http.StatusRequestTimeout, mulberrylink.NotRun, mulberrylink.ReasonDeadline.String(), 0)
	default:
		g.writeError(w, r, req, http.StatusBadRequest, mulberrylink.NotRun, mulberrylink.ReasonBadRequest.String(), 0)
	}
}

// authenticate returns the client account whose key the caller shows, nil without one. The second
// result is false if the route needs a known key and the caller shows none.
func (g *Gateway) authenticate(table *routes.Table, route *routes.Route, r *http.Request) (*accounts.Account, bool) {
	if table.Accounts == nil {
		return nil, true
	}
	account, known := table.Accounts.Lookup(g.cfg.Headers.Credential(r.Header))
	return account, known || route.Public
}

// awaitConfig returns the active configuration. A node that has just started gets it within
// maxConfigDelay if a control host has a leader. It holds requests until then, for at most half
// of their time: a caller that is told to come back does so only once or twice.
func (g *Gateway) awaitConfig(r *http.Request, now time.Time) *activeConfig {
	if active := g.active.Load(); active != nil {
		return active
	}
	wait := g.startedAt.Add(maxConfigDelay).Sub(now)
	if timeout, ok := g.cfg.Headers.Timeout(r.Header); ok {
		wait = min(wait, timeout/2)
	}
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-g.configured:
	case <-timer.C:
	case <-r.Context().Done():
	}
	return g.active.Load()
}

// receiveBody buffers the body of a request within the limits of its size and its deadline. A
// caller may send a body without end, or byte by byte.
func (g *Gateway) receiveBody(w http.ResponseWriter, req *request) error {
	r := req.httpReq
	if r.ContentLength == 0 {
		return nil
	}
	if err := http.NewResponseController(w).SetReadDeadline(req.deadline); err != nil {
		return err
	}
	if limit := req.active.table.Limits.MaxBodyBytes; limit > 0 {
		r.Body = http.MaxBytesReader(nil, r.Body, limit)
	}
	return req.readBody()
}

// attempt is one attempt to run a request on an upstream.
type attempt struct {
	node   mulberrylink.Node
	local  bool
	choice placement.Choice
	step   overflow.Step
	hedge  bool
	trial  bool // may test whether an upstream in reserve is well-formed again
	start  time.Time
	token  quota.Token // of a request of an account with a limit
	cancel context.CancelFunc
	res    result
}

// requestState is the progress of a request on its entry node. Only the goroutine of
// serve changes it.
type requestState struct {
	req              *request
	w                http.ResponseWriter
	ctx              context.Context
	done             chan *attempt
	silent           chan *attempt // attempts whose node sends nothing
	running          []*attempt
	excluded         map[string]bool
	placements       int
	slowerRejections int
	// warmingRejections counts the rejections of cold upstreams.
	warmingRejections int
	attempts          int // number of attempts that were not rejected
	retriesSpent      int // attempts taken from the retry budget
	retryAfter        time.Duration
	rejectReason      string
	denial            *denial  // why no further attempt may start
	lastFailure       *attempt // the last failed attempt; decides the response when no other attempt succeeds
	hedged            bool
	hedgeHeld         bool // the hedged request waits for lastHedgeAt, because its upstream is in reserve
	hedgeTimer        *time.Timer
	routing           *overflow.Routing // nil without overflowControl
	awayRetryAfter    time.Duration     // of other failure domains
	closedDomains     []string          // other failure domains that have rejected the request
	releaseDraw       float64           // decides which version gets the request while a rollout runs
}

// serve starts attempts until the caller has a response.
func (q *request) serve(w http.ResponseWriter) {
	ctx, cancel := context.WithDeadline(q.httpReq.Context(), q.deadline)
	defer cancel()
	s := &requestState{
		req: q, w: w, ctx: ctx, done: make(chan *attempt, maxPlacements+1), silent: make(chan *attempt, maxPlacements+1), excluded: make(map[string]bool),
		releaseDraw: rand.Float64(),
	}
	q.g.retryBudgets.RecordRequest(q.budgetRequest)
	if q.g.upstream.current().Service == q.service {
		q.g.upstream.refreshLoad(ctx) // placement compares the other upstreams with this one
	}
	s.routing = q.g.overflow.begin(q)
	defer s.cancelAll()
	if !s.startAttempt(firstAttempt) {
		s.respondFailure()
		return
	}
	s.hedgeTimer = time.NewTimer(s.hedgeDelay())
	defer s.hedgeTimer.Stop()
	for {
		select {
		case a := <-s.done:
			if s.finishAttempt(a) {
				return
			}
		case a := <-s.silent:
			s.handleSilence(a)
		case <-s.hedgeTimer.C:
			s.startHedge()
			if !s.hedged {
				s.scheduleHedge()
			}
		case <-q.g.exiting:
			q.g.writeError(w, q.httpReq, q, http.StatusBadGateway, mulberrylink.Unknown, reasonLeaving, 0)
			return
		case <-ctx.Done():
			s.handleContextDone()
			return
		}
	}
}

func (s *requestState) cancelAll() {
	for _, a := range s.running {
		a.cancel()
	}
}

// handleContextDone ends a request whose caller has disconnected or whose deadline has
// passed.
func (s *requestState) handleContextDone() {
	g := s.req.g
	if s.req.httpReq.Context().Err() != nil {
		g.stats.count("caller_left")
		panic(http.ErrAbortHandler) // nobody reads a response
	}
	now := time.Now()
	for _, a := range s.running {
		if now.Sub(a.start) > serviceTimesBeforeFailure*s.req.serviceTime {
			g.balancer.RecordResult(a.node.Name, true, now)
		}
	}
	g.writeError(s.w, s.req.httpReq, s.req, http.StatusGatewayTimeout, mulberrylink.Unknown, mulberrylink.ReasonDeadline.String(), 0)
}

// finishAttempt handles the result of an attempt and reports whether the caller has
// got a response.
func (s *requestState) finishAttempt(a *attempt) bool {
	g, now := s.req.g, time.Now()
	for i, r := range s.running {
		if r == a {
			s.running = append(s.running[:i], s.running[i+1:]...)
			break
		}
	}
	res := &a.res
	if res.resp == nil || res.resp.Rest == nil {
		a.cancel() // a response that is still being received ends with its context
	}
	s.recordAttempt(a, now)
	s.keepToken(a)
	switch {
	case res.meta.RejectReason != "":
		s.recordRejection(a)
		s.attempts--
		switch res.meta.RejectReason {
		case reasonSlower, reasonReserved:
			s.slowerRejections++ // what it reports keeps it from being chosen again, unless no other has room
			if a.hedge && res.meta.RejectReason == reasonReserved {
				s.hedged, s.hedgeHeld = false, true
				s.scheduleHedge()
			}
		case reasonSuspect: // may be chosen again, as the node of this suspect
		default:
			s.excluded[a.node.Name] = true
		}
		if endsRequest(res.meta.RejectReason) {
			s.retryAfter = res.meta.RetryAfter
			return len(s.running) == 0 && s.respondFailure()
		}
		if res.meta.RejectReason == reasonWarming {
			s.warmingRejections++
		}
		if len(s.running) > 0 || s.warmingRejections < maxWarmingRejections && s.startAttempt(firstAttempt) {
			return false
		}
		return s.respondFailure()
	case res.resp != nil && !res.meta.NotRun && (res.resp.Status < http.StatusInternalServerError || s.req.route.Kind != routes.Safe):
		s.relayResponse(a)
		return true
	}
	// The attempt failed, or the upstream reported that it did not run the request.
	s.lastFailure.discard()
	s.lastFailure = a
	s.excluded[a.node.Name] = true
	if len(s.running) > 0 {
		return false
	}
	if (res.meta.NotRun || s.req.route.Kind == routes.Safe) && s.startAttempt(retryAttempt) {
		g.stats.count("retried")
		return false
	}
	return s.respondFailure()
}

// discard ends the attempt and closes its response, if there is one. a may be nil.
func (a *attempt) discard() {
	if a != nil {
		a.res.resp.Close()
		a.cancel()
	}
}

// takeRetry reports whether the request may be sent once more, and takes that attempt
// from the retry budget.
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

// recordAttempt updates what is known about the upstream of an attempt and its node.
func (s *requestState) recordAttempt(a *attempt, now time.Time) {
	g := s.req.g
	res := &a.res
	if res.meta.Epoch != "" && !a.local {
		g.peerEpochs.set(a.node.Name, res.meta.Epoch)
	}
	g.mergeSuspicion(s.req.fingerprint, res.meta.Suspicion)
	g.overflow.recordAttempt(s, a, now)
	if res.meta.Epoch != "" {
		g.balancer.RecordLoad(a.node.Name, res.meta.Load, now)
		g.balancer.RecordIntegrity(a.node.Name, decodeIntegrity(res.meta.Integrity, now), now)
	}
	switch {
	case res.meta.RejectReason == reasonNodeUnreachable:
		pause := g.balancer.RecordUnreachable(a.node.Name, now)
		g.log.Warn().Str("request", s.req.id).Str("node", a.node.Name).Str("addr", a.node.Addr).
			Dur("pause", pause).Err(res.err).Msg("node not reached")
	case res.meta.RejectReason != "":
		if res.meta.RejectReason != reasonSlower && res.meta.RejectReason != reasonReserved {
			g.balancer.RecordRejection(a.node.Name, now)
		}
		g.log.Debug().Str("request", s.req.id).Str("node", a.node.Name).Str("reason", res.meta.RejectReason).
			Float64("cost", a.choice.Cost).Float64("alternative", a.choice.AlternativeCost).Msg("attempt rejected")
	default:
		if !res.meta.NotRun && (res.err == nil || s.ctx.Err() == nil) {
			failed := res.err != nil || res.resp.Status >= http.StatusInternalServerError
			g.balancer.RecordResult(a.node.Name, failed, now)
			if !failed && !a.local {
				g.serviceTimes.Observe(s.req.route.Name, res.meta.ServiceTime)
			}
		}
		if res.err != nil {
			g.log.Warn().Str("request", s.req.id).Str("route", s.req.route.Name).Str("node", a.node.Name).
				Dur("took", now.Sub(a.start)).Err(res.err).Msg("try failed")
		}
	}
}

// newRequestMeta returns the metadata that the admitting node receives with an attempt.
func (s *requestState) newRequestMeta(a *attempt, now time.Time) hop.RequestMeta {
	req := s.req
	meta := hop.RequestMeta{
		ExchangeID: exchangeID{process: process{node: req.g.cfg.Name, epoch: req.g.epoch}, seq: req.g.exchangeSeq.Add(1)}.String(),
		Service:    req.service, Route: req.route.Name, Kind: req.route.Kind, CallerService: req.g.upstream.current().Service,
		Priority: req.priority(), Account: req.accountName(), Objective: req.objective.Sub(now), Timeout: req.deadline.Sub(now), ServiceTime: req.serviceTime, ServiceTimeAssumed: req.serviceTimeAssumed,
		Returning: req.returning, Promised: s.promised(now), Internal: req.internal,
		Fingerprint: req.fingerprint, Suspicion: req.g.suspicion(req.fingerprint), Integrity: encodeIntegrity(req.g.balancer.Integrity(a.node.Name), now),
		Origin: req.g.overflow.origin(req.service, a),
	}
	if s.slowerRejections < maxSlowerRejections {
		meta.AlternativeCost, meta.Trial = a.choice.AlternativeCost, a.trial
		meta.SoundAlternative, meta.SoundExtraCost = a.choice.SoundAlternative, a.choice.SoundExtraCost
		if a.hedge && now.Before(s.lastHedgeAt()) && !s.onlyReservedRun(now) {
			// This node may not know that the upstream is in reserve.
			meta.SoundAlternative, meta.SoundExtraCost = true, 0
		}
	}
	return meta
}
