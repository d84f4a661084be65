package main

import (
	"context"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/admission"
)

// fixedLimitGate is the gate of the baseline policies. Its limit is the announced number of
// connections of the upstream, 0 for no limit, and requests above it are rejected without waiting.
type fixedLimitGate struct {
	mu             sync.Mutex
	limit          int
	inFlight       int
	latencySeconds float64
}

// fixedLimitPermit is the permit of a fixedLimitGate.
type fixedLimitPermit struct {
	gate      *fixedLimitGate
	startedAt time.Time
}

// Acquire implements gate.
func (g *fixedLimitGate) Acquire(context.Context, *mulberrylink.Request, bool) (permit, mulberrylink.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limit > 0 && g.inFlight >= g.limit {
		return nil, mulberrylink.ReasonBusy
	}
	g.inFlight++
	return &fixedLimitPermit{gate: g, startedAt: time.Now()}, mulberrylink.ReasonNone
}

// Load implements gate.
func (g *fixedLimitGate) Load() mulberrylink.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return mulberrylink.Load{InFlight: g.inFlight, Limit: g.limit, Latency: g.latencySeconds, At: time.Now()}
}

// Announce implements gate.
func (g *fixedLimitGate) Announce(a announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = a.Connections
}

// Ramp implements gate. It has no effect, because the limit is fixed.
func (g *fixedLimitGate) Ramp() {}

// Configure implements gate. It has no effect, because the gate has no queue.
func (g *fixedLimitGate) Configure(time.Duration) {}

// latencyWeight is the weight of the newest request in the moving average of the latency.
const latencyWeight = 0.1

// Sent implements permit. The latency is counted from the admission.
func (p *fixedLimitPermit) Sent() {}

// Responded implements permit.
func (p *fixedLimitPermit) Responded() {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.latencySeconds += latencyWeight * (time.Since(p.startedAt).Seconds() - p.gate.latencySeconds)
}

// Done implements permit.
func (p *fixedLimitPermit) Done(admission.Completion) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.inFlight--
}
