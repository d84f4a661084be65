package admission

import (
	"math"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Constants of the limit. Latencies are compared as logarithms, because service
// times are skewed: one slow request moves a mean far, but not a mean of
// logarithms.
const (
	fastWeight    = 0.25 // the last four completions dominate
	slowUpWeight  = 0.01 // the usual latency follows a rise over 100 completions
	slowDownLimit = 0.2  // and a fall over five, so a spike is soon forgotten
	spreadWeight  = 0.02

	minShift    = 0.92 // ln 2.5: smaller shifts are common on shared hosts
	spreadShift = 1.5  // times the mean deviation, for services that vary widely
	warmSamples = 8    // completions before a shift can be detected

	stallFactor = 1.8 // ln 6
	stallSpread = 3.0
	minStall    = 20 * time.Millisecond // below are pauses of a garbage collector

	shedFactor   = 0.7
	coldPatience = 2  // limit's worths of completions per step in a cold start
	maxPatience  = 32 // after repeated cuts
	saidPatience = 16 // while the upstream itself says that it is cold

	failuresInStart = 3 // in a row, in a cold start, hold requests back
)

// limiter computes the concurrency limit of one upstream.
type limiter struct {
	slots    int
	limit    float64
	cuts     uint64
	good     int  // completions in line since the last step
	patience int  // limit's worths of completions needed for the next step
	said     bool // the upstream says that it is cold
	starting bool // the limit has not reached the slots since the restart
	failures int  // in a row

	samples  int
	fast     float64    // logarithm of the recent latency in seconds
	slow     float64    // logarithm of the usual latency in seconds
	last     [2]float64 // logarithms of the latencies of the last two completions
	spread   float64    // mean deviation of the logarithm
	mean     float64    // recent mean latency in seconds
	lastDone time.Time
	before   float64 // limit before the present stall, zero when there is none
}

func (l *limiter) setSlots(n int) {
	l.slots = max(1, n)
	l.limit = max(1, l.limit)
	if l.limit > float64(l.slots) {
		l.limit = float64(l.slots)
		l.good = 0
	}
}

// restart puts the limit back to cold.
func (l *limiter) restart() {
	l.limit = 1
	l.good = 0
	l.patience = coldPatience
	l.starting = true
	l.failures = 0
	l.before = 0
	l.cuts++
}

// forget drops what was learnt about the latency of a former process.
func (l *limiter) forget() {
	l.samples = 0
	l.last = [2]float64{}
	l.mean = 0
}

// whole is the number of requests that may be in flight.
func (l *limiter) whole() int { return max(1, int(l.limit)) }

func (l *limiter) cold() bool { return l.whole() < l.slots }

// latency is the expected time to answer one request; age is that of the oldest
// unanswered one.
func (l *limiter) latency(age time.Duration) time.Duration {
	d := time.Duration(l.mean * float64(time.Second))
	if l.samples > 0 && age > l.stallBound() {
		return max(d, age)
	}
	return d
}

// completed records an answer. A shift needs three slow completions in a row, so
// that a service with some very slow requests is not cut for two of them. ok is false for answers that report a failure:
// they are often fast and must not raise the limit.
func (l *limiter) completed(now time.Time, took time.Duration, ok bool, cuts uint64) {
	l.lastDone = now
	l.before = 0
	x := math.Log(max(took.Seconds(), 1e-6))
	level := min(x, l.last[0], l.last[1])
	l.last = [2]float64{x, l.last[0]}
	inLine := l.learn(x, took.Seconds(), ok)
	if l.samples >= warmSamples && l.fast-l.slow > l.shiftBound() && level-l.slow > minShift {
		l.slowed(level, cuts)
		return
	}
	if ok && inLine {
		l.grow()
	}
}

// learn updates the estimates and reports whether the latency is in line.
func (l *limiter) learn(x, seconds float64, ok bool) bool {
	if !ok {
		return false
	}
	l.samples++
	if l.samples == 1 {
		l.fast, l.slow, l.spread, l.mean = x, x, 0.5, seconds
		return true
	}
	inLine := x-l.slow <= max(l.shiftBound(), stallSpread*l.spread)
	l.fast += fastWeight * (x - l.fast)
	l.mean += fastWeight * (seconds - l.mean)
	l.spread += spreadWeight * (math.Abs(x-l.slow) - l.spread)
	w := max(slowUpWeight, 1/float64(l.samples))
	if l.fast < l.slow {
		w = max(w, slowDownLimit)
	}
	l.slow += w * (l.fast - l.slow)
	return inLine
}

func (l *limiter) shiftBound() float64 { return max(minShift, spreadShift*l.spread) }

// slowed divides the limit by the slowdown and takes the present latency as the
// usual one, so that a lasting slowdown does not hold the limit down for ever.
// level is what each of the last three completions reached; the fast estimate
// lags behind it after a large step.
func (l *limiter) slowed(level float64, cuts uint64) {
	l.fast = max(l.fast, level)
	factor := math.Exp(l.slow - l.fast)
	l.slow = l.fast
	if cuts == l.cuts {
		l.cut(factor)
	}
}

// shed lowers the limit once for all requests admitted under the same limit.
func (l *limiter) shed(cuts uint64) {
	if cuts == l.cuts {
		l.cut(shedFactor)
	}
}

func (l *limiter) cut(factor float64) {
	l.limit = max(1, l.limit*factor)
	l.patience = min(maxPatience, 2*max(1, l.patience))
	l.good = 0
	l.cuts++
}

// grow raises the limit by one after enough completions in line.
func (l *limiter) grow() {
	if !l.cold() {
		l.good = 0 // completions at full slots must not count after the slots grow
		return
	}
	l.good++
	patience := max(1, l.patience)
	if l.said {
		patience = max(patience, saidPatience)
	}
	if l.good < l.whole()*patience {
		return
	}
	l.good = 0
	l.patience = max(1, l.patience/2)
	l.limit = min(float64(l.slots), math.Floor(l.limit)+1)
	l.starting = l.starting && l.cold()
}

// overrun reports whether an upstream in cold start fails one request after the
// other. It then most likely has more work than it can handle.
func (l *limiter) overrun(ok bool) bool {
	if ok {
		l.failures = 0
		return false
	}
	l.failures++
	return l.starting && l.failures >= failuresInStart
}

func (l *limiter) stallBound() time.Duration {
	s := math.Exp(l.slow + max(stallFactor, stallSpread*l.spread))
	return max(minStall, time.Duration(s*float64(time.Second)))
}

// stalled lowers the limit when nothing has completed for far longer than usual
// although a request is in flight: the limit falls with the age of the oldest
// one.
func (l *limiter) stalled(now time.Time, age time.Duration) {
	if l.samples < warmSamples || age <= l.stallBound() {
		return
	}
	if now.Sub(l.lastDone) <= l.stallBound() {
		return
	}
	if l.before == 0 {
		l.before = l.limit
		l.patience = min(maxPatience, 2*max(1, l.patience))
		l.good = 0
		l.cuts++
	}
	usual := math.Exp(l.slow)
	l.limit = max(1, min(l.limit, l.before*usual/age.Seconds()))
}

// Deadlines of a refused connection.
const (
	backoffFirst = 50 * time.Millisecond
	backoffMax   = time.Second
)

// backoff holds requests back after a refused connection, or after failures in a
// row in a cold start. When it ends, the
// limit of one lets a single request try.
type backoff struct {
	until  time.Time
	next   time.Duration
	reason mulberrylink.Reason
}

func (b *backoff) holds(now time.Time) bool { return now.Before(b.until) }

// extend counts all failures while it holds as one.
func (b *backoff) extend(now time.Time, reason mulberrylink.Reason) {
	if b.holds(now) {
		return
	}
	b.next = min(backoffMax, max(backoffFirst, 2*b.next))
	b.until = now.Add(b.next)
	b.reason = reason
}

func (b *backoff) clear() { *b = backoff{} }
