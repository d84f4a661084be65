package dispatch

import (
	"context"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
)

// run is one request on its way through its tries. Its fields belong to the
// goroutine of Do; the tries report through results.
type execution struct {
	*Dispatcher
	ctx           context.Context
	req           *mulberrylink.Request
	body          body
	tried         []string
	attemptCount  int
	extraAttempts int // tries beyond the first
	results       chan attemptResult
	running       map[int]*attempt
	// worst is the result to report when no try is answered: unknown as soon
	// as one try was.
	worst   mulberrylink.Result
	crashes int
}

// try is one running try.
type attempt struct {
	node   mulberrylink.Node
	cancel context.CancelFunc
	start  time.Time
	alone  bool
}

// ended is the end of one try.
type attemptResult struct {
	number int
	res    mulberrylink.Result
}

func (d *Dispatcher) execute(ctx context.Context, r *mulberrylink.Request) mulberrylink.Result {
	e := &execution{
		Dispatcher: d,
		ctx:        ctx,
		req:        r,
		body:       body{req: r},
		results:    make(chan attemptResult, 2), // at most two tries run at a time
		running:    make(map[int]*attempt, 2),
		worst:      notRun(mulberrylink.ReasonNoUpstream),
	}
	d.cfg.Budget.RecordRequest(r)
	for e.startAttempt() {
		res := e.awaitResult()
		if res.Outcome == mulberrylink.Answered {
			return res
		}
		if !e.prepareRetry() {
			break
		}
	}
	return e.worst
}

// start begins a try; false means that there is no node or no body for it.
func (e *execution) startAttempt() bool {
	verdict := e.cfg.Suspects.Verdict(e.req.Print)
	if verdict == suspect.Refuse {
		e.recordResult(notRun(mulberrylink.ReasonCrasher))
		return false
	}
	alone := verdict == suspect.Alone
	node, ok := e.pick(alone)
	if !ok {
		return false
	}
	e.tried = append(e.tried, node.Name)
	r, err := e.body.attemptRequest(e.extraAttempts)
	if err != nil {
		canceled := mulberrylink.Result{Reason: mulberrylink.ReasonCanceled}
		e.cfg.Picker.Observe(node.Name, canceled, 0)
		return false
	}
	e.attemptCount++
	ctx, cancel := context.WithCancel(e.ctx)
	e.running[e.attemptCount] = &attempt{node: node, cancel: cancel, start: e.cfg.Clock.Now(), alone: alone}
	go e.forward(ctx, node, r, e.attemptCount, alone)
	return true
}

func (e *execution) pick(alone bool) (mulberrylink.Node, bool) {
	if alone {
		return e.cfg.Picker.PickAlone(e.req, e.tried)
	}
	return e.cfg.Picker.Pick(e.req, e.tried)
}

// forward runs in its own goroutine for each try.
func (e *execution) forward(ctx context.Context, n mulberrylink.Node, r *mulberrylink.Request, number int, alone bool) {
	e.results <- attemptResult{number, e.cfg.Forwarder.Forward(ctx, n, r, number, alone)}
}

// wait returns the first answer, or the last result when no try is answered. A
// second try is started when the first takes longer than most.
func (e *execution) awaitResult() mulberrylink.Result {
	var hedgeTimer <-chan time.Time
	if after, ok := e.hedgeDelay(); ok {
		timer := time.NewTimer(after)
		defer timer.Stop()
		hedgeTimer = timer.C
	}
	for {
		select {
		case <-hedgeTimer:
			hedgeTimer = nil
			e.startHedge()
		case ended := <-e.results:
			res := e.finishAttempt(ended)
			if res.Outcome == mulberrylink.Answered || len(e.running) == 0 {
				return res
			}
		}
	}
}

// hedgeAfter excludes requests that could do harm twice or cannot be sent
// twice.
func (e *execution) hedgeDelay() (time.Duration, bool) {
	if !e.req.Idempotent || e.req.Keyed || !e.body.canSendConcurrently() {
		return 0, false
	}
	if e.cfg.Suspects.Verdict(e.req.Print) != suspect.Normal {
		return 0, false
	}
	return e.cfg.Budget.HedgeDelay(e.req)
}

func (e *execution) startHedge() {
	if e.cfg.Suspects.Verdict(e.req.Print) != suspect.Normal || !e.cfg.Budget.AllowHedge(e.req, e.extraAttempts) {
		return
	}
	e.extraAttempts++
	e.startAttempt()
}

// end takes in the result of a try.
func (e *execution) finishAttempt(ended attemptResult) mulberrylink.Result {
	a := e.running[ended.number]
	delete(e.running, ended.number)
	took := e.cfg.Clock.Now().Sub(a.start)
	if ended.res.Node == "" {
		ended.res.Node = a.node.Name
	}
	e.cfg.Picker.Observe(a.node.Name, ended.res, took)
	if ended.res.Outcome != mulberrylink.Answered {
		a.cancel()
		e.recordResult(ended.res)
		return ended.res
	}
	e.cfg.Budget.RecordLatency(e.req, took)
	cancelOnBodyClose(ended.res.Answer, a.cancel)
	e.cancelOthers()
	return ended.res
}

// hold keeps the context of the winning try until its answer is closed.
func cancelOnBodyClose(a *mulberrylink.Answer, cancel context.CancelFunc) {
	if a == nil || a.Body == nil {
		cancel()
		return
	}
	a.Body = &cancelOnClose{ReadCloser: a.Body, cancel: cancel}
}

// abandon cancels the tries that lost and takes in their results.
func (e *execution) cancelOthers() {
	for number, a := range e.running {
		delete(e.running, number)
		a.cancel()
		go e.awaitCanceled(a)
	}
}

// drain ends a try that lost. At most one runs, so the next result is its own.
func (e *execution) awaitCanceled(a *attempt) {
	ended := <-e.results
	if ended.res.Answer != nil && ended.res.Answer.Body != nil {
		_ = ended.res.Answer.Body.Close()
	}
	if ended.res.Outcome != mulberrylink.Answered {
		ended.res.Reason = mulberrylink.ReasonCanceled
	}
	e.cfg.Picker.Observe(a.node.Name, ended.res, e.cfg.Clock.Now().Sub(a.start))
}

// add keeps the result to report: once a try is unknown, so is the request, and
// a crash outweighs any other reason.
func (e *execution) recordResult(res mulberrylink.Result) {
	if severity(res) >= severity(e.worst) {
		e.worst = res
	}
	if severity(res) == crashSeverity {
		e.recordCrash()
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
func (e *execution) recordCrash() {
	e.crashes++
	if e.crashes == 2 {
		e.cfg.Broadcast(e.cfg.Suspects.ConfirmCrasher(e.req.Print))
	}
}

// retry reports whether another try may follow. The worst result so far
// decides, not the last one.
func (e *execution) prepareRetry() bool {
	if e.ctx.Err() != nil || e.deadlinePassed(e.req) {
		return false
	}
	if e.req.Keyed && e.req.Key == "" {
		return false
	}
	if e.worst.Outcome == mulberrylink.Unknown && (!e.req.Idempotent || e.req.Keyed) {
		return false
	}
	if !e.body.canResend() || e.mustStayOnNode() {
		return false
	}
	if !e.cfg.Budget.AllowRetry(e.req, e.worst, e.extraAttempts) {
		return false
	}
	e.extraAttempts++
	return true
}

// mustStay keeps a request that must run alone on its node while that node is
// only busy: on another one it could run at the same time as its twin.
func (e *execution) mustStayOnNode() bool {
	if e.cfg.Suspects.Verdict(e.req.Print) != suspect.Alone {
		return false
	}
	return e.worst.Reason == mulberrylink.ReasonBusy || e.worst.Reason == mulberrylink.ReasonCold
}
