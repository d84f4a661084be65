package membership

import "time"

// bucket limits the bytes that a node sends.
type bucket struct {
	perSecond float64
	burst     float64
	tokens    float64
	at        time.Time
}

func newBucket(perSecond int) bucket {
	rate := float64(perSecond)
	return bucket{perSecond: rate, burst: 2 * rate, tokens: 2 * rate}
}

func (b *bucket) refill(now time.Time) {
	if b.at.IsZero() || now.Before(b.at) {
		b.at = now
		return
	}
	b.tokens = min(b.burst, b.tokens+now.Sub(b.at).Seconds()*b.perSecond)
	b.at = now
}

// take spends n bytes and reports whether they were available.
func (b *bucket) take(n int) bool {
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// force spends n bytes even when they are not available. Probes and acks use
// it; later updates then wait until the bucket has recovered.
func (b *bucket) force(n int) { b.tokens = max(-b.burst, b.tokens-float64(n)) }
