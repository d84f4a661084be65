package gateway

import (
	"context"
	"errors"
	"net/http"
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

var reasonSlower = capacity.Slower.String()

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
	add := func(n mulberrylink.Node) {
		if active.state.IsDomainOut(n.Domain) {
			return
		}
		nodes[n.Name] = n
		all = append(all, placement.Candidate{
			Name: n.Name, Domain: n.Domain, Slots: n.Slots, Cold: n.Upstream == mulberrylink.UpstreamCold, Local: n.Name == g.cfg.Name,
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
		}
	}
	return all, nodes
}

// startAttempt starts an attempt on the upstream with the lowest cost. It returns false
// when no attempt is possible or its cost is above maxCost, which is set only for hedged
// requests.
func (s *requestState) startAttempt(maxCost *float64) bool {
	g, req := s.req.g, s.req
	now := time.Now()
	if s.placements >= maxPlacements || s.placements > 0 && !req.replayable() {
		return false
	}
	all, nodes := s.candidates()
	choice, ok := g.balancer.Choose(now, &placement.Request{
		ServiceTime: req.serviceTime, Objective: req.objective, Deadline: req.deadline, Exclude: s.excluded, SizeKiB: req.sizeKiB(), Value: req.value(),
		Reroutable: s.slowerRejections < maxSlowerRejections,
	}, all)
	if !ok || maxCost != nil && choice.Cost > *maxCost {
		return false
	}
	s.placements++
	a := &attempt{node: nodes[choice.Name], local: choice.Name == g.cfg.Name, choice: choice, start: now, hedge: maxCost != nil}
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

// startHedge starts a hedged request for an idempotent request that is late, if the
// retry budget allows it and another upstream is likely to finish in time.
func (s *requestState) startHedge() {
	req := s.req
	if req.route.Kind != routes.Safe || s.hedged || len(s.running) != 1 || s.attempts >= req.route.MaxAttempts {
		return
	}
	first := s.running[0]
	s.excluded[first.node.Name] = true
	maxCost := maxHedgeCost
	all, _ := s.candidates()
	if len(all) < 2 {
		return
	}
	if !s.takeRetry() {
		return
	}
	if s.startAttempt(&maxCost) {
		s.hedged = true
		req.g.stats.count("hedged")
	}
}

// runLocal runs an attempt on the upstream beside this node.
func (s *requestState) runLocal(ctx context.Context, a *attempt, meta hop.RequestMeta) {
	g, req := s.req.g, s.req
	a.res = g.admit(ctx, &upstreamRequest{
		meta: meta, method: req.httpReq.Method, target: req.httpReq.RequestURI, host: req.httpReq.Host, header: req.header,
		body: req.bodyReader(), length: req.length, objective: req.objective, deadline: req.deadline,
	})
}

// sendToPeer sends an attempt to the node beside the chosen upstream.
func (s *requestState) sendToPeer(ctx context.Context, a *attempt, meta hop.RequestMeta) {
	g, req := s.req.g, s.req
	header := req.header.Clone()
	header.Set(hop.Header, meta.Encode())
	call := &exchange.Request{
		Addr: a.node.Addr, Method: req.httpReq.Method, Target: req.httpReq.RequestURI, Host: req.httpReq.Host, Header: header,
		Body: req.bodyReader(), Length: req.length, Deadline: req.deadline.Add(responseSlack), InactivityTimeout: peerInactivityTimeout,
		OnInterim: func(h http.Header) {
			if interim, err := hop.ParseResponseMeta(h.Get(hop.Header)); err == nil {
				g.balancer.RecordLoad(a.node.Name, interim.Load, time.Now())
			}
		},
	}
	if req.length < 0 || req.length > expectContinueThreshold {
		call.ExpectContinue, call.InactivityTimeout = true, 0
	}
	resp, err := g.peerPool.Do(ctx, call)
	if err == nil {
		a.res = g.parsePeerResponse(resp)
		return
	}
	var stageErr *exchange.StageError
	switch {
	case errors.As(err, &stageErr) && stageErr.Stage == exchange.NotSent:
		a.res = result{meta: hop.ResponseMeta{RejectReason: reasonNodeUnreachable}, err: err}
	case ctx.Err() != nil || meta.Kind == routes.Safe:
		g.peerPool.CloseIdle(a.node.Addr)
		a.res = result{err: err}
	default:
		g.peerPool.CloseIdle(a.node.Addr)
		g.log.Warn().Str("request", req.id).Str("exchange", meta.ExchangeID).Str("node", a.node.Name).Err(err).Msg("connection to the node lost; asking for the outcome")
		a.res = g.resolveLostExchange(ctx, a, meta.ExchangeID, err)
	}
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

var errPeerExchangeFailed = errors.New("the exchange with the upstream failed at its node")

// resolveLostExchange asks the node for the outcome of an exchange whose connection was
// lost. Only the process that received the request knows the outcome, so a response of a
// restarted process, which has another epoch, is ignored.
func (g *Gateway) resolveLostExchange(ctx context.Context, a *attempt, exchangeID string, cause error) result {
	knownEpoch := g.peerEpochs.get(a.node.Name)
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	resp, err := g.peerPool.Do(ctx, &exchange.Request{
		Addr: a.node.Addr, Method: http.MethodGet, Target: hop.ResolvePath + exchangeID, Host: a.node.Addr,
		Header: http.Header{}, Deadline: deadline, NewConn: true,
	})
	g.log.Info().Str("exchange", exchangeID).Str("node", a.node.Name).Bool("answered", err == nil).Str("epoch", knownEpoch).Msg("outcome of a lost exchange asked")
	if err != nil {
		return result{err: cause}
	}
	res := g.parsePeerResponse(resp)
	if knownEpoch == "" || res.meta.Epoch != knownEpoch {
		res.resp.Close()
		return result{err: cause}
	}
	return res
}
