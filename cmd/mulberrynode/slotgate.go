package main

import (
	"context"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// slotGate is the gate of the baseline policies: only the upstream's
// connection limit applies.
type slotGate struct {
	mu       sync.Mutex
	limit    int
	inFlight int
	latency  float64
}

// Enter implements gate.
func (g *slotGate) Enter(context.Context, *mulberrylink.Request, bool) (ticket, mulberrylink.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limit > 0 && g.inFlight >= g.limit {
		return nil, mulberrylink.ReasonBusy
	}
	g.inFlight++
	return (*slotTicket)(g), mulberrylink.ReasonNone
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

// slotTicket is a place at a slotGate.
type slotTicket slotGate

// latencyShare is the weight of the newest request in the mean latency.
const latencyShare = 0.1

// Done implements ticket.
func (t *slotTicket) Done(c completion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.latency += latencyShare * (c.Took.Seconds() - t.latency)
}
