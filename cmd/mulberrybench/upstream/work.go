package upstream

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// work draws service times.
type work struct {
	mu     sync.Mutex
	rng    *rand.Rand
	kind   string
	mean   time.Duration
	sigma  float64
	factor float64
	until  time.Time // factor applies until then
}

func newWork(kind string, mean time.Duration, sigma float64, seed uint64) *work {
	return &work{rng: rand.New(rand.NewPCG(seed, 1)), kind: kind, mean: mean, sigma: sigma, factor: 1}
}

// slow multiplies service times by factor for a time.
func (w *work) slow(factor float64, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.factor, w.until = factor, until
}

// scale returns the present slowdown factor.
func (w *work) scale(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Before(w.until) {
		return w.factor
	}
	return 1
}

// draw returns the next service time, without any slowdown.
func (w *work) draw() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	mean := float64(w.mean)
	switch w.kind {
	case "exponential":
		return time.Duration(mean * w.rng.ExpFloat64())
	case "lognormal":
		// exp(mu + sigma²/2) is the mean of the distribution.
		mu := math.Log(mean) - w.sigma*w.sigma/2
		return time.Duration(math.Exp(mu + w.sigma*w.rng.NormFloat64()))
	default:
		return w.mean
	}
}
