package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// serviceTimes are distributions of service times with a mean of one.
var serviceTimes = map[string]func(r *rand.Rand) float64{
	"lognormal0.5": func(r *rand.Rand) float64 { return math.Exp(0.5*r.NormFloat64() - 0.125) },
	"lognormal1.0": func(r *rand.Rand) float64 { return math.Exp(r.NormFloat64() - 0.5) },
	"exponential":  func(r *rand.Rand) float64 { return r.ExpFloat64() },
	"bimodal": func(r *rand.Rand) float64 {
		if r.IntN(10) == 0 {
			return 5
		}
		return 0.555
	},
}

// TestShiftModel guards against a limit that falls without a slowdown, and against
// one that does not fall soon after a slowdown by a factor of ten. It draws the
// service times above with seed 1 and a mean of 10 ms, for 12 slots.
func TestShiftModel(t *testing.T) {
	const completions = 100_000
	for name, sample := range serviceTimes {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 1))
			took := func(slower float64) time.Duration {
				return time.Duration(slower * sample(r) * float64(10*time.Millisecond))
			}
			l := &limiter{}
			l.setSlots(12)
			cuts, sum := uint64(0), 0.0
			for range completions {
				l.recordCompletion(time.Time{}, took(1), true, l.cuts)
				sum += l.limit
			}
			cuts = l.cuts
			completionsToDetect := 0
			for range 200 {
				for range 1000 {
					l.recordCompletion(time.Time{}, took(1), true, l.cuts)
				}
				before := l.cuts
				for range 50 {
					l.recordCompletion(time.Time{}, took(10), true, l.cuts)
					completionsToDetect++
					if l.cuts != before {
						break
					}
				}
			}
			t.Logf("model service=%s cuts=%d of=%d limit=%.2f detect=%.1f", name,
				cuts, completions, sum/completions, float64(completionsToDetect)/200)
			if sum/completions < 0.95*12 {
				t.Errorf("mean limit %.2f of 12 without a slowdown", sum/completions)
			}
			if completionsToDetect > 200*8 {
				t.Errorf("%d completions to detect 200 slowdowns by ten", completionsToDetect)
			}
		})
	}
}
