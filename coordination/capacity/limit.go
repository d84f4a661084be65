package capacity

import "time"

const (
	// minSamples and minSampleSpan are the number of reports and the time between the
	// first and the last of them that it takes to attribute a slowdown to the number
	// of running requests. Disturbances of the host also slow the upstream down, but
	// do not last that long.
	minSamples    = 8
	minSampleSpan = 1500 * time.Millisecond
	// maxSampleSlowdown is the slowdown from which a report is ignored, because it
	// shows a disturbed host. Upstreams that are nearly full are up to 2 times slower,
	// disturbed hosts 7 times.
	maxSampleSlowdown = 3.0
	// sampleLifetime is how long the reports of a concurrency level count after the
	// last one. After that the upstream may run its full number of slots again.
	sampleLifetime = 30 * time.Second
)

// limitEstimator estimates the concurrency limit with the highest throughput. Some
// upstreams slow down so much when they are nearly full that they finish more requests
// with fewer at a time.
type limitEstimator struct{ levels []concurrencyLevel }

// concurrencyLevel holds the smallest slowdown reported with a given number of running
// requests.
type concurrencyLevel struct {
	minSlowdown     float64
	samples         int
	firstAt, lastAt time.Time
}

// observe records the slowdown with a given number of running requests. A lightly loaded
// upstream runs many requests only while its host is disturbed, since they take longer
// then; such reports must not lower the limit.
func (e *limitEstimator) observe(running int, slowdown float64, now time.Time) {
	if running < 1 || running > maxQueueLength || slowdown >= maxSampleSlowdown {
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

// limit returns the number of running requests with the highest throughput. Levels
// without enough reports are assumed to have the slowdown of the next lower level.
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
