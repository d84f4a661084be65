package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/capacity"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
	"github.com/mulberrylink/mulberrylink/transport/exchange"
)

// reasonNodeUnreachable is the rejection reason of a node that could not be reached.
const reasonNodeUnreachable = "lostnode"

var (
	reasonSlower   = capacity.Slower.String()
	reasonReserved = capacity.Reserved.String()
	reasonWarming  = capacity.Warming.String()
)

const (
	// expectContinueThreshold is the size above which a body is sent to another node only
	// after that node has admitted the request (Expect: 100-continue).
	expectContinueThreshold = 8 << 10
	// serviceTimesBeforeHedge is the number of mean service times after which a hedged
	// request is considered.
	serviceTimesBeforeHedge = 1.7
	// maxHedgeCost is the maximum expected cost of a hedged request, where 1 is the value
	// of one response in time.
	maxHedgeCost = 0.6
	// resolveTimeout bounds the request for the outcome of a lost exchange.
	resolveTimeout = time.Second
)

// candidates returns the upstreams that may be chosen and their nodes by name.
func (s *requestState) candidates() (all []placement.Candidate, nodes map[string]mulberrylink.Node) {
	g := s.req.g
	serviceNodes := g.directory.ServiceNodes(s.req.service)
	nodes = make(map[string]mulberrylink.Node, len(serviceNodes))
	active := g.active.Load()
	warmupRate := g.warmupRate(active.table.Services[s.req.service])
	add := func(n mulberrylink.Node) {
		if active.state.IsDomainOut(n.Domain) {
			return
		}
		nodes[n.Name] = n
		all = append(all, placement.Candidate{
			Name: n.Name, Domain: n.Domain, Slots: n.Slots, Cold: n.Upstream == mulberrylink.UpstreamCold, WarmupRate: warmupRate, Local: n.Name == g.cfg.Name,
		})
	}
	for _, n := range serviceNodes {
		if n.Name != g.cfg.Name && n.Usable() {
			add(n)
		}
	}
	if hb := g.upstream.current(); hb.Service == s.req.service {
		if n := g.upstream.nodeRecord(); n.Upstream == mulberrylink.UpstreamUp || n.Upstream == mulberrylink.UpstreamCold {
			add(n)
			g.balancer.RecordLoad(n.Name, g.admission.Load(), time.Now())
			g.balancer.RecordIntegrity(n.Name, g.admission.Integrity(), time.Now())
		}
	}
	return all, nodes
}

// attemptKind is why an attempt is started.
type attemptKind uint8

const (
	// firstAttempt is the first one, or follows one that did not run the request.
	firstAttempt attemptKind = iota
	// retryAttempt follows one that failed or is overdue. It takes from the retry budget.
	retryAttempt
	// hedgeAttempt runs beside one that is late. It takes from the retry budget, and starts
	// only when its expected cost is at most maxHedgeCost. An upstream in reserve gets it at
	// lastHedgeAt: until then the attempt that is running can still finish in time.
	hedgeAttempt
)

// startAttempt starts an attempt on the upstream with the lowest cost. It returns false
// when no attempt is possible.
func (s *requestState) startAttempt(kind attemptKind) bool {
	g, req := s.req.g, s.req
	now := time.Now()
	if s.denial = req.checkAccess(); s.denial != nil {
		return false
	}
	if s.placements >= maxPlacements || s.placements > 0 && !req.replayable() {
		return false
	}
	all, nodes := s.candidates()
	all = s.restrictRelease(all, nodes)
	count := len(all)
	all, ok := s.restrictSuspect(kind, all)
	if !ok {
		return false
	}
	trial := kind == firstAttempt && s.mayBeTrial()
	choice, step, ok := s.choose(now, kind, &placement.Request{
		ServiceTime: req.serviceTime, Objective: req.objective, Deadline: req.deadline, Exclude: s.excluded, SizeKiB: req.sizeKiB(), Value: req.value(),
		Reroutable: s.slowerRejections < maxSlowerRejections, Repeatable: req.route.Kind == routes.Safe, Trial: trial,
	}, all, len(all) < count)
	if ok && kind == hedgeAttempt && choice.Reserved && now.Before(s.lastHedgeAt()) {
		s.hedgeHeld = true
		return false
	}
	if !ok || kind == hedgeAttempt && choice.Cost > maxHedgeCost || !s.ensureToken(kind) || kind != firstAttempt && !s.takeRetry() {
		return false
	}
	s.placements++
	if choice.PassedOver != "" {
		g.stats.count("passed_over_reserve")
	}
	a := &attempt{node: nodes[choice.Name], local: choice.Name == g.cfg.Name, choice: choice, step: step, start: now, token: req.useToken(), hedge: kind == hedgeAttempt, trial: trial}
	ctx, cancel := context.WithCancel(s.ctx)
	a.cancel = cancel
	s.running = append(s.running, a)
	g.balancer.RequestSent(choice.Name)
	meta := s.newRequestMeta(a, now)
	go func() {
		if a.local {
			s.runLocal(ctx, a, meta)
		} else {
			s.sendToPeer(ctx, a, meta)
			g.overflow.transferred(req, a)
		}
		// This runs even when nobody waits for the result any more.
		g.balancer.RequestEnded(choice.Name)
		if a.res.mayHaveRun() {
			g.stats.count("sent")
		}
		s.done <- a
	}()
	s.attempts++
	return true
}

// mayBeTrial reports whether the request can be sent to another upstream after a malformed response.
func (s *requestState) mayBeTrial() bool {
	req := s.req
	return req.route.Kind == routes.Safe && s.attempts+1 < req.route.MaxAttempts && req.replayable() && req.g.retryBudgets.HasToken(req.service)
}

// sizeKiB returns the size of the request plus the expected size of the response.
func (q *request) sizeKiB() float64 {
	return headersKiB + float64(max(0, q.length))/1024 + q.g.transferSizes.MeanOr(q.route.Name, time.Second).Seconds()
}

// value returns the value of a response in time, where that of an idempotent request is 1.
func (q *request) value() float64 {
	if q.route.Kind == routes.Safe {
		return 1
	}
	return q.g.cfg.Tuning.NonIdempotentValue
}

// hedgeDelay returns the time from the start of the request until a hedged request is
// considered.
func (s *requestState) hedgeDelay() time.Duration {
	return time.Duration(serviceTimesBeforeHedge*float64(s.req.serviceTime)) + s.req.g.cfg.Tuning.CrossDomainRTT
}

// lastHedgeAt returns the time from which a hedged request would miss the latency objective.
func (s *requestState) lastHedgeAt() time.Time { return s.req.objective.Add(-s.hedgeDelay()) }

// scheduleHedge makes serve consider a hedged request again that could not be started, if it can still
// meet the latency objective.
func (s *requestState) scheduleHedge() {
	at := s.req.objective
	if s.hedgeHeld {
		at, s.hedgeHeld = s.lastHedgeAt(), false
	}
	if time.Now().Before(s.req.objective) {
		s.hedgeTimer.Reset(max(time.Until(at), time.Millisecond))
	}
}

// onlyReservedRun reports whether all attempts that run are on upstreams known to be in reserve.
func (s *requestState) onlyReservedRun(now time.Time) bool {
	return !slices.ContainsFunc(s.running, func(a *attempt) bool { return !a.hedge && !s.req.g.balancer.Integrity(a.node.Name).Reserved(now) })
}

// startHedge starts a hedged request for an idempotent request that is late, if the
// retry budget allows it and another upstream is likely to finish in time.
func (s *requestState) startHedge() {
	req := s.req
	if req.route.Kind != routes.Safe || s.hedged || len(s.running) != 1 || s.attempts >= req.route.MaxAttempts {
		return
	}
	first := s.running[0].node.Name
	wasExcluded := s.excluded[first]
	s.excluded[first] = true
	if s.hedged = s.startAttempt(hedgeAttempt); s.hedged {
		req.g.stats.count("hedged")
		return
	}
	s.excluded[first] = wasExcluded
}

// handleSilence handles an attempt whose node has sent nothing, not even an interim response,
// for peerInactivityTimeout. The node may be slow or cut off. The attempt goes on, because its
// upstream may be at work; an idempotent request is sent to another one as well if the retry
// budget allows it.
func (s *requestState) handleSilence(a *attempt) {
	g, req := s.req.g, s.req
	if !slices.Contains(s.running, a) {
		return
	}
	g.stats.count("peer_silent")
	g.balancer.RecordResult(a.node.Name, true, time.Now())
	s.excluded[a.node.Name] = true
	retried := req.route.Kind == routes.Safe && len(s.running) == 1 && s.startAttempt(retryAttempt)
	if retried {
		g.stats.count("retried")
	}
	g.log.Warn().Str("request", req.id).Str("route", req.route.Name).Str("node", a.node.Name).
		Dur("took", time.Since(a.start)).Bool("retried", retried).Msg("node silent; its attempt goes on")
}

// runLocal runs an attempt on the upstream beside this node.
func (s *requestState) runLocal(ctx context.Context, a *attempt, meta hop.RequestMeta) {
	g, req := s.req.g, s.req
	a.res = g.admit(ctx, &upstreamRequest{
		meta: meta, method: req.httpReq.Method, target: req.httpReq.RequestURI, host: req.httpReq.Host, header: req.header,
		body: req.bodyReader(), length: req.length, mem: req.mem, objective: req.objective, deadline: req.deadline,
	})
}

// sendToPeer sends an attempt to the node beside the chosen upstream.
func (s *requestState) sendToPeer(ctx context.Context, a *attempt, meta hop.RequestMeta) {
	g, req := s.req.g, s.req
	header := req.header.Clone()
	header.Set(hop.Header, meta.Encode())
	// The process that receives the exchange: the last one known before it, or the one that sends
	// an interim response to it. A later response to another request may be of a restarted process.
	epoch := g.peerEpochs.get(a.node.Name)
	call := &exchange.Request{
		Addr: a.node.Addr, Method: req.httpReq.Method, Target: req.httpReq.RequestURI, Host: req.httpReq.Host, Header: header,
		Body: req.bodyReader(), Length: req.length, Deadline: req.deadline.Add(responseSlack), InactivityTimeout: peerInactivityTimeout, Memory: req.mem,
		OnInterim: func(h http.Header) {
			text := h.Get(hop.Header)
			if text == "" {
				return // only nodes set the header; this is an interim response of the upstream
			}
			if interim, err := hop.ParseResponseMeta(text); err == nil {
				g.balancer.RecordLoad(a.node.Name, interim.Load, time.Now())
				g.overflow.recordResponse(req.service, &a.node, &interim, time.Now())
				epoch = interim.Epoch
			}
		},
	}
	if req.length < 0 || req.length > expectContinueThreshold {
		call.ExpectContinue, call.InactivityTimeout = true, 0
	}
	ctx, cancel := context.WithCancel(ctx)
	resolved := make(chan result, 1)
	call.OnInactivity = func() {
		g.peerPool.CloseIdle(a.node.Addr)
		s.silent <- a
		if meta.Kind == routes.Safe {
			return
		}
		go func(epoch string) {
			if res, ok := g.resolveExchange(ctx, a, meta.ExchangeID, epoch); ok {
				resolved <- res
				cancel() // ends the exchange on the silent connection
			}
		}(epoch)
	}
	resp, err := g.peerPool.Do(ctx, call)
	if err == nil {
		a.res = g.parsePeerResponse(resp)
		endWithResponse(&a.res, cancel)
		return
	}
	defer cancel()
	select {
	case a.res = <-resolved:
		return
	default:
	}
	a.res = result{err: err}
	var stageErr *exchange.StageError
	switch {
	case errors.As(err, &stageErr) && stageErr.Stage == exchange.NotSent:
		a.res.meta.RejectReason = reasonNodeUnreachable
		return
	case ctx.Err() == nil && meta.Kind != routes.Safe:
		g.log.Warn().Str("request", req.id).Str("exchange", meta.ExchangeID).Str("node", a.node.Name).Err(err).Msg("connection to the node lost; asking for the outcome")
		if res, ok := g.resolveExchange(ctx, a, meta.ExchangeID, epoch); ok {
			a.res = res
		}
	}
	g.peerPool.CloseIdle(a.node.Addr)
}

// endWithResponse calls cancel when the response of a result has been received.
func endWithResponse(res *result, cancel context.CancelFunc) {
	if res.resp == nil || res.resp.Rest == nil {
		cancel()
		return
	}
	res.resp.Rest = &trackedBody{ReadCloser: res.resp.Rest, onError: func(error) {}, onClose: cancel}
}

// parsePeerResponse converts the response of another node to a result.
func (g *Gateway) parsePeerResponse(resp *exchange.Response) result {
	meta, err := hop.ParseResponseMeta(resp.Header.Get(hop.Header))
	switch {
	case err != nil:
		resp.Close()
		return result{err: err}
	case meta.RejectReason != "":
		resp.Close()
		return result{meta: meta}
	case meta.ExchangeFailed:
		resp.Close()
		return result{meta: meta, err: errPeerExchangeFailed}
	}
	return result{meta: meta, resp: resp}
}

var (
	errPeerExchangeFailed = errors.New("the exchange with the upstream failed at its node")
	errPeerRestarted      = errors.New("the process of the node that received the exchange has ended")
)

// resolveExchange asks a node over a new connection for the outcome of an exchange that it
// doesn't report on the first one. It returns false without an outcome. Only the process that
// received the exchange can tell that it does not run: when another one has taken its place, the
// outcome stays unknown.
func (g *Gateway) resolveExchange(ctx context.Context, a *attempt, exchangeID, epoch string) (result, bool) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	resp, err := g.peerPool.Do(ctx, &exchange.Request{
		Addr: a.node.Addr, Method: http.MethodGet, Target: hop.ResolvePath + exchangeID, Host: a.node.Addr,
		Header: http.Header{}, Deadline: deadline, NewConn: true,
	})
	g.log.Info().Str("exchange", exchangeID).Str("node", a.node.Name).Bool("answered", err == nil).Str("epoch", epoch).Msg("outcome of a lost exchange asked")
	if err != nil {
		return result{}, false
	}
	res := g.parsePeerResponse(resp)
	switch {
	case res.meta.Epoch == "":
		return result{}, false // not a response of a node
	case res.meta.RejectReason != reasonBarred, res.meta.Epoch == epoch:
		return res, true
	case epoch == "":
		return result{}, false
	}
	return result{err: errPeerRestarted, meta: hop.ResponseMeta{Load: res.meta.Load, Epoch: res.meta.Epoch}}, true
}
