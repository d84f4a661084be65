package quotas

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink/coordination/quota"
	"github.com/mulberrylink/mulberrylink/state/boottime"
)

// Dialer opens connections to control hosts.
type Dialer interface {
	Dial(ctx context.Context, addr string) (drpc.Conn, error)
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Dialer Dialer
	// Hosts returns the addresses of the control hosts in the order of preference.
	Hosts func() []string
	// Now returns a reading of a clock that also counts while the host is suspended, boottime.Now if it
	// is nil.
	Now func() time.Duration
	Log *log.Logger
}

// Client holds the tokens of one node. It is safe for concurrent use.
type Client struct {
	cfg  ClientConfig
	node uint32        // random identifier of this process
	wake chan struct{} // signals that there may be something to send

	mu      sync.Mutex
	cache   *quota.Cache
	waiters map[*quota.Ticket]chan struct{}
	leader  string // address of the leader that answered last, empty while there is none

	// Owned by the goroutine of Run.
	attempt    int
	avoid      string // a leader that gave no answer
	avoidUntil time.Duration
}

// NewClient returns a client that gets tokens once Run is called.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Now == nil {
		cfg.Now = boottime.Now
	}
	return &Client{cfg: cfg, node: rand.Uint32() | 1, wake: make(chan struct{}, 1), cache: quota.NewCache(), waiters: make(map[*quota.Ticket]chan struct{})}
}

// Acquire takes a token for a request of an account and waits for it for at most the given time. The
// verdict of the ticket is never Waiting.
func (c *Client) Acquire(ctx context.Context, account string, wait time.Duration) quota.Ticket {
	c.mu.Lock()
	t := c.cache.Take(c.cfg.Now(), account)
	if c.cache.HasAsks() || c.cache.Lost() {
		c.signal()
	}
	if t.Verdict != quota.Waiting {
		c.mu.Unlock()
		return *t
	}
	settled := make(chan struct{})
	c.waiters[t] = settled
	c.mu.Unlock()
	early := min(wait, quota.StandbyWait)
	if !await(ctx, settled, early) && !c.takeStandby(t) {
		await(ctx, settled, wait-early)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, still := c.waiters[t]; !still {
		return *t
	}
	delete(c.waiters, t)
	if c.cache.TakeStandby(c.cfg.Now(), t) {
		return *t
	}
	c.cache.Cancel(t)
	return quota.Ticket{Verdict: quota.NoQuota, RetryAfter: refusedRetry}
}

// await reports whether a ticket is settled within some time.
func await(ctx context.Context, settled <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-settled:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// takeStandby settles a ticket that waits with a standby token, if its ask has had no answer for long enough.
func (c *Client) takeStandby(t *quota.Ticket) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, still := c.waiters[t]; !still || !c.cache.TakeStandby(c.cfg.Now(), t) {
		return !still
	}
	delete(c.waiters, t)
	return true
}

// DropStandby drops the standby tokens, when limits may have been lowered.
func (c *Client) DropStandby() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache.DropStandby()
}

// TakeCached takes a token that is in the cache.
func (c *Client) TakeCached(account string) (quota.Token, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache.TakeCached(c.cfg.Now(), account)
}

// Return puts back the token of an attempt that did not run.
func (c *Client) Return(account string, t quota.Token) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache.Return(c.cfg.Now(), account, t)
}

// Valid reports whether a token has not expired.
func (c *Client) Valid(t quota.Token) bool { return t.Expiry > c.cfg.Now() }

// Counts returns totals of tokens.
func (c *Client) Counts() quota.CacheCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache.Counts()
}

func (c *Client) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run gets tokens for the requests until ctx is done.
func (c *Client) Run(ctx context.Context) {
	next, redirects := "", 0
	for c.awaitDemand(ctx) {
		addr := next
		if addr == "" {
			addr = c.pickHost()
		}
		if addr == "" {
			sleep(ctx, retryDelay)
			continue
		}
		s := &stream{client: c, addr: addr}
		redirect, err := s.run(ctx)
		if next = redirect; redirect == "" {
			c.recordFailure(addr, s.asked(), err)
		}
		c.resetAsks()
		if redirects++; redirect == "" || redirects > maxRedirects {
			redirects = 0
			sleep(ctx, retryDelay)
		}
	}
}

// awaitDemand waits until there is something to ask for, and returns false if ctx ends first.
func (c *Client) awaitDemand(ctx context.Context) bool {
	for {
		c.mu.Lock()
		demand := c.hasDemand()
		c.mu.Unlock()
		if demand || ctx.Err() != nil {
			return ctx.Err() == nil
		}
		select {
		case <-c.wake:
		case <-ctx.Done():
		}
	}
}

// hasDemand reports whether there is something to ask for, or the leader is lost and requests come in. The
// caller holds mu.
func (c *Client) hasDemand() bool {
	return c.cache.HasAsks() || c.cache.Lost() && c.cfg.Now()-c.cache.LastTake() < demandTime
}

// pickHost returns the next control host to ask, another one than a leader that gave no answer.
func (c *Client) pickHost() string {
	var addrs []string
	avoid := c.avoided()
	for _, addr := range c.cfg.Hosts() {
		if addr != avoid {
			addrs = append(addrs, addr)
		}
	}
	switch {
	case len(addrs) > 0:
		return addrs[c.attempt%len(addrs)]
	default:
		return avoid // the only one
	}
}

// avoided returns the address of a leader that gave no answer, empty without one.
func (c *Client) avoided() string {
	if c.cfg.Now() >= c.avoidUntil {
		return ""
	}
	return c.avoid
}

// recordFailure records that a stream has failed. If asks had no answer, the leader is lost.
func (c *Client) recordFailure(addr string, asked bool, err error) {
	c.attempt++
	if !errors.Is(err, errNoLeader) { // a host without a leader may become the leader itself
		c.avoid, c.avoidUntil = addr, c.cfg.Now()+avoidTime
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if asked {
		c.setLost(addr, err)
	}
}

// resetAsks makes the next stream ask again for what had no answer.
func (c *Client) resetAsks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache.Reset()
}

// setLost makes requests be refused until a leader answers. The caller holds mu.
func (c *Client) setLost(addr string, err error) {
	if !c.cache.Lost() {
		c.cfg.Log.Warn().Str("host", addr).Str("leader", c.leader).Err(err).Msg("leader of quotas lost")
	}
	c.leader = ""
	c.cache.SetLost(true)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
