package dispatch

import (
	"context"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
)

// execution is the state of one request over all its attempts. Its fields belong
// to the goroutine of Do; the attempts report through results.
type execution struct {
	*Dispatcher
	ctx           context.Context
	req           *mulberrylink.Request
	body          body
	tried         []string
	attemptCount  int
	extraAttempts int // retries and hedged requests
	results       chan attemptResult
	running       map[int]*attempt
	// worst is the result to report when no attempt is answered: unknown as
	// soon as the outcome of one attempt was.
	worst   mulberrylink.Result
	crashes int // attempts that crashed an upstream
}

// attempt is one running attempt.
type attempt struct {
	node   mulberrylink.Node
	cancel context.CancelFunc
	start  time.Time
	alone  bool
}

// attemptResult is the result of the attempt with the given number.
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
		results:    make(chan attemptResult, 2), // at most two attempts run at a time
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

// startAttempt starts an attempt. It returns false when the request is rejected
// as crashing upstreams, when no node is left, or when its body cannot be
// replayed.
func (e *execution) startAttempt() bool {
	verdict := e.cfg.Suspects.Verdict(e.req.Fingerprint)
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

// forward forwards the request; it runs in a goroutine of its own per attempt.
func (e *execution) forward(ctx context.Context, n mulberrylink.Node, r *mulberrylink.Request, number int, alone bool) {
	e.results <- attemptResult{number, e.cfg.Forwarder.Forward(ctx, n, r, number, alone)}
}

// awaitResult returns the first response, or the last result when no attempt is
// answered. It starts a hedged request when the running attempt has not ended
// after hedgeDelay.
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

// hedgeDelay returns the time after which the request is hedged. It returns false
// for requests that must not run twice or cannot be sent twice at the same time.
func (e *execution) hedgeDelay() (time.Duration, bool) {
	if !e.req.Idempotent || e.req.Keyed || !e.body.canSendConcurrently() {
		return 0, false
	}
	if e.cfg.Suspects.Verdict(e.req.Fingerprint) != suspect.Normal {
		return 0, false
	}
	return e.cfg.Budget.HedgeDelay(e.req)
}

func (e *execution) startHedge() {
	if e.cfg.Suspects.Verdict(e.req.Fingerprint) != suspect.Normal || !e.cfg.Budget.AllowHedge(e.req, e.extraAttempts) {
		return
	}
	e.extraAttempts++
	e.startAttempt()
}

// finishAttempt records the result of an attempt. It cancels the other attempt
// if this one was answered.
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

// cancelOnBodyClose makes closing the response body cancel the context of its
// attempt, which must stay in force until then.
func cancelOnBodyClose(a *mulberrylink.Answer, cancel context.CancelFunc) {
	if a == nil || a.Body == nil {
		cancel()
		return
	}
	a.Body = &cancelOnClose{ReadCloser: a.Body, cancel: cancel}
}

// cancelOthers cancels the attempts that are still running after another one was
// answered, and records their results in the background.
func (e *execution) cancelOthers() {
	for number, a := range e.running {
		delete(e.running, number)
		a.cancel()
		go e.awaitCanceled(a)
	}
}

// awaitCanceled waits for the result of a canceled attempt. At most one is
// running, so the next result is its own.
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

// recordResult updates the result to report. Once the outcome of an attempt is
// unknown, so is that of the request, and a crash takes precedence over any other
// reason.
func (e *execution) recordResult(res mulberrylink.Result) {
	if severity(res) >= severity(e.worst) {
		e.worst = res
	}
	if severity(res) == crashSeverity {
		e.recordCrash()
	}
}

const crashSeverity = 2

// severity ranks results without a response: not run, outcome unknown, crashed.
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

// recordCrash counts an attempt that crashed an upstream. After the second one,
// the request is recorded as crashing upstreams and the other nodes are told.
func (e *execution) recordCrash() {
	e.crashes++
	if e.crashes == 2 {
		e.cfg.Broadcast(e.cfg.Suspects.ConfirmCrasher(e.req.Fingerprint))
	}
}

// prepareRetry reports whether the request may be retried, and takes the retry
// from the budget. The worst result so far decides, not the last one.
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

// mustStayOnNode reports whether a request that must run alone has to stay on its
// node, because that node is only busy or cold. On another node it could run at
// the same time as a request with the same fingerprint.
func (e *execution) mustStayOnNode() bool {
	if e.cfg.Suspects.Verdict(e.req.Fingerprint) != suspect.Alone {
		return false
	}
	return e.worst.Reason == mulberrylink.ReasonBusy || e.worst.Reason == mulberrylink.ReasonCold
}
