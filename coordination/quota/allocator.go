package quota

import (
	"maps"
	"math"
	"time"
)

const (
	// startTokens and startDeficit are what the bucket of a new leader starts with: at most startTokens,
	// less the tokens of startDeficit. The deficit pays for what the former leader may have granted
	// within ConfirmTTL after the new one has started.
	startTokens  = 6
	startDeficit = 500 * time.Millisecond
	// startingTime is how long a lack of tokens is ascribed to the start of the leader. A bucket is
	// above 0 after startDeficit, and the requests that waited until then take what comes next.
	startingTime = time.Second
	// aheadShare is the part of a bucket that may be prefetched by one ask, so that tokens remain for
	// nodes that need them.
	aheadShare = 8
	// rateMemory is the time constant of the means of request rates.
	rateMemory = 2 * time.Second
	// hotRatio is the ratio of demand to rate from which tokens are shared between nodes by their
	// demand. Below it, demand varies around the rate and the first request gets the token, as with one
	// bucket for all: shares would refuse requests while there are tokens.
	hotRatio = 1.5
	// sharedCapacity is the size of a bucket from which its tokens are shared. The demand for a smaller
	// one cannot be measured well enough in rateMemory, and a part of it is no whole token.
	sharedCapacity = 8
	// drainTime is the time within which the credits of a hot account approach the tokens in its bucket. A
	// shorter one leaves tokens in the bucket that callers could use. With a longer one nodes have too
	// little credit to know at once which requests to refuse.
	drainTime = 500 * time.Millisecond
	// askRatio is the ratio of requests that are asked for to the rate of a hot account whose tokens are
	// not shared. The nodes refuse the others without an ask. Each token finds a taker soon.
	askRatio = 3
	// maxShareWait bounds the time until the next token of a node's share, since demand may fall
	// meanwhile.
	maxShareWait = time.Second
	// creditTime limits what a node may save of its share of a hot account, besides one token.
	creditTime = 300 * time.Millisecond
	// forgetTime is how long the demand of a node is kept after its last ask, and sweepInterval how
	// often older ones are dropped.
	forgetTime    = 10 * time.Second
	sweepInterval = time.Second
	// unknownRetry is the RetryAfter for an account that the committed configuration does not have.
	unknownRetry = time.Second
	// grantSlots slots of grantSlot each hold the tokens granted last, for at least TokenTTL.
	grantSlots = 3
	grantSlot  = 150 * time.Millisecond
)

// Counts are totals since the Allocator was made.
type Counts struct{ Asked, Granted, Returned, Empty int64 }

// Allocator holds the token buckets of all accounts on the leader. It is not safe for concurrent use.
type Allocator struct {
	limits      map[string]Limit
	buckets     map[string]*bucket // of the accounts that have been asked for
	term        uint64
	startedAt   time.Duration // first confirmation of the term
	confirmedAt time.Duration
	confirmed   bool // whether the term has been confirmed at all
	sweptAt     time.Duration
	counts      Counts
}

// NewAllocator returns an allocator without limits, which answers nothing until Confirm is called.
func NewAllocator() *Allocator {
	return &Allocator{limits: map[string]Limit{}, buckets: map[string]*bucket{}}
}

// Confirm records that this host led in a term at the time sentAt: a majority has responded to a message
// that it sent then. All buckets start anew with a new term.
func (a *Allocator) Confirm(term uint64, sentAt time.Duration) {
	if !a.confirmed || term != a.term {
		a.term, a.confirmed, a.startedAt, a.confirmedAt = term, true, sentAt, sentAt
		clear(a.buckets)
		return
	}
	a.confirmedAt = max(a.confirmedAt, sentAt)
}

// Confirmed reports whether the allocator may answer.
func (a *Allocator) Confirmed(now time.Duration) bool {
	return a.confirmed && now-a.confirmedAt < ConfirmTTL
}

// Counts returns the totals.
func (a *Allocator) Counts() Counts { return a.counts }

// SetLimits replaces the limits of all accounts. A bucket never holds more than the new burst.
func (a *Allocator) SetLimits(now time.Duration, limits map[string]Limit) {
	a.limits = limits
	for name, b := range a.buckets {
		b.refill(now)
		limit := limits[name]
		if limit.Rate > 0 {
			b.limit = limit // the next refill cuts the level to the new burst
		}
	}
}

// Draw answers the asks of a node. It returns false, and grants nothing, while leadership is not confirmed.
func (a *Allocator) Draw(now time.Duration, node uint32, asks []Ask) ([]Grant, bool) {
	if !a.Confirmed(now) {
		return nil, false
	}
	a.sweep(now)
	grants := make([]Grant, len(asks))
	for i := range asks {
		ask := &asks[i]
		g := a.draw(now, node, ask)
		g.Account = ask.Account
		grants[i] = g
		a.counts.Asked += int64(ask.Need + ask.Ahead)
		a.counts.Granted += int64(g.Tokens)
		a.counts.Returned += int64(ask.Returned)
		if g.Tokens == 0 && ask.Need+ask.Ahead > 0 {
			a.counts.Empty++
		}
	}
	return grants, true
}

func (a *Allocator) draw(now time.Duration, node uint32, ask *Ask) Grant {
	limit, known := a.limits[ask.Account]
	switch {
	case !known:
		return Grant{RetryAfter: unknownRetry, Unsure: true}
	case limit.Rate <= 0:
		return Grant{Tokens: ask.Need + ask.Ahead}
	}
	b := a.buckets[ask.Account]
	if b == nil {
		b = newBucket(limit, a.startedAt)
		a.buckets[ask.Account] = b
	}
	b.refill(now)
	b.takeBack(ask.Returned)
	g := b.draw(now, node, ask)
	g.Standby = b.drawStandby(now, a.startedAt, node, ask.Standby)
	g.Unsure = g.RetryAfter > 0 && now-a.startedAt < startingTime
	return g
}

// sweep drops the demand of nodes that have not asked for forgetTime, and buckets that are full again:
// a new bucket is full as well by then.
func (a *Allocator) sweep(now time.Duration) {
	if now-a.sweptAt < sweepInterval {
		return
	}
	a.sweptAt = now
	maps.DeleteFunc(a.buckets, func(_ string, b *bucket) bool {
		maps.DeleteFunc(b.shares, func(_ uint32, s share) bool {
			old := s.age(now) > forgetTime && (s.standby == 0 || s.age(now) > standbyHold)
			if old {
				b.credits -= float64(s.credit)
				b.standby -= int(s.standby)
			}
			return old
		})
		if len(b.shares) > 0 || now < b.spentUntil {
			return false
		}
		b.refill(now)
		return b.level >= b.limit.capacity() && b.window.total == 0
	})
}

// bucket is the token bucket of one account.
type bucket struct {
	limit    Limit
	level    float64 // tokens, below 0 on a new leader
	filledAt time.Duration
	demand   float64 // sum of the rates of shares at filledAt, decayed like them
	credits  float64 // sum of the credits of shares
	shares   map[uint32]share
	granted  [grantSlots]float64 // tokens granted in the current slot and those before it
	slot     time.Duration       // start of the current slot
	window   window              // used if the limit has one
	fullRate time.Duration       // from then on the window covers all tokens that were granted within it
	standby  int                 // sum of the standby tokens of shares
	// spent are the standby tokens that nodes no longer hold and have perhaps used within the last
	// spentHold.
	spent      int
	spentUntil time.Duration
}

// share is what is known of the demand of one node.
type share struct {
	rate    float32 // at the last ask
	credit  float32 // tokens of a hot account that the node has saved
	standby int32   // standby tokens that the node may hold
	asked   uint32  // time of the last ask in milliseconds, which wraps around after 49 days
}

func milliseconds(t time.Duration) uint32 {
	return uint32(t / time.Millisecond) //nolint:gosec // wraps around
}

// age returns the time since the last ask.
func (s *share) age(now time.Duration) time.Duration {
	return time.Duration(milliseconds(now)-s.asked) * time.Millisecond
}

func newBucket(limit Limit, startedAt time.Duration) *bucket {
	return &bucket{
		limit: limit, level: min(limit.capacity(), startTokens) - limit.Rate*startDeficit.Seconds(), filledAt: startedAt,
		shares: map[uint32]share{}, slot: startedAt, window: window{begin: startedAt}, fullRate: startedAt + limit.Window + TokenTTL,
	}
}

// refill adds the tokens since the last call.
func (b *bucket) refill(now time.Duration) {
	dt := max(0, now-b.filledAt)
	b.level = min(b.limit.capacity(), b.level+b.rate()*dt.Seconds())
	b.demand *= decay(dt)
	b.filledAt = max(now, b.filledAt)
	if b.limit.Window > 0 {
		b.window.advance(now, b.limit.Window)
	}
	for n := 0; now-b.slot >= grantSlot; n++ {
		if n == grantSlots {
			b.slot = now
			break
		}
		copy(b.granted[1:], b.granted[:grantSlots-1])
		b.granted[0] = 0
		b.slot += grantSlot
	}
}

// decay returns the factor by which a mean rate falls within a time without requests.
func decay(dt time.Duration) float64 { return math.Exp(-float64(dt) / float64(rateMemory)) }

// takeBack puts tokens back that a node has not used. While they were away the bucket went on filling, so
// the tokens in the bucket and on the nodes together are limited to what they can be without returns.
func (b *bucket) takeBack(n int) {
	outstanding := 0.0
	for _, g := range b.granted {
		outstanding += g
	}
	returned := min(float64(n), outstanding) // a late message returns tokens that have expired
	if returned <= 0 {
		return
	}
	most := min(b.limit.capacity(), b.limit.capacity()+b.rate()*TokenTTL.Seconds()-outstanding+returned)
	b.level = max(b.level, min(b.level+returned, most))
	b.window.remove(returned)
}

// rate returns the tokens per second with which the bucket is refilled. A new leader does not know what was
// granted in the last window and adds no part of the burst.
func (b *bucket) rate() float64 {
	if b.limit.Window <= 0 || b.filledAt < b.fullRate {
		return b.limit.Rate
	}
	return b.limit.most() / b.limit.Window.Seconds()
}

// available returns the number of tokens that may be granted now.
func (b *bucket) available() float64 {
	if b.limit.Window <= 0 {
		return b.level
	}
	return min(b.level, b.limit.most()-b.window.total)
}

// draw takes tokens from the bucket for an ask.
func (b *bucket) draw(now time.Duration, node uint32, ask *Ask) Grant {
	s := b.updateShare(now, node, ask.Rate)
	level := max(0, int(b.available()))
	n := 0
	hot := b.demand > hotRatio*b.limit.Rate
	if hot {
		b.earn(now, &s)
		most := int(s.credit)
		if most == 0 && b.available() >= b.unsharedLevel() {
			most = 1 // tokens that no node has the credit for must not overflow
		}
		n = min(ask.Need+ask.Ahead, most, level)
		b.setCredit(&s, max(0, float64(s.credit)-float64(n)))
	} else {
		n = min(ask.Need, level)
		n += min(ask.Ahead, (level-n)/aheadShare)
		b.setCredit(&s, 0)
	}
	s.asked = milliseconds(now)
	b.shares[node] = s
	b.level -= float64(n)
	b.granted[0] += float64(n)
	if b.limit.Window > 0 {
		b.window.add(float64(n))
	}
	g := Grant{Tokens: n}
	if n < ask.Need || n < ask.Need+ask.Ahead && (hot || b.available() < 1) {
		g.RetryAfter = b.retryAfter(now, &s, hot)
	}
	return g
}

// updateShare records the demand of a node and returns its share.
func (b *bucket) updateShare(now time.Duration, node uint32, rate float64) share {
	s, known := b.shares[node]
	if !known {
		s.asked = milliseconds(now)
	}
	b.demand = max(0, b.demand-float64(s.rate)*decay(s.age(now))) + rate
	s.rate = float32(rate)
	return s
}

// earn adds the credit since the last ask of a node.
func (b *bucket) earn(now time.Duration, s *share) {
	inflow := b.inflow(s)
	b.setCredit(s, min(float64(s.credit)+inflow*s.age(now).Seconds(), 1+inflow*creditTime.Seconds()))
}

func (b *bucket) setCredit(s *share, credit float64) {
	b.credits = max(0, b.credits+credit-float64(s.credit))
	s.credit = float32(credit)
}

// inflow returns the tokens per second that a node gets of a hot account: its share of the rate, and of the
// tokens that no node has the credit for. With more credits than tokens, it is less.
func (b *bucket) inflow(s *share) float64 {
	if b.demand <= 0 {
		return 0
	}
	return max(0, b.rate()+(b.available()-b.credits)/drainTime.Seconds()) * min(1, float64(s.rate)/b.demand)
}

// unsharedLevel returns the level from which a hot account's token goes to the first node that asks.
func (b *bucket) unsharedLevel() float64 {
	if size := b.limit.capacity(); size >= sharedCapacity {
		return size / 2
	}
	return 1
}

// retryAfter returns the time until a node can expect a token.
func (b *bucket) retryAfter(now time.Duration, s *share, hot bool) time.Duration {
	wait := (1 - b.level) / b.rate()
	if b.limit.Window > 0 {
		wait = max(wait, b.window.timeTo(now, b.limit.Window, b.limit.most()-1).Seconds())
	}
	if hot {
		own := (1 - float64(s.credit)) / max(b.inflow(s), 1e-3)
		if b.limit.capacity() < sharedCapacity {
			own = (b.demand/(askRatio*b.limit.Rate) - 1) / max(float64(s.rate), 1e-3)
		}
		wait = max(wait, min(own, maxShareWait.Seconds()))
	}
	return max(time.Millisecond, time.Duration(wait*float64(time.Second)))
}
