package quota

import "time"

const (
	// standbyTime and standbyTokens bound the standby tokens of an account over all nodes: the tokens of
	// standbyTime and standbyTokens more.
	standbyTime   = 200 * time.Millisecond
	standbyTokens = 8
	// spentHold is how long standby tokens count that have been used: a window of 5 s, and the time
	// until the request of a token starts.
	spentHold = 6 * time.Second
	// standbyHold is how long the standby tokens of a node count that no longer asks: it may use them
	// until their expiry. A new leader does not know who holds some, and hands out none in this time.
	standbyHold = StandbyTTL + spentHold
)

// mostStandby returns the number of standby tokens over all nodes. A limit with a window uses more of what
// is allowed beyond it, so it has half of the part that grows with the rate.
func (l Limit) mostStandby() int {
	length := standbyTime
	if l.Window > 0 {
		length /= 2
	}
	return int(l.Rate*length.Seconds()) + standbyTokens
}

// drawStandby returns the standby tokens that a node may hold, of those that it holds now and new ones. The
// share of the node has been updated.
func (b *bucket) drawStandby(now, startedAt time.Duration, node uint32, held int) int {
	s := b.shares[node]
	most := b.limit.mostStandby()
	if now >= b.spentUntil {
		b.spent = 0
	}
	b.setStandby(now, &s, min(held, most))
	next := int(s.standby)
	if now-startedAt >= standbyHold {
		share := max(1, int(float64(most)*float64(s.rate)/max(b.demand, 1e-3)))
		next += max(0, min(share-next, most-b.standby-b.spent))
	}
	next -= min(next, max(0, b.standby+b.spent-most)) // the limit was lowered
	b.setStandby(now, &s, next)
	b.shares[node] = s
	return next
}

// setStandby records the standby tokens of a node. Those that it does not hold any more may have been used
// just now.
func (b *bucket) setStandby(now time.Duration, s *share, n int) {
	if gone := int(s.standby) - n; gone > 0 {
		b.spent += gone
		b.spentUntil = now + spentHold
	}
	b.standby += n - int(s.standby)
	s.standby = int32(n) //nolint:gosec // at most a fifth of a rate
}

// TakeStandby takes a standby token for a request that waits, if an ask has had no answer for StandbyWait.
func (c *Cache) TakeStandby(now time.Duration, t *Ticket) bool {
	e := c.accounts[t.account]
	if e == nil || !c.takeStandby(now, e, t) {
		return false
	}
	c.Cancel(t)
	return true
}

func (c *Cache) takeStandby(now time.Duration, e *entry, t *Ticket) bool {
	unanswered := c.lost || len(c.sent) > 0 && now-c.sent[0].at >= StandbyWait
	if !unanswered || e.heldStandby(now) == 0 {
		return false
	}
	e.standby--
	e.spent++
	c.counts.Standby++
	t.Verdict, t.Token = Granted, Token{Expiry: now + TokenTTL}
	return true
}

// DropStandby drops all standby tokens, when limits may have been lowered.
func (c *Cache) DropStandby() {
	for _, e := range c.accounts {
		e.spent += e.standby
		e.standby = 0
	}
}

func (e *entry) heldStandby(now time.Duration) int {
	if now >= e.standbyUntil {
		return 0
	}
	return e.standby
}
