package dispatch

import (
	"context"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Constants of claims.
const (
	claimPollInitial = 20 * time.Millisecond // doubles with every poll
	claimPollMax     = 250 * time.Millisecond
	claimAttempts    = 3 // while the state of the claim is indeterminate
	releaseTimeout   = time.Second
	// defaultClaimWait bounds the wait for a claim when the request has no
	// deadline.
	defaultClaimWait = 30 * time.Second
)

// obtainClaim obtains the claim on the key of r. If it is not granted, res is the
// result of the request.
func (d *Dispatcher) obtainClaim(ctx context.Context, r *mulberrylink.Request) (res mulberrylink.Result, granted bool) {
	waitUntil := d.cfg.Clock.Now().Add(d.remaining(r, defaultClaimWait))
	wait := claimPollInitial
	for first := true; ; first = false {
		c := d.requestClaim(ctx, r)
		// The request that held the claim earlier may have run, so the outcome
		// is unknown and not notrun.
		if !first && (c.State == Unavailable || c.State == Indeterminate) {
			d.release(ctx, r)
			return unknown(mulberrylink.ReasonPending), false
		}
		switch c.State {
		case Granted:
			return d.confirmGrant(ctx, r)
		case Finished:
			return mulberrylink.Result{Outcome: mulberrylink.Answered, Answer: c.Answer}, false
		case AnswerNotStored:
			return unknown(mulberrylink.ReasonClaimed), false
		case Conflict:
			return notRun(mulberrylink.ReasonConflict), false
		case Unavailable:
			return notRun(mulberrylink.ReasonNoQuorum), false
		case Indeterminate:
			d.release(ctx, r)
			return notRun(mulberrylink.ReasonNoQuorum), false
		case Pending:
		}
		if !d.sleep(ctx, min(wait, waitUntil.Sub(d.cfg.Clock.Now()))) {
			return unknown(mulberrylink.ReasonPending), false
		}
		wait = min(claimPollMax, 2*wait)
	}
}

// confirmGrant checks that the request may still run after its claim was
// granted: the grant may have arrived after the deadline. It releases the claim
// otherwise.
func (d *Dispatcher) confirmGrant(ctx context.Context, r *mulberrylink.Request) (mulberrylink.Result, bool) {
	if reason := d.rejectReason(ctx, r); reason != mulberrylink.ReasonNone {
		d.release(ctx, r)
		return notRun(reason), false
	}
	return mulberrylink.Result{}, true
}

// requestClaim requests the claim, and repeats this with the same request ID
// while its state is indeterminate.
func (d *Dispatcher) requestClaim(ctx context.Context, r *mulberrylink.Request) Claim {
	wait := claimPollInitial
	var c Claim
	for range claimAttempts {
		c = d.cfg.Claimer.Claim(ctx, r)
		if c.State != Indeterminate || !d.sleep(ctx, d.remaining(r, wait)) {
			return c
		}
		wait *= 2
	}
	return c
}

// release releases the claim, also when the caller has gone away and ctx has
// ended.
func (d *Dispatcher) release(ctx context.Context, r *mulberrylink.Request) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	d.cfg.Claimer.Release(ctx, r)
}

// sleep waits and reports whether the whole time has passed. It returns false at
// once when wait is not positive or ctx has ended.
func (d *Dispatcher) sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 || ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
