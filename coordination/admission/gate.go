package admission

import (
	"cmp"
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Clock tells the time. Waiting itself uses the timers of package time, so a
// test with a clock of its own runs in a testing/synctest bubble.
type Clock interface{ Now() time.Time }

// Defaults of Config.
const (
	DefaultQueueTimeout = 50 * time.Millisecond
	DefaultAloneTimeout = 500 * time.Millisecond
	DefaultQueueSize    = 256
)

// Config holds the settings of a Gate. Zero values select the defaults.
type Config struct {
	Clock Clock
	// QueueTimeout is how long a request may wait for a slot.
	QueueTimeout time.Duration
	// AloneTimeout is how long a request that must run alone may wait for the upstream
	// to become idle. Nothing else is admitted meanwhile.
	AloneTimeout time.Duration
	// QueueSize is the largest number of waiting requests.
	QueueSize int
}

// Gate admits requests to one upstream. It is safe for concurrent use.
type Gate struct {
	clock Clock

	mu          sync.Mutex
	cfg         Config
	blocked     mulberrylink.Reason
	state       mulberrylink.UpstreamState
	incarnation uint64
	known       bool // an announcement has been received
	limit       limiter
	backoff     backoff
	inFlight    int
	alone       bool       // the request in flight runs alone
	waiting     list.List  // of *waiter, first in first out
	sent        ticketList // requests the upstream has not begun to answer
}

// New returns a gate that refuses everything until the first announcement.
func New(cfg Config) *Gate {
	g := &Gate{clock: cfg.Clock, state: mulberrylink.UpstreamDown}
	g.Configure(cfg.QueueTimeout)
	g.cfg.AloneTimeout = cmp.Or(cfg.AloneTimeout, DefaultAloneTimeout)
	g.cfg.QueueSize = cmp.Or(cfg.QueueSize, DefaultQueueSize)
	return g
}

// Configure sets the longest wait in the queue for requests that enter later.
func (g *Gate) Configure(queue time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.QueueTimeout = cmp.Or(queue, DefaultQueueTimeout)
}

// Announce records what the upstream says about itself. The limit starts cold
// when the incarnation is new, when the upstream comes back and when it
// changes to cold; otherwise an announcement only bounds the limit.
func (g *Gate) Announce(slots, conns int, state mulberrylink.UpstreamState, incarnation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fresh := !g.known || incarnation != g.incarnation
	back := g.state == mulberrylink.UpstreamDown && state != mulberrylink.UpstreamDown
	turnedCold := state == mulberrylink.UpstreamCold && g.state != mulberrylink.UpstreamCold
	g.known, g.incarnation, g.state = true, incarnation, state
	if conns > 0 {
		slots = min(slots, conns)
	}
	g.limit.setSlots(slots)
	g.limit.said = state == mulberrylink.UpstreamCold
	if fresh || back {
		g.limit.forget()
		g.backoff.clear()
	}
	if fresh || back || turnedCold {
		g.limit.restart()
	}
	g.settle(g.clock.Now())
}

// SetDown records that the upstream is gone: its process has died or its
// announcement has expired. Waiting requests are refused.
func (g *Gate) SetDown() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = mulberrylink.UpstreamDown
	g.limit.restart()
	g.settle(g.clock.Now())
}

// Block refuses all new and waiting requests with the given reason, for example
// leaving, domainout or isolated. ReasonNone admits requests again.
func (g *Gate) Block(reason mulberrylink.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blocked = reason
	g.settle(g.clock.Now())
}

// Ramp restarts the limit at cold, as on the return of a failure domain.
func (g *Gate) Ramp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.restart()
}

// Enter admits a request, if necessary after a wait. A request that must run
// alone is admitted when nothing else is in flight, and nothing else is
// admitted until it is done. A nil ticket means that the request was refused.
func (g *Gate) Enter(ctx context.Context, r *mulberrylink.Request, alone bool) (*Ticket, mulberrylink.Reason) {
	g.mu.Lock()
	now := g.clock.Now()
	t, w, reason := g.ask(now, r, alone)
	g.mu.Unlock()
	if w == nil {
		return t, reason
	}
	return g.wait(ctx, w, w.until.Sub(now))
}

// EnterProbe admits a probe of one of the upstream's endpoints. Probes count
// against the same limit, never wait and never pass a waiting request.
func (g *Gate) EnterProbe() (*Ticket, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if g.closed(now) != mulberrylink.ReasonNone || g.waiting.Len() > 0 || !g.fits(false) {
		return nil, false
	}
	t := &Ticket{gate: g, probe: true}
	g.admit(t, now)
	return t, true
}

// Load returns the load of the upstream. Its limit is zero while nothing is
// admitted.
func (g *Gate) Load() mulberrylink.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.notice(now)
	l := mulberrylink.Load{
		InFlight: g.inFlight,
		Queued:   g.waiting.Len(),
		Latency:  g.limit.latency(g.oldest(now)).Seconds(),
		Cold:     g.limit.cold(),
		At:       now,
	}
	if g.closed(now) == mulberrylink.ReasonNone {
		l.Limit = g.limit.whole()
	}
	return l
}

// State returns the state of the upstream as the gate sees it.
func (g *Gate) State() mulberrylink.UpstreamState {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == mulberrylink.UpstreamUp && g.limit.cold() {
		return mulberrylink.UpstreamCold
	}
	return g.state
}

// Idle reports whether nothing is in flight or waiting, for a shutdown that
// interrupts no request.
func (g *Gate) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight == 0 && g.waiting.Len() == 0
}

// ask admits r, refuses it, or queues it and returns the waiter.
func (g *Gate) ask(now time.Time, r *mulberrylink.Request, alone bool) (*Ticket, *waiter, mulberrylink.Reason) {
	g.notice(now)
	if reason := g.closed(now); reason != mulberrylink.ReasonNone {
		return nil, nil, reason
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return nil, nil, mulberrylink.ReasonDeadline
	}
	if g.waiting.Len() == 0 && g.fits(alone) {
		t := &Ticket{gate: g, alone: alone, body: r.Length != 0}
		g.admit(t, now)
		return t, nil, mulberrylink.ReasonNone
	}
	w := g.enqueue(now, r, alone)
	if w == nil {
		return nil, nil, g.full()
	}
	return nil, w, mulberrylink.ReasonNone
}

// closed returns the reason for which nothing at all is admitted now.
func (g *Gate) closed(now time.Time) mulberrylink.Reason {
	switch {
	case g.blocked != mulberrylink.ReasonNone:
		return g.blocked
	case g.state == mulberrylink.UpstreamDown:
		return mulberrylink.ReasonNoUpstream
	case g.state == mulberrylink.UpstreamDraining:
		return mulberrylink.ReasonDraining
	case g.backoff.holds(now):
		return g.backoff.reason
	default:
		return mulberrylink.ReasonNone
	}
}

// full is the reason of a request that finds no slot in time.
func (g *Gate) full() mulberrylink.Reason {
	if g.limit.cold() {
		return mulberrylink.ReasonCold
	}
	return mulberrylink.ReasonBusy
}

func (g *Gate) fits(alone bool) bool {
	if g.alone {
		return false
	}
	if alone {
		return g.inFlight == 0
	}
	return g.inFlight < g.limit.whole()
}

func (g *Gate) admit(t *Ticket, now time.Time) {
	g.inFlight++
	g.alone = t.alone
	t.cuts = g.limit.cuts
	t.at = now
	if !t.body && !t.probe {
		g.sent.push(t)
	}
}

// notice lowers the limit when requests are in flight far longer than usual.
func (g *Gate) notice(now time.Time) {
	g.limit.stalled(now, g.oldest(now))
}

// oldest is how long the upstream has left a complete request unanswered.
func (g *Gate) oldest(now time.Time) time.Duration {
	if g.sent.head == nil {
		return 0
	}
	return now.Sub(g.sent.head.at)
}
