package capacity

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/placement"
)

// Controller admits requests to one upstream. It is safe for concurrent use.
type Controller struct {
	now func() time.Time

	mu       sync.Mutex
	up       Upstream
	open     bool
	running  int
	queue    []*waiter
	admitted []time.Time // to a cold upstream, within rateWindow
	knee     knee
	limit    int     // of running requests, at most the slots
	factor   float64 // reported pace of the host
	factorAt time.Time
	share    float64 // of time in which the host is disturbed
	slow     float64 // what requests take beyond what is expected of them
	slowAt   time.Time
	tickets  map[*Permit]struct{}
	failing  float64
	failAt   time.Time
}

// Permit is the right to use a slot until Leave.
type Permit struct {
	g *Controller
	// ends is when the request is expected to leave.
	ends time.Time
	once sync.Once
}

// New returns a closed gate.
func New(now func() time.Time) *Controller {
	return &Controller{now: now, factor: 1, slow: 1, tickets: make(map[*Permit]struct{})}
}

// Open lets requests in on the terms of the upstream.
func (g *Controller) Open(u Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.up, g.open = u, true
	g.limit = g.knee.limit(u.Slots, now)
	g.dispatch(now)
}

// Close refuses new requests and those that wait.
func (g *Controller) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	for _, w := range g.queue {
		w.result <- Closed
	}
	g.queue = nil
}

// ReportSlowdown takes a report of how much longer than usual work takes with so many
// requests running.
func (g *Controller) ReportSlowdown(factor float64, running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if !g.factorAt.IsZero() {
		// The state since the last report is taken to be the one reported then.
		weight := 1 - math.Exp(-float64(now.Sub(g.factorAt))/float64(shareTime))
		was := 0.0
		if placement.Disturbed(g.factor) {
			was = 1
		}
		g.share += weight * (was - g.share)
	}
	g.factor, g.factorAt = factor, now
	g.knee.learn(running, factor, now)
	g.limit = g.knee.limit(g.up.Slots, now)
	g.dispatch(now)
}

// RecordResult takes the outcome of a request that ran. Expected is what its work was
// thought to take on an undisturbed host, 0 when that is not known, and took what
// it took at that pace.
func (g *Controller) RecordResult(expected, took time.Duration, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if !failed && expected > 0 {
		cur := g.slowness(now)
		ratio := float64(took+slowSlack) / float64(expected+slowSlack)
		g.slow, g.slowAt = cur+slowGain*(min(ratio, maxSlow)-cur), now
	}
	target := 0.0
	if failed {
		target = 1
	}
	cur := g.failShare(now)
	g.failing, g.failAt = cur+failGain*(target-cur), now
}

func (g *Controller) failShare(now time.Time) float64 {
	return g.failing * math.Exp(-float64(now.Sub(g.failAt))/float64(failTime))
}

// slowness is how much longer requests take than is expected of them, for causes
// that the pace of the host does not show. It is forgotten without requests.
func (g *Controller) slowness(now time.Time) float64 {
	return max(1, 1+(g.slow-1)*math.Exp(-float64(now.Sub(g.slowAt))/float64(slowTime)))
}

// currentFactor is the last reported factor, which fades to the usual speed.
func (g *Controller) currentFactor(now time.Time) float64 {
	age := now.Sub(g.factorAt) - factorTime
	if age <= 0 {
		return g.factor
	}
	return 1 + (g.factor-1)*math.Exp(-float64(age)/float64(factorTime))
}

// Load returns the load of the upstream as this gate knows it.
func (g *Controller) Load() placement.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	return placement.Load{
		Running: g.running, Waiting: len(g.queue), Slots: g.limit,
		Slowdown: g.currentFactor(now) * g.slowness(now), FailureRate: g.failShare(now), Cold: now.Before(g.up.ColdUntil),
	}
}

// Idle reports whether no request runs or waits.
func (g *Controller) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running == 0 && len(g.queue) == 0
}

// Acquire admits a request, now or after a wait in the queue, or refuses it. A
// request that was refused has not reached the upstream.
func (g *Controller) Acquire(ctx context.Context, ask *Request) (*Permit, Rejection) {
	g.mu.Lock()
	now := g.now()
	g.arrange(now)
	if r := g.refuse(now, ask); r.Reason != Admitted {
		g.mu.Unlock()
		return nil, r
	}
	w := &waiter{ask: ask, result: make(chan Reason, 1)}
	g.insert(w, now)
	g.dispatch(now)
	g.mu.Unlock()
	select {
	case r := <-w.result:
		return w.ended(r)
	default:
		return g.wait(ctx, w)
	}
}

func (g *Controller) wait(ctx context.Context, w *waiter) (*Permit, Rejection) {
	timer := time.NewTimer(w.ask.Deadline.Sub(g.now()))
	defer timer.Stop()
	select {
	case r := <-w.result:
		return w.ended(r)
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, q := range g.queue {
		if q == w {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return nil, Rejection{Reason: Expired}
		}
	}
	// The decision fell at the same moment.
	return w.ended(<-w.result)
}

// refuse returns why a request may not enter, before a slot is looked for.
func (g *Controller) refuse(now time.Time, ask *Request) Rejection {
	switch {
	case !g.open || g.up.Slots == 0:
		return Rejection{Reason: Closed}
	case len(g.queue) >= maxWaiting:
		return Rejection{Reason: Full, RetryAfter: g.drain(len(g.queue), now)}
	}
	if after, ok := g.warming(now); !ok {
		return Rejection{Reason: Warming, RetryAfter: after}
	}
	wait, first := time.Duration(0), time.Duration(0)
	if g.running >= g.limit {
		ahead := g.ahead(ask, now)
		wait, first = g.drain(ahead, now), g.first(ahead, now)
	}
	if g.betterElsewhere(now, wait, ask) {
		return Rejection{Reason: Slower}
	}
	margin := func(wait time.Duration) time.Duration {
		_, finish := g.expect(now, wait, ask)
		return finish + finish/waitMargin
	}
	if wait > 0 && g.givesUp(now, margin(wait), margin(first), ask) {
		return Rejection{Reason: Full, RetryAfter: first}
	}
	return Rejection{}
}

// warming reports whether a cold upstream bears another request now, and
// otherwise when.
func (g *Controller) warming(now time.Time) (time.Duration, bool) {
	if !now.Before(g.up.ColdUntil) {
		return 0, true
	}
	for len(g.admitted) > 0 && now.Sub(g.admitted[0]) >= rateWindow {
		g.admitted = g.admitted[1:]
	}
	if len(g.admitted) < max(1, int(g.up.WarmupRate)) {
		return 0, true
	}
	return rateWindow - now.Sub(g.admitted[0]), false
}

func (g *Controller) admit(now time.Time, w *waiter) {
	g.running++
	w.ticket = &Permit{g: g, ends: now.Add(time.Duration(float64(w.ask.ServiceTime) * g.currentFactor(now) * g.slowness(now)))}
	g.tickets[w.ticket] = struct{}{}
	// Counted also while warm: the upstream may turn out to have been cold.
	g.admitted = append(g.admitted, now)
	for len(g.admitted) > 0 && now.Sub(g.admitted[0]) >= rateWindow {
		g.admitted = g.admitted[1:]
	}
}

// Release gives the slot back.
func (t *Permit) Release() {
	t.once.Do(func() {
		t.g.mu.Lock()
		defer t.g.mu.Unlock()
		t.g.running--
		delete(t.g.tickets, t)
		t.g.dispatch(t.g.now())
	})
}
