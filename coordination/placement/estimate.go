package placement

import (
	"math"
	"time"
)

// MissProbability returns the probability that work which ends after d in the mean is too
// late. Missing the objective counts nine tenths of it, and missing the deadline
// the rest. Entry nodes and the nodes beside upstreams use the same measure, so
// that their figures can be compared.
func MissProbability(now time.Time, finish time.Duration, serviceTime float64, objective, deadline time.Time) float64 {
	sigma := serviceTimeSpread*serviceTime + float64(overheadSpread)
	miss := func(at time.Time) float64 {
		z := (float64(at.Sub(now)) - float64(finish)) / sigma
		return 1 / (1 + math.Exp(1.7*z))
	}
	return 0.9*miss(objective) + 0.1*miss(deadline)
}

const (
	// disturbed is the slowdown from which a host counts as disturbed.
	disturbedSlowdown = 1.5
	// quietTime is how long a disturbance goes on in the mean once it was seen.
	meanDisturbance = 500 * time.Millisecond
	// workSlack covers the spread of the work when the time for it is reserved.
	serviceTimeSlack = 1.2
)

// Disturbed reports whether a host works so slowly that a request had better
// wait until it recovers.
func Disturbed(slowdown float64) bool { return slowdown >= disturbedSlowdown }

// EstimateCompletion returns the probability that a request is too late and when it is
// finished in the mean, if it can start after wait on a host that needs factor
// times its usual time. A request takes the pace that its host has at the start
// for its whole work, so on a disturbed host it may be better to wait.
func EstimateCompletion(now time.Time, wait, serviceTime time.Duration, slowdown float64, objective, deadline time.Time) (miss float64, finish time.Duration) {
	slowedTime := float64(serviceTime) * slowdown
	finish = wait + time.Duration(slowedTime)
	miss = MissProbability(now, finish, slowedTime, objective, deadline)
	if !Disturbed(slowdown) {
		return miss, finish
	}
	stillDisturbed := func(at time.Time) float64 {
		slack := at.Sub(now) - wait - time.Duration(serviceTimeSlack*float64(serviceTime))
		return math.Exp(-math.Max(0, float64(slack)) / float64(meanDisturbance))
	}
	missQuiet := MissProbability(now, wait+serviceTime, float64(serviceTime), objective, deadline)
	missWaiting := 1 - (1-missQuiet)*(1-0.9*stillDisturbed(objective)-0.1*stillDisturbed(deadline))
	if missWaiting < miss {
		return missWaiting, wait + meanDisturbance + serviceTime
	}
	return miss, finish
}
