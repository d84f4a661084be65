package placement

import (
	"math"
	"time"
)

// MissProbability returns the probability that work which ends after d in the mean is too
// late. Missing the objective counts nine tenths of it, and missing the deadline
// the rest. Entry nodes and the nodes beside upstreams use the same measure, so
// that their figures can be compared.
func MissProbability(now time.Time, d time.Duration, work float64, objective, deadline time.Time) float64 {
	sigma := spread*work + float64(fixedSpread)
	miss := func(at time.Time) float64 {
		z := (float64(at.Sub(now)) - float64(d)) / sigma
		return 1 / (1 + math.Exp(1.7*z))
	}
	return 0.9*miss(objective) + 0.1*miss(deadline)
}

const (
	// disturbed is the slowdown from which a host counts as disturbed.
	disturbed = 1.5
	// quietTime is how long a disturbance goes on in the mean once it was seen.
	quietTime = 500 * time.Millisecond
	// workSlack covers the spread of the work when the time for it is reserved.
	workSlack = 1.2
)

// Disturbed reports whether a host works so slowly that a request had better
// wait until it recovers.
func Disturbed(factor float64) bool { return factor >= disturbed }

// EstimateCompletion returns the probability that a request is too late and when it is
// finished in the mean, if it can start after wait on a host that needs factor
// times its usual time. A request takes the pace that its host has at the start
// for its whole work, so on a disturbed host it may be better to wait.
func EstimateCompletion(now time.Time, wait, work time.Duration, factor float64, objective, deadline time.Time) (miss float64, finish time.Duration) {
	slow := float64(work) * factor
	finish = wait + time.Duration(slow)
	miss = MissProbability(now, finish, slow, objective, deadline)
	if !Disturbed(factor) {
		return miss, finish
	}
	pending := func(at time.Time) float64 {
		left := at.Sub(now) - wait - time.Duration(workSlack*float64(work))
		return math.Exp(-math.Max(0, float64(left)) / float64(quietTime))
	}
	quiet := MissProbability(now, wait+work, float64(work), objective, deadline)
	held := 1 - (1-quiet)*(1-0.9*pending(objective)-0.1*pending(deadline))
	if held < miss {
		return held, wait + quietTime + work
	}
	return miss, finish
}
