package capacity

import (
	"context"
	"math"
	"sort"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/placement"
)

// Gate admits requests to one upstream. It is safe for concurrent use.
type Gate struct {
	now func() time.Time

	mu       sync.Mutex
	up       Upstream
	open     bool
	running  int
	queue    []*waiter
	admitted []time.Time // to a cold upstream, within rateWindow
	knee     knee
	limit    int     // of running requests, at most the slots
	factor   float64 // reported pace of the host
	factorAt time.Time
	share    float64 // of time in which the host is disturbed
	slow     float64 // what requests take beyond what is expected of them
	slowAt   time.Time
	tickets  map[*Ticket]struct{}
	failing  float64
	failAt   time.Time
}

// waiter is a request in the queue.
type waiter struct {
	ask    *Ask
	ticket *Ticket     // set before Admitted is sent
	result chan Reason // has room for one
}

// Ticket is the right to use a slot until Leave.
type Ticket struct {
	g *Gate
	// ends is when the request is expected to leave.
	ends time.Time
	once sync.Once
}

// New returns a closed gate.
func New(now func() time.Time) *Gate {
	return &Gate{now: now, factor: 1, slow: 1, tickets: make(map[*Ticket]struct{})}
}

// Open lets requests in on the terms of the upstream.
func (g *Gate) Open(u Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.up, g.open = u, true
	g.limit = g.knee.limit(u.Slots, now)
	g.dispatch(now)
}

// Close refuses new requests and those that wait.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	for _, w := range g.queue {
		w.result <- Closed
	}
	g.queue = nil
}

// Speed takes a report of how much longer than usual work takes with so many
// requests running.
func (g *Gate) Speed(factor float64, running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if !g.factorAt.IsZero() {
		// The state since the last report is taken to be the one reported then.
		weight := 1 - math.Exp(-float64(now.Sub(g.factorAt))/float64(shareTime))
		was := 0.0
		if placement.Disturbed(g.factor) {
			was = 1
		}
		g.share += weight * (was - g.share)
	}
	g.factor, g.factorAt = factor, now
	g.knee.learn(running, factor, now)
	g.limit = g.knee.limit(g.up.Slots, now)
	g.dispatch(now)
}

// Ended takes the outcome of a request that ran. Expected is what its work was
// thought to take on an undisturbed host, 0 when that is not known, and took what
// it took at that pace.
func (g *Gate) Ended(expected, took time.Duration, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if !failed && expected > 0 {
		cur := g.slowness(now)
		ratio := float64(took+slowSlack) / float64(expected+slowSlack)
		g.slow, g.slowAt = cur+slowGain*(min(ratio, maxSlow)-cur), now
	}
	target := 0.0
	if failed {
		target = 1
	}
	cur := g.failShare(now)
	g.failing, g.failAt = cur+failGain*(target-cur), now
}

func (g *Gate) failShare(now time.Time) float64 {
	return g.failing * math.Exp(-float64(now.Sub(g.failAt))/float64(failTime))
}

// slowness is how much longer requests take than is expected of them, for causes
// that the pace of the host does not show. It is forgotten without requests.
func (g *Gate) slowness(now time.Time) float64 {
	return max(1, 1+(g.slow-1)*math.Exp(-float64(now.Sub(g.slowAt))/float64(slowTime)))
}

// currentFactor is the last reported factor, which fades to the usual speed.
func (g *Gate) currentFactor(now time.Time) float64 {
	age := now.Sub(g.factorAt) - factorTime
	if age <= 0 {
		return g.factor
	}
	return 1 + (g.factor-1)*math.Exp(-float64(age)/float64(factorTime))
}

// Load returns the load of the upstream as this gate knows it.
func (g *Gate) Load() placement.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	return placement.Load{
		Running: g.running, Waiting: len(g.queue), Slots: g.limit,
		Factor: g.currentFactor(now) * g.slowness(now), Failing: g.failShare(now), Cold: now.Before(g.up.ColdUntil),
	}
}

// Idle reports whether no request runs or waits.
func (g *Gate) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running == 0 && len(g.queue) == 0
}

// Enter admits a request, now or after a wait in the queue, or refuses it. A
// request that was refused has not reached the upstream.
func (g *Gate) Enter(ctx context.Context, ask *Ask) (*Ticket, Refusal) {
	g.mu.Lock()
	now := g.now()
	g.arrange(now)
	if r := g.refuse(now, ask); r.Reason != Admitted {
		g.mu.Unlock()
		return nil, r
	}
	w := &waiter{ask: ask, result: make(chan Reason, 1)}
	g.insert(w, now)
	g.dispatch(now)
	g.mu.Unlock()
	select {
	case r := <-w.result:
		return w.ended(r)
	default:
		return g.wait(ctx, w)
	}
}

func (g *Gate) wait(ctx context.Context, w *waiter) (*Ticket, Refusal) {
	timer := time.NewTimer(w.ask.Deadline.Sub(g.now()))
	defer timer.Stop()
	select {
	case r := <-w.result:
		return w.ended(r)
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, q := range g.queue {
		if q == w {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return nil, Refusal{Reason: Expired}
		}
	}
	// The decision fell at the same moment.
	return w.ended(<-w.result)
}

func (w *waiter) ended(r Reason) (*Ticket, Refusal) {
	if r == Admitted {
		return w.ticket, Refusal{}
	}
	return nil, Refusal{Reason: r}
}

// refuse returns why a request may not enter, before a slot is looked for.
func (g *Gate) refuse(now time.Time, ask *Ask) Refusal {
	switch {
	case !g.open || g.up.Slots == 0:
		return Refusal{Reason: Closed}
	case len(g.queue) >= maxWaiting:
		return Refusal{Reason: Full, After: g.drain(len(g.queue), now)}
	}
	if after, ok := g.warming(now); !ok {
		return Refusal{Reason: Warming, After: after}
	}
	wait, first := time.Duration(0), time.Duration(0)
	if g.running >= g.limit {
		ahead := g.ahead(ask, now)
		wait, first = g.drain(ahead, now), g.first(ahead, now)
	}
	if g.betterElsewhere(now, wait, ask) {
		return Refusal{Reason: Slower}
	}
	margin := func(wait time.Duration) time.Duration {
		_, finish := g.expect(now, wait, ask)
		return finish + finish/waitMargin
	}
	if wait > 0 && g.givesUp(now, margin(wait), margin(first), ask) {
		return Refusal{Reason: Full, After: first}
	}
	return Refusal{}
}

// expect returns the probability that a request which starts after wait is late,
// and when it is finished in the mean.
func (g *Gate) expect(now time.Time, wait time.Duration, ask *Ask) (miss float64, finish time.Duration) {
	return placement.Expect(now, wait, ask.Work, g.currentFactor(now)*g.slowness(now), ask.Objective, ask.Deadline)
}

// betterElsewhere reports whether the entry node of a request knows a better
// upstream than this one.
func (g *Gate) betterElsewhere(now time.Time, wait time.Duration, ask *Ask) bool {
	if ask.Elsewhere <= 0 {
		return false
	}
	miss, _ := g.expect(now, wait, ask)
	return 1-(1-miss)*(1-g.failShare(now)) > ask.Elsewhere+bounceMargin
}

// ahead counts the waiting requests that go before ask.
func (g *Gate) ahead(ask *Ask, now time.Time) int {
	return sort.Search(len(g.queue), func(i int) bool { return g.before(ask, g.queue[i].ask, now) })
}

// before orders the queue: first the requests that can still meet their
// objective, then by priority, then by deadline. A request that is late anyway
// must not make the next one late too.
func (g *Gate) before(a, b *Ask, now time.Time) bool {
	if late := g.late(a, now); late != g.late(b, now) {
		return !late
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Deadline.Before(b.Deadline)
}

// late reports whether a request would miss its objective if it started now.
func (g *Gate) late(a *Ask, now time.Time) bool {
	return now.Add(time.Duration(float64(a.Work) * g.slowness(now))).After(a.Objective)
}

// arrange brings the queue into order again: requests become late in it.
func (g *Gate) arrange(now time.Time) {
	sort.SliceStable(g.queue, func(i, j int) bool { return g.before(g.queue[i].ask, g.queue[j].ask, now) })
}

// drain returns how long it takes until the slots have worked off what runs and so
// many of the requests that wait. It is the cautious estimate of a wait: more
// urgent requests may still come. Nothing starts while the host is disturbed.
func (g *Gate) drain(ahead int, now time.Time) time.Duration {
	var left, work time.Duration
	for t := range g.tickets {
		left += max(0, t.ends.Sub(now))
	}
	for _, w := range g.queue[:ahead] {
		work += w.ask.Work
	}
	work = time.Duration(float64(work) * g.stretch(now))
	return (left + work) / time.Duration(max(1, g.limit))
}

// first returns how long it takes until a slot is free for a request with so many
// others before it in the queue, when no more urgent ones come: each takes the slot
// that is free first.
func (g *Gate) first(ahead int, now time.Time) time.Duration {
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
		next := free[0] + time.Duration(float64(w.ask.Work)*stretch)
		i := sort.Search(len(free), func(i int) bool { return free[i] > next })
		copy(free, free[1:i])
		free[i-1] = next
	}
	return free[0]
}

// stretch is how much longer than its work a request keeps a slot from others.
func (g *Gate) stretch(now time.Time) float64 {
	return g.slowness(now) / (1 - min(g.share, maxShare))
}

func (g *Gate) insert(w *waiter, now time.Time) {
	i := g.ahead(w.ask, now)
	g.queue = append(g.queue, nil)
	copy(g.queue[i+1:], g.queue[i:])
	g.queue[i] = w
}

// warming reports whether a cold upstream bears another request now, and
// otherwise when.
func (g *Gate) warming(now time.Time) (time.Duration, bool) {
	if !now.Before(g.up.ColdUntil) {
		return 0, true
	}
	for len(g.admitted) > 0 && now.Sub(g.admitted[0]) >= rateWindow {
		g.admitted = g.admitted[1:]
	}
	if len(g.admitted) < max(1, int(g.up.WarmRate)) {
		return 0, true
	}
	return rateWindow - now.Sub(g.admitted[0]), false
}

func (g *Gate) admit(now time.Time, w *waiter) {
	g.running++
	w.ticket = &Ticket{g: g, ends: now.Add(time.Duration(float64(w.ask.Work) * g.currentFactor(now) * g.slowness(now)))}
	g.tickets[w.ticket] = struct{}{}
	// Counted also while warm: the upstream may turn out to have been cold.
	g.admitted = append(g.admitted, now)
	for len(g.admitted) > 0 && now.Sub(g.admitted[0]) >= rateWindow {
		g.admitted = g.admitted[1:]
	}
}

// dispatch gives free slots to the queue. A request for which the host is too
// slow at present stays, and others may pass it.
func (g *Gate) dispatch(now time.Time) {
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
func (g *Gate) givesUp(now time.Time, d, soonest time.Duration, ask *Ask) bool {
	return now.Add(soonest).After(ask.Deadline) || len(g.queue) > g.limit && now.Add(d).After(ask.Objective)
}

// prune refuses the waiting requests that can no longer be finished in time,
// because more urgent ones have come or those that run take longer. To hold them
// to their deadline would help nobody.
func (g *Gate) prune(now time.Time) {
	for i := 0; i < len(g.queue); {
		w := g.queue[i]
		work := time.Duration(float64(w.ask.Work) * g.slowness(now))
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
func (g *Gate) verdict(now time.Time, ask *Ask) verdict {
	factor := g.currentFactor(now)
	work := time.Duration(float64(ask.Work) * g.slowness(now))
	slow := now.Add(time.Duration(float64(work) * factor))
	quiet := now.Add(work)
	switch {
	case now.Add(ask.Work / 2).After(ask.Deadline):
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

// Leave gives the slot back.
func (t *Ticket) Leave() {
	t.once.Do(func() {
		t.g.mu.Lock()
		defer t.g.mu.Unlock()
		t.g.running--
		delete(t.g.tickets, t)
		t.g.dispatch(t.g.now())
	})
}
