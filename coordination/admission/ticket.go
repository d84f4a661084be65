package admission

import (
	"time"

	"github.com/mulberrylink/mulberrylink"
)

//go:generate stringer -type=Class -linecomment -output=class_string.go

// Class is how an admitted request ended, as far as the limit is concerned.
type Class uint8

// Classes of completions.
const (
	Success           Class = iota // success
	Failure                        // failure
	Shed                           // shed
	ConnectionRefused              // refused
	UpstreamDied                   // died
	Canceled                       // canceled
)

// Completion describes the end of an admitted request. Success and Failure are
// answers, Shed is an answer with which the upstream declined the work, ConnectionRefused
// a connection that the upstream did not accept, UpstreamDied the death of the upstream
// and Canceled an end that says nothing about the upstream.
type Completion struct {
	Class Class
	// Latency is the time from the complete request to the first byte of the
	// answer. Zero selects the time between Sent and Responded.
	Latency time.Duration
}

// Ticket is the permission to run one request on the upstream.
type Ticket struct {
	gate            *Gate
	prev, next      *Ticket // neighbours in ticketList
	startedAt       time.Time
	responseLatency time.Duration
	cutsAtAdmission uint64 // number of cuts of the limit before admission
	alone           bool
	probe           bool
	uploading       bool
	responded       bool
	inList          bool
	done            bool
}

// Sent records that the whole request has been handed to the upstream. The time
// a caller needs to upload its body does not count as the upstream's latency.
// A request without a body counts from its admission.
func (t *Ticket) Sent() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.done || t.responded || t.probe {
		return
	}
	g.unanswered.remove(t)
	t.uploading = false
	t.startedAt = g.clock.Now()
	g.unanswered.push(t)
}

// Responded records the first byte of the answer.
func (t *Ticket) Responded() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.done || t.responded {
		return
	}
	t.responded = true
	t.responseLatency = g.clock.Now().Sub(t.startedAt)
	g.unanswered.remove(t)
}

// Done ends the request and frees its slot.
func (t *Ticket) Done(c Completion) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	now := g.clock.Now()
	g.unanswered.remove(t)
	g.inFlight--
	g.aloneInFlight = false
	g.recordOutcome(t, c, now)
	g.processQueue(now)
}

// learn adjusts the limit to the end of a request.
func (g *Gate) recordOutcome(t *Ticket, c Completion, now time.Time) {
	switch c.Class {
	case Shed:
		g.limiter.cutForShed(t.cutsAtAdmission)
	case ConnectionRefused, UpstreamDied:
		g.limiter.resetToCold()
		g.backoff.extend(now, mulberrylink.ReasonConnect)
	case Success, Failure:
		if !t.probe && g.limiter.failingColdStart(c.Class == Success) {
			g.limiter.resetToCold()
			g.limiter.consecutiveFailures = coldStartFailures // the next failure counts at once
			g.backoff.extend(now, mulberrylink.ReasonCold)
			return
		}
		if c.Class == Success {
			g.backoff.clear()
		}
		if !t.probe {
			g.limiter.recordCompletion(now, t.completionLatency(c, now), c.Class == Success, t.cutsAtAdmission)
		}
	case Canceled:
	}
}

func (t *Ticket) completionLatency(c Completion, now time.Time) time.Duration {
	switch {
	case c.Latency > 0:
		return c.Latency
	case t.responded:
		return t.responseLatency
	default:
		return now.Sub(t.startedAt)
	}
}

// ticketList holds the requests the upstream has not begun to answer, oldest
// first.
type ticketList struct{ head, tail *Ticket }

func (l *ticketList) push(t *Ticket) {
	t.inList = true
	t.prev = l.tail
	if l.tail == nil {
		l.head = t
	} else {
		l.tail.next = t
	}
	l.tail = t
}

func (l *ticketList) remove(t *Ticket) {
	if !t.inList {
		return
	}
	t.inList = false
	if t.prev == nil {
		l.head = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		l.tail = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.prev, t.next = nil, nil
}
