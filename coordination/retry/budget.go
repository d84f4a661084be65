package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mulberrylink/mulberrylink"
)

const (
	// tokenUnits is one token: tokens are counted in hundredths.
	tokenUnits = 100

	latencyWindow     = 10 * time.Second       // latencies count for one to two windows
	quantileLifetime  = 100 * time.Millisecond // time until quantiles are computed again
	minSamples        = 100                    // fewer samples do not support a 95th percentile
	latencyUnit       = 100 * time.Microsecond
	maxLatency        = 10 * time.Minute
	significantDigits = 1 // 2,628 bytes per window; an error of 10% is acceptable
	hedgePercentile   = 95
)

// Budget is the retry budget of one service.
type Budget struct {
	mu             sync.Mutex
	tokens         int
	maxTokens      int // cap, so that a long time without retries does not permit a retry storm
	reserve        int
	reserveLeft    int // unused part of the reserve
	refillInterval time.Duration
	nextRefill     time.Time

	recent, previous    *hdrhistogram.Histogram
	nextRotation        time.Time
	quantilesValidUntil time.Time
	p50, p95            time.Duration
	enoughSamples       bool
}

func newBudget(reserve, maxTokens int, refillInterval time.Duration) *Budget {
	return &Budget{
		reserve:        reserve,
		maxTokens:      maxTokens * tokenUnits,
		refillInterval: refillInterval,
		recent:         newHistogram(),
		previous:       newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/latencyUnit), significantDigits)
}

// deposit adds percent hundredths of a token for a new request.
func (b *Budget) deposit(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.maxTokens, b.tokens+percent)
}

// withdraw takes a token, or a part of the reserve when there is no token. It reports false
// when both are used up.
func (b *Budget) withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens >= tokenUnits {
		b.tokens -= tokenUnits
		return true
	}
	if !now.Before(b.nextRefill) {
		b.reserveLeft = b.reserve
		b.nextRefill = now.Add(b.refillInterval)
	}
	if b.reserveLeft == 0 {
		return false
	}
	b.reserveLeft--
	return true
}

// canFinish reports whether the remaining time of a request is at least the median latency
// of the service.
func (b *Budget) canFinish(r *mulberrylink.Request, now time.Time) bool {
	if r.Deadline.IsZero() {
		return true
	}
	remaining := r.Deadline.Sub(now)
	_, median, _ := b.quantiles(now)
	return remaining > 0 && remaining >= median
}

func (b *Budget) recordLatency(took time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rotate(now)
	_ = b.recent.RecordValue(int64(min(took, maxLatency) / latencyUnit))
}

// quantiles returns the 95th and 50th percentiles of the recent latency. ok is false while
// there are too few samples for the 95th.
func (b *Budget) quantiles(now time.Time) (p95, p50 time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rotate(now)
	if now.Before(b.quantilesValidUntil) {
		return b.p95, b.p50, b.enoughSamples
	}
	b.quantilesValidUntil = now.Add(quantileLifetime)
	h := b.recent
	if h.TotalCount() < minSamples {
		h = newHistogram()
		h.Merge(b.recent)
		h.Merge(b.previous)
	}
	b.enoughSamples = h.TotalCount() >= minSamples
	b.p50 = time.Duration(h.ValueAtQuantile(50)) * latencyUnit
	b.p95 = time.Duration(h.ValueAtQuantile(hedgePercentile)) * latencyUnit
	return b.p95, b.p50, b.enoughSamples
}

// rotate starts a new window when the current one has ended. Only the window before it is
// kept.
func (b *Budget) rotate(now time.Time) {
	if now.Before(b.nextRotation) {
		return
	}
	if !b.nextRotation.IsZero() {
		b.recent, b.previous = b.previous, b.recent
		b.recent.Reset()
	}
	b.nextRotation = now.Add(latencyWindow)
}
