package capacity

import (
	"math"
	"time"
)

// warmupBucket is a token bucket for the requests to a cold upstream: in any time span t it allows
// at most burst + rate * t requests. It starts with one token, because an earlier process of the
// node may have used the others just before.
type warmupBucket struct {
	rate, burst float64
	tokens      float64
	updatedAt   time.Time
}

func (b *warmupBucket) setLimits(rate, burst float64, now time.Time) {
	b.refill(now)
	if b.burst == 0 {
		b.tokens = 1
	}
	b.rate, b.burst = rate, max(1, burst)
	b.tokens = min(b.tokens, b.burst)
}

func (b *warmupBucket) refill(now time.Time) {
	if !b.updatedAt.IsZero() {
		b.tokens = math.Min(b.burst, b.tokens+b.rate*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
}

// take removes a token, if there is one.
func (b *warmupBucket) take(now time.Time) {
	b.refill(now)
	b.tokens = max(0, b.tokens-1)
}

// timeToTokens returns the time until n tokens are available, 0 when they are now.
func (b *warmupBucket) timeToTokens(n int, now time.Time) time.Duration {
	b.refill(now)
	missing := float64(n) - b.tokens
	switch {
	case missing <= 0:
		return 0
	case b.rate <= 0:
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
}
