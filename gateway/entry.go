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
	keptBody = 1 << 20
	// defaultWait is how long a caller waits who does not say.
	defaultWait = 30 * time.Second
	// timeoutSlack is how much later than its route's timeout a request ends:
	// the answer of the upstream at that time says more than ours.
	timeoutSlack = 60 * time.Millisecond
	// headerKiB is the size of the headers of a request and its answer.
	headerKiB = 0.9
	// noRoom is the time after which a caller is told to come back when no
	// upstream said when it has room.
	noRoom = 250 * time.Millisecond
	// startTime is how long a started node waits for its configuration, mostly:
	// control hosts that were restarted too elect a leader meanwhile.
	startTime = 700 * time.Millisecond
	// silentWork is how many times its work a try without an answer has to have
	// taken to count as a failure of its upstream.
	silentWork = 2
	// objectiveWorks is how many times the work of a route its objective is taken
	// to be until a request was answered: 2.5 to 4.2 on the users' sheets.
	objectiveWorks = 3
	// maxPlaced bounds how often one request is placed, and maxBounced how often
	// because another upstream is faster.
	maxPlaced  = 8
	maxBounced = 3
)

// Words of Mulberry-Reason for answers that the node makes itself.
const (
	headerOutcome = "Mulberry-Outcome"
	headerReason  = "Mulberry-Reason"
)

// serveCaller answers one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	v := g.view.Load()
	if v == nil {
		g.reply(w, r, nil, http.StatusServiceUnavailable, mulberrylink.NotRun, refusedNoConfig, max(noRoom, g.started.Add(startTime).Sub(now)))
		return
	}
	if left := g.leavesIn(now); left < refuseTime {
		g.reply(w, r, nil, http.StatusServiceUnavailable, mulberrylink.NotRun, refusedLeaving, max(left, noRoom))
		return
	}
	route := v.table.Match(r.Host, r.RequestURI)
	if route == nil {
		g.reply(w, r, nil, http.StatusNotFound, mulberrylink.NotRun, mulberrylink.ReasonNoRoute.String(), 0)
		return
	}
	if limit := v.table.Limits.MaxBodyBytes; limit > 0 && r.ContentLength > limit {
		g.reply(w, r, nil, http.StatusRequestEntityTooLarge, mulberrylink.NotRun, mulberrylink.ReasonTooLarge.String(), 0)
		return
	}
	q := g.newRequest(v, route, r, now)
	if err := q.readBody(); err != nil {
		if r.Context().Err() == nil {
			g.reply(w, r, q, http.StatusBadRequest, mulberrylink.NotRun, mulberrylink.ReasonBadRequest.String(), 0)
		}
		return
	}
	q.arrived = time.Now()
	q.serve(w)
}

// try is one attempt to have the request run.
type try struct {
	node   mulberrylink.Node
	local  bool
	choice placement.Choice
	hedge  bool
	began  time.Time
	cancel context.CancelFunc
	res    result
}

// state is the progress of a request at its entry node.
type state struct {
	q       *request
	w       http.ResponseWriter
	ctx     context.Context
	ended   chan *try
	running []*try
	avoid   map[string]bool
	placed  int
	bounced int
	reached int // upstreams that the request was sent to
	extra   int // tries taken from the budget
	after   time.Duration
	refused string
	failed  *result // the last answer or failure that is not passed on yet
	hedged  bool
}

// serve places the request until it is answered.
func (q *request) serve(w http.ResponseWriter) {
	ctx, cancel := context.WithDeadline(q.in.Context(), q.deadline)
	defer cancel()
	s := &state{
		q: q, w: w, ctx: ctx, ended: make(chan *try, maxPlaced+1), avoid: make(map[string]bool),
	}
	q.g.budgets.RecordRequest(q.account)
	if q.g.upstream.current().Service == q.service {
		q.g.upstream.refresh(ctx) // the choice compares the others with it
	}
	defer s.cancelAll()
	if !s.place(nil) {
		s.finish()
		return
	}
	hedge := time.NewTimer(s.hedgeAfter())
	defer hedge.Stop()
	for {
		select {
		case t := <-s.ended:
			if s.over(t) {
				return
			}
		case <-hedge.C:
			s.hedge()
			if !s.hedged && time.Now().Before(q.objective) {
				hedge.Reset(max(time.Until(q.objective), time.Millisecond))
			}
		case <-ctx.Done():
			s.expired()
			return
		}
	}
}

func (s *state) cancelAll() {
	for _, t := range s.running {
		t.cancel()
	}
}

// expired ends a request whose caller has left, or whose time is up.
func (s *state) expired() {
	g := s.q.g
	if s.q.in.Context().Err() != nil {
		g.stats.count("caller_left")
		panic(http.ErrAbortHandler) // nobody reads an answer
	}
	now := time.Now()
	for _, t := range s.running {
		if now.Sub(t.began) > silentWork*s.q.work {
			g.board.RecordResult(t.node.Name, true, now)
		}
	}
	g.reply(s.w, s.q.in, s.q, http.StatusGatewayTimeout, mulberrylink.Unknown, mulberrylink.ReasonDeadline.String(), 0)
}

// over takes a try that has ended and reports whether the request has been
// answered.
func (s *state) over(t *try) bool {
	g, now := s.q.g, time.Now()
	for i, r := range s.running {
		if r == t {
			s.running = append(s.running[:i], s.running[i+1:]...)
			break
		}
	}
	t.cancel()
	s.learn(t, now)
	res := &t.res
	switch {
	case res.reply.RejectReason != "":
		s.refused, s.after = res.reply.RejectReason, pickAfter(s.after, res.reply.RetryAfter)
		s.reached--
		if res.reply.RejectReason == slower {
			s.bounced++ // its report keeps it from being chosen again, unless all are slow
		} else {
			s.avoid[t.node.Name] = true
		}
		if len(s.running) > 0 || s.place(nil) {
			return false
		}
		return s.finish()
	case res.ans != nil && !res.reply.NotRun && (res.ans.Status < http.StatusInternalServerError || s.q.route.Kind != routes.Safe):
		s.deliver(t)
		return true
	}
	// It failed, or the upstream did not run it.
	s.failed.close()
	s.failed = res
	s.avoid[t.node.Name] = true
	if len(s.running) > 0 {
		return false
	}
	if (res.reply.NotRun || s.q.route.Kind == routes.Safe) && s.mayRetry() && s.place(nil) {
		g.stats.count("retried")
		return false
	}
	return s.finish()
}

func (r *result) close() {
	if r != nil {
		r.ans.Close()
	}
}

func pickAfter(old, now time.Duration) time.Duration {
	if old == 0 || now > 0 && now < old {
		return now
	}
	return old
}

// mayRetry takes one more try from the budget.
func (s *state) mayRetry() bool {
	if s.reached >= s.q.route.MaxAttempts || !s.q.replayable() {
		return false
	}
	if !s.q.g.budgets.AllowHedge(&mulberrylink.Request{Service: s.q.service, Idempotent: true, Deadline: s.q.deadline}, s.extra) {
		s.q.g.stats.count("retry_denied")
		return false
	}
	s.extra++
	return true
}

// finish answers a request that no try has answered.
func (s *state) finish() bool {
	g, q := s.q.g, s.q
	switch f := s.failed; {
	case f != nil && f.ans != nil:
		s.deliver(&try{res: *f})
	case f != nil:
		g.reply(s.w, q.in, q, http.StatusBadGateway, mulberrylink.Unknown, mulberrylink.ReasonLost.String(), 0)
	default:
		after := s.after
		if after == 0 {
			after = noRoom
		}
		reason := s.refused
		if reason == "" {
			reason = mulberrylink.ReasonNoUpstream.String()
		}
		g.reply(s.w, q.in, q, http.StatusServiceUnavailable, mulberrylink.NotRun, reason, after)
	}
	return true
}

// deliver passes an answer on to the caller.
func (s *state) deliver(t *try) {
	q := s.q
	s.cancelAll()
	s.running = nil
	took := time.Since(q.began)
	q.g.stats.latency("answered_us."+q.route.Kind.String(), took)
	ans := t.res.ans
	defer ans.Close()
	if ans.Status >= http.StatusBadRequest {
		q.g.log.Info().Str("request", q.id).Str("route", q.route.Name).Int("status", ans.Status).Str("node", t.node.Name).
			Dur("took", took).Bool("notrun", t.res.reply.NotRun).Int("placed", s.placed).Msg("failure of the upstream passed on")
	} else {
		q.g.stats.count("answered")
		q.g.log.Debug().Str("request", q.id).Str("route", q.route.Name).Str("node", t.node.Name).Dur("took", took).
			Dur("body", q.arrived.Sub(q.began)).Dur("work", t.res.reply.ServiceTime).Float64("cost", t.choice.Cost).Float64("alternative", t.choice.AlternativeCost).
			Dur("age", t.choice.LoadAge).Float64("factor", t.choice.Slowdown).Float64("factor_after", t.res.reply.Load.Slowdown).
			Int("placed", s.placed).Bool("hedge", t.hedge).Msg("answered")
	}
	if t.res.reply.ServiceTime > 0 {
		q.g.sizes.Observe(q.route.Name, time.Duration(float64(len(ans.Body))/1024*float64(time.Second)))
	}
	copyAnswer(s.w, ans, "")
}

// learn takes what a try tells about the upstream and its node.
func (s *state) learn(t *try, now time.Time) {
	g := s.q.g
	res := &t.res
	if res.reply.Epoch != "" && !t.local {
		g.epochs.set(t.node.Name, res.reply.Epoch)
	}
	if res.reply.Epoch != "" {
		g.board.RecordLoad(t.node.Name, res.reply.Load, now)
	}
	switch {
	case res.reply.RejectReason == lostNode:
		wait := g.board.RecordUnreachable(t.node.Name, now)
		g.log.Warn().Str("request", s.q.id).Str("node", t.node.Name).Str("addr", t.node.Addr).
			Dur("pause", wait).Err(res.failure).Msg("node not reached")
	case res.reply.RejectReason != "":
		if res.reply.RejectReason != slower {
			g.board.RecordRejection(t.node.Name, now)
		}
		g.log.Debug().Str("request", s.q.id).Str("node", t.node.Name).Str("reason", res.reply.RejectReason).
			Float64("cost", t.choice.Cost).Float64("alternative", t.choice.AlternativeCost).Msg("placed again")
	default:
		if !res.reply.NotRun && (res.failure == nil || s.ctx.Err() == nil) {
			failed := res.failure != nil || res.ans.Status >= http.StatusInternalServerError
			g.board.RecordResult(t.node.Name, failed, now)
			if !failed && !t.local {
				g.works.Observe(s.q.route.Name, res.reply.ServiceTime)
			}
		}
		if res.failure != nil {
			g.log.Warn().Str("request", s.q.id).Str("route", s.q.route.Name).Str("node", t.node.Name).
				Dur("took", now.Sub(t.began)).Err(res.failure).Msg("try failed")
		}
	}
}

// reply answers with what the node itself says.
func (g *Gateway) reply(w http.ResponseWriter, r *http.Request, q *request, status int, o mulberrylink.Outcome, reason string, after time.Duration) {
	g.stats.count("refused." + reason)
	h := w.Header()
	h["Content-Type"] = nil
	if id := g.cfg.Headers.RequestID(r.Header); id != "" {
		g.cfg.Headers.SetRequestID(h, id)
	}
	h.Set(headerOutcome, o.String())
	h.Set(headerReason, reason)
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	setLength(h, 0)
	e := g.log.Info().Str("request", g.cfg.Headers.RequestID(r.Header)).Int("status", status).Str("outcome", o.String()).
		Str("reason", reason).Dur("after", after)
	if q != nil {
		e = e.Str("route", q.route.Name).Str("service", q.service).Uint64("version", q.view.state.Version).
			Dur("body", q.arrived.Sub(q.began)).Dur("held", time.Since(q.began)).Dur("left", time.Until(q.deadline))
	} else {
		e = e.Str("host", r.Host).Str("path", r.URL.Path)
	}
	e.Msg("request not answered by an upstream")
	w.WriteHeader(status)
}

func setLength(h http.Header, n int64) { h.Set("Content-Length", strconv.FormatInt(n, 10)) }

// askFor returns what another node is told about a try.
func (s *state) askFor(t *try, now time.Time) hop.RequestMeta {
	q := s.q
	a := hop.RequestMeta{
		ExchangeID: fmt.Sprintf("%s-%s-%d", q.g.cfg.Name, q.g.epoch, q.g.next.Add(1)),
		Service:    q.service, Route: q.route.Name, Kind: q.route.Kind, CallerService: q.g.upstream.current().Service,
		Priority: q.route.Priority, Objective: q.objective.Sub(now), Timeout: q.deadline.Sub(now), ServiceTime: q.work, ServiceTimeAssumed: q.guessed,
	}
	if s.bounced < maxBounced {
		a.AlternativeCost = t.choice.AlternativeCost
	}
	return a
}
