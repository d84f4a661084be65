package dispatch

import (
	"context"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
)

// MaxDepth is the maximum depth of nested calls. It ends loops of services that
// call each other; the deepest known call chain has 28 calls.
const MaxDepth = 64

// Config holds the dependencies of a Dispatcher. All but Broadcast are required;
// Claimer may be nil when no route is keyed.
type Config struct {
	Clock     Clock
	Forwarder Forwarder
	Claimer   Claimer
	Picker    Picker
	Suspects  Suspects
	Budget    Budget
	// Broadcast sends notices about crashing requests to the other nodes; nil
	// sends none.
	Broadcast func(notices []suspect.Notice)
}

// Dispatcher runs requests on the nodes of their service. It is safe for
// concurrent use.
type Dispatcher struct{ cfg Config }

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.Broadcast == nil {
		cfg.Broadcast = func([]suspect.Notice) {}
	}
	return &Dispatcher{cfg: cfg}
}

// Do runs the request and returns its result. The caller must close the body of
// Result.Answer.
func (d *Dispatcher) Do(ctx context.Context, r *mulberrylink.Request) mulberrylink.Result {
	res := d.do(ctx, r)
	d.cfg.Budget.RecordResult(r, res)
	return res
}

func (d *Dispatcher) do(ctx context.Context, r *mulberrylink.Request) mulberrylink.Result {
	if reason := d.rejectReason(ctx, r); reason != mulberrylink.ReasonNone {
		return notRun(reason)
	}
	if !r.Keyed || r.Key == "" {
		return d.execute(ctx, r)
	}
	if res, granted := d.obtainClaim(ctx, r); !granted {
		return res
	}
	res := d.execute(ctx, r)
	if res.Outcome == mulberrylink.NotRun {
		d.release(ctx, r)
	}
	return res
}

// rejectReason returns the reason why the request must not run at all, or
// ReasonNone.
func (d *Dispatcher) rejectReason(ctx context.Context, r *mulberrylink.Request) mulberrylink.Reason {
	switch {
	case r.Depth > MaxDepth:
		return mulberrylink.ReasonDepth
	case ctx.Err() != nil:
		return mulberrylink.ReasonCanceled
	case d.deadlinePassed(r):
		return mulberrylink.ReasonDeadline
	case d.cfg.Suspects.Verdict(r.Fingerprint) == suspect.Refuse:
		return mulberrylink.ReasonCrasher
	default:
		return mulberrylink.ReasonNone
	}
}

func (d *Dispatcher) deadlinePassed(r *mulberrylink.Request) bool {
	return !r.Deadline.IsZero() && !d.cfg.Clock.Now().Before(r.Deadline)
}

// remaining returns the time until the deadline, but at most limit.
func (d *Dispatcher) remaining(r *mulberrylink.Request, limit time.Duration) time.Duration {
	if r.Deadline.IsZero() {
		return limit
	}
	return min(limit, r.Deadline.Sub(d.cfg.Clock.Now()))
}

func notRun(reason mulberrylink.Reason) mulberrylink.Result {
	return mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: reason}
}

func unknown(reason mulberrylink.Reason) mulberrylink.Result {
	return mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: reason}
}
