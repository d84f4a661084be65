package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/capacity"
	"github.com/mulberrylink/mulberrylink/coordination/rollout"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
	"github.com/mulberrylink/mulberrylink/state/memory"
	"github.com/mulberrylink/mulberrylink/transport/exchange"
)

const (
	// responseTransitTime is subtracted from the time that an upstream gets, so that its
	// response can reach the caller before the deadline.
	responseTransitTime = 4 * time.Millisecond
	// responseSlack is how long past the deadline the node still waits for the
	// upstream: a response that the upstream itself sends at the deadline tells the
	// caller more than a timeout of the node.
	responseSlack = 30 * time.Millisecond
	// entryDeadlineSlack is how much earlier than on the admitting node the deadline
	// may pass on the entry node.
	entryDeadlineSlack = 15 * time.Millisecond
	// nonIdempotentMaxIdle is the maximum idle time of a connection that is reused for
	// a non-idempotent request. An upstream may drop idle connections without notice,
	// and a request sent over such a connection must be assumed to have run.
	nonIdempotentMaxIdle = 1500 * time.Millisecond
)

// Reasons for a rejection in addition to those of capacity.Reason.
const (
	reasonLeaving      = "leaving"
	reasonNoService    = "noservice"
	reasonUpstreamDown = "down"
	reasonBarred       = "barred" // the entry node has already been told that the exchange doesn't run
	reasonNoConfig     = "noconfig"
	reasonRolledBack   = "rolledback" // a rollout to the version of the upstream was rolled back
	// reasonSuspect is given to a request that has become a suspect while it was queued, and
	// reasonSuspectBusy to a suspect that cannot get its turn in time.
	reasonSuspect     = "suspect"
	reasonSuspectBusy = "suspectbusy"
)

// upstreamRequest is a request on the admitting node.
type upstreamRequest struct {
	meta      hop.RequestMeta
	method    string
	target    string
	host      string
	header    http.Header
	body      io.Reader
	length    int64
	mem       *memory.Account
	objective time.Time
	deadline  time.Time
	// hasSuspectTurn is true while the request is the one suspect that may run.
	hasSuspectTurn bool
}

// result is the result of one attempt at one upstream.
type result struct {
	meta hop.ResponseMeta
	// resp is nil when the request was rejected or the exchange failed.
	resp *exchange.Response
	// err is set when the exchange failed, or when the other node wasn't reached.
	err error
}

// mayHaveRun reports whether the upstream may have run the request.
func (r *result) mayHaveRun() bool { return r.meta.RejectReason == "" && !r.meta.NotRun }

// reject counts a rejection and returns its result.
func (g *Gateway) reject(reason string, retryAfter time.Duration) result {
	g.stats.count("admit_refused." + reason)
	meta := g.newResponseMeta()
	meta.RejectReason, meta.RetryAfter = reason, retryAfter
	return result{meta: meta}
}

// admit runs a request on the upstream beside this node, or rejects it.
func (g *Gateway) admit(ctx context.Context, req *upstreamRequest) result {
	hb := g.upstream.current()
	if hb.Service != req.meta.Service || hb.ID == "" {
		return g.reject(reasonNoService, 0)
	}
	if g.isRolledBack(&hb) {
		return g.reject(reasonRolledBack, 0)
	}
	g.upstream.refreshLoad(ctx)
	if !g.overflow.admits(req) {
		return g.reject(reasonForeign, foreignRetryAfter)
	}
	if req.meta.ServiceTimeAssumed {
		req.meta.ServiceTime = g.serviceTimes.MeanOr(req.meta.Route, req.meta.ServiceTime)
	}
	enqueuedAt := time.Now()
	endTurn, rejected := g.awaitSuspectTurn(ctx, req)
	if rejected != nil {
		return *rejected
	}
	permit, rejection := g.admission.Acquire(ctx, &capacity.Request{
		ServiceTime: req.meta.ServiceTime, Priority: req.meta.Priority, Repeatable: req.meta.Kind == routes.Safe, Objective: req.objective, Deadline: req.deadline, AlternativeCost: req.meta.AlternativeCost,
		SoundAlternative: req.meta.SoundAlternative, SoundExtraCost: req.meta.SoundExtraCost, Trial: req.meta.Trial,
		Account: req.meta.Account, Returning: req.meta.Returning, Promised: req.meta.Promised, Internal: req.meta.Internal,
	})
	if permit == nil {
		if req.meta.Account != "" {
			g.stats.count("admit_refused_account." + rejection.Reason.String())
		}
		load := g.admission.Load()
		g.log.Debug().Str("request", g.cfg.Headers.RequestID(req.header)).Str("exchange", req.meta.ExchangeID).Str("route", req.meta.Route).
			Str("reason", rejection.Reason.String()).Dur("after", rejection.RetryAfter).Dur("held", time.Since(enqueuedAt)).
			Int("running", load.Running).Int("waiting", load.Waiting).Int("limit", load.Slots).Float64("factor", load.Slowdown).
			Float64("failing", load.FailureRate).Float64("elsewhere", req.meta.AlternativeCost).Bool("returning", req.meta.Returning).Bool("internal", req.meta.Internal).Dur("work", req.meta.ServiceTime).
			Dur("objective", time.Until(req.objective)).Msg("not admitted")
		endTurn()
		return g.reject(rejection.Reason.String(), rejection.RetryAfter)
	}
	res := g.runAdmitted(ctx, req, enqueuedAt)
	release := func() { permit.Release(); endTurn() }
	if res.resp == nil || res.resp.Rest == nil {
		release()
		return res
	}
	// The upstream is occupied until it has sent the whole response. An attempt that is
	// given up ends with its context.
	stop := context.AfterFunc(ctx, release)
	res.resp.Rest = &trackedBody{
		ReadCloser: res.resp.Rest, onClose: func() { stop(); release() },
		onError: func(err error) {
			if ctx.Err() == nil {
				g.recordUpstreamFailure(req, &hb, time.Since(enqueuedAt), err)
				g.results.Record(rollout.Result{Release: hb.Release, Route: req.meta.Route, Failed: true})
			}
		},
	}
	return res
}

// trackedBody reports the first error and the end of a response body.
type trackedBody struct {
	io.ReadCloser
	onError func(error)
	onClose func()
	failed  bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !b.failed {
		b.failed = true
		b.onError(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.onClose()
	return err
}

// runAdmitted runs a request that has a permit.
func (g *Gateway) runAdmitted(ctx context.Context, req *upstreamRequest, enqueuedAt time.Time) result {
	start := time.Now()
	if wait := start.Sub(enqueuedAt); wait > time.Millisecond {
		g.stats.observeLatency("admit_wait_us", wait)
	}
	// The upstream may have changed while the request waited in the queue.
	hb := g.upstream.current()
	if hb.Service != req.meta.Service {
		return g.reject(reasonNoService, 0)
	}
	if active := g.active.Load(); active != nil && active.state.IsDomainOut(g.cfg.Domain) {
		return g.reject(capacity.Closed.String(), 0)
	}
	if g.isRolledBack(&hb) {
		return g.reject(reasonRolledBack, 0)
	}
	if rejected := g.checkSuspicion(req); rejected != nil {
		return *rejected
	}
	res := g.exchange(ctx, req, &hb, start)
	g.recordRelease(ctx, req, &hb, start, &res)
	return res
}

// exchange sends an admitted request to the upstream and reads the response.
func (g *Gateway) exchange(ctx context.Context, req *upstreamRequest, hb *Heartbeat, start time.Time) result {
	remaining := req.deadline.Sub(start) - responseTransitTime
	if remaining <= 0 {
		return g.reject(capacity.Expired.String(), 0)
	}
	codec := g.cfg.Headers
	header := req.header.Clone()
	header.Del(hop.Header)
	codec.SetUpstreamHeaders(header, RequestInfo{Remaining: remaining, UpstreamID: hb.ID, CallerService: req.meta.CallerService, Account: req.meta.Account})
	id := codec.RequestID(header)
	call := &exchange.Request{
		Addr: hb.Addr, Method: req.method, Target: req.target, Host: req.host, Header: header,
		Body: req.body, Length: req.length, Deadline: req.deadline.Add(responseSlack), Memory: req.mem,
		Match: func(h http.Header) bool { return codec.MatchesRequest(id, h) },
	}
	if req.meta.Kind != routes.Safe {
		call.MaxIdleTime = nonIdempotentMaxIdle
	}
	// The slowdown of the host at the start of a request applies to its whole service
	// time.
	slowdown := max(1, g.admission.Load().Slowdown)
	g.upstream.recordSent(start)
	run := &upstreamRun{requestID: id, upstreamID: hb.ID, route: req.meta.Route, fingerprint: req.meta.Fingerprint, startedAt: start}
	g.runs.begin(run)
	resp, err := g.upstreamPool.Do(ctx, call)
	took := time.Since(start)
	if err != nil {
		g.runs.fail(run, time.Now())
		return g.handleExchangeError(ctx, req, hb, took, err)
	}
	info := codec.ParseResponse(resp.Status, resp.Header)
	g.runs.trackResponse(run, resp, func() {
		g.recordCompletion(run, info)
		if info.NotRun || info.Signed {
			g.recordIntegrity(hb.ID, false)
		}
	})
	g.upstream.recordResponse(hb, info, false)
	normalized := time.Duration(float64(took) / slowdown)
	res := result{meta: hop.ResponseMeta{ServiceTime: normalized, NotRun: info.NotRun}, resp: resp}
	switch {
	case info.NotRun:
		g.stats.count("upstream_notrun")
		g.upstream.requestProbe()
		g.admission.RecordResult(0, 0, false)
	case resp.Status < http.StatusMultipleChoices && !info.Signed:
		// A success without the stamp of the upstream wasn't sent by the upstream.
		g.stats.count("upstream_unsigned")
		g.recordMalformed(hb.ID)
		g.discardResponse(&res, errUnsigned)
	case req.meta.Kind != routes.Safe && saysNotRun(resp.Status):
		g.stats.count("upstream_unstated")
		g.log.Warn().Str("request", id).Str("exchange", req.meta.ExchangeID).Str("upstream", hb.ID).Int("status", resp.Status).
			Msg("upstream refused a request without stating that it did not run it")
		g.discardResponse(&res, errUnstated)
	default:
		failed := resp.Status >= http.StatusInternalServerError
		expected := req.meta.ServiceTime
		if req.meta.ServiceTimeAssumed {
			expected = 0 // an assumed service time tells nothing about the upstream
		}
		g.admission.RecordResult(expected, normalized, failed)
		if !failed {
			g.serviceTimes.Observe(req.meta.Route, normalized)
		}
	}
	common := g.newResponseMeta()
	res.meta.Load, res.meta.Integrity, res.meta.Epoch, res.meta.Domains = common.Load, common.Integrity, common.Epoch, common.Domains
	return res
}

var (
	errUnsigned = errors.New("response lacks the stamp of the upstream")
	errUnstated = errors.New("the upstream refused the request without stating that it did not run it")
)

// saysNotRun reports whether callers take a status for the promise that their request was not run.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// discardResponse turns a response that must not be relayed into a failed exchange.
func (g *Gateway) discardResponse(res *result, err error) {
	res.resp.Close()
	res.resp, res.err, res.meta.ExchangeFailed = nil, err, true
	g.admission.RecordResult(0, 0, true)
}

// handleExchangeError returns the result of an exchange that failed: a rejection when
// nothing was sent.
func (g *Gateway) handleExchangeError(ctx context.Context, req *upstreamRequest, hb *Heartbeat, took time.Duration, err error) result {
	var stageErr *exchange.StageError
	if errors.As(err, &stageErr) && stageErr.Stage == exchange.NotSent {
		if stageErr.ConnectionRefused {
			g.upstream.markDown(hb.ID)
		}
		g.log.Warn().Str("request", g.cfg.Headers.RequestID(req.header)).Str("exchange", req.meta.ExchangeID).
			Str("upstream", hb.ID).Err(err).Msg("failed to connect to upstream; rejecting the request")
		return g.reject(reasonUpstreamDown, 0)
	}
	// A caller that disconnects early tells nothing about the upstream. One that
	// waited until its deadline does.
	if ctx.Err() == nil {
		g.upstream.checkForCrash(ctx, hb.ID, time.Now())
	}
	if ctx.Err() == nil || !time.Now().Before(req.deadline.Add(-entryDeadlineSlack)) {
		g.recordUpstreamFailure(req, hb, took, err)
	}
	meta := g.newResponseMeta()
	meta.ExchangeFailed = true
	return result{err: err, meta: meta}
}

// recordUpstreamFailure counts a failed exchange against the upstream.
func (g *Gateway) recordUpstreamFailure(req *upstreamRequest, hb *Heartbeat, took time.Duration, err error) {
	g.admission.RecordResult(0, 0, true)
	if exchange.IsMalformed(err) {
		g.recordMalformed(hb.ID)
	}
	g.upstream.requestProbe()
	g.stats.count("upstream_failed")
	g.log.Warn().Str("request", g.cfg.Headers.RequestID(req.header)).Str("exchange", req.meta.ExchangeID).
		Str("upstream", hb.ID).Str("route", req.meta.Route).Dur("took", took).Err(err).Msg("exchange with upstream failed")
}
