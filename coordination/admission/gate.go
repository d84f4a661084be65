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

	mu            sync.Mutex
	cfg           Config
	blockReason   mulberrylink.Reason
	state         mulberrylink.UpstreamState
	incarnation   uint64
	announced     bool // an announcement has been received
	limiter       limiter
	backoff       backoff
	inFlight      int
	aloneInFlight bool       // the request in flight runs alone
	queue         list.List  // of *waiter, first in first out
	unanswered    ticketList // requests the upstream has not begun to answer
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
func (g *Gate) Configure(timeout time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.QueueTimeout = cmp.Or(timeout, DefaultQueueTimeout)
}

// Announce records what the upstream says about itself. The limit starts cold
// when the incarnation is new, when the upstream comes back and when it
// changes to cold; otherwise an announcement only bounds the limit.
func (g *Gate) Announce(slots, conns int, state mulberrylink.UpstreamState, incarnation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	newIncarnation := !g.announced || incarnation != g.incarnation
	returned := g.state == mulberrylink.UpstreamDown && state != mulberrylink.UpstreamDown
	turnedCold := state == mulberrylink.UpstreamCold && g.state != mulberrylink.UpstreamCold
	g.announced, g.incarnation, g.state = true, incarnation, state
	if conns > 0 {
		slots = min(slots, conns)
	}
	g.limiter.setSlots(slots)
	g.limiter.announcedCold = state == mulberrylink.UpstreamCold
	if newIncarnation || returned {
		g.limiter.resetLatency()
		g.backoff.clear()
	}
	if newIncarnation || returned || turnedCold {
		g.limiter.resetToCold()
	}
	g.processQueue(g.clock.Now())
}

// SetDown records that the upstream is gone: its process has died or its
// announcement has expired. Waiting requests are refused.
func (g *Gate) SetDown() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = mulberrylink.UpstreamDown
	g.limiter.resetToCold()
	g.processQueue(g.clock.Now())
}

// Block refuses all new and waiting requests with the given reason, for example
// leaving, domainout or isolated. ReasonNone admits requests again.
func (g *Gate) Block(reason mulberrylink.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blockReason = reason
	g.processQueue(g.clock.Now())
}

// Ramp restarts the limit at cold, as on the return of a failure domain.
func (g *Gate) Ramp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.resetToCold()
}

// Enter admits a request, if necessary after a wait. A request that must run
// alone is admitted when nothing else is in flight, and nothing else is
// admitted until it is done. A nil ticket means that the request was refused.
func (g *Gate) Enter(ctx context.Context, r *mulberrylink.Request, alone bool) (*Ticket, mulberrylink.Reason) {
	g.mu.Lock()
	now := g.clock.Now()
	t, w, reason := g.tryEnter(now, r, alone)
	g.mu.Unlock()
	if w == nil {
		return t, reason
	}
	return g.wait(ctx, w, w.expiresAt.Sub(now))
}

// EnterProbe admits a probe of one of the upstream's endpoints. Probes count
// against the same limit, never wait and never pass a waiting request.
func (g *Gate) EnterProbe() (*Ticket, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if g.closedReason(now) != mulberrylink.ReasonNone || g.queue.Len() > 0 || !g.hasSlot(false) {
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
	g.detectStall(now)
	l := mulberrylink.Load{
		InFlight: g.inFlight,
		Queued:   g.queue.Len(),
		Latency:  g.limiter.expectedLatency(g.oldestAge(now)).Seconds(),
		Cold:     g.limiter.cold(),
		At:       now,
	}
	if g.closedReason(now) == mulberrylink.ReasonNone {
		l.Limit = g.limiter.maxInFlight()
	}
	return l
}

// State returns the state of the upstream as the gate sees it.
func (g *Gate) State() mulberrylink.UpstreamState {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == mulberrylink.UpstreamUp && g.limiter.cold() {
		return mulberrylink.UpstreamCold
	}
	return g.state
}

// Idle reports whether nothing is in flight or waiting, for a shutdown that
// interrupts no request.
func (g *Gate) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight == 0 && g.queue.Len() == 0
}

// ask admits r, refuses it, or queues it and returns the waiter.
func (g *Gate) tryEnter(now time.Time, r *mulberrylink.Request, alone bool) (*Ticket, *waiter, mulberrylink.Reason) {
	g.detectStall(now)
	if reason := g.closedReason(now); reason != mulberrylink.ReasonNone {
		return nil, nil, reason
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return nil, nil, mulberrylink.ReasonDeadline
	}
	if g.queue.Len() == 0 && g.hasSlot(alone) {
		t := &Ticket{gate: g, alone: alone, uploading: r.Length != 0}
		g.admit(t, now)
		return t, nil, mulberrylink.ReasonNone
	}
	w := g.enqueue(now, r, alone)
	if w == nil {
		return nil, nil, g.fullReason()
	}
	return nil, w, mulberrylink.ReasonNone
}

// closed returns the reason for which nothing at all is admitted now.
func (g *Gate) closedReason(now time.Time) mulberrylink.Reason {
	switch {
	case g.blockReason != mulberrylink.ReasonNone:
		return g.blockReason
	case g.state == mulberrylink.UpstreamDown:
		return mulberrylink.ReasonNoUpstream
	case g.state == mulberrylink.UpstreamDraining:
		return mulberrylink.ReasonDraining
	case g.backoff.active(now):
		return g.backoff.reason
	default:
		return mulberrylink.ReasonNone
	}
}

// full is the reason of a request that finds no slot in time.
func (g *Gate) fullReason() mulberrylink.Reason {
	if g.limiter.cold() {
		return mulberrylink.ReasonCold
	}
	return mulberrylink.ReasonBusy
}

func (g *Gate) hasSlot(alone bool) bool {
	if g.aloneInFlight {
		return false
	}
	if alone {
		return g.inFlight == 0
	}
	return g.inFlight < g.limiter.maxInFlight()
}

func (g *Gate) admit(t *Ticket, now time.Time) {
	g.inFlight++
	g.aloneInFlight = t.alone
	t.cutsAtAdmission = g.limiter.cuts
	t.startedAt = now
	if !t.uploading && !t.probe {
		g.unanswered.push(t)
	}
}

// notice lowers the limit when requests are in flight far longer than usual.
func (g *Gate) detectStall(now time.Time) {
	g.limiter.cutForStall(now, g.oldestAge(now))
}

// oldest is how long the upstream has left a complete request unanswered.
func (g *Gate) oldestAge(now time.Time) time.Duration {
	if g.unanswered.head == nil {
		return 0
	}
	return now.Sub(g.unanswered.head.startedAt)
}
