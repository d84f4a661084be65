package forward

import (
	"context"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Limits of resolving an exchange.
const (
	// maxResolveFailures is the number of consecutive failed resolve calls after
	// which the outcome is unknown.
	maxResolveFailures = 3
	// resolveRetryDelay is the delay after a failed resolve call.
	resolveRetryDelay = 50 * time.Millisecond
)

// recover determines the result of an exchange whose stream failed.
func (x *clientExchange) recover(ctx context.Context) mulberrylink.Result {
	x.mu.Lock()
	abortReason, resolved := x.abortReason, x.resolved
	x.mu.Unlock()
	x.dropConn()
	if abortReason != mulberrylink.ReasonNone {
		return unknownResult(abortReason)
	}
	var res mulberrylink.Result
	if resolved != nil {
		res = resultOf(resolved)
	} else {
		res = x.resolve(ctx)
	}
	if x.client.cfg.OnResolved != nil {
		x.client.cfg.OnResolved(res.Outcome, res.Reason)
	}
	return res
}

// resolve sends resolve requests to the admitting node until the exchange has
// ended, the deadline has passed or the node doesn't reply.
func (x *clientExchange) resolve(ctx context.Context) mulberrylink.Result {
	failures := 0
	for {
		reply, err := x.sendResolve(ctx, resolveRequest{WaitMS: maxResolveWait.Milliseconds()})
		switch {
		case ctx.Err() != nil:
			return unknownResult(contextReason(ctx))
		case err != nil:
			failures++
			if failures >= maxResolveFailures {
				return unknownResult(mulberrylink.ReasonSilent)
			}
			time.Sleep(resolveRetryDelay)
		case reply.State != stateRunning:
			return resultOf(&reply)
		default:
			failures = 0
		}
		if time.Now().After(x.deadline) {
			return unknownResult(mulberrylink.ReasonDeadline)
		}
	}
}

// sendResolve sends one resolve request on a new connection.
func (x *clientExchange) sendResolve(ctx context.Context, req resolveRequest) (resolveReply, error) {
	req.ID = x.id
	req.Attempt = x.attempt
	req.AgeMS = time.Since(x.openedAt).Milliseconds()
	var reply resolveReply
	if err := x.client.invoke(ctx, x.node.Addr, methodResolve, &req, &reply); err != nil {
		return reply, err
	}
	return reply, reply.validate()
}

// resultOf returns the result that a resolve reply reports.
func resultOf(reply *resolveReply) mulberrylink.Result {
	now := time.Now()
	switch reply.State {
	case stateAnswered:
		return retainedResult(reply, now)
	case stateFenced:
		return mulberrylink.Result{
			Outcome: mulberrylink.NotRun, Reason: mulberrylink.ReasonFenced, Load: reply.Load.toLoad(now),
		}
	case stateFailed:
		return mulberrylink.Result{Outcome: reply.Outcome, Reason: reply.Reason, Load: reply.Load.toLoad(now)}
	default:
		return unknownResult(mulberrylink.ReasonLost)
	}
}
