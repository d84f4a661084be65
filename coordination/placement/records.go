package placement

import (
	"maps"
	"math"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/integrity"
)

// RequestSent records that a request was sent to an upstream.
func (b *Balancer) RequestSent(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(name).inFlight++
}

// RequestEnded records that a sent request has ended, with or without a response.
func (b *Balancer) RequestEnded(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(name)
	s.inFlight = max(0, s.inFlight-1)
}

// InFlight returns the number of requests sent from this node that have not ended.
func (b *Balancer) InFlight(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.upstreams[name]; s != nil {
		return s.inFlight
	}
	return 0
}

// Retain drops what is known of the upstreams for which keep returns false, apart from those with
// requests in flight.
func (b *Balancer) Retain(keep func(name string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.upstreams, func(name string, s *upstreamState) bool { return s.inFlight == 0 && !keep(name) })
}

// Size returns the number of upstreams of which something is known.
func (b *Balancer) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.upstreams)
}

// RecordLoad records a load report. It also shows that the node is reachable.
func (b *Balancer) RecordLoad(name string, load Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(name)
	s.load, s.loadAt = load, now
	s.unreachable = 0
}

// RecordIntegrity records the estimate of the malformed responses of an upstream, as its node states it.
func (b *Balancer) RecordIntegrity(name string, e integrity.Estimate, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(name)
	s.integrity, s.askAt = e, now.Add(maxEstimateAge)
	if e.TrialAt.Before(s.askAt) {
		s.askAt = e.TrialAt
	}
}

// Integrity returns the estimate that was recorded last, the zero value for an unknown upstream.
func (b *Balancer) Integrity(name string) integrity.Estimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(name).integrity
}

// RecordResult records whether a request that ran on the upstream failed.
func (b *Balancer) RecordResult(name string, failed bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(name)
	rate := s.failureRate * math.Exp(-float64(now.Sub(s.failureRateAt))/float64(failureDecay))
	target := 0.0
	if failed {
		target = 1
	}
	s.failureRate, s.failureRateAt = rate+failureWeight*(target-rate), now
}

// RecordRejection makes an upstream that rejected a request the last choice for
// rejectionPause. It is not needed after a rejection because another upstream is faster: the
// reported load then has the same effect.
func (b *Balancer) RecordRejection(name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(name)
	s.penalizedUntil = now.Add(rejectionPause)
}

// RecordUnreachable makes an upstream whose node could not be reached the last choice, and
// returns for how long. The time doubles with each consecutive failure.
func (b *Balancer) RecordUnreachable(name string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(name)
	if now.Before(s.penalizedUntil) && s.unreachable > 0 {
		return s.penalizedUntil.Sub(now) // requests in flight at the same time count as one failure
	}
	pause := min(maxUnreachablePause, unreachablePause<<min(s.unreachable, 8))
	s.unreachable++
	s.penalizedUntil = now.Add(pause)
	return pause
}

// LastLoad returns the last load report, its age, and whether there is one.
func (b *Balancer) LastLoad(name string, now time.Time) (Load, time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.upstreams[name]
	if s == nil || s.loadAt.IsZero() {
		return Load{}, 0, false
	}
	return s.load, now.Sub(s.loadAt), true
}
