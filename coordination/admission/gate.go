package admission

import (
	"cmp"
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Clock returns the current time. Waiting uses the timers of package time, so
// tests with their own clock run in a testing/synctest bubble.
type Clock interface{ Now() time.Time }

// Defaults of Config.
const (
	DefaultQueueTimeout = 50 * time.Millisecond
	DefaultAloneTimeout = 500 * time.Millisecond
	DefaultQueueSize    = 256
)

// Config holds the settings of a Gate. Clock is required; zero values of the
// other fields select the defaults.
type Config struct {
	Clock Clock
	// QueueTimeout is how long a request may wait for a slot.
	QueueTimeout time.Duration
	// AloneTimeout is how long a request that must run alone may wait for the
	// upstream to become idle. No later request is admitted meanwhile.
	AloneTimeout time.Duration
	// QueueSize is the maximum number of waiting requests.
	QueueSize int
}

// Gate admits requests to one upstream up to an adaptive concurrency limit. It is
// safe for concurrent use.
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
	unanswered    permitList // requests sent in full without a response yet
}

// New returns a gate that rejects all requests until the first announcement.
func New(cfg Config) *Gate {
	g := &Gate{clock: cfg.Clock, state: mulberrylink.UpstreamDown}
	g.Configure(cfg.QueueTimeout)
	g.cfg.AloneTimeout = cmp.Or(cfg.AloneTimeout, DefaultAloneTimeout)
	g.cfg.QueueSize = cmp.Or(cfg.QueueSize, DefaultQueueSize)
	return g
}

// Configure sets the queue timeout of requests that arrive later.
func (g *Gate) Configure(timeout time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.QueueTimeout = cmp.Or(timeout, DefaultQueueTimeout)
}

// Announce records an announcement of the upstream. A new incarnation, the return
// of an upstream that was down and a change to cold reset the limit to one; any
// other announcement only caps the limit.
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

// SetDown records that the upstream is down: its process has died or its
// announcement has expired. It resets the limit and rejects waiting requests.
func (g *Gate) SetDown() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = mulberrylink.UpstreamDown
	g.limiter.resetToCold()
	g.processQueue(g.clock.Now())
}

// Block rejects all new and waiting requests with the given reason, for example
// leaving, domainout or isolated. ReasonNone admits requests again.
func (g *Gate) Block(reason mulberrylink.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blockReason = reason
	g.processQueue(g.clock.Now())
}

// Ramp resets the limit to one, as for the return of a failure domain to service.
func (g *Gate) Ramp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.resetToCold()
}

// Acquire admits a request, if necessary after a wait in the queue. A request that
// must run alone is admitted when nothing else is in flight, and nothing else is
// admitted until it is done. A nil permit means that the request was rejected.
func (g *Gate) Acquire(ctx context.Context, r *mulberrylink.Request, alone bool) (*Permit, mulberrylink.Reason) {
	g.mu.Lock()
	now := g.clock.Now()
	p, w, reason := g.tryAcquire(now, r, alone)
	g.mu.Unlock()
	if w == nil {
		return p, reason
	}
	return g.wait(ctx, w, w.expiresAt.Sub(now))
}

// AcquireProbe admits a probe of an endpoint of the upstream. Probes count against
// the same limit, but they are never queued and never overtake a waiting request.
func (g *Gate) AcquireProbe() (*Permit, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if g.closedReason(now) != mulberrylink.ReasonNone || g.queue.Len() > 0 || !g.hasSlot(false) {
		return nil, false
	}
	p := &Permit{gate: g, probe: true}
	g.admit(p, now)
	return p, true
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

// State returns the announced state of the upstream, or cold while an upstream
// that announces itself as up has a limit below its slots.
func (g *Gate) State() mulberrylink.UpstreamState {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == mulberrylink.UpstreamUp && g.limiter.cold() {
		return mulberrylink.UpstreamCold
	}
	return g.state
}

// Idle reports whether no request is in flight or waiting, so that a shutdown
// interrupts none.
func (g *Gate) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight == 0 && g.queue.Len() == 0
}

// tryAcquire admits r, rejects it, or queues it and returns the waiter.
func (g *Gate) tryAcquire(now time.Time, r *mulberrylink.Request, alone bool) (*Permit, *waiter, mulberrylink.Reason) {
	g.detectStall(now)
	if reason := g.closedReason(now); reason != mulberrylink.ReasonNone {
		return nil, nil, reason
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return nil, nil, mulberrylink.ReasonDeadline
	}
	if g.queue.Len() == 0 && g.hasSlot(alone) {
		p := &Permit{gate: g, alone: alone, uploading: r.Length != 0}
		g.admit(p, now)
		return p, nil, mulberrylink.ReasonNone
	}
	w := g.enqueue(now, r, alone)
	if w == nil {
		return nil, nil, g.fullReason()
	}
	return nil, w, mulberrylink.ReasonNone
}

// closedReason returns the reason why no request is admitted now, or ReasonNone.
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

// fullReason returns the reason of a request that gets no slot in time.
func (g *Gate) fullReason() mulberrylink.Reason {
	if g.limiter.cold() {
		return mulberrylink.ReasonCold
	}
	return mulberrylink.ReasonBusy
}

// hasSlot reports whether a request could start now, alone if alone is true.
func (g *Gate) hasSlot(alone bool) bool {
	if g.aloneInFlight {
		return false
	}
	if alone {
		return g.inFlight == 0
	}
	return g.inFlight < g.limiter.maxInFlight()
}

func (g *Gate) admit(p *Permit, now time.Time) {
	g.inFlight++
	g.aloneInFlight = p.alone
	p.cutsAtAdmission = g.limiter.cuts
	p.startedAt = now
	if !p.uploading && !p.probe {
		g.unanswered.push(p)
	}
}

// detectStall cuts the limit when the upstream has not responded for far longer
// than usual.
func (g *Gate) detectStall(now time.Time) {
	g.limiter.cutForStall(now, g.oldestAge(now))
}

// oldestAge returns the longest time that the upstream has had a complete request
// without responding.
func (g *Gate) oldestAge(now time.Time) time.Duration {
	if g.unanswered.head == nil {
		return 0
	}
	return now.Sub(g.unanswered.head.startedAt)
}
