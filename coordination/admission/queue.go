package admission

import (
	"container/list"
	"context"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// waiter is one request in the queue. permit and reason are written before ready
// is closed.
type waiter struct {
	ready     chan struct{}
	element   *list.Element // nil after the request has left the queue
	expiresAt time.Time
	permit    *Permit
	reason    mulberrylink.Reason
	hasBody   bool
	alone     bool
}

// enqueue adds a request to the queue. It returns nil when the queue is full or
// when the request would not get a slot before its deadline or queue timeout.
func (g *Gate) enqueue(now time.Time, r *mulberrylink.Request, alone bool) *waiter {
	if g.queue.Len() >= g.cfg.QueueSize {
		return nil
	}
	expiresAt := now.Add(g.cfg.QueueTimeout)
	if alone {
		expiresAt = now.Add(g.cfg.AloneTimeout)
	}
	if !r.Deadline.IsZero() && r.Deadline.Before(expiresAt) {
		expiresAt = r.Deadline
	}
	if !alone && now.Add(g.expectedWait(now)).After(expiresAt) {
		return nil
	}
	w := &waiter{ready: make(chan struct{}), expiresAt: expiresAt, alone: alone, hasBody: r.Length != 0}
	w.element = g.queue.PushBack(w)
	return w
}

// expectedWait returns the time until a request that joins the queue now gets a
// slot. It assumes that each slot becomes free once per latency and that all
// waiting requests are served first.
func (g *Gate) expectedWait(now time.Time) time.Duration {
	latency := g.limiter.expectedLatency(g.oldestAge(now))
	ahead := g.inFlight - g.limiter.maxInFlight() + g.queue.Len() + 1
	return time.Duration(float64(latency) * float64(ahead) / float64(g.limiter.maxInFlight()))
}

// wait waits until the request is admitted or rejected, ctx ends, or timeout has
// passed.
func (g *Gate) wait(ctx context.Context, w *waiter, timeout time.Duration) (*Permit, mulberrylink.Reason) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	reason := mulberrylink.ReasonNone
	select {
	case <-w.ready:
		return w.permit, w.reason
	case <-ctx.Done():
		reason = mulberrylink.ReasonCanceled
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.element != nil {
		g.rejectWaiter(w, reason)
		g.processQueue(g.clock.Now())
	}
	return w.permit, w.reason
}

// processQueue rejects or admits waiting requests after a change of state.
func (g *Gate) processQueue(now time.Time) {
	g.detectStall(now)
	reason := g.closedReason(now)
	for e := g.queue.Front(); e != nil; e = g.queue.Front() {
		w := e.Value.(*waiter)
		switch {
		case reason != mulberrylink.ReasonNone:
			g.rejectWaiter(w, reason)
		case !now.Before(w.expiresAt):
			g.rejectWaiter(w, mulberrylink.ReasonNone)
		case g.hasSlot(w.alone):
			g.admitWaiter(w, now)
		default:
			return
		}
	}
}

func (g *Gate) admitWaiter(w *waiter, now time.Time) {
	g.queue.Remove(w.element)
	w.element = nil
	w.permit = &Permit{gate: g, alone: w.alone, uploading: w.hasBody}
	g.admit(w.permit, now)
	close(w.ready)
}

// rejectWaiter removes a request from the queue and rejects it. ReasonNone stands
// for a queue timeout.
func (g *Gate) rejectWaiter(w *waiter, reason mulberrylink.Reason) {
	if reason == mulberrylink.ReasonNone {
		reason = g.fullReason()
	}
	g.queue.Remove(w.element)
	w.element = nil
	w.reason = reason
	close(w.ready)
}
