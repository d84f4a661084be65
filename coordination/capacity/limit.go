package capacity

import "time"

const (
	// kneeSamples and kneeSpan are what it takes to believe that a number of
	// running requests slows the upstream: a disturbance of the host, which also
	// slows it, does not last that long.
	minSamples    = 8
	minSampleSpan = 1500 * time.Millisecond
	// kneeMost is the slowdown from which a report tells of a disturbed host and
	// nothing of the upstream. Upstreams that are nearly full were seen up to 2
	// times slower, disturbed hosts 7 times.
	disturbedSlowdown = 3.0
	// kneeForget is how long the belief lasts without a new report; then the
	// upstream is tried at its full number of slots again.
	sampleLifetime = 30 * time.Second
)

// knee learns how many requests an upstream should run at a time. Some slow down
// when they are nearly full, so that they finish more with fewer at a time.
type limitEstimator struct{ levels []concurrencyLevel }

// level is the best that was reported with so many requests running.
type concurrencyLevel struct {
	minSlowdown     float64
	samples         int
	firstAt, lastAt time.Time
}

// learn takes a report of how much longer than usual work took with so many
// requests running. A lightly loaded upstream runs many requests only while its
// host is disturbed, since they take longer then; such reports must not lower
// the limit.
func (e *limitEstimator) observe(running int, slowdown float64, now time.Time) {
	if running < 1 || running > maxQueueLength || slowdown >= disturbedSlowdown {
		return
	}
	for len(e.levels) <= running {
		e.levels = append(e.levels, concurrencyLevel{})
	}
	l := &e.levels[running]
	if l.samples == 0 || now.Sub(l.lastAt) > sampleLifetime {
		*l = concurrencyLevel{minSlowdown: slowdown, firstAt: now}
	}
	l.minSlowdown = min(l.minSlowdown, slowdown)
	l.samples++
	l.lastAt = now
}

// limit returns the number of requests at which the upstream finishes most.
func (e *limitEstimator) limit(slots int, now time.Time) int {
	best, throughput, slowdown := slots, 0.0, 1.0
	for n := 1; n <= slots; n++ {
		if n < len(e.levels) {
			l := &e.levels[n]
			if l.samples >= minSamples && l.lastAt.Sub(l.firstAt) >= minSampleSpan && now.Sub(l.lastAt) <= sampleLifetime {
				slowdown = max(1, l.minSlowdown)
			}
		}
		if r := float64(n) / slowdown; r >= throughput {
			best, throughput = n, r
		}
	}
	return best
}
