package capacity

import "time"

const (
	// kneeSamples and kneeSpan are what it takes to believe that a number of
	// running requests slows the upstream: a disturbance of the host, which also
	// slows it, does not last that long.
	kneeSamples = 8
	kneeSpan    = 1500 * time.Millisecond
	// kneeMost is the slowdown from which a report tells of a disturbed host and
	// nothing of the upstream. Upstreams that are nearly full were seen up to 2
	// times slower, disturbed hosts 7 times.
	kneeMost = 3.0
	// kneeForget is how long the belief lasts without a new report; then the
	// upstream is tried at its full number of slots again.
	kneeForget = 30 * time.Second
)

// knee learns how many requests an upstream should run at a time. Some slow down
// when they are nearly full, so that they finish more with fewer at a time.
type knee struct{ levels []level }

// level is the best that was reported with so many requests running.
type level struct {
	least       float64
	samples     int
	first, last time.Time
}

// learn takes a report of how much longer than usual work took with so many
// requests running. A lightly loaded upstream runs many requests only while its
// host is disturbed, since they take longer then; such reports must not lower
// the limit.
func (k *knee) learn(running int, factor float64, now time.Time) {
	if running < 1 || running > maxWaiting || factor >= kneeMost {
		return
	}
	for len(k.levels) <= running {
		k.levels = append(k.levels, level{})
	}
	l := &k.levels[running]
	if l.samples == 0 || now.Sub(l.last) > kneeForget {
		*l = level{least: factor, first: now}
	}
	l.least = min(l.least, factor)
	l.samples++
	l.last = now
}

// limit returns the number of requests at which the upstream finishes most.
func (k *knee) limit(slots int, now time.Time) int {
	best, rate, factor := slots, 0.0, 1.0
	for n := 1; n <= slots; n++ {
		if n < len(k.levels) {
			l := &k.levels[n]
			if l.samples >= kneeSamples && l.last.Sub(l.first) >= kneeSpan && now.Sub(l.last) <= kneeForget {
				factor = max(1, l.least)
			}
		}
		if r := float64(n) / factor; r >= rate {
			best, rate = n, r
		}
	}
	return best
}
