package admission

import (
	"container/list"
	"context"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// waiter is one request in the queue. Its outcome is written before ready is
// closed.
type waiter struct {
	ready  chan struct{}
	place  *list.Element
	until  time.Time
	ticket *Ticket
	reason mulberrylink.Reason
	body   bool
	alone  bool
}

// enqueue returns nil when the request cannot be served before its deadline.
func (g *Gate) enqueue(now time.Time, r *mulberrylink.Request, alone bool) *waiter {
	if g.waiting.Len() >= g.cfg.QueueSize {
		return nil
	}
	until := now.Add(g.cfg.QueueTimeout)
	if alone {
		until = now.Add(g.cfg.AloneTimeout)
	}
	if !r.Deadline.IsZero() && r.Deadline.Before(until) {
		until = r.Deadline
	}
	if !alone && now.Add(g.expected(now)).After(until) {
		return nil
	}
	w := &waiter{ready: make(chan struct{}), until: until, alone: alone, body: r.Length != 0}
	w.place = g.waiting.PushBack(w)
	return w
}

// expected is the time until a request that enters the queue now gets a slot:
// each slot frees once per latency, and all waiting requests go first.
func (g *Gate) expected(now time.Time) time.Duration {
	latency := g.limit.latency(g.oldest(now))
	ahead := g.inFlight - g.limit.whole() + g.waiting.Len() + 1
	return time.Duration(float64(latency) * float64(ahead) / float64(g.limit.whole()))
}

func (g *Gate) wait(ctx context.Context, w *waiter, left time.Duration) (*Ticket, mulberrylink.Reason) {
	timer := time.NewTimer(left)
	defer timer.Stop()
	reason := mulberrylink.ReasonNone
	select {
	case <-w.ready:
		return w.ticket, w.reason
	case <-ctx.Done():
		reason = mulberrylink.ReasonCanceled
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.place != nil {
		g.refuse(w, reason)
		g.settle(g.clock.Now())
	}
	return w.ticket, w.reason
}

// settle refuses or admits waiting requests after any change of state.
func (g *Gate) settle(now time.Time) {
	g.notice(now)
	closed := g.closed(now)
	for e := g.waiting.Front(); e != nil; e = g.waiting.Front() {
		w := e.Value.(*waiter)
		switch {
		case closed != mulberrylink.ReasonNone:
			g.refuse(w, closed)
		case !now.Before(w.until):
			g.refuse(w, mulberrylink.ReasonNone)
		case g.fits(w.alone):
			g.grant(w, now)
		default:
			return
		}
	}
}

func (g *Gate) grant(w *waiter, now time.Time) {
	g.waiting.Remove(w.place)
	w.place = nil
	w.ticket = &Ticket{gate: g, alone: w.alone, body: w.body}
	g.admit(w.ticket, now)
	close(w.ready)
}

// refuse ends a wait; ReasonNone stands for a slot that did not free in time.
func (g *Gate) refuse(w *waiter, reason mulberrylink.Reason) {
	if reason == mulberrylink.ReasonNone {
		reason = g.full()
	}
	g.waiting.Remove(w.place)
	w.place = nil
	w.reason = reason
	close(w.ready)
}
