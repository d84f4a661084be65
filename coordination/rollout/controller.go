package rollout

import (
	"maps"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/document"
)

const (
	// sliceTime is the time within which the versions are compared. Their shares of the requests and the
	// noise on all hosts change over time.
	sliceTime = 200 * time.Millisecond
	// recentSlices is the number of slices of the comparison that finds a version which turns bad late.
	recentSlices = 8
	// uncontrolledTime is how long a version must be bad without a break while the old one gets no
	// requests, in slices of at least uncontrolledResults results. A burst that hits all upstreams is
	// shorter.
	uncontrolledTime    = 900 * time.Millisecond
	uncontrolledResults = 8
	// maxUncontrolled is the ratio of results of the new version to those of the old one up to which the
	// two are compared.
	maxUncontrolled = 4
	// freshTime is the age up to which a report counts as current. Nodes send one every 150 ms.
	freshTime = time.Second
	// progressInterval is the interval at which the time left is recorded: a control host that restarts
	// has no other record of the time that has passed.
	progressInterval = time.Second
	// untrustedPart is the part of the permitted exposure that a version may use before it is trusted. The
	// rest is for the ramp.
	untrustedPart = 0.4
	// minUntrusted and maxUntrusted bound the share before the version is trusted, in permille.
	minUntrusted = 10
	maxUntrusted = 250
	// minWatched is the time after which the rate of requests is known well enough.
	minWatched = time.Second
	// minResults is the number of results of the new version with which the ramp starts as planned.
	minResults = 20
)

// Bounds are the limits that a deployment sets.
type Bounds struct {
	// CanaryShare is the share of the requests of a service, and CanarySlack the number in addition to it,
	// that a bad version may get in a rollout.
	CanaryShare, CanarySlack float64
}

// Input is what the leader knows of a rollout.
type Input struct {
	Order document.Rollout
	// Nodes are those whose upstream belongs to the service and is in a failure domain in service.
	Nodes   []mulberrylink.Node
	Reports []Received
}

//go:generate ../../bin/tools/stringer -type=Reason -linecomment -output=reason_string.go

// Reason is why a rollout changes.
type Reason uint8

// Reasons of a decision.
const (
	ReasonNone     Reason = iota // none
	ReasonCanary                 // canary
	ReasonSuspect                // suspect
	ReasonRamp                   // ramp
	ReasonComplete               // complete
	ReasonBad                    // bad
	ReasonMissing                // missing
	ReasonShort                  // short
	ReasonProgress               // progress
)

// Decision is the next entry of a rollout for the log.
type Decision struct {
	Next   document.Rollout
	Reason Reason
	// Results, Bad and Excess are those of the new version that decided, Route the route, empty for all.
	Results, Bad uint32
	Excess       float64
	Route        string
}

// Controller decides about one rollout. Each control host has one from the start of the rollout, and only
// the leader calls Step.
type Controller struct {
	bounds   Bounds
	duration time.Duration
	plan     plan
	number   uint64
	left     int64     // last Order.Left that was seen
	end      time.Time // deadline on the local clock

	leads     bool
	current   map[string]*Report // newest report of each node
	first     map[string]*Report // first report of each node
	startedAt time.Time          // when this leader had current reports for the first time
	firstAt   time.Time          // time of the first step

	sliceAt   time.Time          // end of the last slice
	sliced    map[string]*Report // reports at that time
	share     int                // at that time
	skipUntil time.Time          // until when slices are not compared
	old       baseline
	total     evidenceMap
	recent    []evidenceMap // of the last slices, the oldest first
	badSince  time.Time     // start of the slices without the old version in which the new one is bad
}

// NewController returns a Controller for a rollout whose entry was applied at now.
func NewController(bounds Bounds, order *document.Rollout, now time.Time) *Controller {
	duration := time.Duration(order.Duration) * time.Millisecond
	c := &Controller{bounds: bounds, duration: duration, plan: newPlan(duration), number: order.Number, left: -1}
	c.Observe(order, now)
	return c
}

// Number returns the number of the rollout.
func (c *Controller) Number() uint64 { return c.number }

// Observe notes the time left that an entry states. Every control host calls it when it has applied one.
func (c *Controller) Observe(order *document.Rollout, now time.Time) {
	if order.Left == c.left {
		return
	}
	// An entry is applied later than it was proposed, so the earliest deadline is the best.
	if end := now.Add(time.Duration(order.Left) * time.Millisecond); c.left < 0 || end.Before(c.end) {
		c.end = end
	}
	c.left = order.Left
}

// Follow forgets the results. A control host calls it while it is not the leader: when it becomes the
// leader, it needs reports again before it trusts the new version.
func (c *Controller) Follow() {
	c.leads, c.current, c.first, c.startedAt, c.firstAt = false, nil, nil, time.Time{}, time.Time{}
}

// lead starts a comparison without results.
func (c *Controller) lead(now time.Time) {
	c.leads, c.firstAt, c.sliceAt = true, now, now
	c.current, c.first, c.sliced = make(map[string]*Report), make(map[string]*Report), make(map[string]*Report)
	c.old, c.total, c.recent, c.badSince = make(baseline), make(evidenceMap), nil, time.Time{}
	c.share, c.skipUntil = 0, time.Time{}
}

// Step returns the next entry of a running rollout. Its Reason is ReasonNone if nothing changes.
func (c *Controller) Step(now time.Time, in Input) Decision {
	c.Observe(&in.Order, now)
	if !c.leads {
		c.lead(now)
	}
	c.addReports(in.Reports)
	if now.Sub(c.sliceAt) >= sliceTime {
		c.endSlice(now, &in.Order)
	}
	left := c.end.Sub(now)
	d := Decision{Next: in.Order}
	d.Next.Left = left.Milliseconds()
	f := newFleet(in.Nodes, in.Order.To)
	worst := c.judge()
	d.Results, d.Bad, d.Excess, d.Route = worst.results, worst.badResults, worst.excess, worst.route
	switch {
	case worst.bad:
		return c.rollBack(d, ReasonBad)
	case worst.likely && left <= c.plan.lastCall(missingSteps(in.Order.Share)):
		return c.rollBack(d, ReasonBad)
	case left <= 0 && !f.carries(document.FullShare):
		return c.rollBack(d, ReasonMissing)
	}
	if c.mayStep(now, in, &f) {
		share, reason := c.nextShare(now, &in.Order, &f, worst.suspect)
		if reason == ReasonComplete {
			d.Next.State, d.Next.ChangedLeft, d.Reason = document.RolloutCompleted, d.Next.Left, reason
			return d
		}
		if share != in.Order.Share {
			d.Next.Share, d.Next.ChangedLeft, d.Reason = share, d.Next.Left, reason
			return d
		}
	}
	if c.left-d.Next.Left >= progressInterval.Milliseconds() {
		d.Reason = ReasonProgress
	}
	return d
}

func (c *Controller) rollBack(d Decision, reason Reason) Decision {
	d.Next.State, d.Next.Share, d.Next.ChangedLeft, d.Reason = document.RolloutRolledBack, 0, d.Next.Left, reason
	return d
}

// addReports takes over the newest reports. Nodes whose reports are missing keep their results.
func (c *Controller) addReports(reports []Received) {
	for _, r := range reports {
		node := r.Report.Node
		c.current[node] = r.Report
		if c.first[node] == nil {
			c.first[node] = r.Report
		}
	}
}

// endSlice compares the results since the last slice.
func (c *Controller) endSlice(now time.Time, order *document.Rollout) {
	s := newSlice(order.To, c.current, c.sliced)
	start := c.sliceAt
	// The results of the last step before the full share arrive after it.
	fresh, old := s.results()
	uncontrolled := order.Share >= document.FullShare && fresh > maxUncontrolled*old
	if uncontrolled && fresh < uncontrolledResults {
		return // the slice goes on
	}
	c.sliceAt, c.sliced = now, maps.Clone(c.current)
	if order.Share < c.share {
		c.skipUntil = now.Add(c.plan.skip)
	}
	c.share = order.Share
	switch {
	case !uncontrolled:
		c.badSince = time.Time{}
	case !c.old.rises(s):
		c.badSince = time.Time{}
		return
	case c.badSince.IsZero():
		c.badSince = start
		return
	default:
		return
	}
	if now.Before(c.skipUntil) {
		return
	}
	c.old.add(s)
	e := c.old.compare(s)
	c.total.add(e)
	c.recent = append(c.recent, e)
	if len(c.recent) > recentSlices {
		c.recent = c.recent[1:]
	}
}

func (c *Controller) judge() verdict {
	worst := c.total.judge()
	sum := make(evidenceMap)
	for _, e := range c.recent {
		sum.add(e)
	}
	if v := sum.judge(); (v.bad || v.suspect) && v.worse(&worst) {
		v.likely = false // a few recent results do not decide
		worst = v
	}
	if !c.badSince.IsZero() {
		worst.bad = worst.bad || c.sliceAt.Sub(c.badSince) >= uncontrolledTime
		worst.suspect = true
	}
	return worst
}

// fleet counts the slots of the upstreams of a service.
type fleet struct {
	newWarm, old int
	warmNodes    map[string]bool
}

func newFleet(nodes []mulberrylink.Node, to string) fleet {
	f := fleet{warmNodes: make(map[string]bool)}
	for _, n := range nodes {
		switch {
		case !n.Usable():
		case n.Release != to:
			f.old += n.Slots
		case n.Upstream == mulberrylink.UpstreamUp:
			f.newWarm += n.Slots
			f.warmNodes[n.Name] = true
		}
	}
	return f
}

// carries reports whether the warm new upstreams have the slots for a share. For the full share, half of
// the slots of the old upstreams are enough: nodes may be lost, and the deadline does not move.
func (f *fleet) carries(share int) bool {
	if share >= document.FullShare {
		return f.newWarm > 0 && 2*f.newWarm >= f.old
	}
	return f.newWarm > 0 && f.newWarm*document.FullShare >= share*f.old
}

// mayStep reports whether at least half of the nodes with a warm new upstream have sent reports lately,
// to this leader.
func (c *Controller) mayStep(now time.Time, in Input, f *fleet) bool {
	current := 0
	for _, r := range in.Reports {
		if f.warmNodes[r.Report.Node] && now.Sub(r.At) <= freshTime && r.At.After(c.firstAt) {
			current++
		}
	}
	if current == 0 || 2*current < len(f.warmNodes) {
		return false
	}
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	return true
}

// nextShare returns the share that is due.
func (c *Controller) nextShare(now time.Time, order *document.Rollout, f *fleet, suspect bool) (int, Reason) {
	p, left := &c.plan, c.end.Sub(now)
	sinceStep := time.Duration(order.ChangedLeft)*time.Millisecond - left
	if order.Share >= document.FullShare {
		switch {
		case !suspect && sinceStep >= p.minHold && left <= p.complete, suspect && left <= p.spare:
			return order.Share, ReasonComplete
		case !c.badSince.IsZero() && left > p.lastCall(missingSteps(backShare))+p.recheck:
			return backShare, ReasonSuspect // the old version is needed for the comparison
		}
		return order.Share, ReasonNone
	}
	steps := missingSteps(order.Share)
	next := ramp[len(ramp)-steps]
	settled := c.total.results() >= minResults || left <= p.lateRamp && now.Sub(c.startedAt) >= p.settle
	switch {
	case left > p.ramp || !settled:
	case suspect && left > p.lastCall(steps):
	case sinceStep < p.stepAfter(left, steps) || !f.carries(next) || !f.carries(document.FullShare):
	default:
		return next, ReasonRamp
	}
	if order.Share > maxUntrusted {
		return order.Share, ReasonNone
	}
	canary := c.untrustedShare(now, order.To, f)
	switch closer := min(maxUntrusted, 2*canary); {
	case order.Share > 0 && !f.carries(order.Share):
		return canary, ReasonShort
	case order.Share == 0, left > p.ramp && sinceStep >= p.step && canary > order.Share+order.Share/4:
		return canary, ReasonCanary
	case suspect && sinceStep >= p.step && closer > order.Share+order.Share/4 && f.carries(closer):
		return closer, ReasonSuspect
	}
	return order.Share, ReasonNone
}

// untrustedShare returns the share of a version that is not trusted: a part of the permitted exposure,
// and not more than its warm upstreams carry at the load of the old ones.
func (c *Controller) untrustedShare(now time.Time, to string, f *fleet) int {
	if f.newWarm == 0 {
		return 0
	}
	share := untrustedPart * c.bounds.CanaryShare
	// Services with few requests use the slack as well, or their new version would get too few to be judged.
	if watched := now.Sub(c.firstAt); watched >= minWatched {
		fresh, old := newSlice(to, c.current, c.first).results()
		rate := float64(fresh+old) / watched.Seconds()
		untilRamp := max(c.end.Sub(now)-c.plan.ramp, c.duration/5)
		share += untrustedPart * c.bounds.CanarySlack / max(1, rate*untilRamp.Seconds())
	}
	permille := min(maxUntrusted, max(minUntrusted, int(share*document.FullShare)))
	if f.old > 0 {
		permille = min(permille, f.newWarm*document.FullShare/f.old)
	}
	return permille
}
