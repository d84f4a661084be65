package placement

import (
	"math"
	"time"
)

// MissProbability returns the probability that a request with the mean time to finish is too
// late. Missing the objective has a weight of 0.9, and missing the deadline of 0.1. Entry
// nodes and the nodes beside upstreams use the same measure, so that their estimates can be
// compared.
func MissProbability(now time.Time, finish time.Duration, serviceTime float64, objective, deadline time.Time) float64 {
	sigma := serviceTimeSpread*serviceTime + float64(overheadSpread)
	miss := func(at time.Time) float64 {
		// The logistic function approximates the normal distribution.
		z := (float64(at.Sub(now)) - float64(finish)) / sigma
		return 1 / (1 + math.Exp(1.7*z))
	}
	return 0.9*miss(objective) + 0.1*miss(deadline)
}

const (
	// disturbedSlowdown is the slowdown from which a host counts as disturbed.
	disturbedSlowdown = 1.5
	// meanDisturbance is the mean time until an observed disturbance ends.
	meanDisturbance = 500 * time.Millisecond
	// serviceTimeSlack scales the service time that is reserved after a wait, to cover
	// its variation.
	serviceTimeSlack = 1.2
)

// Disturbed reports whether a host is so slow that it may pay for a request to wait until
// the host recovers.
func Disturbed(slowdown float64) bool { return slowdown >= disturbedSlowdown }

// EstimateCompletion returns the probability that a request finishes too late and its mean
// time to finish, if it can start after wait on a host with the given slowdown. The slowdown
// at the start applies to the whole service time, so on a disturbed host it may be better to
// wait; the better of both is returned.
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
