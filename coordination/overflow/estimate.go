package overflow

import (
	"math"
	"time"
)

const (
	// memory is the time constant with which past requests, reports and bytes lose weight. It is short
	// against the swing of demand (17 s) and long against the gap between two requests of a node (110 ms).
	memory = time.Second
	// statementWeight is the smallest weight of one statement about a domain in the average. An admitting
	// node sees about ten requests a second, so that its own statement is wrong by a third.
	statementWeight = 0.2
	// minStaleAge and maxStaleAge bound the random age at which a statement about another domain
	// no longer counts. Nodes of a domain pass statements on, so the first one that asks again
	// spares the others the request.
	minStaleAge = 2 * time.Second
	maxStaleAge = 6 * time.Second
	// minCapacityFactor bounds the effect of slow hosts on the usable slots.
	minCapacityFactor = 0.05
)

// Estimate is the state of a service in one domain, in slots.
type Estimate struct {
	Domain string
	// Demand is what the requests of the domain's own callers need, wherever they run.
	Demand float64
	// Usable is what the upstreams of the domain can use, and Used how much of it is taken by requests
	// that run or wait.
	Usable, Used float64
	// Age is the time since a node of the domain made the statement.
	Age time.Duration
}

// decayingSum is a sum whose parts lose weight with the time constant memory.
type decayingSum struct {
	value float64
	at    time.Time
}

func (d *decayingSum) get(now time.Time) float64 {
	if d.value == 0 || !now.After(d.at) {
		return d.value
	}
	return d.value * math.Exp(-float64(now.Sub(d.at))/float64(memory))
}

func (d *decayingSum) add(x float64, now time.Time) {
	d.value = d.get(now) + x
	if now.After(d.at) {
		d.at = now
	}
}

// rate returns the sum per second.
func (d *decayingSum) rate(now time.Time) float64 { return d.get(now) / memory.Seconds() }

// statement is what this node was told of a domain.
type statement struct {
	Estimate
	at      time.Time // when a node of the domain made it
	staleAt time.Time
}

// merge adds a statement. One that another node has passed on counts only if it is newer.
func (s *statement) merge(e Estimate, passedOn bool, now time.Time, staleAge time.Duration) {
	at := now.Add(-e.Age)
	if passedOn && !at.After(s.at) {
		return
	}
	weight := 1.0
	if now.Before(s.staleAt) {
		weight = max(statementWeight, 1-math.Exp(-float64(at.Sub(s.at))/float64(memory)))
	}
	s.Domain = e.Domain
	s.Demand += weight * (e.Demand - s.Demand)
	s.Usable += weight * (e.Usable - s.Usable)
	s.Used += weight * (e.Used - s.Used)
	if at.After(s.at) {
		s.at, s.staleAt = at, at.Add(staleAge)
	}
}

func (s *statement) fresh(now time.Time) bool { return now.Before(s.staleAt) }

// linkMeter measures the use of the node's own link.
type linkMeter struct {
	bytes     decayingSum
	perSecond float64 // 0 if no limit is known
}

const (
	// linkFree is the use of the link up to which a byte costs nothing.
	linkFree = 0.7
	// fullLinkCostPerKiB is the cost of a KiB on a link that is fully used, in units of one response in
	// time. A request and its response of 4 KiB then cost as much as a response in time is worth, so
	// nothing is sent to another host that could run on this one.
	fullLinkCostPerKiB = 0.25
)

func (m *linkMeter) use(now time.Time) float64 {
	if m.perSecond <= 0 {
		return 0
	}
	return m.bytes.rate(now) / m.perSecond
}

func (m *linkMeter) costPerKiB(now time.Time) float64 {
	return fullLinkCostPerKiB * max(0, m.use(now)-linkFree) / (1 - linkFree)
}
