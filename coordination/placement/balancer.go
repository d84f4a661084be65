package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/integrity"
)

const (
	// reportLifetime is the mean time for which a report of a host's slowdown holds.
	// Disturbances of shared hosts last some hundred milliseconds.
	reportLifetime = 350 * time.Millisecond
	// priorDisturbedShare and priorDisturbedSlowdown describe a host without a recent
	// report: the share of time in which it is disturbed, and the slowdown then.
	priorDisturbedShare    = 0.15
	priorDisturbedSlowdown = 5.0
	// serviceTimeSpread is the relative standard deviation of the service time of one
	// route.
	serviceTimeSpread = 0.3
	// overheadSpread is the standard deviation that the network and the queues of the
	// hosts add.
	overheadSpread = 8 * time.Millisecond
	// failureWeight is the weight of one result in the moving average of the failure
	// rate, and failureDecay the time constant with which the average decays. A few
	// failures in a row make a candidate the last choice; it is tried again some
	// seconds later.
	failureWeight = 0.25
	failureDecay  = 2 * time.Second
	// finishTimeWeight orders candidates that would all finish in time by their finish
	// time.
	finishTimeWeight = 0.15
	// hopCost is the cost of the CPU time that a hop between two nodes takes.
	hopCost = 0.01
	// rerouteCost and rerouteDelay are the cost and the delay of a reroute from an
	// upstream that turned out to be disturbed.
	rerouteCost = 0.05
	// staleRerouteCost is the cost of trying an upstream that was disturbed at its
	// last report, which is old enough that the host may be quiet again.
	staleRerouteCost = 0.15
	// freshReportAge is the age up to which a report counts as the current state.
	freshReportAge = 60 * time.Millisecond
	rerouteDelay   = 5 * time.Millisecond
	// rejectionPause is how long a candidate is the last choice after a rejection.
	rejectionPause = 60 * time.Millisecond
	// unreachablePause is how long an unreachable node is the last choice. The pause
	// doubles with each further failure, up to maxUnreachablePause.
	unreachablePause    = 300 * time.Millisecond
	maxUnreachablePause = 3 * time.Second
	// minReserveCost is the smallest cost of a request at an upstream in reserve while others have
	// room. The rate of malformed responses is added to it: the response is as likely to be
	// well-formed but wrong, which no node can detect.
	minReserveCost = 0.03
	// maxSoundLoad is the share of their slots up to which sound upstreams have room for the requests
	// of those in reserve. The rest is for bursts, and for the choice of undisturbed hosts.
	maxSoundLoad = 0.5
	// maxEstimateAge is the age from which the estimate of an upstream in reserve is renewed. Its node
	// may have restarted, or may be beside another instance.
	maxEstimateAge = 5 * time.Second
)

// Config holds the settings of a Balancer.
type Config struct {
	// TransferCostPerKiB is the cost of a KiB that leaves the failure domain, in units of one
	// response in time.
	TransferCostPerKiB float64
	// CrossDomainRTT is the round-trip time to another failure domain.
	CrossDomainRTT time.Duration
	// Domain is the failure domain of this node.
	Domain string
}

// Load is a load report of an upstream.
type Load struct {
	// Running and Waiting are the numbers of running and queued requests. Slots is the
	// current concurrency limit.
	Running, Waiting, Slots int
	// Slowdown is the factor by which requests take longer than usual.
	Slowdown float64
	// FailureRate is the recent share of failed requests as seen by the upstream's node.
	FailureRate float64
	// Cold is true while the upstream warms up and its request rate is limited.
	Cold bool
	// RateWait is how long a new request waits because of the rate limit that the upstream
	// states, 0 when it can start at once or there is no limit.
	RateWait time.Duration
}

// Candidate is an upstream that may be chosen.
type Candidate struct {
	// Name is the name of the upstream's node, and Domain its failure domain.
	Name   string
	Domain string
	// Slots is used while no load report is known.
	Slots int
	Cold  bool
	// WarmupRate is the request rate of the upstream while it is cold, 0 when it isn't
	// known.
	WarmupRate float64
	// Local is true for the upstream beside the entry node.
	Local bool
	// Use is the expected number of requests per slot without a recent load report, 0 if nothing is
	// known (package overflow).
	Use float64
}

// Request describes a request for which an upstream is chosen.
type Request struct {
	// ServiceTime is the expected service time on an undisturbed host.
	ServiceTime time.Duration
	// Objective is the time by which the request should finish. A later response is of
	// little use, and one after Deadline of none.
	Objective, Deadline time.Time
	// SizeKiB is the size of the request and its response. Value is the value of the
	// response, in units of one response in time.
	SizeKiB, Value float64
	// LinkCostPerKiB is the cost of a KiB on the link of the entry node's host, which counts for all
	// upstreams of other hosts.
	LinkCostPerKiB float64
	// Reroutable is true while the node beside the upstream may reject the request
	// because another upstream is faster.
	Reroutable bool
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// Trial is true if the request can be sent to another upstream after a malformed response, so
	// that it may be a trial of one in reserve.
	Trial bool
	// Exclude contains the candidates that already rejected or failed this request.
	Exclude map[string]bool
}

// Choice is a candidate with its estimates.
type Choice struct {
	// Name is the name of the candidate.
	Name string
	// Cost is the expected cost, in units of one response in time.
	Cost float64
	// AlternativeCost is the cost of the second-best candidate, 0 when there is none.
	AlternativeCost float64
	// LoadAge is the age of the load report that was used, negative without one.
	LoadAge time.Duration
	// Slowdown is the expected slowdown of the host.
	Slowdown float64
	// SoundAlternative is true if another candidate that is not in reserve has room for the request,
	// and SoundExtraCost is by how much the cost there is higher.
	SoundAlternative bool
	SoundExtraCost   float64
	// Reserved is true if the candidate is in reserve.
	Reserved bool
	// PassedOver is the name of an upstream in reserve that would have been chosen for its cost,
	// empty without one.
	PassedOver string
}

// upstreamState is what a Balancer knows of one upstream.
type upstreamState struct {
	load           Load
	loadAt         time.Time
	inFlight       int // requests sent from this node that have not ended
	failureRate    float64
	failureRateAt  time.Time
	penalizedUntil time.Time
	unreachable    int // consecutive failures to reach the node
	integrity      integrity.Estimate
	askAt          time.Time // when the node may be asked whether its upstream is still in reserve
}

// Balancer holds the state of all upstreams as known to one entry node, and chooses among
// them. It is safe for concurrent use.
type Balancer struct {
	cfg Config

	mu        sync.Mutex
	upstreams map[string]*upstreamState
	evaluated []evaluation // used by Choose
}

// New returns a Balancer that knows no upstream. Upstreams are added on first use.
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

// Choose returns the candidate with the lowest cost, apart from those in req.Exclude. ok is
// false when no candidate is left.
func (b *Balancer) Choose(now time.Time, req *Request, candidates []Candidate) (best Choice, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evaluated = b.evaluated[:0]
	for i := range candidates {
		if !req.Exclude[candidates[i].Name] {
			b.evaluated = append(b.evaluated, b.evaluate(now, req, &candidates[i]))
		}
	}
	if len(b.evaluated) == 0 {
		return Choice{}, false
	}
	passedOver := b.applyReserve(now)
	chosen, second := cheapestTwo(b.evaluated)
	best = b.evaluated[chosen].Choice
	if second >= 0 {
		best.AlternativeCost = b.evaluated[second].Cost
	}
	best.SoundExtraCost, best.SoundAlternative = b.soundAlternative(chosen)
	if passedOver != best.Name {
		best.PassedOver = passedOver
	}
	s := b.evaluated[chosen].state
	best.Reserved = s.integrity.Reserved(now)
	if best.Reserved && req.Trial {
		s.askAt = now.Add(min(s.integrity.TrialInterval(), maxEstimateAge))
	}
	return best, true
}

// Rank returns the estimates for all candidates, the one with the lowest cost first. Unlike Choose it
// changes nothing.
func (b *Balancer) Rank(now time.Time, req *Request, candidates []Candidate) []Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Choice, 0, len(candidates))
	for i := range candidates {
		e := b.evaluate(now, req, &candidates[i])
		e.Reserved = e.state.integrity.Reserved(now)
		list = append(list, e.Choice)
	}
	slices.SortFunc(list, func(a, b Choice) int { return cmp.Compare(a.Cost, b.Cost) })
	return list
}

// cheapestTwo returns the indexes of the two candidates with the lowest costs; the second one is -1
// when there is only one.
func cheapestTwo(list []evaluation) (first, second int) {
	first, second = 0, -1
	for i := 1; i < len(list); i++ {
		switch {
		case list[i].Cost < list[first].Cost:
			first, second = i, first
		case second < 0 || list[i].Cost < list[second].Cost:
			second = i
		}
	}
	return first, second
}

// evaluate returns the estimates for one candidate.
func (b *Balancer) evaluate(now time.Time, req *Request, c *Candidate) evaluation {
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
		// Within the domain a hop is short; the two nodes still take processing time.
		networkTime = b.cfg.CrossDomainRTT / 4
		extraCost = hopCost + req.SizeKiB*req.LinkCostPerKiB/max(req.Value, 0.1)
	}
	if c.Domain != b.cfg.Domain {
		networkTime = b.cfg.CrossDomainRTT
		extraCost += req.SizeKiB * b.cfg.TransferCostPerKiB / max(req.Value, 0.1)
	}
	// Some of the reported requests have ended since, and the requests sent from this
	// node may be among them, so the larger of the two numbers is used.
	queued := math.Max(confidence*float64(load.Running+load.Waiting)+(1-confidence)*c.Use*float64(load.Slots), float64(s.inFlight))
	rateWait := 0.0
	if load.Cold && c.WarmupRate > 0 && load.Waiting > 0 {
		rateWait = confidence * float64(load.Waiting+1) / c.WarmupRate * float64(time.Second)
	}
	if load.RateWait > choice.LoadAge {
		rateWait = max(rateWait, float64(load.RateWait-choice.LoadAge))
	}
	estimate := func(slowdown float64) (time.Duration, float64) {
		wait := math.Max(rateWait, math.Max(0, queued-float64(load.Slots)+1)/float64(load.Slots)*float64(req.ServiceTime)*slowdown)
		miss, finish := EstimateCompletion(now, networkTime+time.Duration(wait), req.ServiceTime, slowdown, req.Objective, req.Deadline)
		return finish, miss
	}
	finishReported, missReported := estimate(load.Slowdown)
	finishQuiet, missQuiet := estimate(1)
	finishDisturbed, missDisturbed := estimate(priorDisturbedSlowdown)
	if req.Reroutable {
		// The node beside the upstream rejects the request when the host is
		// disturbed, so a disturbed host costs no more than a reroute.
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
	if now.Before(s.penalizedUntil) {
		choice.Cost += 2 // usually makes it the last choice
	}
	if !req.Repeatable {
		choice.Cost += s.integrity.Rate(now)
	}
	choice.Cost += rand.Float64() * 0.002 // random choice among equal candidates
	e := evaluation{Choice: choice, state: s, load: queued, slots: load.Slots}
	e.checkReserve(now, req, c)
	return e
}

// failureProbability returns the probability that a request to the upstream fails.
func (s *upstreamState) failureProbability(now time.Time, confidence float64) float64 {
	observed := 0.0
	if s.failureRate > 0 {
		observed = s.failureRate * math.Exp(-float64(now.Sub(s.failureRateAt))/float64(failureDecay))
	}
	return math.Min(1, math.Max(observed, confidence*s.load.FailureRate))
}
