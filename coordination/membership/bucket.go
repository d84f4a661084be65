package membership

import "time"

// tokenBucket limits the bytes that a node sends per second. Its burst is two seconds of the rate.
type tokenBucket struct {
	perSecond  float64
	burst      float64
	tokens     float64
	refilledAt time.Time
}

func newTokenBucket(perSecond int) tokenBucket {
	rate := float64(perSecond)
	return tokenBucket{perSecond: rate, burst: 2 * rate, tokens: 2 * rate}
}

func (b *tokenBucket) refill(now time.Time) {
	if b.refilledAt.IsZero() || now.Before(b.refilledAt) {
		b.refilledAt = now
		return
	}
	b.tokens = min(b.burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.perSecond)
	b.refilledAt = now
}

// take takes n bytes if they are available and reports whether they were.
func (b *tokenBucket) take(n int) bool {
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// takeUnchecked takes n bytes even if they are not available. Probes and acks use it; updates
// then wait until the bucket is refilled.
func (b *tokenBucket) takeUnchecked(n int) { b.tokens = max(-b.burst, b.tokens-float64(n)) }
