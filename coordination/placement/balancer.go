package placement

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// holdTime is how long a report of the speed holds on average. Disturbances
	// of shared hosts last some hundred milliseconds.
	holdTime = 350 * time.Millisecond
	// disturbedShare and disturbedFactor describe a host of which nothing is
	// known: the share of time in which it is disturbed, and how much slower.
	disturbedShare  = 0.15
	disturbedFactor = 5.0
	// spread is the relative deviation of the work of one route.
	spread = 0.3
	// fixedSpread covers what is not work: network and queues of the hosts.
	fixedSpread = 8 * time.Millisecond
	// failGain and failTime weigh failures: a few in a row make a candidate the
	// last choice, and it is tried again some seconds later.
	failGain = 0.25
	failTime = 2 * time.Second
	// waitWeight orders candidates that are all in time by how soon they are.
	waitWeight = 0.15
	// hopCost is what the processor time of a hop between two nodes is worth.
	hopCost = 0.01
	// bounceCost and bounceTime are what a request loses that is placed again
	// because its upstream turned out to be disturbed.
	bounceCost = 0.05
	// againCost is that loss at an upstream that was disturbed when it last
	// reported and may be quiet again.
	againCost = 0.15
	// freshTime is the age up to which a report is taken as the present.
	freshTime  = 60 * time.Millisecond
	bounceTime = 5 * time.Millisecond
	// refusedTime is how long a refusal for lack of room keeps a candidate out.
	refusedTime = 60 * time.Millisecond
	// lostTime is how long a node that could not be reached is left alone, and
	// lostMax the longest such time after repeated losses.
	lostTime = 300 * time.Millisecond
	lostMax  = 3 * time.Second
)

// Config of a board.
type Config struct {
	// TransferCost is the charge for a KiB that leaves the failure domain, in units
	// of one request answered in time.
	TransferCost float64
	// RoundTrip is the time that a message to another failure domain and back takes.
	RoundTrip time.Duration
	// Domain is the failure domain of this node.
	Domain string
}

// Load is what is known of an upstream.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how much longer than usual work takes on its host.
	Slowdown float64
	// FailureRate is the share of requests that failed lately, as its node sees it.
	FailureRate float64
	// Cold is true while the upstream takes only few requests a second.
	Cold bool
}

// Candidate is an upstream that may be chosen.
type Candidate struct {
	Name   string
	Domain string
	Slots  int
	Cold   bool
	Local  bool
}

// Request describes the request to place.
type Request struct {
	// ServiceTime is the time that the request takes on an undisturbed host.
	ServiceTime time.Duration
	// Objective is when the answer loses most of its use, Deadline when all.
	Objective, Deadline time.Time
	// SizeKiB is the size of request and answer, and Worth that of the answer in
	// units of one request answered in time.
	SizeKiB, Value float64
	// Reroutable is true when a node may still refuse the request because another
	// upstream is faster.
	Reroutable bool
	// Exclude names candidates that refused or failed this request already.
	Exclude map[string]bool
}

// Choice is a candidate with what is expected there.
type Choice struct {
	Name string
	// Cost is the expected loss, in units of one request answered in time.
	Cost float64
	// AlternativeCost is the cost of the next best choice, 0 when there is none.
	AlternativeCost float64
	// LoadAge is how old the report is that decided, negative without one.
	LoadAge time.Duration
	// Slowdown is the slowdown that was assumed.
	Slowdown float64
}

// belief is what the board holds of one upstream.
type belief struct {
	load    Load
	at      time.Time
	sent    int // requests on their way or running, sent from here
	failing float64
	failAt  time.Time
	outTill time.Time
	lost    int
}

// Balancer holds the beliefs of one node. It is safe for concurrent use.
type Balancer struct {
	set Config

	mu      sync.Mutex
	beliefs map[string]*belief
}

// New returns a board without beliefs.
func New(set Config) *Balancer {
	return &Balancer{set: set, beliefs: make(map[string]*belief)}
}

func (b *Balancer) belief(name string) *belief {
	x := b.beliefs[name]
	if x == nil {
		x = &belief{load: Load{Slowdown: 1}}
		b.beliefs[name] = x
	}
	return x
}

// Choose returns the candidate with the lowest cost. Candidates to avoid are
// chosen only when no other is left; ok is false without any candidate.
func (b *Balancer) Choose(now time.Time, ask *Request, all []Candidate) (best Choice, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	second := math.Inf(1)
	best.Cost = math.Inf(1)
	for i := range all {
		if ask.Exclude[all[i].Name] {
			continue
		}
		c := b.rate(now, ask, &all[i])
		if c.Cost < best.Cost {
			second = best.Cost
			best, ok = c, true
		} else if c.Cost < second {
			second = c.Cost
		}
	}
	if !math.IsInf(second, 1) {
		best.AlternativeCost = second
	}
	return best, ok
}

// rate returns what is expected of one candidate.
func (b *Balancer) rate(now time.Time, ask *Request, c *Candidate) Choice {
	x := b.belief(c.Name)
	out := Choice{Name: c.Name, LoadAge: -1}
	load := x.load
	if load.Slots == 0 {
		load.Slots = max(1, c.Slots)
	}
	hold := 0.0
	if !x.at.IsZero() {
		out.LoadAge = now.Sub(x.at)
		hold = math.Exp(-float64(out.LoadAge) / float64(holdTime))
	}
	hop, charge := time.Duration(0), 0.0
	if !c.Local {
		hop = b.set.RoundTrip / 4 // within the failure domain only the programs take time
		charge = hopCost
	}
	if c.Domain != b.set.Domain {
		hop = b.set.RoundTrip
		charge += ask.SizeKiB * b.set.TransferCost / max(ask.Value, 0.1)
	}
	// What the report counted has partly ended since, and what was sent from
	// here may be part of it: the larger of the two is the better guess.
	ahead := math.Max(hold*float64(load.Running+load.Waiting), float64(x.sent))
	finish := func(factor float64) (time.Duration, float64) {
		wait := math.Max(0, ahead-float64(load.Slots)+1) / float64(load.Slots) * float64(ask.ServiceTime) * factor
		miss, d := EstimateCompletion(now, hop+time.Duration(wait), ask.ServiceTime, factor, ask.Objective, ask.Deadline)
		return d, miss
	}
	reported, missReported := finish(load.Slowdown)
	quiet, missQuiet := finish(1)
	slow, missSlow := finish(disturbedFactor)
	if ask.Reroutable {
		// The node beside the upstream looks first and refuses when it is
		// disturbed; what that costs is the way there.
		missSlow, slow = min(missSlow, missQuiet+bounceCost), quiet+hop+bounceTime
		if out.LoadAge > freshTime {
			missReported = min(missReported, missQuiet+againCost)
			reported = min(reported, slow)
		}
	}
	prior := disturbedShare*missSlow + (1-disturbedShare)*missQuiet
	miss := hold*missReported + (1-hold)*prior
	mean := hold*float64(reported) + (1-hold)*((1-disturbedShare)*float64(quiet)+disturbedShare*float64(slow))
	out.Slowdown = hold*load.Slowdown + (1-hold)*(1+disturbedShare*(disturbedFactor-1))
	fail := x.failure(now, hold)
	out.Cost = 1 - (1-miss)*(1-fail) + charge
	if left := ask.Objective.Sub(now); left > 0 {
		out.Cost += waitWeight * math.Min(1, mean/float64(left))
	} else {
		out.Cost += waitWeight * (1 + math.Min(1, mean/float64(time.Second)))
	}
	if c.Cold || load.Cold {
		out.Cost += 0.2 * (1 + float64(x.sent))
	}
	if now.Before(x.outTill) {
		out.Cost += 2
	}
	out.Cost += rand.Float64() * 0.002 // equal candidates take turns
	return out
}

// failure returns the probability that a request fails there.
func (x *belief) failure(now time.Time, hold float64) float64 {
	own := 0.0
	if x.failing > 0 {
		own = x.failing * math.Exp(-float64(now.Sub(x.failAt))/float64(failTime))
	}
	return math.Min(1, math.Max(own, hold*x.load.FailureRate))
}

// RequestSent notes that a request is on its way to an upstream.
func (b *Balancer) RequestSent(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.belief(name).sent++
}

// RequestEnded notes that a request that was sent has ended in whatever way.
func (b *Balancer) RequestEnded(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.belief(name)
	x.sent = max(0, x.sent-1)
}

// InFlight returns the number of requests sent from here that have not ended.
func (b *Balancer) InFlight(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if x := b.beliefs[name]; x != nil {
		return x.sent
	}
	return 0
}

// RecordLoad takes the load that came with an answer.
func (b *Balancer) RecordLoad(name string, l Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.belief(name)
	x.load, x.at = l, now
	x.lost = 0
}

// RecordResult notes whether a request that ran there failed.
func (b *Balancer) RecordResult(name string, failed bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.belief(name)
	own := x.failing * math.Exp(-float64(now.Sub(x.failAt))/float64(failTime))
	target := 0.0
	if failed {
		target = 1
	}
	x.failing, x.failAt = own+failGain*(target-own), now
}

// RecordRejection keeps a candidate that had no room out for a short time.
func (b *Balancer) RecordRejection(name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.belief(name)
	x.outTill = now.Add(refusedTime)
}

// RecordUnreachable leaves a node that could not be reached alone, longer each time.
func (b *Balancer) RecordUnreachable(name string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.belief(name)
	if now.Before(x.outTill) && x.lost > 0 {
		return x.outTill.Sub(now) // requests that were under way together count once
	}
	d := min(lostMax, lostTime<<min(x.lost, 8))
	x.lost++
	x.outTill = now.Add(d)
	return d
}

// LastLoad returns the load last reported and its age.
func (b *Balancer) LastLoad(name string, now time.Time) (Load, time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.beliefs[name]
	if x == nil || x.at.IsZero() {
		return Load{}, 0, false
	}
	return x.load, now.Sub(x.at), true
}
