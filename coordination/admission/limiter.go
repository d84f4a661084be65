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
	recentWeight       = 0.25 // the last four completions dominate
	baselineRiseWeight = 0.01 // the usual latency follows a rise over 100 completions
	baselineFallWeight = 0.2  // and a fall over five, so a spike is soon forgotten
	deviationWeight    = 0.02

	minShift        = 0.92 // ln 2.5: smaller shifts are common on shared hosts
	shiftDeviations = 1.5  // times the mean deviation, for services that vary widely
	minSamples      = 8    // completions before a shift can be detected

	minStallShift   = 1.8 // ln 6
	stallDeviations = 3.0
	minStallTime    = 20 * time.Millisecond // below are pauses of a garbage collector

	shedFactor          = 0.7
	coldRounds          = 2  // limit's worths of completions per step in a cold start
	maxRounds           = 32 // after repeated cuts
	announcedColdRounds = 16 // while the upstream itself says that it is cold

	coldStartFailures = 3 // in a row, in a cold start, hold requests back
)

// limiter computes the concurrency limit of one upstream.
type limiter struct {
	slots               int
	limit               float64
	cuts                uint64
	inLine              int  // completions in line since the last step
	roundsPerStep       int  // limit's worths of completions needed for the next step
	announcedCold       bool // the upstream says that it is cold
	coldStart           bool // the limit has not reached the slots since the restart
	consecutiveFailures int  // in a row

	samples          int
	recentLog        float64    // logarithm of the recent latency in seconds
	baselineLog      float64    // logarithm of the usual latency in seconds
	lastLogs         [2]float64 // logarithms of the latencies of the last two completions
	deviation        float64    // mean deviation of the logarithm
	meanLatency      float64    // recent mean latency in seconds
	lastCompletion   time.Time
	limitBeforeStall float64 // limit before the present stall, zero when there is none
}

func (l *limiter) setSlots(n int) {
	l.slots = max(1, n)
	l.limit = max(1, l.limit)
	if l.limit > float64(l.slots) {
		l.limit = float64(l.slots)
		l.inLine = 0
	}
}

// restart puts the limit back to cold.
func (l *limiter) resetToCold() {
	l.limit = 1
	l.inLine = 0
	l.roundsPerStep = coldRounds
	l.coldStart = true
	l.consecutiveFailures = 0
	l.limitBeforeStall = 0
	l.cuts++
}

// forget drops what was learnt about the latency of a former process.
func (l *limiter) resetLatency() {
	l.samples = 0
	l.lastLogs = [2]float64{}
	l.meanLatency = 0
}

// whole is the number of requests that may be in flight.
func (l *limiter) maxInFlight() int { return max(1, int(l.limit)) }

func (l *limiter) cold() bool { return l.maxInFlight() < l.slots }

// latency is the expected time to answer one request; age is that of the oldest
// unanswered one.
func (l *limiter) expectedLatency(age time.Duration) time.Duration {
	d := time.Duration(l.meanLatency * float64(time.Second))
	if l.samples > 0 && age > l.stallThreshold() {
		return max(d, age)
	}
	return d
}

// completed records an answer. A shift needs three slow completions in a row, so
// that a service with some very slow requests is not cut for two of them. ok is false for answers that report a failure:
// they are often fast and must not raise the limit.
func (l *limiter) recordCompletion(now time.Time, latency time.Duration, ok bool, cutsAtAdmission uint64) {
	l.lastCompletion = now
	l.limitBeforeStall = 0
	logLatency := math.Log(max(latency.Seconds(), 1e-6))
	lastThreeMin := min(logLatency, l.lastLogs[0], l.lastLogs[1])
	l.lastLogs = [2]float64{logLatency, l.lastLogs[0]}
	inLine := l.updateEstimates(logLatency, latency.Seconds(), ok)
	if l.samples >= minSamples && l.recentLog-l.baselineLog > l.shiftThreshold() && lastThreeMin-l.baselineLog > minShift {
		l.cutForSlowdown(lastThreeMin, cutsAtAdmission)
		return
	}
	if ok && inLine {
		l.grow()
	}
}

// learn updates the estimates and reports whether the latency is in line.
func (l *limiter) updateEstimates(logLatency, seconds float64, ok bool) bool {
	if !ok {
		return false
	}
	l.samples++
	if l.samples == 1 {
		l.recentLog, l.baselineLog, l.deviation, l.meanLatency = logLatency, logLatency, 0.5, seconds
		return true
	}
	inLine := logLatency-l.baselineLog <= max(l.shiftThreshold(), stallDeviations*l.deviation)
	l.recentLog += recentWeight * (logLatency - l.recentLog)
	l.meanLatency += recentWeight * (seconds - l.meanLatency)
	l.deviation += deviationWeight * (math.Abs(logLatency-l.baselineLog) - l.deviation)
	weight := max(baselineRiseWeight, 1/float64(l.samples))
	if l.recentLog < l.baselineLog {
		weight = max(weight, baselineFallWeight)
	}
	l.baselineLog += weight * (l.recentLog - l.baselineLog)
	return inLine
}

func (l *limiter) shiftThreshold() float64 { return max(minShift, shiftDeviations*l.deviation) }

// slowed divides the limit by the slowdown and takes the present latency as the
// usual one, so that a lasting slowdown does not hold the limit down for ever.
// level is what each of the last three completions reached; the fast estimate
// lags behind it after a large step.
func (l *limiter) cutForSlowdown(lastThreeMin float64, cutsAtAdmission uint64) {
	l.recentLog = max(l.recentLog, lastThreeMin)
	factor := math.Exp(l.baselineLog - l.recentLog)
	l.baselineLog = l.recentLog
	if cutsAtAdmission == l.cuts {
		l.cut(factor)
	}
}

// shed lowers the limit once for all requests admitted under the same limit.
func (l *limiter) cutForShed(cutsAtAdmission uint64) {
	if cutsAtAdmission == l.cuts {
		l.cut(shedFactor)
	}
}

func (l *limiter) cut(factor float64) {
	l.limit = max(1, l.limit*factor)
	l.roundsPerStep = min(maxRounds, 2*max(1, l.roundsPerStep))
	l.inLine = 0
	l.cuts++
}

// grow raises the limit by one after enough completions in line.
func (l *limiter) grow() {
	if !l.cold() {
		l.inLine = 0 // completions at full slots must not count after the slots grow
		return
	}
	l.inLine++
	rounds := max(1, l.roundsPerStep)
	if l.announcedCold {
		rounds = max(rounds, announcedColdRounds)
	}
	if l.inLine < l.maxInFlight()*rounds {
		return
	}
	l.inLine = 0
	l.roundsPerStep = max(1, l.roundsPerStep/2)
	l.limit = min(float64(l.slots), math.Floor(l.limit)+1)
	l.coldStart = l.coldStart && l.cold()
}

// overrun reports whether an upstream in cold start fails one request after the
// other. It then most likely has more work than it can handle.
func (l *limiter) failingColdStart(ok bool) bool {
	if ok {
		l.consecutiveFailures = 0
		return false
	}
	l.consecutiveFailures++
	return l.coldStart && l.consecutiveFailures >= coldStartFailures
}

func (l *limiter) stallThreshold() time.Duration {
	seconds := math.Exp(l.baselineLog + max(minStallShift, stallDeviations*l.deviation))
	return max(minStallTime, time.Duration(seconds*float64(time.Second)))
}

// stalled lowers the limit when nothing has completed for far longer than usual
// although a request is in flight: the limit falls with the age of the oldest
// one.
func (l *limiter) cutForStall(now time.Time, age time.Duration) {
	if l.samples < minSamples || age <= l.stallThreshold() {
		return
	}
	if now.Sub(l.lastCompletion) <= l.stallThreshold() {
		return
	}
	if l.limitBeforeStall == 0 {
		l.limitBeforeStall = l.limit
		l.roundsPerStep = min(maxRounds, 2*max(1, l.roundsPerStep))
		l.inLine = 0
		l.cuts++
	}
	baseline := math.Exp(l.baselineLog)
	l.limit = max(1, min(l.limit, l.limitBeforeStall*baseline/age.Seconds()))
}

// Deadlines of a refused connection.
const (
	backoffInitial = 50 * time.Millisecond
	backoffMax     = time.Second
)

// backoff holds requests back after a refused connection, or after failures in a
// row in a cold start. When it ends, the
// limit of one lets a single request try.
type backoff struct {
	until  time.Time
	delay  time.Duration
	reason mulberrylink.Reason
}

func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// extend counts all failures while it holds as one.
func (b *backoff) extend(now time.Time, reason mulberrylink.Reason) {
	if b.active(now) {
		return
	}
	b.delay = min(backoffMax, max(backoffInitial, 2*b.delay))
	b.until = now.Add(b.delay)
	b.reason = reason
}

func (b *backoff) clear() { *b = backoff{} }
