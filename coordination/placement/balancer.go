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
	reportLifetime = 350 * time.Millisecond
	// disturbedShare and disturbedFactor describe a host of which nothing is
	// known: the share of time in which it is disturbed, and how much slower.
	priorDisturbedShare    = 0.15
	priorDisturbedSlowdown = 5.0
	// spread is the relative deviation of the work of one route.
	serviceTimeSpread = 0.3
	// fixedSpread covers what is not work: network and queues of the hosts.
	overheadSpread = 8 * time.Millisecond
	// failGain and failTime weigh failures: a few in a row make a candidate the
	// last choice, and it is tried again some seconds later.
	failureWeight = 0.25
	failureDecay  = 2 * time.Second
	// waitWeight orders candidates that are all in time by how soon they are.
	finishTimeWeight = 0.15
	// hopCost is what the processor time of a hop between two nodes is worth.
	hopCost = 0.01
	// bounceCost and bounceTime are what a request loses that is placed again
	// because its upstream turned out to be disturbed.
	rerouteCost = 0.05
	// againCost is that loss at an upstream that was disturbed when it last
	// reported and may be quiet again.
	staleRerouteCost = 0.15
	// freshTime is the age up to which a report is taken as the present.
	freshReportAge = 60 * time.Millisecond
	rerouteDelay   = 5 * time.Millisecond
	// refusedTime is how long a refusal for lack of room keeps a candidate out.
	rejectionPause = 60 * time.Millisecond
	// lostTime is how long a node that could not be reached is left alone, and
	// lostMax the longest such time after repeated losses.
	unreachablePause    = 300 * time.Millisecond
	maxUnreachablePause = 3 * time.Second
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
type upstreamState struct {
	load          Load
	loadAt        time.Time
	inFlight      int // requests on their way or running, sent from here
	failureRate   float64
	failureRateAt time.Time
	excludedUntil time.Time
	unreachable   int
}

// Balancer holds the beliefs of one node. It is safe for concurrent use.
type Balancer struct {
	cfg Config

	mu        sync.Mutex
	upstreams map[string]*upstreamState
}

// New returns a board without beliefs.
func New(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, upstreams: make(map[string]*upstreamState)}
}

func (b *Balancer) state(name string) *upstreamState {
	s := b.upstreams[name]
	if s == nil {
		s = &upstreamState{load: Load{Slowdown: 1}}
		b.upstreams[name] = s
	}
	return s
}

// Choose returns the candidate with the lowest cost. Candidates to avoid are
// chosen only when no other is left; ok is false without any candidate.
func (b *Balancer) Choose(now time.Time, req *Request, candidates []Candidate) (best Choice, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	second := math.Inf(1)
	best.Cost = math.Inf(1)
	for i := range candidates {
		if req.Exclude[candidates[i].Name] {
			continue
		}
		c := b.evaluate(now, req, &candidates[i])
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
func (b *Balancer) evaluate(now time.Time, req *Request, c *Candidate) Choice {
	s := b.state(c.Name)
	choice := Choice{Name: c.Name, LoadAge: -1}
	load := s.load
	if load.Slots == 0 {
		load.Slots = max(1, c.Slots)
	}
	confidence := 0.0
	if !s.loadAt.IsZero() {
		choice.LoadAge = now.Sub(s.loadAt)
		confidence = math.Exp(-float64(choice.LoadAge) / float64(reportLifetime))
	}
	networkTime, extraCost := time.Duration(0), 0.0
	if !c.Local {
		networkTime = b.cfg.RoundTrip / 4 // within the failure domain only the programs take time
		extraCost = hopCost
	}
	if c.Domain != b.cfg.Domain {
		networkTime = b.cfg.RoundTrip
		extraCost += req.SizeKiB * b.cfg.TransferCost / max(req.Value, 0.1)
	}
	// What the report counted has partly ended since, and what was sent from
	// here may be part of it: the larger of the two is the better guess.
	queued := math.Max(confidence*float64(load.Running+load.Waiting), float64(s.inFlight))
	estimate := func(slowdown float64) (time.Duration, float64) {
		wait := math.Max(0, queued-float64(load.Slots)+1) / float64(load.Slots) * float64(req.ServiceTime) * slowdown
		miss, finish := EstimateCompletion(now, networkTime+time.Duration(wait), req.ServiceTime, slowdown, req.Objective, req.Deadline)
		return finish, miss
	}
	finishReported, missReported := estimate(load.Slowdown)
	finishQuiet, missQuiet := estimate(1)
	finishDisturbed, missDisturbed := estimate(priorDisturbedSlowdown)
	if req.Reroutable {
		// The node beside the upstream looks first and refuses when it is
		// disturbed; what that costs is the way there.
		missDisturbed, finishDisturbed = min(missDisturbed, missQuiet+rerouteCost), finishQuiet+networkTime+rerouteDelay
		if choice.LoadAge > freshReportAge {
			missReported = min(missReported, missQuiet+staleRerouteCost)
			finishReported = min(finishReported, finishDisturbed)
		}
	}
	missPrior := priorDisturbedShare*missDisturbed + (1-priorDisturbedShare)*missQuiet
	miss := confidence*missReported + (1-confidence)*missPrior
	meanFinish := confidence*float64(finishReported) + (1-confidence)*((1-priorDisturbedShare)*float64(finishQuiet)+priorDisturbedShare*float64(finishDisturbed))
	choice.Slowdown = confidence*load.Slowdown + (1-confidence)*(1+priorDisturbedShare*(priorDisturbedSlowdown-1))
	failure := s.failureProbability(now, confidence)
	choice.Cost = 1 - (1-miss)*(1-failure) + extraCost
	if remaining := req.Objective.Sub(now); remaining > 0 {
		choice.Cost += finishTimeWeight * math.Min(1, meanFinish/float64(remaining))
	} else {
		choice.Cost += finishTimeWeight * (1 + math.Min(1, meanFinish/float64(time.Second)))
	}
	if c.Cold || load.Cold {
		choice.Cost += 0.2 * (1 + float64(s.inFlight))
	}
	if now.Before(s.excludedUntil) {
		choice.Cost += 2
	}
	choice.Cost += rand.Float64() * 0.002 // equal candidates take turns
	return choice
}

// failure returns the probability that a request fails there.
func (s *upstreamState) failureProbability(now time.Time, confidence float64) float64 {
	observed := 0.0
	if s.failureRate > 0 {
		observed = s.failureRate * math.Exp(-float64(now.Sub(s.failureRateAt))/float64(failureDecay))
	}
	return math.Min(1, math.Max(observed, confidence*s.load.FailureRate))
}

// RequestSent notes that a request is on its way to an upstream.
func (b *Balancer) RequestSent(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(name).inFlight++
}

// RequestEnded notes that a request that was sent has ended in whatever way.
func (b *Balancer) RequestEnded(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(name)
	s.inFlight = max(0, s.inFlight-1)
}

// InFlight returns the number of requests sent from here that have not ended.
func (b *Balancer) InFlight(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.upstreams[name]; s != nil {
		return s.inFlight
	}
	return 0
}

// RecordLoad takes the load that came with an answer.
func (b *Balancer) RecordLoad(name string, load Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(name)
	s.load, s.loadAt = load, now
	s.unreachable = 0
}

// RecordResult notes whether a request that ran there failed.
func (b *Balancer) RecordResult(name string, failed bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(name)
	rate := s.failureRate * math.Exp(-float64(now.Sub(s.failureRateAt))/float64(failureDecay))
	target := 0.0
	if failed {
		target = 1
	}
	s.failureRate, s.failureRateAt = rate+failureWeight*(target-rate), now
}

// RecordRejection keeps a candidate that had no room out for a short time.
func (b *Balancer) RecordRejection(name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(name)
	s.excludedUntil = now.Add(rejectionPause)
}

// RecordUnreachable leaves a node that could not be reached alone, longer each time.
func (b *Balancer) RecordUnreachable(name string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(name)
	if now.Before(s.excludedUntil) && s.unreachable > 0 {
		return s.excludedUntil.Sub(now) // requests that were under way together count once
	}
	pause := min(maxUnreachablePause, unreachablePause<<min(s.unreachable, 8))
	s.unreachable++
	s.excludedUntil = now.Add(pause)
	return pause
}

// LastLoad returns the load last reported and its age.
func (b *Balancer) LastLoad(name string, now time.Time) (Load, time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.upstreams[name]
	if s == nil || s.loadAt.IsZero() {
		return Load{}, 0, false
	}
	return s.load, now.Sub(s.loadAt), true
}
