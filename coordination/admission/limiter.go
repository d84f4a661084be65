package admission

import (
	"math"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Constants of the limiter. Latencies are compared as logarithms, because service
// times are skewed: a single slow request shifts their mean far, but not the mean
// of their logarithms. A round is as many completions as the limit.
const (
	recentWeight       = 0.25 // the last four completions dominate
	baselineRiseWeight = 0.01 // the baseline follows a rise over 100 completions
	baselineFallWeight = 0.2  // and a fall over five, so that it soon forgets a spike
	deviationWeight    = 0.02

	minShift        = 0.92 // ln 2.5; smaller shifts are common on shared hosts
	shiftDeviations = 1.5  // mean deviations, for services with widely varying latency
	minSamples      = 8    // completions before a slowdown or stall is detected

	minStallShift   = 1.8                   // ln 6
	stallDeviations = 3.0                   // mean deviations
	minStallTime    = 20 * time.Millisecond // garbage collector pauses are shorter

	shedFactor          = 0.7
	coldRounds          = 2  // rounds for the first step of a cold start
	maxRounds           = 32 // after repeated cuts
	announcedColdRounds = 16 // while the upstream announces itself as cold

	coldStartFailures = 3 // consecutive failures in a cold start that start the backoff
)

// limiter computes the concurrency limit of one upstream.
type limiter struct {
	slots               int
	limit               float64
	cuts                uint64 // cuts and resets of the limit
	inLine              int    // completions in line with the baseline since the last step
	roundsPerStep       int    // rounds of such completions needed for the next step
	announcedCold       bool   // the upstream announces itself as cold
	coldStart           bool   // the limit has not reached the slots since the last reset
	consecutiveFailures int

	samples          int
	recentLog        float64    // logarithm of the recent latency in seconds
	baselineLog      float64    // logarithm of the baseline latency in seconds
	lastLogs         [2]float64 // logarithms of the latencies of the last two completions
	deviation        float64    // mean deviation of the logarithm
	meanLatency      float64    // recent mean latency in seconds
	lastCompletion   time.Time
	limitBeforeStall float64 // limit before the current stall, zero when there is none
}

// setSlots sets the slots of the upstream, which cap the limit.
func (l *limiter) setSlots(n int) {
	l.slots = max(1, n)
	l.limit = max(1, l.limit)
	if l.limit > float64(l.slots) {
		l.limit = float64(l.slots)
		l.inLine = 0
	}
}

// resetToCold resets the limit to one and begins a cold start.
func (l *limiter) resetToCold() {
	l.limit = 1
	l.inLine = 0
	l.roundsPerStep = coldRounds
	l.coldStart = true
	l.consecutiveFailures = 0
	l.limitBeforeStall = 0
	l.cuts++
}

// resetLatency drops the latency estimates of a former process of the upstream.
func (l *limiter) resetLatency() {
	l.samples = 0
	l.lastLogs = [2]float64{}
	l.meanLatency = 0
}

// maxInFlight returns the limit as a number of requests.
func (l *limiter) maxInFlight() int { return max(1, int(l.limit)) }

func (l *limiter) cold() bool { return l.maxInFlight() < l.slots }

// expectedLatency returns the expected latency of one request. age is the age of
// the oldest unanswered request and counts once it indicates a stall.
func (l *limiter) expectedLatency(age time.Duration) time.Duration {
	d := time.Duration(l.meanLatency * float64(time.Second))
	if l.samples > 0 && age > l.stallThreshold() {
		return max(d, age)
	}
	return d
}

// recordCompletion records the latency of a response and adapts the limit. A
// slowdown is detected after three consecutive slow completions, so that two very
// slow requests do not cut the limit of a service that has some. ok is false for
// responses that report a failure: they are often fast and must not raise the
// limit.
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

// updateEstimates updates the latency estimates and reports whether the latency
// is in line with the baseline.
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

// shiftThreshold returns the rise of the logarithm above the baseline that counts
// as a slowdown.
func (l *limiter) shiftThreshold() float64 { return max(minShift, shiftDeviations*l.deviation) }

// cutForSlowdown divides the limit by the slowdown and takes the recent latency
// as the new baseline, so that a lasting slowdown does not keep the limit low.
// lastThreeMin is the lowest of the last three latencies; after a large step,
// recentLog lags behind it. A request admitted before the last cut does not cut
// the limit again.
func (l *limiter) cutForSlowdown(lastThreeMin float64, cutsAtAdmission uint64) {
	l.recentLog = max(l.recentLog, lastThreeMin)
	factor := math.Exp(l.baselineLog - l.recentLog)
	l.baselineLog = l.recentLog
	if cutsAtAdmission == l.cuts {
		l.cut(factor)
	}
}

// cutForShed cuts the limit after a response that shed load. A request admitted
// before the last cut does not cut the limit again.
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

// grow counts a completion in line with the baseline and raises the limit by one
// after enough of them.
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

// failingColdStart records a success or failure and reports whether an upstream
// in cold start has failed coldStartFailures consecutive requests or more. It is
// then most likely overloaded.
func (l *limiter) failingColdStart(ok bool) bool {
	if ok {
		l.consecutiveFailures = 0
		return false
	}
	l.consecutiveFailures++
	return l.coldStart && l.consecutiveFailures >= coldStartFailures
}

// stallThreshold returns the time without a response or completion from which the
// upstream counts as stalled.
func (l *limiter) stallThreshold() time.Duration {
	seconds := math.Exp(l.baselineLog + max(minStallShift, stallDeviations*l.deviation))
	return max(minStallTime, time.Duration(seconds*float64(time.Second)))
}

// cutForStall cuts the limit when no request has completed for far longer than
// usual although one is in flight. The limit falls as age, that of the oldest
// unanswered request, rises.
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

// Bounds of the backoff delay.
const (
	backoffInitial = 50 * time.Millisecond
	backoffMax     = time.Second
)

// backoff rejects requests after a refused connection, the death of the upstream,
// or consecutive failures in a cold start. When it ends, the limit of one admits a
// single request.
type backoff struct {
	until  time.Time
	delay  time.Duration // of the last backoff; doubles with the next one
	reason mulberrylink.Reason
}

func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// extend starts the next backoff with twice the delay. Failures during a backoff
// have no effect.
func (b *backoff) extend(now time.Time, reason mulberrylink.Reason) {
	if b.active(now) {
		return
	}
	b.delay = min(backoffMax, max(backoffInitial, 2*b.delay))
	b.until = now.Add(b.delay)
	b.reason = reason
}

func (b *backoff) clear() { *b = backoff{} }
