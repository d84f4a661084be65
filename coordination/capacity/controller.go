package capacity

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/integrity"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
)

// Controller is the admission controller of one upstream. It is safe for concurrent use.
type Controller struct {
	now func() time.Time

	mu                 sync.Mutex
	upstream           Upstream
	open               bool
	running            int
	queue              []*waiter
	warmup             tokenBucket // requests to a cold upstream
	rateLimited        bool        // the upstream has stated a rate limit
	rate               tokenBucket // requests under the stated rate limit
	wakeAt             time.Time   // when the queue is processed for the next token of warmup or rate
	estimator          limitEstimator
	limit              int     // largest number of running requests, at most the slots
	hostSlowdown       float64 // last reported slowdown of the host
	hostSlowdownAt     time.Time
	disturbedShare     float64 // moving average of the share of time in which the host is disturbed
	upstreamSlowdown   float64 // moving average of the actual over the expected service time
	upstreamSlowdownAt time.Time
	permits            map[*Permit]struct{}
	failureRate        float64
	failureRateAt      time.Time
	integrity          integrity.Record
	shares             shareTable
	idle               idleMeter
	promises           promiseTable
}

// Permit is the right to use a slot until Release.
type Permit struct {
	c *Controller
	// expectedEnd is when the request is expected to finish.
	expectedEnd time.Time
	once        sync.Once
}

// New returns a closed controller that reads the time from now.
func New(now func() time.Time) *Controller {
	return &Controller{now: now, hostSlowdown: 1, upstreamSlowdown: 1, permits: make(map[*Permit]struct{}), shares: newShareTable(), promises: newPromiseTable()}
}

// Open admits requests within the limits of the upstream. It is called again when they
// change.
func (c *Controller) Open(u Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.upstream, c.open = u, true
	c.integrity.Begin(u.ID, u.Incarnation)
	c.warmup.setLimits(u.WarmupRate, u.WarmupBurst, now)
	c.limit = c.estimator.limit(u.Slots, now)
	c.processQueue(now)
}

// SetRateLimit limits the requests per second, or ends the limit when limited is false.
func (c *Controller) SetRateLimit(perSecond float64, limited bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.rateLimited = limited
	if limited {
		c.rate.setLimits(perSecond, perSecond*rateLimitBurst.Seconds(), now)
	} else {
		c.rate = tokenBucket{}
	}
	c.processQueue(now)
}

// Close rejects new and queued requests. Running requests keep their permits.
func (c *Controller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = false
	for _, w := range c.queue {
		w.result <- Rejection{Reason: Closed}
	}
	c.queue = nil
}

// ReportSlowdown records by which factor requests currently take longer than usual on
// the host, and the number of requests that the upstream ran at that time.
func (c *Controller) ReportSlowdown(slowdown float64, running int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if !c.hostSlowdownAt.IsZero() {
		// The last reported state is assumed to have lasted until now.
		weight := 1 - math.Exp(-float64(now.Sub(c.hostSlowdownAt))/float64(disturbedWindow))
		disturbed := 0.0
		if placement.Disturbed(c.hostSlowdown) {
			disturbed = 1
		}
		c.disturbedShare += weight * (disturbed - c.disturbedShare)
	}
	c.hostSlowdown, c.hostSlowdownAt = slowdown, now
	c.estimator.observe(running, slowdown, now)
	c.limit = c.estimator.limit(c.upstream.Slots, now)
	c.processQueue(now)
}

// RecordResult records the result of a request that ran. expected is the service time
// that was expected on an undisturbed host, 0 when it is unknown, and took is the actual
// service time scaled to an undisturbed host.
func (c *Controller) RecordResult(expected, took time.Duration, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if !failed && expected > 0 {
		cur := c.currentUpstreamSlowdown(now)
		ratio := float64(took+latencySlack) / float64(expected+latencySlack)
		c.upstreamSlowdown, c.upstreamSlowdownAt = cur+upstreamSlowdownWeight*(min(ratio, maxUpstreamSlowdown)-cur), now
	}
	target := 0.0
	if failed {
		target = 1
	}
	cur := c.currentFailureRate(now)
	c.failureRate, c.failureRateAt = cur+failureWeight*(target-cur), now
}

// RecordIntegrity records whether a response of an instance of the upstream was malformed. It reports
// whether the upstream has entered or left the reserve or has had a relapse.
func (c *Controller) RecordIntegrity(id string, malformed bool) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	before := c.integrity.Estimate()
	c.integrity.RecordResponse(id, malformed, now)
	after := c.integrity.Estimate()
	return before.Reserved(now) != after.Reserved(now) || before.Relapses < after.Relapses
}

// MergeIntegrity takes over what another node knows of the upstream, and reports whether this
// controller knew less.
func (c *Controller) MergeIntegrity(e integrity.Estimate) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.integrity.Merge(e)
}

// Integrity returns the estimate of the malformed responses of the upstream.
func (c *Controller) Integrity() integrity.Estimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.integrity.Estimate()
}

func (c *Controller) currentFailureRate(now time.Time) float64 {
	return c.failureRate * math.Exp(-float64(now.Sub(c.failureRateAt))/float64(failureDecay))
}

// currentUpstreamSlowdown returns by which factor requests take longer than expected for
// reasons other than the reported slowdown of the host. It decays to 1 without requests.
func (c *Controller) currentUpstreamSlowdown(now time.Time) float64 {
	return max(1, 1+(c.upstreamSlowdown-1)*math.Exp(-float64(now.Sub(c.upstreamSlowdownAt))/float64(upstreamSlowdownDecay)))
}

// currentHostSlowdown returns the last reported slowdown of the host, which decays to 1
// as the report ages.
func (c *Controller) currentHostSlowdown(now time.Time) float64 {
	age := now.Sub(c.hostSlowdownAt) - hostSlowdownDecay
	if age <= 0 {
		return c.hostSlowdown
	}
	return 1 + (c.hostSlowdown-1)*math.Exp(-float64(age)/float64(hostSlowdownDecay))
}

// Load returns the current load of the upstream.
func (c *Controller) Load() placement.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	return placement.Load{
		Running: c.running, Waiting: len(c.queue), Slots: c.limit,
		Slowdown: c.currentHostSlowdown(now) * c.currentUpstreamSlowdown(now), FailureRate: c.currentFailureRate(now), Cold: now.Before(c.upstream.ColdUntil),
		RateWait: c.limitWait(len(c.queue), now),
	}
}

// Idle reports whether no request is running or queued.
func (c *Controller) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running == 0 && len(c.queue) == 0
}

// Acquire admits a request, at once or after a wait in the queue, or rejects it with a nil
// Permit. A rejected request has not reached the upstream.
func (c *Controller) Acquire(ctx context.Context, req *Request) (*Permit, Rejection) {
	c.mu.Lock()
	now := c.now()
	w := &waiter{req: req, result: make(chan Rejection, 1)}
	c.shares.ask(req, now)
	refusing := c.shares.refuses(req.Priority, now)
	r := c.tryQueue(w, now)
	if r.Reason == Full && !refusing && req.Account != "" {
		r = c.tryQueue(w, now) // from now on, the order is that of the accounts
	}
	if r.Reason != Admitted {
		r.RetryAfter = c.promise(r.RetryAfter, w, now)
		c.mu.Unlock()
		return nil, r
	}
	c.enqueue(w, now)
	c.processQueue(now)
	c.mu.Unlock()
	select {
	case r := <-w.result:
		return w.outcome(r)
	default:
		return c.wait(ctx, w)
	}
}

func (c *Controller) wait(ctx context.Context, w *waiter) (*Permit, Rejection) {
	timer := time.NewTimer(w.req.Deadline.Sub(c.now()))
	defer timer.Stop()
	select {
	case r := <-w.result:
		return w.outcome(r)
	case <-ctx.Done():
	case <-timer.C:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, queued := range c.queue {
		if queued == w {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return nil, Rejection{Reason: Expired}
		}
	}
	// The request left the queue at the same time, so its result is already sent.
	return w.outcome(<-w.result)
}

// tryQueue sorts the queue and decides whether a new request is rejected.
func (c *Controller) tryQueue(w *waiter, now time.Time) Rejection {
	c.sortQueue(now)
	c.shares.setLevel(w, c.queue, now)
	return c.rejection(now, w)
}

// rejection decides whether a new request is rejected before it enters the queue.
func (c *Controller) rejection(now time.Time, w *waiter) Rejection {
	req := w.req
	switch {
	case !c.open || c.upstream.Slots == 0:
		return Rejection{Reason: Closed}
	case len(c.queue) >= maxQueueLength && !c.displaceLast(w, now):
		return Rejection{Reason: Full, RetryAfter: c.drainTime(len(c.queue), now)}
	}
	passedOver := c.passesOver(req, now)
	if passedOver && (!req.Trial || !c.integrity.Estimate().TrialDue(now)) {
		return Rejection{Reason: Reserved}
	}
	ahead := c.position(w, now)
	wait, earliest := time.Duration(0), time.Duration(0)
	if c.running >= c.limit {
		wait, earliest = c.drainTime(ahead, now), c.earliestStart(ahead, now)
	}
	rateWait := c.rateWait(ahead, now)
	wait, earliest = max(wait, rateWait), max(earliest, rateWait)
	if c.alternativeIsBetter(now, wait, req) {
		return Rejection{Reason: Slower}
	}
	finishWithMargin := func(wait time.Duration) time.Duration {
		_, finish := c.estimate(now, wait, req)
		return finish + finish/waitMarginDivisor
	}
	if rateWait > 0 && now.Add(finishWithMargin(wait)).After(req.Objective) {
		return c.rateRejection(now)
	}
	if wait > 0 && c.tooLate(now, finishWithMargin(wait), finishWithMargin(earliest), req) {
		c.shares.refuse(req, now)
		return Rejection{Reason: Full, RetryAfter: earliest}
	}
	if passedOver && !c.integrity.TakeTrial(now) {
		return Rejection{Reason: Reserved}
	}
	return Rejection{}
}

// passesOver reports whether the upstream is in reserve and another one has room for the request. The
// entry node decides the same way with the estimate that it knows (coordination/placement).
func (c *Controller) passesOver(req *Request, now time.Time) bool {
	e := c.integrity.Estimate()
	return req.SoundAlternative && e.Reserved(now) && req.SoundExtraCost <= placement.ReserveCost(e, now)
}

// rateWait returns how long the request rate of the upstream delays a request with ahead others
// before it in the queue.
func (c *Controller) rateWait(ahead int, now time.Time) time.Duration {
	return max(c.warmupWait(ahead, now), c.limitWait(ahead, now))
}

// warmupWait returns the part of rateWait that a cold upstream causes.
func (c *Controller) warmupWait(ahead int, now time.Time) time.Duration {
	if !now.Before(c.upstream.ColdUntil) {
		return 0
	}
	return min(c.warmup.timeToTokens(ahead+1, now), c.upstream.ColdUntil.Sub(now))
}

// limitWait returns the part of rateWait that a stated rate limit causes.
func (c *Controller) limitWait(ahead int, now time.Time) time.Duration {
	switch {
	case !c.rateLimited:
		return 0
	case c.rate.rate <= 0:
		return maxRateWait
	}
	return c.rate.timeToTokens(ahead+1, now)
}

// rateRejection rejects a request that the request rate of the upstream makes too late.
func (c *Controller) rateRejection(now time.Time) Rejection {
	r := Rejection{Reason: Warming, RetryAfter: c.rateWait(len(c.queue), now)}
	if c.limitWait(len(c.queue), now) > c.warmupWait(len(c.queue), now) {
		r.Reason = Limited
	}
	if r.RetryAfter >= maxRateWait {
		r.RetryAfter = 0 // it is not known when the upstream accepts requests again
	}
	return r
}

// wakeAfter processes the queue again when the upstream may get its next request.
func (c *Controller) wakeAfter(d time.Duration, now time.Time) {
	at := now.Add(d)
	if now.Before(c.wakeAt) && !at.Before(c.wakeAt) {
		return // it is processed earlier than that
	}
	c.wakeAt = at
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.processQueue(c.now())
	})
}

func (c *Controller) admit(now time.Time, w *waiter) {
	c.running++
	c.idle.update(false, now)
	c.promises.admit(w, c.slotInterval(w.req, now, now), now)
	c.shares.admit(w.req, now)
	w.permit = &Permit{c: c, expectedEnd: now.Add(time.Duration(float64(w.req.ServiceTime) * c.currentHostSlowdown(now) * c.currentUpstreamSlowdown(now)))}
	c.permits[w.permit] = struct{}{}
	// Admissions to a warm upstream count too, because it may become known later that
	// the upstream was cold.
	c.warmup.take(now)
	if c.rateLimited {
		c.rate.take(now)
	}
}

// Release frees the slot. Further calls have no effect.
func (p *Permit) Release() {
	p.once.Do(func() {
		p.c.mu.Lock()
		defer p.c.mu.Unlock()
		now := p.c.now()
		p.c.running--
		p.c.idle.update(p.c.running == 0, now)
		delete(p.c.permits, p)
		p.c.processQueue(now)
	})
}
