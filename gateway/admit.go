package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/capacity"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
	"github.com/mulberrylink/mulberrylink/transport/exchange"
)

const (
	// returnTime is kept from the time that an upstream gets, for its answer on
	// the way back.
	returnTime = 4 * time.Millisecond
	// answerSlack is how much longer than it was given an upstream is waited
	// for: its own answer at the deadline says more than ours.
	answerSlack = 30 * time.Millisecond
	// deadlineSlack is how much sooner than here the deadline may pass at the
	// entry node.
	deadlineSlack = 15 * time.Millisecond
	// onceMaxIdle is the longest idle time of a connection on which a request
	// is sent that may run at most once. An upstream may drop idle connections
	// without notice, and what is sent then must be taken as run.
	onceMaxIdle = 1500 * time.Millisecond
)

// Reasons for a refusal that are not those of the gate.
const (
	refusedLeaving   = "leaving"
	refusedNoService = "noservice"
	refusedDown      = "down"
	refusedBarred    = "barred"
	refusedNoConfig  = "noconfig"
)

// work is a request as the admitting node sees it.
type work struct {
	ask       hop.RequestMeta
	method    string
	target    string
	host      string
	header    http.Header
	body      io.Reader
	length    int64
	objective time.Time
	deadline  time.Time
}

// result is what became of a request at one upstream.
type result struct {
	reply hop.ResponseMeta
	// ans is nil when the request was refused or the exchange failed.
	ans *exchange.Answer
	// failure is set when the exchange failed after something was sent.
	failure error
}

// ran reports whether the request may have run.
func (r *result) ran() bool { return r.reply.RejectReason == "" && !r.reply.NotRun }

func (g *Gateway) refusal(reason string, after time.Duration) result {
	g.stats.count("admit_refused." + reason)
	return result{reply: hop.ResponseMeta{Load: g.gate.Load(), RejectReason: reason, RetryAfter: after, Epoch: g.epoch}}
}

// admit runs a request on the upstream beside this node, or refuses it.
func (g *Gateway) admit(ctx context.Context, w *work) result {
	b := g.upstream.current()
	if b.Service != w.ask.Service || b.ID == "" {
		return g.refusal(refusedNoService, 0)
	}
	g.upstream.refresh(ctx)
	if w.ask.ServiceTimeAssumed {
		w.ask.ServiceTime = g.works.MeanOr(w.ask.Route, w.ask.ServiceTime)
	}
	queued := time.Now()
	ticket, refusal := g.gate.Acquire(ctx, &capacity.Request{
		ServiceTime: w.ask.ServiceTime, Priority: w.ask.Priority, Objective: w.objective, Deadline: w.deadline, AlternativeCost: w.ask.AlternativeCost,
	})
	if ticket == nil {
		load := g.gate.Load()
		g.log.Debug().Str("request", g.cfg.Headers.RequestID(w.header)).Str("exchange", w.ask.ExchangeID).Str("route", w.ask.Route).
			Str("reason", refusal.Reason.String()).Dur("after", refusal.RetryAfter).Dur("held", time.Since(queued)).
			Int("running", load.Running).Int("waiting", load.Waiting).Int("limit", load.Slots).Float64("factor", load.Slowdown).
			Float64("failing", load.FailureRate).Float64("elsewhere", w.ask.AlternativeCost).Dur("work", w.ask.ServiceTime).
			Dur("objective", time.Until(w.objective)).Msg("not admitted")
		return g.refusal(refusal.Reason.String(), refusal.RetryAfter)
	}
	defer ticket.Release()
	began := time.Now()
	if wait := began.Sub(queued); wait > time.Millisecond {
		g.stats.latency("admit_wait_us", wait)
	}
	// The wait may have outlasted the upstream.
	if b = g.upstream.current(); b.Service != w.ask.Service {
		return g.refusal(refusedNoService, 0)
	}
	if v := g.view.Load(); v != nil && v.state.IsDomainOut(g.cfg.Domain) {
		return g.refusal(capacity.Closed.String(), 0)
	}
	return g.exchange(ctx, w, &b, began)
}

// exchange sends an admitted request.
func (g *Gateway) exchange(ctx context.Context, w *work, b *Heartbeat, began time.Time) result {
	left := w.deadline.Sub(began) - returnTime
	if left <= 0 {
		return g.refusal(capacity.Expired.String(), 0)
	}
	d := g.cfg.Headers
	header := w.header.Clone()
	header.Del(hop.Header)
	d.SetUpstreamHeaders(header, RequestInfo{Remaining: left, UpstreamID: b.ID, CallerService: w.ask.CallerService})
	id := d.RequestID(header)
	call := &exchange.Call{
		Addr: b.Addr, Method: w.method, Target: w.target, Host: w.host, Header: header,
		Body: w.body, Length: w.length, Deadline: w.deadline.Add(answerSlack),
		Match: func(h http.Header) bool { return d.MatchesRequest(id, h) },
	}
	if w.ask.Kind != routes.Safe {
		call.MaxIdle = onceMaxIdle
	}
	// A request takes the pace of the host at its start for its whole work.
	pace := max(1, g.gate.Load().Slowdown)
	ans, err := g.backend.Do(ctx, call)
	took := time.Since(began)
	if err != nil {
		return g.exchangeFailed(ctx, w, b, took, err)
	}
	signs := d.ParseResponse(ans.Status, ans.Header)
	g.upstream.report(signs)
	usual := time.Duration(float64(took) / pace)
	res := result{reply: hop.ResponseMeta{ServiceTime: usual, NotRun: signs.NotRun, Epoch: g.epoch}, ans: ans}
	switch {
	case signs.NotRun:
		g.stats.count("upstream_notrun")
		g.upstream.ask()
		g.gate.RecordResult(0, 0, false)
	case ans.Status < http.StatusMultipleChoices && !signs.Signed:
		// A success without the upstream's mark is not its answer.
		g.stats.count("upstream_unsigned")
		ans.Close()
		res.ans, res.failure, res.reply.ExchangeFailed = nil, errUnsigned, true
		g.gate.RecordResult(0, 0, true)
	default:
		failed := ans.Status >= http.StatusInternalServerError
		expected := w.ask.ServiceTime
		if w.ask.ServiceTimeAssumed {
			expected = 0 // what was guessed says nothing about the upstream
		}
		g.gate.RecordResult(expected, usual, failed)
		if !failed {
			g.works.Observe(w.ask.Route, usual)
		}
	}
	res.reply.Load = g.gate.Load()
	return res
}

var errUnsigned = errors.New("the answer lacks the mark of the upstream")

func (g *Gateway) exchangeFailed(ctx context.Context, w *work, b *Heartbeat, took time.Duration, err error) result {
	var f *exchange.StageError
	if errors.As(err, &f) && f.Stage == exchange.NotSent {
		if f.Refused {
			g.upstream.refused(b.ID)
		}
		g.log.Warn().Str("request", g.cfg.Headers.RequestID(w.header)).Str("exchange", w.ask.ExchangeID).
			Str("upstream", b.ID).Err(err).Msg("upstream not reached")
		return g.refusal(refusedDown, 0)
	}
	// A caller that leaves early says nothing about the upstream; one that has
	// waited to the end does.
	if ctx.Err() == nil || !time.Now().Before(w.deadline.Add(-deadlineSlack)) {
		g.gate.RecordResult(0, 0, true)
		g.upstream.ask()
		g.stats.count("upstream_failed")
		g.log.Warn().Str("request", g.cfg.Headers.RequestID(w.header)).Str("exchange", w.ask.ExchangeID).
			Str("upstream", b.ID).Str("route", w.ask.Route).Dur("took", took).Err(err).Msg("exchange with upstream failed")
	}
	return result{failure: err, reply: hop.ResponseMeta{Load: g.gate.Load(), ExchangeFailed: true, Epoch: g.epoch}}
}
