package main

import (
	"context"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/admission"
)

// slotGate is the gate of the baseline policies: only the upstream's
// connection limit applies.
type fixedLimitGate struct {
	mu       sync.Mutex
	limit    int
	inFlight int
	latency  float64
}

// slotTicket is a place at a slotGate.
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
	return mulberrylink.Load{InFlight: g.inFlight, Limit: g.limit, Latency: g.latency, At: time.Now()}
}

// Announce implements gate.
func (g *fixedLimitGate) Announce(a announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = a.Connections
}

// Ramp implements gate. A fixed limit does not grow.
func (g *fixedLimitGate) Ramp() {}

// Configure implements gate. Nothing waits at this gate.
func (g *fixedLimitGate) Configure(time.Duration) {}

// latencyShare is the weight of the newest request in the mean latency.
const latencyWeight = 0.1

// Sent implements ticket.
func (p *fixedLimitPermit) Sent() {}

// Responded implements ticket.
func (p *fixedLimitPermit) Responded() {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.latency += latencyWeight * (time.Since(p.startedAt).Seconds() - p.gate.latency)
}

// Done implements ticket.
func (p *fixedLimitPermit) Done(admission.Completion) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.inFlight--
}
