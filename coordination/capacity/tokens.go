package capacity

import (
	"math"
	"time"
)

// maxRateWait stands for the wait at an upstream that accepts no requests.
const maxRateWait = time.Hour

// tokenBucket limits the requests to an upstream: in any time span t it allows at most
// burst + rate * t requests. It starts with one token, because the upstream may have got other
// requests just before, from an earlier process of the node or before it stated the rate.
type tokenBucket struct {
	rate, burst float64
	tokens      float64
	updatedAt   time.Time
}

func (b *tokenBucket) setLimits(rate, burst float64, now time.Time) {
	b.refill(now)
	if b.burst == 0 {
		b.tokens = 1
	}
	b.rate, b.burst = rate, max(1, burst)
	b.tokens = min(b.tokens, b.burst)
}

func (b *tokenBucket) refill(now time.Time) {
	if !b.updatedAt.IsZero() {
		b.tokens = math.Min(b.burst, b.tokens+b.rate*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
}

// take removes a token, if there is one.
func (b *tokenBucket) take(now time.Time) {
	b.refill(now)
	b.tokens = max(0, b.tokens-1)
}

// timeToTokens returns the time until n tokens are available, 0 when they are now.
func (b *tokenBucket) timeToTokens(n int, now time.Time) time.Duration {
	b.refill(now)
	missing := float64(n) - b.tokens
	switch {
	case missing <= 0:
		return 0
	case b.rate <= 0:
		return maxRateWait
	}
	return time.Duration(min(float64(maxRateWait), math.Ceil(missing/b.rate*float64(time.Second))))
}
