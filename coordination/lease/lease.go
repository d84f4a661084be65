// Package lease bounds for how long a node acts on knowledge that may have been revoked. The node asks
// for confirmations with readings of its own clock (probes). A confirmation of a probe states that what
// the node knows was still current when it had made the probe, so the lease is counted from the probe.
// A confirmation that is delayed on its way therefore cannot prolong the lease.
//
// The clock must count the time that the host spends suspended (state/boottime).
//
// # Usage
//
//	l := lease.New(lease.Config{Bound: 5 * time.Second, Clock: boottime.Clock{}})
//	probe := l.Probe() // sent to the authority
//	…
//	l.Renew(probe) // once the authority has confirmed it
//	if !l.Valid() {
//		// refuse what depends on the knowledge
//	}
package lease

import (
	"sync"
	"sync/atomic"
	"time"
)

//go:generate ../../bin/tools/stringer -type=Event -linecomment -output=event_string.go

// marginDivisor determines the part of the bound that the lease leaves unused. It covers clocks whose
// rates differ, and the transit of a request between its check and its upstream.
const marginDivisor = 10

// Event is a change of a lease.
type Event uint8

// Events of a lease.
const (
	None     Event = iota // none
	Began                 // began
	Ended                 // ended
	Regained              // regained
)

// Clock is a clock that counts the time that the host spends suspended.
type Clock interface {
	Now() time.Duration
}

// Config configures a Lease.
type Config struct {
	// Bound is the time after a revocation from which nothing may be done any more on the knowledge
	// from before it.
	Bound time.Duration
	Clock Clock
}

// Lease is the lease of one node. It is safe for concurrent use.
type Lease struct {
	length    time.Duration
	clock     Clock
	expiresAt atomic.Int64 // reading of the clock, 0 before the first renewal
	begun     chan struct{}

	mu          sync.Mutex
	hasBegun    bool
	wasReported bool // Check has last reported the lease as valid
	hasEnded    bool // Check has reported an end
}

// New returns a lease that is not valid before its first renewal.
func New(cfg Config) *Lease {
	return &Lease{length: cfg.Bound - cfg.Bound/marginDivisor, clock: cfg.Clock, begun: make(chan struct{})}
}

// Probe returns the reading that a confirmation has to repeat.
func (l *Lease) Probe() time.Duration { return l.clock.Now() }

// Renew extends the lease after a probe has been confirmed, and reports whether it has. It does not
// if the lease already lasts as long, if it would have ended by now, or if the reading lies ahead,
// which no probe of this node does.
func (l *Lease) Renew(probe time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	end := probe + l.length
	if probe > now || end <= now || end <= time.Duration(l.expiresAt.Load()) {
		return false
	}
	l.expiresAt.Store(int64(end))
	if !l.hasBegun {
		l.hasBegun = true
		close(l.begun)
	}
	return true
}

// Valid reports whether the lease is in force.
func (l *Lease) Valid() bool { return l.clock.Now() < time.Duration(l.expiresAt.Load()) }

// Begun returns a channel that is closed at the first renewal.
func (l *Lease) Begun() <-chan struct{} { return l.begun }

// HasBegun reports whether the lease has been renewed at least once.
func (l *Lease) HasBegun() bool { return l.expiresAt.Load() != 0 }

// Check returns what has changed since the last call. An end that a renewal has followed in between is
// not reported, so callers also call it before each renewal.
func (l *Lease) Check() Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	valid := l.Valid()
	switch {
	case valid == l.wasReported:
		return None
	case !valid:
		l.wasReported, l.hasEnded = false, true
		return Ended
	case l.hasEnded:
		l.wasReported = true
		return Regained
	default:
		l.wasReported = true
		return Began
	}
}
