package capacity

import (
	"sort"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/placement"
)

// waiter is a request in the queue.
type waiter struct {
	req    *Request
	permit *Permit     // set before Admitted is sent
	result chan Reason // has room for one
}

func (w *waiter) outcome(r Reason) (*Permit, Rejection) {
	if r == Admitted {
		return w.permit, Rejection{}
	}
	return nil, Rejection{Reason: r}
}

// expect returns the probability that a request which starts after wait is late,
// and when it is finished in the mean.
func (c *Controller) estimate(now time.Time, wait time.Duration, req *Request) (miss float64, finish time.Duration) {
	return placement.EstimateCompletion(now, wait, req.ServiceTime, c.currentHostSlowdown(now)*c.currentUpstreamSlowdown(now), req.Objective, req.Deadline)
}

// betterElsewhere reports whether the entry node of a request knows a better
// upstream than this one.
func (c *Controller) alternativeIsBetter(now time.Time, wait time.Duration, req *Request) bool {
	if req.AlternativeCost <= 0 {
		return false
	}
	miss, _ := c.estimate(now, wait, req)
	return 1-(1-miss)*(1-c.currentFailureRate(now)) > req.AlternativeCost+rerouteMargin
}

// ahead counts the waiting requests that go before ask.
func (c *Controller) position(req *Request, now time.Time) int {
	return sort.Search(len(c.queue), func(i int) bool { return c.before(req, c.queue[i].req, now) })
}

// before orders the queue: first the requests that can still meet their
// objective, then by priority, then by deadline. A request that is late anyway
// must not make the next one late too.
func (c *Controller) before(a, b *Request, now time.Time) bool {
	if late := c.missesObjective(a, now); late != c.missesObjective(b, now) {
		return !late
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Deadline.Before(b.Deadline)
}

// late reports whether a request would miss its objective if it started now.
func (c *Controller) missesObjective(a *Request, now time.Time) bool {
	return now.Add(time.Duration(float64(a.ServiceTime) * c.currentUpstreamSlowdown(now))).After(a.Objective)
}

// arrange brings the queue into order again: requests become late in it.
func (c *Controller) sortQueue(now time.Time) {
	sort.SliceStable(c.queue, func(i, j int) bool { return c.before(c.queue[i].req, c.queue[j].req, now) })
}

// drain returns how long it takes until the slots have worked off what runs and so
// many of the requests that wait. It is the cautious estimate of a wait: more
// urgent requests may still come. Nothing starts while the host is disturbed.
func (c *Controller) drainTime(ahead int, now time.Time) time.Duration {
	var remaining, queued time.Duration
	for t := range c.permits {
		remaining += max(0, t.expectedEnd.Sub(now))
	}
	for _, w := range c.queue[:ahead] {
		queued += w.req.ServiceTime
	}
	queued = time.Duration(float64(queued) * c.occupancyFactor(now))
	return (remaining + queued) / time.Duration(max(1, c.limit))
}

// first returns how long it takes until a slot is free for a request with so many
// others before it in the queue, when no more urgent ones come: each takes the slot
// that is free first.
func (c *Controller) earliestStart(ahead int, now time.Time) time.Duration {
	freeAt := make([]time.Duration, 0, max(c.limit, len(c.permits)))
	for t := range c.permits {
		freeAt = append(freeAt, max(overdueRemaining, t.expectedEnd.Sub(now)))
	}
	for len(freeAt) < c.limit {
		freeAt = append(freeAt, 0)
	}
	sort.Slice(freeAt, func(i, j int) bool { return freeAt[i] < freeAt[j] })
	// With a limit below the number that runs, the first to leave free no slot.
	freeAt = freeAt[len(freeAt)-max(1, c.limit):]
	occupancy := c.occupancyFactor(now)
	for _, w := range c.queue[:ahead] {
		next := freeAt[0] + time.Duration(float64(w.req.ServiceTime)*occupancy)
		i := sort.Search(len(freeAt), func(i int) bool { return freeAt[i] > next })
		copy(freeAt, freeAt[1:i])
		freeAt[i-1] = next
	}
	return freeAt[0]
}

// stretch is how much longer than its work a request keeps a slot from others.
func (c *Controller) occupancyFactor(now time.Time) float64 {
	return c.currentUpstreamSlowdown(now) / (1 - min(c.disturbedShare, maxDisturbedShare))
}

func (c *Controller) enqueue(w *waiter, now time.Time) {
	i := c.position(w.req, now)
	c.queue = append(c.queue, nil)
	copy(c.queue[i+1:], c.queue[i:])
	c.queue[i] = w
}

// dispatch gives free slots to the queue. A request for which the host is too
// slow at present stays, and others may pass it.
func (c *Controller) dispatch(now time.Time) {
	c.sortQueue(now)
	keep := c.queue[:0]
	for i, w := range c.queue {
		if c.running >= c.limit {
			keep = append(keep, c.queue[i:]...)
			break
		}
		switch c.decide(now, w.req) {
		case keepWaiting:
			// The host has stayed slow for longer than was expected.
			if c.alternativeIsBetter(now, 0, w.req) {
				w.result <- Slower
				continue
			}
			keep = append(keep, w)
		case reject:
			w.result <- Full
		case startNow:
			if _, ok := c.checkWarmup(now); !ok {
				w.result <- Warming
				continue
			}
			c.admit(now, w)
			w.result <- Admitted
		}
	}
	clear(c.queue[len(keep):])
	c.queue = keep
	if c.running >= c.limit || len(c.queue) > c.limit {
		c.rejectLate(now)
	}
}

// givesUp reports whether a request that would be finished after d, and after
// soonest if no more urgent ones come, is refused instead. With more requests
// waiting than run, each late answer would make another one late: those that miss
// their objective are refused then.
func (c *Controller) tooLate(now time.Time, finish, earliest time.Duration, req *Request) bool {
	return now.Add(earliest).After(req.Deadline) || len(c.queue) > c.limit && now.Add(finish).After(req.Objective)
}

// prune refuses the waiting requests that can no longer be finished in time,
// because more urgent ones have come or those that run take longer. To hold them
// to their deadline would help nobody.
func (c *Controller) rejectLate(now time.Time) {
	for i := 0; i < len(c.queue); {
		w := c.queue[i]
		serviceTime := time.Duration(float64(w.req.ServiceTime) * c.currentUpstreamSlowdown(now))
		if !c.tooLate(now, c.drainTime(i, now)+serviceTime, c.earliestStart(i, now)+serviceTime, w.req) {
			i++
			continue
		}
		w.result <- Full
		c.queue = append(c.queue[:i], c.queue[i+1:]...)
	}
}

// verdict says what to do with a request for which there is a slot.
type decision uint8

const (
	startNow decision = iota
	keepWaiting
	reject
)

// verdict decides on the pace of the host: work that starts on a disturbed host
// is slow to its end.
func (c *Controller) decide(now time.Time, req *Request) decision {
	slowdown := c.currentHostSlowdown(now)
	serviceTime := time.Duration(float64(req.ServiceTime) * c.currentUpstreamSlowdown(now))
	finishDisturbed := now.Add(time.Duration(float64(serviceTime) * slowdown))
	finishQuiet := now.Add(serviceTime)
	switch {
	case now.Add(req.ServiceTime / 2).After(req.Deadline):
		return reject // even a fast run would be too late
	case !placement.Disturbed(slowdown) || finishDisturbed.Before(req.Objective):
		return startNow
	case finishQuiet.Before(req.Objective):
		return keepWaiting // it can still be in time when the host recovers
	case finishDisturbed.Before(req.Deadline):
		return startNow
	}
	return keepWaiting
}
