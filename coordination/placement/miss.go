package placement

import (
	"math"
	"time"
)

// Miss returns the probability that work which ends after d in the mean is too
// late. Missing the objective counts nine tenths of it, and missing the deadline
// the rest. Entry nodes and the nodes beside upstreams use the same measure, so
// that their figures can be compared.
func Miss(now time.Time, d time.Duration, work float64, objective, deadline time.Time) float64 {
	sigma := spread*work + float64(fixedSpread)
	miss := func(at time.Time) float64 {
		z := (float64(at.Sub(now)) - float64(d)) / sigma
		return 1 / (1 + math.Exp(1.7*z))
	}
	return 0.9*miss(objective) + 0.1*miss(deadline)
}
