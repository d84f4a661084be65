package forward

import (
	"context"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Bounds of a resolve.
const (
	// resolveTries is the number of resolve calls in a row that may fail.
	resolveTries = 3
	// resolvePause is the pause after a resolve call that failed at once.
	resolvePause = 50 * time.Millisecond
)

// recover finds out what became of an exchange whose stream broke.
func (x *call) recover(ctx context.Context) mulberrylink.Result {
	x.mu.Lock()
	aborted, found := x.aborted, x.found
	x.mu.Unlock()
	x.drop()
	if aborted != mulberrylink.ReasonNone {
		return unknown(aborted)
	}
	var res mulberrylink.Result
	if found != nil {
		res = result(found)
	} else {
		res = x.resolve(ctx)
	}
	if x.c.cfg.OnResolved != nil {
		x.c.cfg.OnResolved(res.Outcome, res.Reason)
	}
	return res
}

// resolve asks the admitting node until the exchange has ended, the deadline
// has passed or the node does not answer.
func (x *call) resolve(ctx context.Context) mulberrylink.Result {
	failures := 0
	for {
		reply, err := x.ask(ctx, resolveRequest{Wait: maxResolveWait.Milliseconds()})
		switch {
		case ctx.Err() != nil:
			return unknown(contextReason(ctx))
		case err != nil:
			failures++
			if failures >= resolveTries {
				return unknown(mulberrylink.ReasonSilent)
			}
			time.Sleep(resolvePause)
		case reply.State != stateRunning:
			return result(&reply)
		default:
			failures = 0
		}
		if time.Now().After(x.deadline) {
			return unknown(mulberrylink.ReasonDeadline)
		}
	}
}

// ask sends one resolve request on a new connection.
func (x *call) ask(ctx context.Context, q resolveRequest) (resolveReply, error) {
	q.ID = x.id
	q.Attempt = x.attempt
	q.Age = time.Since(x.opened).Milliseconds()
	var reply resolveReply
	if err := x.c.invoke(ctx, x.node.Addr, methodResolve, &q, &reply); err != nil {
		return reply, err
	}
	return reply, reply.check()
}

func result(reply *resolveReply) mulberrylink.Result {
	now := time.Now()
	switch reply.State {
	case stateAnswered:
		return heldAnswer(reply, now)
	case stateFenced:
		return mulberrylink.Result{
			Outcome: mulberrylink.NotRun, Reason: mulberrylink.ReasonFenced, Load: reply.Load.load(now),
		}
	case stateFailed:
		return mulberrylink.Result{Outcome: reply.Outcome, Reason: reply.Reason, Load: reply.Load.load(now)}
	default:
		return unknown(mulberrylink.ReasonLost)
	}
}
