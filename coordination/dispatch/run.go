package dispatch

import (
	"context"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
)

// run is one request on its way through its tries. Its fields belong to the
// goroutine of Do; the tries report through results.
type run struct {
	*Dispatcher
	ctx     context.Context
	req     *mulberrylink.Request
	body    body
	tried   []string
	attempt int
	extra   int // tries beyond the first
	results chan ended
	running map[int]*try
	// worst is the result to report when no try is answered: unknown as soon
	// as one try was.
	worst   mulberrylink.Result
	crashes int
}

// try is one running try.
type try struct {
	node   mulberrylink.Node
	cancel context.CancelFunc
	start  time.Time
	alone  bool
}

// ended is the end of one try.
type ended struct {
	attempt int
	res     mulberrylink.Result
}

func (d *Dispatcher) run(ctx context.Context, r *mulberrylink.Request) mulberrylink.Result {
	w := &run{
		Dispatcher: d,
		ctx:        ctx,
		req:        r,
		body:       body{req: r},
		results:    make(chan ended, 2), // at most two tries run at a time
		running:    make(map[int]*try, 2),
		worst:      notRun(mulberrylink.ReasonNoUpstream),
	}
	d.cfg.Budget.First(r)
	for w.start() {
		res := w.wait()
		if res.Outcome == mulberrylink.Answered {
			return res
		}
		if !w.retry() {
			break
		}
	}
	return w.worst
}

// start begins a try; false means that there is no node or no body for it.
func (w *run) start() bool {
	verdict := w.cfg.Suspects.Verdict(w.req.Print)
	if verdict == suspect.Refuse {
		w.add(notRun(mulberrylink.ReasonCrasher))
		return false
	}
	alone := verdict == suspect.Alone
	node, ok := w.pick(alone)
	if !ok {
		return false
	}
	w.tried = append(w.tried, node.Name)
	r, err := w.body.open(w.extra)
	if err != nil {
		canceled := mulberrylink.Result{Reason: mulberrylink.ReasonCanceled}
		w.cfg.Picker.Observe(node.Name, canceled, 0)
		return false
	}
	w.attempt++
	ctx, cancel := context.WithCancel(w.ctx)
	w.running[w.attempt] = &try{node: node, cancel: cancel, start: w.cfg.Clock.Now(), alone: alone}
	go w.forward(ctx, node, r, w.attempt, alone)
	return true
}

func (w *run) pick(alone bool) (mulberrylink.Node, bool) {
	if alone {
		return w.cfg.Picker.PickAlone(w.req, w.tried)
	}
	return w.cfg.Picker.Pick(w.req, w.tried)
}

// forward runs in its own goroutine for each try.
func (w *run) forward(ctx context.Context, n mulberrylink.Node, r *mulberrylink.Request, attempt int, alone bool) {
	w.results <- ended{attempt, w.cfg.Forwarder.Forward(ctx, n, r, attempt, alone)}
}

// wait returns the first answer, or the last result when no try is answered. A
// second try is started when the first takes longer than most.
func (w *run) wait() mulberrylink.Result {
	var hedge <-chan time.Time
	if after, ok := w.hedgeAfter(); ok {
		timer := time.NewTimer(after)
		defer timer.Stop()
		hedge = timer.C
	}
	for {
		select {
		case <-hedge:
			hedge = nil
			w.hedge()
		case e := <-w.results:
			res := w.end(e)
			if res.Outcome == mulberrylink.Answered || len(w.running) == 0 {
				return res
			}
		}
	}
}

// hedgeAfter excludes requests that could do harm twice or cannot be sent
// twice.
func (w *run) hedgeAfter() (time.Duration, bool) {
	if !w.req.Idempotent || w.req.Keyed || !w.body.parallel() {
		return 0, false
	}
	if w.cfg.Suspects.Verdict(w.req.Print) != suspect.Normal {
		return 0, false
	}
	return w.cfg.Budget.HedgeAfter(w.req)
}

func (w *run) hedge() {
	if w.cfg.Suspects.Verdict(w.req.Print) != suspect.Normal || !w.cfg.Budget.Hedge(w.req, w.extra) {
		return
	}
	w.extra++
	w.start()
}

// end takes in the result of a try.
func (w *run) end(e ended) mulberrylink.Result {
	t := w.running[e.attempt]
	delete(w.running, e.attempt)
	took := w.cfg.Clock.Now().Sub(t.start)
	if e.res.Node == "" {
		e.res.Node = t.node.Name
	}
	w.cfg.Picker.Observe(t.node.Name, e.res, took)
	if e.res.Outcome != mulberrylink.Answered {
		t.cancel()
		w.add(e.res)
		return e.res
	}
	w.cfg.Budget.Took(w.req, took)
	hold(e.res.Answer, t.cancel)
	w.abandon()
	return e.res
}

// hold keeps the context of the winning try until its answer is closed.
func hold(a *mulberrylink.Answer, cancel context.CancelFunc) {
	if a == nil || a.Body == nil {
		cancel()
		return
	}
	a.Body = &heldBody{ReadCloser: a.Body, cancel: cancel}
}

// abandon cancels the tries that lost and takes in their results.
func (w *run) abandon() {
	for attempt, t := range w.running {
		delete(w.running, attempt)
		t.cancel()
		go w.drain(t)
	}
}

// drain ends a try that lost. At most one runs, so the next result is its own.
func (w *run) drain(t *try) {
	e := <-w.results
	if e.res.Answer != nil && e.res.Answer.Body != nil {
		_ = e.res.Answer.Body.Close()
	}
	if e.res.Outcome != mulberrylink.Answered {
		e.res.Reason = mulberrylink.ReasonCanceled
	}
	w.cfg.Picker.Observe(t.node.Name, e.res, w.cfg.Clock.Now().Sub(t.start))
}

// add keeps the result to report: once a try is unknown, so is the request, and
// a crash outweighs any other reason.
func (w *run) add(res mulberrylink.Result) {
	if severity(res) >= severity(w.worst) {
		w.worst = res
	}
	if severity(res) == crashSeverity {
		w.crashed()
	}
}

const crashSeverity = 2

func severity(res mulberrylink.Result) int {
	switch {
	case res.Outcome == mulberrylink.NotRun:
		return 0
	case res.Reason != mulberrylink.ReasonCrashed:
		return 1
	default:
		return crashSeverity
	}
}

// crashed convicts a request when two of its tries crashed an upstream each.
func (w *run) crashed() {
	w.crashes++
	if w.crashes == 2 {
		w.cfg.Broadcast(w.cfg.Suspects.Convict(w.req.Print))
	}
}

// retry reports whether another try may follow. The worst result so far
// decides, not the last one.
func (w *run) retry() bool {
	if w.ctx.Err() != nil || w.late(w.req) {
		return false
	}
	if w.req.Keyed && w.req.Key == "" {
		return false
	}
	if w.worst.Outcome == mulberrylink.Unknown && (!w.req.Idempotent || w.req.Keyed) {
		return false
	}
	if !w.body.again() || w.mustStay() {
		return false
	}
	if !w.cfg.Budget.Retry(w.req, w.worst, w.extra) {
		return false
	}
	w.extra++
	return true
}

// mustStay keeps a request that must run alone on its node while that node is
// only busy: on another one it could run at the same time as its twin.
func (w *run) mustStay() bool {
	if w.cfg.Suspects.Verdict(w.req.Print) != suspect.Alone {
		return false
	}
	return w.worst.Reason == mulberrylink.ReasonBusy || w.worst.Reason == mulberrylink.ReasonCold
}
