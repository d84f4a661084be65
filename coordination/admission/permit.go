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

// Permit is the permission of a Gate to run one request on the upstream. It holds
// one slot until Done.
type Permit struct {
	gate            *Gate
	prev, next      *Permit       // neighbours in permitList
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
func (p *Permit) Sent() {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.done || p.responded || p.probe {
		return
	}
	g.unanswered.remove(p)
	p.uploading = false
	p.startedAt = g.clock.Now()
	g.unanswered.push(p)
}

// Responded records the first byte of the response.
func (p *Permit) Responded() {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.done || p.responded {
		return
	}
	p.responded = true
	p.responseLatency = g.clock.Now().Sub(p.startedAt)
	g.unanswered.remove(p)
}

// Done ends the request and frees its slot.
func (p *Permit) Done(c Completion) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	now := g.clock.Now()
	g.unanswered.remove(p)
	g.inFlight--
	g.aloneInFlight = false
	g.recordOutcome(p, c, now)
	g.processQueue(now)
}

// recordOutcome adapts the limit to the end of a request.
func (g *Gate) recordOutcome(p *Permit, c Completion, now time.Time) {
	switch c.Class {
	case Shed:
		g.limiter.cutForShed(p.cutsAtAdmission)
	case ConnectionRefused, UpstreamDied:
		g.limiter.resetToCold()
		g.backoff.extend(now, mulberrylink.ReasonConnect)
	case Success, Failure:
		if !p.probe && g.limiter.failingColdStart(c.Class == Success) {
			g.limiter.resetToCold()
			g.limiter.consecutiveFailures = coldStartFailures // so that one more failure starts the next backoff
			g.backoff.extend(now, mulberrylink.ReasonCold)
			return
		}
		if c.Class == Success {
			g.backoff.clear()
		}
		if !p.probe {
			g.limiter.recordCompletion(now, p.completionLatency(c, now), c.Class == Success, p.cutsAtAdmission)
		}
	case Canceled:
	}
}

func (p *Permit) completionLatency(c Completion, now time.Time) time.Duration {
	switch {
	case c.Latency > 0:
		return c.Latency
	case p.responded:
		return p.responseLatency
	default:
		return now.Sub(p.startedAt)
	}
}

// permitList is a linked list of the requests that were sent in full and have no
// response yet, oldest first.
type permitList struct{ head, tail *Permit }

func (l *permitList) push(p *Permit) {
	p.inList = true
	p.prev = l.tail
	if l.tail == nil {
		l.head = p
	} else {
		l.tail.next = p
	}
	l.tail = p
}

func (l *permitList) remove(p *Permit) {
	if !p.inList {
		return
	}
	p.inList = false
	if p.prev == nil {
		l.head = p.next
	} else {
		p.prev.next = p.next
	}
	if p.next == nil {
		l.tail = p.prev
	} else {
		p.next.prev = p.prev
	}
	p.prev, p.next = nil, nil
}
