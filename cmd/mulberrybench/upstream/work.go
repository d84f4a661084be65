package upstream

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// serviceTimeSampler draws service times from the configured distribution.
type serviceTimeSampler struct {
	mu             sync.Mutex
	rng            *rand.Rand
	distribution   string
	mean           time.Duration
	sigma          float64
	slowdownFactor float64
	slowdownEnd    time.Time // slowdownFactor applies until then
}

func newServiceTimeSampler(distribution string, mean time.Duration, sigma float64, seed uint64) *serviceTimeSampler {
	return &serviceTimeSampler{rng: rand.New(rand.NewPCG(seed, 1)), distribution: distribution, mean: mean, sigma: sigma, slowdownFactor: 1}
}

// setSlowdown multiplies service times by factor until the given time.
func (s *serviceTimeSampler) setSlowdown(factor float64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdownFactor, s.slowdownEnd = factor, until
}

// slowdown returns the factor that applies at now.
func (s *serviceTimeSampler) slowdown(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.slowdownEnd) {
		return s.slowdownFactor
	}
	return 1
}

// draw returns the next service time without the slowdown.
func (s *serviceTimeSampler) draw() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := float64(s.mean)
	switch s.distribution {
	case "exponential":
		return time.Duration(mean * s.rng.ExpFloat64())
	case "lognormal":
		// exp(mu + sigma²/2) is the mean of the distribution.
		mu := math.Log(mean) - s.sigma*s.sigma/2
		return time.Duration(math.Exp(mu + s.sigma*s.rng.NormFloat64()))
	default:
		return s.mean
	}
}
