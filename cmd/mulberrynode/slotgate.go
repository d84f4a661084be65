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
type slotGate struct {
	mu       sync.Mutex
	limit    int
	inFlight int
	latency  float64
}

// slotTicket is a place at a slotGate.
type slotTicket struct {
	gate  *slotGate
	start time.Time
}

// Acquire implements gate.
func (g *slotGate) Acquire(context.Context, *mulberrylink.Request, bool) (ticket, mulberrylink.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limit > 0 && g.inFlight >= g.limit {
		return nil, mulberrylink.ReasonBusy
	}
	g.inFlight++
	return &slotTicket{gate: g, start: time.Now()}, mulberrylink.ReasonNone
}

// Load implements gate.
func (g *slotGate) Load() mulberrylink.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return mulberrylink.Load{InFlight: g.inFlight, Limit: g.limit, Latency: g.latency, At: time.Now()}
}

// Announce implements gate.
func (g *slotGate) Announce(a announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = a.Connections
}

// Ramp implements gate. A fixed limit does not grow.
func (g *slotGate) Ramp() {}

// Configure implements gate. Nothing waits at this gate.
func (g *slotGate) Configure(time.Duration) {}

// latencyShare is the weight of the newest request in the mean latency.
const latencyShare = 0.1

// Sent implements ticket.
func (t *slotTicket) Sent() {}

// Responded implements ticket.
func (t *slotTicket) Responded() {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.latency += latencyShare * (time.Since(t.start).Seconds() - t.gate.latency)
}

// Done implements ticket.
func (t *slotTicket) Done(admission.Completion) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.inFlight--
}
