package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mulberrylink/mulberrylink"
)

// Constants of a budget. Tokens are counted in hundredths.
const (
	token = 100

	window       = 10 * time.Second // latencies count for one to two windows
	recompute    = 100 * time.Millisecond
	minSamples   = 100 // fewer do not support a 95th percentile
	latencyUnit  = 100 * time.Microsecond
	longest      = 10 * time.Minute
	digits       = 1 // 2,628 bytes for each window; an error of 10% is enough
	hedgePercent = 95
)

// Budget is the retry budget of one service.
type Budget struct {
	mu       sync.Mutex
	tokens   int
	saved    int // the most tokens: a long quiet time must not pay for a storm of retries
	reserve  int
	left     int // of the reserve
	refill   time.Duration
	refillAt time.Time

	recent, former *hdrhistogram.Histogram
	rotateAt       time.Time
	freshUntil     time.Time
	p50, p95       time.Duration
	enough         bool
}

func newBudget(reserve, saved int, refill time.Duration) *Budget {
	return &Budget{
		reserve: reserve,
		saved:   saved * token,
		refill:  refill,
		recent:  newHistogram(),
		former:  newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(longest/latencyUnit), digits)
}

func (b *Budget) first(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.saved, b.tokens+percent)
}

// take uses a token, or a part of the reserve when there is none.
func (b *Budget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens >= token {
		b.tokens -= token
		return true
	}
	if !now.Before(b.refillAt) {
		b.left = b.reserve
		b.refillAt = now.Add(b.refill)
	}
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// inTime reports whether the service usually answers before the deadline.
func (b *Budget) inTime(r *mulberrylink.Request, now time.Time) bool {
	if r.Deadline.IsZero() {
		return true
	}
	left := r.Deadline.Sub(now)
	_, typical, _ := b.quantiles(now)
	return left > 0 && left >= typical
}

func (b *Budget) record(took time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rotate(now)
	_ = b.recent.RecordValue(int64(min(took, longest) / latencyUnit))
}

// quantiles returns the 95th and 50th percentile of the recent latency. ok is
// false while there are too few samples for the former.
func (b *Budget) quantiles(now time.Time) (p95, p50 time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rotate(now)
	if now.Before(b.freshUntil) {
		return b.p95, b.p50, b.enough
	}
	b.freshUntil = now.Add(recompute)
	h := b.recent
	if h.TotalCount() < minSamples {
		h = newHistogram()
		h.Merge(b.recent)
		h.Merge(b.former)
	}
	b.enough = h.TotalCount() >= minSamples
	b.p50 = time.Duration(h.ValueAtQuantile(50)) * latencyUnit
	b.p95 = time.Duration(h.ValueAtQuantile(hedgePercent)) * latencyUnit
	return b.p95, b.p50, b.enough
}

func (b *Budget) rotate(now time.Time) {
	if now.Before(b.rotateAt) {
		return
	}
	if !b.rotateAt.IsZero() {
		b.recent, b.former = b.former, b.recent
		b.recent.Reset()
	}
	b.rotateAt = now.Add(window)
}
