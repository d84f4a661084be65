package capacity

import (
	"sort"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/placement"
)

// waiter is a queued request.
type waiter struct {
	req    *Request
	permit *Permit        // set before Admitted is sent to result
	result chan Rejection // buffered, so that the sender does not block
	level  int            // place of the client account among equal requests, see shareTable.level
}

func (w *waiter) outcome(r Rejection) (*Permit, Rejection) {
	if r.Reason == Admitted {
		return w.permit, Rejection{}
	}
	return nil, r
}

// estimate returns the probability that a request that starts after wait finishes too
// late, and its mean time to finish.
func (c *Controller) estimate(now time.Time, wait time.Duration, req *Request) (miss float64, finish time.Duration) {
	return placement.EstimateCompletion(now, wait, req.ServiceTime, c.currentHostSlowdown(now)*c.currentUpstreamSlowdown(now), req.Objective, req.Deadline)
}

// alternativeIsBetter reports whether the expected cost of a request is lower at the best
// other upstream, by more than rerouteMargin.
func (c *Controller) alternativeIsBetter(now time.Time, wait time.Duration, req *Request) bool {
	if req.AlternativeCost <= 0 {
		return false
	}
	miss, _ := c.estimate(now, wait, req)
	cost := 1 - (1-miss)*(1-c.currentFailureRate(now))
	if !req.Repeatable {
		cost += c.integrity.Estimate().Rate(now)
	}
	return cost > req.AlternativeCost+rerouteMargin
}

// position returns the number of queued requests that go before w.
func (c *Controller) position(w *waiter, now time.Time) int {
	return sort.Search(len(c.queue), func(i int) bool { return c.before(w, c.queue[i], now) })
}

// before orders the queue: requests that can still meet their objective come first, then
// the order is by priority, then internal calls go first, then the order is by the recent work of the
// client account, then callers that return go first, and then the order is by deadline. Requests that miss their objective in any case come last, so that they do not delay others past theirs.
func (c *Controller) before(a, b *waiter, now time.Time) bool {
	if late := c.missesObjective(a.req, now); late != c.missesObjective(b.req, now) {
		return !late
	}
	switch {
	case a.req.Priority != b.req.Priority:
		return a.req.Priority < b.req.Priority
	case a.req.Internal != b.req.Internal:
		return a.req.Internal
	case a.level != b.level:
		return a.level < b.level
	case a.req.Returning != b.req.Returning:
		return a.req.Returning
	}
	return a.req.Deadline.Before(b.req.Deadline)
}

// missesObjective reports whether a request would miss its objective if it started now on
// an undisturbed host.
func (c *Controller) missesObjective(req *Request, now time.Time) bool {
	return now.Add(time.Duration(float64(req.ServiceTime) * c.currentUpstreamSlowdown(now))).After(req.Objective)
}

// sortQueue restores the order of the queue, in which requests become late over time and client
// accounts get work.
func (c *Controller) sortQueue(now time.Time) { c.sortWaiters(c.queue, now) }

func (c *Controller) sortWaiters(list []*waiter, now time.Time) {
	c.shares.setLevels(list, now)
	sort.SliceStable(list, func(i, j int) bool { return c.before(list[i], list[j], now) })
}

// drainTime returns how long the slots need to finish the running requests and the first
// ahead requests of the queue. It is the conservative estimate of the wait, because more
// urgent requests may still arrive.
func (c *Controller) drainTime(ahead int, now time.Time) time.Duration {
	var remaining, queued time.Duration
	for p := range c.permits {
		remaining += max(0, p.expectedEnd.Sub(now))
	}
	for _, w := range c.queue[:ahead] {
		queued += w.req.ServiceTime
	}
	queued = time.Duration(float64(queued) * c.occupancyFactor(now))
	return (remaining + queued) / time.Duration(max(1, c.limit))
}

// earliestStart returns how long it takes until a slot is free for a request with ahead
// others before it in the queue, if no more urgent requests arrive. Each of those takes
// the slot that is free first.
func (c *Controller) earliestStart(ahead int, now time.Time) time.Duration {
	freeAt := make([]time.Duration, 0, max(c.limit, len(c.permits)))
	for p := range c.permits {
		freeAt = append(freeAt, max(overdueRemaining, p.expectedEnd.Sub(now)))
	}
	for len(freeAt) < c.limit {
		freeAt = append(freeAt, 0)
	}
	sort.Slice(freeAt, func(i, j int) bool { return freeAt[i] < freeAt[j] })
	// When more requests run than the limit allows, the first to finish free no slot.
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

// occupancyFactor returns by which factor a queued request blocks a slot for longer than
// its service time. It assumes that no request starts while the host is disturbed, so the
// slots are of no use for that share of the time.
func (c *Controller) occupancyFactor(now time.Time) float64 {
	return c.currentUpstreamSlowdown(now) / (1 - min(c.disturbedShare, maxDisturbedShare))
}

func (c *Controller) enqueue(w *waiter, now time.Time) {
	i := c.position(w, now)
	c.queue = append(c.queue, nil)
	copy(c.queue[i+1:], c.queue[i:])
	c.queue[i] = w
}

// queueIsLong reports whether more requests are queued than the limit, so that each one that is late
// makes others late.
func (c *Controller) queueIsLong() bool { return len(c.queue) > c.limit }

// displaceLast rejects the last request of a full queue if a new request of a client account goes before
// it, and reports whether it did.
func (c *Controller) displaceLast(w *waiter, now time.Time) bool {
	last := len(c.queue) - 1
	if w.req.Account == "" || !c.before(w, c.queue[last], now) {
		return false
	}
	c.queue[last].result <- Rejection{Reason: Full, RetryAfter: c.promise(c.drainTime(last, now), c.queue[last], now)}
	c.queue[last] = nil
	c.queue = c.queue[:last]
	return true
}

// processQueue admits queued requests while slots are free. A request that is better off to
// wait for its host to recover stays in the queue, and others may overtake it.
func (c *Controller) processQueue(now time.Time) {
	c.sortQueue(now)
	kept := c.queue[:0]
process:
	for i, w := range c.queue {
		if c.running >= c.limit {
			kept = append(kept, c.queue[i:]...)
			break
		}
		switch c.decide(now, w.req) {
		case keepWaiting:
			// The host has been disturbed for longer than expected.
			if c.alternativeIsBetter(now, 0, w.req) {
				w.result <- Rejection{Reason: Slower}
				continue
			}
			kept = append(kept, w)
		case reject:
			w.result <- Rejection{Reason: Full, RetryAfter: c.promise(c.drainTime(len(kept), now), w, now)}
		case startNow:
			if after := c.rateWait(0, now); after > 0 {
				kept = append(kept, c.queue[i:]...)
				c.wakeAfter(after, now)
				break process
			}
			c.admit(now, w)
			w.result <- Rejection{Reason: Admitted}
			if w.req.Account != "" {
				c.sortWaiters(c.queue[i+1:], now) // the account has more work now
			}
		}
	}
	clear(c.queue[len(kept):])
	c.queue = kept
	if c.running >= c.limit || c.queueIsLong() || c.rateWait(len(c.queue), now) > 0 {
		c.rejectLate(now)
	}
}

// tooLate reports whether a request is rejected because it would finish too late: after
// finish, or after earliest if no more urgent requests arrive. It may always use its whole
// deadline, except when more requests are queued than the limit: each late response would
// then make another one late, so a request that would miss its objective is rejected.
func (c *Controller) tooLate(now time.Time, finish, earliest time.Duration, req *Request) bool {
	return now.Add(earliest).After(req.Deadline) || c.queueIsLong() && now.Add(finish).After(req.Objective)
}

// rejectLate rejects the queued requests that can no longer finish in time, because more
// urgent requests have arrived or the running requests take longer than expected. Holding
// them until their deadline would be of no use to their callers.
func (c *Controller) rejectLate(now time.Time) {
	for i := 0; i < len(c.queue); {
		w := c.queue[i]
		serviceTime := time.Duration(float64(w.req.ServiceTime) * c.currentUpstreamSlowdown(now))
		rateWait := c.rateWait(i, now)
		earliest := max(c.earliestStart(i, now), rateWait)
		if !c.tooLate(now, max(c.drainTime(i, now), rateWait)+serviceTime, earliest+serviceTime, w.req) {
			i++
			continue
		}
		c.shares.refuse(w.req, now)
		w.result <- Rejection{Reason: Full, RetryAfter: c.promise(earliest, w, now)}
		c.queue = append(c.queue[:i], c.queue[i+1:]...)
	}
}

// decision says what to do with a request for which a slot is free.
type decision uint8

const (
	startNow decision = iota
	keepWaiting
	reject
)

// decide returns the decision for a request. The slowdown that the host has when the request
// starts applies to its whole service time.
func (c *Controller) decide(now time.Time, req *Request) decision {
	slowdown := c.currentHostSlowdown(now)
	serviceTime := time.Duration(float64(req.ServiceTime) * c.currentUpstreamSlowdown(now))
	finishDisturbed := now.Add(time.Duration(float64(serviceTime) * slowdown))
	finishQuiet := now.Add(serviceTime)
	switch {
	case now.Add(req.ServiceTime / 2).After(req.Deadline):
		return reject // too late even if it ran in half of its service time
	case !placement.Disturbed(slowdown) || finishDisturbed.Before(req.Objective):
		return startNow
	case finishQuiet.Before(req.Objective):
		return keepWaiting // it can still meet its objective when the host recovers
	case finishDisturbed.Before(req.Deadline):
		return startNow
	}
	return keepWaiting
}
