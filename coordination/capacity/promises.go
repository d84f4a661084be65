package capacity

import (
	"math"
	"time"
)

const (
	// maxReturnDivisor is the part of the remaining time of a request that its caller waits at most to return.
	maxReturnDivisor = 3
	// takenDecay is the time constant of the sums of admitted work by precedence.
	takenDecay = 2 * time.Second
	// maxTakenShare bounds the share of the capacity that more urgent requests are expected to take.
	maxTakenShare = 0.95
	// maxPrecedences bounds the number of precedences with a line.
	maxPrecedences = 256
)

// precedence is what requests have in common that take a slot before those of a higher precedence.
type precedence struct {
	priority int
	external bool // no internal call
	level    int  // of the client account
}

func precedenceOf(w *waiter) precedence { return precedence{w.req.Priority, !w.req.Internal, w.level} }

func (p precedence) before(other precedence) bool {
	switch {
	case p.priority != other.priority:
		return p.priority < other.priority
	case p.external != other.external:
		return !p.external
	}
	return p.level < other.level
}

// decayingSum is a sum of durations in seconds that decays with takenDecay.
type decayingSum struct {
	sum       float64
	updatedAt time.Time
}

func (s decayingSum) at(now time.Time) float64 {
	return s.sum * math.Exp(-float64(now.Sub(s.updatedAt))/float64(takenDecay))
}

// promiseLine is what one precedence takes of the capacity, and what was promised to its refused callers.
type promiseLine struct {
	taken decayingSum
	until time.Time // the last time to return that was promised
}

// promiseTable holds the lines of all precedences.
type promiseTable struct{ lines map[precedence]*promiseLine }

func newPromiseTable() promiseTable { return promiseTable{lines: make(map[precedence]*promiseLine)} }

func (t *promiseTable) line(w *waiter) *promiseLine {
	p := precedenceOf(w)
	l := t.lines[p]
	if l == nil {
		if len(t.lines) >= maxPrecedences {
			clear(t.lines)
		}
		l = &promiseLine{}
		t.lines[p] = l
	}
	return l
}

// admit records that a request takes the capacity of interval.
func (t *promiseTable) admit(w *waiter, interval time.Duration, now time.Time) {
	l := t.line(w)
	l.taken = decayingSum{sum: l.taken.at(now) + interval.Seconds(), updatedAt: now}
}

// before returns the share of the capacity that requests take that go before w, and the last time that was
// promised to a caller of these or of the same precedence. What was promised to less urgent callers
// does not count: a request that is more urgent goes before them.
func (t *promiseTable) before(w *waiter, now time.Time) (taken float64, until time.Time) {
	own := precedenceOf(w)
	for p, l := range t.lines {
		if p.before(own) {
			taken += l.taken.at(now)
		}
		if !own.before(p) && l.until.After(until) {
			until = l.until
		}
	}
	return math.Min(maxTakenShare, taken/takenDecay.Seconds()), until
}

// promise returns when the caller of a rejected request is told to return, if there could be a slot after
// earliest. That slot may be promised already: each caller gets the next one that is not, and more urgent
// requests take their share of the slots. Zero, an unknown time, stays unknown. A caller that would not wait
// so long, or has a promise of another upstream, takes no slot.
func (c *Controller) promise(earliest time.Duration, w *waiter, now time.Time) time.Duration {
	if earliest <= 0 || w.req.Promised {
		return earliest
	}
	at := now.Add(earliest)
	if next := c.nextPromise(w, now); next.After(at) {
		at = next
	}
	if at.Sub(now) <= w.req.Deadline.Sub(now)/maxReturnDivisor {
		c.promises.line(w).until = at
	}
	return at.Sub(now)
}

// nextPromise returns the time of the first slot after those that are promised.
func (c *Controller) nextPromise(w *waiter, now time.Time) time.Time {
	taken, until := c.promises.before(w, now)
	coldUntil := c.upstream.ColdUntil
	interval := float64(c.slotInterval(w.req, until, now)) / (1 - taken)
	next := until.Add(time.Duration(interval))
	if until.Before(coldUntil) && next.After(coldUntil) {
		return coldUntil // many requests start when the warm-up ends
	}
	return next
}

// slotInterval returns the mean time between two requests that start at the upstream at a time while it is
// at its limit.
func (c *Controller) slotInterval(req *Request, at, now time.Time) time.Duration {
	interval := time.Duration(float64(req.ServiceTime)*c.occupancyFactor(now)) / time.Duration(max(1, c.limit))
	if at.Before(c.upstream.ColdUntil) && c.warmup.rate > 0 {
		interval = max(interval, time.Duration(float64(time.Second)/c.warmup.rate))
	}
	if c.rateLimited && c.rate.rate > 0 {
		interval = max(interval, time.Duration(float64(time.Second)/c.rate.rate))
	}
	return interval
}
