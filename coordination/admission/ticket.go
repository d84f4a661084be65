package admission

import (
	"time"

	"github.com/mulberrylink/mulberrylink"
)

//go:generate stringer -type=Class -linecomment -output=class_string.go

// Class is the way an admitted request ended, as far as it affects the limit.
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

// Completion describes the end of an admitted request. Success and Failure stand
// for responses, Shed for a response with which the upstream declined the request
// because of its load, ConnectionRefused for a connection that the upstream did
// not accept, UpstreamDied for the death of the upstream, and Canceled for an end
// that says nothing about the upstream.
type Completion struct {
	Class Class
	// Latency is the time from the complete request to the first byte of the
	// response. Zero selects the time between Sent and Responded.
	Latency time.Duration
}

// Ticket is the permission of a Gate to run one request on the upstream. It holds
// one slot until Done.
type Ticket struct {
	gate            *Gate
	prev, next      *Ticket       // neighbours in ticketList
	startedAt       time.Time     // time of Sent, before that the admission
	responseLatency time.Duration // from startedAt to Responded
	cutsAtAdmission uint64        // cuts of the limit at admission
	alone           bool
	probe           bool
	uploading       bool // the request has a body that is not sent in full yet
	responded       bool
	inList          bool // in Gate.unanswered
	done            bool
}

// Sent records that the request was sent to the upstream in full. The latency is
// counted from here, because the time that a caller takes to upload the body is
// not latency of the upstream. A request without a body needs no Sent: its latency
// is counted from its admission.
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

// Responded records the first byte of the response.
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

// recordOutcome adapts the limit to the end of a request.
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
			g.limiter.consecutiveFailures = coldStartFailures // so that one more failure starts the next backoff
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

// ticketList is a linked list of the requests that were sent in full and have no
// response yet, oldest first.
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
