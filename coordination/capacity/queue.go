package capacity

import (
	"sort"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/placement"
)

// waiter is a request in the queue.
type waiter struct {
	ask    *Request
	ticket *Permit     // set before Admitted is sent
	result chan Reason // has room for one
}

func (w *waiter) ended(r Reason) (*Permit, Rejection) {
	if r == Admitted {
		return w.ticket, Rejection{}
	}
	return nil, Rejection{Reason: r}
}

// expect returns the probability that a request which starts after wait is late,
// and when it is finished in the mean.
func (g *Controller) expect(now time.Time, wait time.Duration, ask *Request) (miss float64, finish time.Duration) {
	return placement.EstimateCompletion(now, wait, ask.ServiceTime, g.currentFactor(now)*g.slowness(now), ask.Objective, ask.Deadline)
}

// betterElsewhere reports whether the entry node of a request knows a better
// upstream than this one.
func (g *Controller) betterElsewhere(now time.Time, wait time.Duration, ask *Request) bool {
	if ask.AlternativeCost <= 0 {
		return false
	}
	miss, _ := g.expect(now, wait, ask)
	return 1-(1-miss)*(1-g.failShare(now)) > ask.AlternativeCost+bounceMargin
}

// ahead counts the waiting requests that go before ask.
func (g *Controller) ahead(ask *Request, now time.Time) int {
	return sort.Search(len(g.queue), func(i int) bool { return g.before(ask, g.queue[i].ask, now) })
}

// before orders the queue: first the requests that can still meet their
// objective, then by priority, then by deadline. A request that is late anyway
// must not make the next one late too.
func (g *Controller) before(a, b *Request, now time.Time) bool {
	if late := g.late(a, now); late != g.late(b, now) {
		return !late
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Deadline.Before(b.Deadline)
}

// late reports whether a request would miss its objective if it started now.
func (g *Controller) late(a *Request, now time.Time) bool {
	return now.Add(time.Duration(float64(a.ServiceTime) * g.slowness(now))).After(a.Objective)
}

// arrange brings the queue into order again: requests become late in it.
func (g *Controller) arrange(now time.Time) {
	sort.SliceStable(g.queue, func(i, j int) bool { return g.before(g.queue[i].ask, g.queue[j].ask, now) })
}

// drain returns how long it takes until the slots have worked off what runs and so
// many of the requests that wait. It is the cautious estimate of a wait: more
// urgent requests may still come. Nothing starts while the host is disturbed.
func (g *Controller) drain(ahead int, now time.Time) time.Duration {
	var left, work time.Duration
	for t := range g.tickets {
		left += max(0, t.ends.Sub(now))
	}
	for _, w := range g.queue[:ahead] {
		work += w.ask.ServiceTime
	}
	work = time.Duration(float64(work) * g.stretch(now))
	return (left + work) / time.Duration(max(1, g.limit))
}

// first returns how long it takes until a slot is free for a request with so many
// others before it in the queue, when no more urgent ones come: each takes the slot
// that is free first.
func (g *Controller) first(ahead int, now time.Time) time.Duration {
	free := make([]time.Duration, 0, max(g.limit, len(g.tickets)))
	for t := range g.tickets {
		free = append(free, max(overdue, t.ends.Sub(now)))
	}
	for len(free) < g.limit {
		free = append(free, 0)
	}
	sort.Slice(free, func(i, j int) bool { return free[i] < free[j] })
	// With a limit below the number that runs, the first to leave free no slot.
	free = free[len(free)-max(1, g.limit):]
	stretch := g.stretch(now)
	for _, w := range g.queue[:ahead] {
		next := free[0] + time.Duration(float64(w.ask.ServiceTime)*stretch)
		i := sort.Search(len(free), func(i int) bool { return free[i] > next })
		copy(free, free[1:i])
		free[i-1] = next
	}
	return free[0]
}

// stretch is how much longer than its work a request keeps a slot from others.
func (g *Controller) stretch(now time.Time) float64 {
	return g.slowness(now) / (1 - min(g.share, maxShare))
}

func (g *Controller) insert(w *waiter, now time.Time) {
	i := g.ahead(w.ask, now)
	g.queue = append(g.queue, nil)
	copy(g.queue[i+1:], g.queue[i:])
	g.queue[i] = w
}

// dispatch gives free slots to the queue. A request for which the host is too
// slow at present stays, and others may pass it.
func (g *Controller) dispatch(now time.Time) {
	g.arrange(now)
	keep := g.queue[:0]
	for i, w := range g.queue {
		if g.running >= g.limit {
			keep = append(keep, g.queue[i:]...)
			break
		}
		switch g.verdict(now, w.ask) {
		case waits:
			// The host has stayed slow for longer than was expected.
			if g.betterElsewhere(now, 0, w.ask) {
				w.result <- Slower
				continue
			}
			keep = append(keep, w)
		case hopeless:
			w.result <- Full
		case starts:
			if _, ok := g.warming(now); !ok {
				w.result <- Warming
				continue
			}
			g.admit(now, w)
			w.result <- Admitted
		}
	}
	clear(g.queue[len(keep):])
	g.queue = keep
	if g.running >= g.limit || len(g.queue) > g.limit {
		g.prune(now)
	}
}

// givesUp reports whether a request that would be finished after d, and after
// soonest if no more urgent ones come, is refused instead. With more requests
// waiting than run, each late answer would make another one late: those that miss
// their objective are refused then.
func (g *Controller) givesUp(now time.Time, d, soonest time.Duration, ask *Request) bool {
	return now.Add(soonest).After(ask.Deadline) || len(g.queue) > g.limit && now.Add(d).After(ask.Objective)
}

// prune refuses the waiting requests that can no longer be finished in time,
// because more urgent ones have come or those that run take longer. To hold them
// to their deadline would help nobody.
func (g *Controller) prune(now time.Time) {
	for i := 0; i < len(g.queue); {
		w := g.queue[i]
		work := time.Duration(float64(w.ask.ServiceTime) * g.slowness(now))
		if !g.givesUp(now, g.drain(i, now)+work, g.first(i, now)+work, w.ask) {
			i++
			continue
		}
		w.result <- Full
		g.queue = append(g.queue[:i], g.queue[i+1:]...)
	}
}

// verdict says what to do with a request for which there is a slot.
type verdict uint8

const (
	starts verdict = iota
	waits
	hopeless
)

// verdict decides on the pace of the host: work that starts on a disturbed host
// is slow to its end.
func (g *Controller) verdict(now time.Time, ask *Request) verdict {
	factor := g.currentFactor(now)
	work := time.Duration(float64(ask.ServiceTime) * g.slowness(now))
	slow := now.Add(time.Duration(float64(work) * factor))
	quiet := now.Add(work)
	switch {
	case now.Add(ask.ServiceTime / 2).After(ask.Deadline):
		return hopeless // even a fast run would be too late
	case !placement.Disturbed(factor) || slow.Before(ask.Objective):
		return starts
	case quiet.Before(ask.Objective):
		return waits // it can still be in time when the host recovers
	case slow.Before(ask.Deadline):
		return starts
	}
	return waits
}
