package quota

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// lookahead is the time whose expected requests are prefetched. A token lasts TokenTTL, so most
	// prefetched ones are used.
	lookahead = 200 * time.Millisecond
	// askInterval is the minimum time between two asks for an account without requests that wait.
	askInterval = 100 * time.Millisecond
	// minAhead is the expected number of requests within lookahead from which tokens are prefetched.
	// Below it, many prefetched tokens would expire.
	minAhead = 1
	// returnTime is the remaining time of a token below which it is given back with the next message.
	returnTime = 80 * time.Millisecond
	// lostRetry is the RetryAfter while no leader answers. A new one is elected within 1.5 s, and
	// callers that come back too early are refused at once.
	lostRetry = 300 * time.Millisecond
	// startSpacing is the time between the refused requests of an account that come back to a new leader.
	// The time until its first token says nothing about the time between tokens.
	startSpacing = 5 * time.Millisecond
	// maxRetry bounds the RetryAfter of refused requests of one account, which come one after another.
	maxRetry = 30 * time.Second
)

// Token allows one attempt to run a request until it expires.
type Token struct{ Expiry time.Duration }

// Verdict is the result of Take.
type Verdict uint8

// Verdicts.
const (
	Waiting   Verdict = iota // an ask is needed; the result comes with Settle
	Granted                  // the request may start
	OverQuota                // the account has used its limit
	NoQuota                  // the node cannot know whether the account is within its limit
)

//go:generate stringer -type Verdict

// Ticket is a request that takes a token.
type Ticket struct {
	Verdict Verdict
	// Token is set if the verdict is Granted.
	Token Token
	// RetryAfter is set if the request is refused.
	RetryAfter time.Duration
	account    string
}

// Cache holds the tokens of one node and its requests that wait for one. It is not safe for concurrent use.
type Cache struct {
	accounts map[string]*entry
	dirty    map[string]*entry // whose asks belong into the next message
	holding  map[string]*entry // with tokens
	sent     []sentMessage     // messages without an answer, oldest first
	lastAt   time.Duration     // of the last message
	takenAt  time.Duration     // of the last request
	sweptAt  time.Duration
	lost     bool
	counts   CacheCounts
}

// CacheCounts are totals since the Cache was made.
type CacheCounts struct{ Asked, Granted, Returned, Expired, Standby int64 }

// sentMessage is a message to the leader that has not been answered.
type sentMessage struct {
	at    time.Duration
	asks  []Ask
	spent []int // entry.spent of the accounts of asks
}

// entry is the state of one account on the node.
type entry struct {
	name         string
	tokens       []batch   // by expiry, all above 0
	waiting      []*Ticket // in the order of arrival
	asked        int       // waiting requests that are part of asks without an answer
	rate         float64   // mean rate of requests at rateAt
	rateAt       time.Duration
	askedAt      time.Duration // of the last ask
	refusedUntil time.Duration
	unsure       bool          // Grant.Unsure of the last empty grant
	spacing      time.Duration // RetryAfter of the last empty grant
	promised     time.Duration // the latest time at which a refused request was told to come back
	standby      int           // standby tokens
	standbyUntil time.Duration // their expiry
	spent        int           // standby tokens used so far
}

// batch is a number of tokens with the same expiry.
type batch struct {
	n      int
	expiry time.Duration
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{accounts: map[string]*entry{}, dirty: map[string]*entry{}, holding: map[string]*entry{}}
}

// Counts returns the totals.
func (c *Cache) Counts() CacheCounts { return c.counts }

// Take takes a token for a request of an account. The ticket of a request that waits is settled by
// Settle, or ended by Cancel.
func (c *Cache) Take(now time.Duration, account string) *Ticket {
	c.sweep(now)
	c.takenAt = now
	e := c.accounts[account]
	if e == nil {
		e = &entry{name: account, rateAt: now, askedAt: now - askInterval}
		c.accounts[account] = e
	}
	e.countRequest(now)
	t := &Ticket{account: account}
	if token, ok := c.takeCached(now, e); ok && len(e.waiting) == 0 {
		t.Verdict, t.Token = Granted, token
		c.askAhead(now, e)
		return t
	}
	switch {
	case now < e.refusedUntil:
		e.refuse(now, t)
	case c.takeStandby(now, e, t):
	case c.lost:
		t.Verdict, t.RetryAfter = NoQuota, lostRetry
	default:
		e.waiting = append(e.waiting, t)
		c.dirty[account] = e
	}
	return t
}

// TakeCached takes a token that is in the cache, for another attempt of a request.
func (c *Cache) TakeCached(now time.Duration, account string) (Token, bool) {
	e := c.accounts[account]
	if e == nil || len(e.waiting) > 0 {
		return Token{}, false
	}
	return c.takeCached(now, e)
}

// Return puts back the token of an attempt that did not run. It keeps its expiry.
func (c *Cache) Return(now time.Duration, account string, t Token) {
	e := c.accounts[account]
	if e == nil || t.Expiry <= now {
		c.counts.Expired++
		return
	}
	c.add(e, batch{n: 1, expiry: t.Expiry})
}

// Cancel ends the wait of a request. The token that was asked for it goes to the cache.
func (c *Cache) Cancel(t *Ticket) {
	if e := c.accounts[t.account]; e != nil {
		e.waiting = slices.DeleteFunc(e.waiting, func(w *Ticket) bool { return w == t })
	}
}

// LastTake returns the time of the last request.
func (c *Cache) LastTake() time.Duration { return c.takenAt }

// HasAsks reports whether there is something to send.
func (c *Cache) HasAsks() bool { return len(c.dirty) > 0 }

// Asks returns the next message to the leader and the reading that identifies it.
func (c *Cache) Asks(now time.Duration) (at time.Duration, asks []Ask) {
	c.lastAt = max(now, c.lastAt+1)
	for name, e := range c.holding {
		if c.dirty[name] == nil {
			asks = c.appendAsk(asks, now, e)
		}
	}
	for _, e := range c.dirty {
		asks = c.appendAsk(asks, now, e)
	}
	slices.SortFunc(asks, func(a, b Ask) int { return strings.Compare(a.Account, b.Account) })
	clear(c.dirty)
	m := sentMessage{at: c.lastAt, asks: asks}
	for i := range asks {
		m.spent = append(m.spent, c.accounts[asks[i].Account].spent)
	}
	c.sent = append(c.sent, m)
	return c.lastAt, asks
}

// appendAsk appends the ask of an account, unless it is empty.
func (c *Cache) appendAsk(asks []Ask, now time.Duration, e *entry) []Ask {
	c.dropExpired(now, e)
	ask := Ask{Account: e.name, Returned: c.takeReturnable(now, e), Rate: e.rateNow(now), Standby: e.heldStandby(now)}
	if c.dirty[e.name] != nil {
		ask.Need = max(0, len(e.waiting)-e.asked)
		ask.Ahead = e.wanted(now)
		e.asked += ask.Need
		e.askedAt = now
	}
	if ask.Need+ask.Ahead+ask.Returned == 0 {
		return asks
	}
	c.counts.Asked += int64(ask.Need + ask.Ahead)
	c.counts.Returned += int64(ask.Returned)
	return append(asks, ask)
}

// Settle takes the answer to the message of the reading at. It returns the tickets that are settled.
func (c *Cache) Settle(now, at time.Duration, grants []Grant) []*Ticket {
	var settled []*Ticket
	for len(c.sent) > 0 && c.sent[0].at <= at {
		m := c.sent[0]
		c.sent = c.sent[1:]
		if m.at != at || len(grants) != len(m.asks) {
			grants = nil
		}
		for i, ask := range m.asks {
			e := c.accounts[ask.Account]
			if e == nil {
				continue
			}
			e.asked = max(0, e.asked-ask.Need)
			if m.at == at && grants != nil {
				c.counts.Granted += int64(grants[i].Tokens)
				// What was used since the ask is not part of what it stated.
				e.standby, e.standbyUntil = max(0, grants[i].Standby-(e.spent-m.spent[i])), at+StandbyTTL
				settled = append(settled, c.settle(now, at, e, &ask, &grants[i])...)
			}
		}
	}
	return settled
}

func (c *Cache) settle(now, at time.Duration, e *entry, ask *Ask, g *Grant) (settled []*Ticket) {
	if g.Tokens > 0 && at+TokenTTL > now {
		c.add(e, batch{n: g.Tokens, expiry: at + TokenTTL})
	}
	for len(e.waiting) > 0 {
		token, ok := c.takeCached(now, e)
		if !ok {
			break
		}
		t := e.waiting[0]
		e.waiting = e.waiting[1:]
		t.Verdict, t.Token = Granted, token
		settled = append(settled, t)
	}
	if g.RetryAfter > 0 {
		// An ask that is sent then reaches the leader RetryAfter after this one did.
		e.refusedUntil, e.spacing, e.unsure = at+g.RetryAfter, g.RetryAfter, g.Unsure
		if g.Unsure {
			e.spacing = min(e.spacing, startSpacing)
		}
		n := min(max(0, ask.Need-g.Tokens), len(e.waiting))
		for _, t := range e.waiting[:n] {
			e.refuse(now, t)
			settled = append(settled, t)
		}
		e.waiting = e.waiting[n:]
	}
	if len(e.waiting) > e.asked {
		c.dirty[e.name] = e // the tokens came too late
	}
	return settled
}

// SetLost records whether the leader is lost. Requests without a token in the cache are then refused at
// once, and what was asked before is asked again.
func (c *Cache) SetLost(lost bool) { c.lost = lost }

// Lost reports whether the leader is lost.
func (c *Cache) Lost() bool { return c.lost }

// Reset forgets the messages without an answer, after the stream to the leader has ended.
func (c *Cache) Reset() {
	c.sent = nil
	for _, e := range c.accounts {
		e.asked = 0
		if len(e.waiting) > 0 {
			c.dirty[e.name] = e
		}
	}
}

// askAhead marks an account for the next message if it needs more tokens soon.
func (c *Cache) askAhead(now time.Duration, e *entry) {
	if now-e.askedAt >= askInterval && now >= e.refusedUntil && e.wanted(now) > e.fresh(now) {
		c.dirty[e.name] = e
	}
}

// sweep drops the accounts without requests for forgetTime.
func (c *Cache) sweep(now time.Duration) {
	if now-c.sweptAt < forgetTime {
		return
	}
	c.sweptAt = now
	maps.DeleteFunc(c.accounts, func(_ string, e *entry) bool {
		c.dropExpired(now, e)
		return len(e.tokens) == 0 && len(e.waiting) == 0 && e.heldStandby(now) == 0 && now-e.rateAt > forgetTime && now >= e.refusedUntil
	})
}

func (c *Cache) takeCached(now time.Duration, e *entry) (Token, bool) {
	c.dropExpired(now, e)
	if len(e.tokens) == 0 {
		return Token{}, false
	}
	first := &e.tokens[0]
	t := Token{Expiry: first.expiry}
	if first.n--; first.n == 0 {
		e.tokens = e.tokens[1:]
	}
	c.noteHolding(e)
	return t, true
}

func (c *Cache) noteHolding(e *entry) {
	if len(e.tokens) == 0 {
		delete(c.holding, e.name)
	} else {
		c.holding[e.name] = e
	}
}

func (e *entry) countRequest(now time.Duration) {
	e.rate = e.rateNow(now) + 1/rateMemory.Seconds()
	e.rateAt = now
}

func (e *entry) rateNow(now time.Duration) float64 { return e.rate * decay(now-e.rateAt) }

// expected returns the number of requests within lookahead.
func (e *entry) expected(now time.Duration) float64 { return e.rateNow(now) * lookahead.Seconds() }

// wanted returns the number of tokens to prefetch.
func (e *entry) wanted(now time.Duration) int {
	n := e.expected(now)
	if n < minAhead {
		return 0
	}
	return max(0, int(n+0.5)-e.fresh(now))
}

// fresh returns the number of tokens that are not about to be returned.
func (e *entry) fresh(now time.Duration) (n int) {
	for _, b := range e.tokens {
		if b.expiry-now > returnTime {
			n += b.n
		}
	}
	return n
}

// takeReturnable removes and returns the tokens that are about to expire, if there are fresh ones for the
// next requests or none are expected.
func (c *Cache) takeReturnable(now time.Duration, e *entry) int {
	n := 0
	for _, b := range e.tokens {
		if b.expiry-now <= returnTime {
			n += b.n
		}
	}
	if n == 0 || e.fresh(now) == 0 && e.expected(now) >= minAhead {
		return 0
	}
	e.tokens = slices.DeleteFunc(e.tokens, func(b batch) bool { return b.expiry-now <= returnTime })
	c.noteHolding(e)
	return n
}

func (c *Cache) dropExpired(now time.Duration, e *entry) {
	for len(e.tokens) > 0 && e.tokens[0].expiry <= now {
		c.counts.Expired += int64(e.tokens[0].n)
		e.tokens = e.tokens[1:]
	}
	c.noteHolding(e)
}

func (c *Cache) add(e *entry, b batch) {
	i, found := slices.BinarySearchFunc(e.tokens, b.expiry, func(b batch, expiry time.Duration) int {
		return cmp.Compare(b.expiry, expiry)
	})
	if found {
		e.tokens[i].n += b.n
	} else {
		e.tokens = slices.Insert(e.tokens, i, b)
	}
	c.noteHolding(e)
}

// refuse settles a ticket. The requests that are refused are told to come back one after another, at the
// rate at which the node can expect tokens.
func (e *entry) refuse(now time.Duration, t *Ticket) {
	t.Verdict = OverQuota
	if e.unsure {
		t.Verdict = NoQuota
	}
	e.promised = min(max(e.refusedUntil, e.promised+e.spacing), now+maxRetry)
	t.RetryAfter = max(time.Millisecond, e.promised-now)
}
