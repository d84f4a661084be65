package quota_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/quota"
)

const second = time.Second

// newAllocator returns an allocator with one account whose leadership was confirmed at 0.
func newAllocator(rate, burst float64) *quota.Allocator {
	a := quota.NewAllocator()
	a.SetLimits(0, map[string]quota.Limit{"a": {Rate: rate, Burst: burst}})
	a.Confirm(1, 0)
	return a
}

// drawAt confirms leadership and draws tokens for waiting requests.
func drawAt(a *quota.Allocator, at time.Duration, term uint64, ask quota.Ask) int {
	a.Confirm(term, at)
	ask.Account = "a"
	grants, _ := a.Draw(at, 1, []quota.Ask{ask})
	return grants[0].Tokens
}

func need(n int) quota.Ask { return quota.Ask{Need: n} }

// Guards against a new leader that grants what its predecessor may have granted already.
func TestNewLeaderStartsLow(t *testing.T) {
	is := is.New(t)
	a := newAllocator(100, 100)
	is.Equal(drawAt(a, second/5, 1, need(100)), 0) // 6 - 50 tokens at the start
	is.Equal(drawAt(a, second/2, 1, need(100)), 6)
	is.Equal(drawAt(a, 10*second, 1, need(200)), 100)
	is.Equal(drawAt(a, 20*second, 2, need(100)), 0) // another term, with other leaders between
}

// Guards against answers of a host that is no longer the leader.
func TestUnconfirmedLeaderAnswersNothing(t *testing.T) {
	is := is.New(t)
	a := newAllocator(100, 100)
	is.Equal(drawAt(a, 10*second, 1, need(1)), 1)
	_, ok := a.Draw(10*second+quota.ConfirmTTL-1, 1, nil)
	is.True(ok)
	_, ok = a.Draw(10*second+quota.ConfirmTTL, 1, nil)
	is.True(!ok)
}

// Guards against a lowered limit whose former burst remains in the bucket.
func TestLoweredLimit(t *testing.T) {
	is := is.New(t)
	a := newAllocator(100, 100)
	is.Equal(drawAt(a, 10*second, 1, need(1)), 1)
	a.SetLimits(10*second, map[string]quota.Limit{"a": {Rate: 2, Burst: 3}})
	is.Equal(drawAt(a, 10*second, 1, need(50)), 3)
	is.Equal(drawAt(a, 11*second, 1, need(50)), 2)
}

// Guards against returned tokens that add up to more than the burst and the refill while they were away, and
// against a late message that returns expired ones.
func TestReturnedTokens(t *testing.T) {
	is := is.New(t)
	a := newAllocator(100, 100)
	is.Equal(drawAt(a, 10*second, 1, need(90)), 90)
	is.Equal(drawAt(a, 10*second, 1, quota.Ask{Need: 100, Returned: 30}), 40)
	is.Equal(drawAt(a, 10*second+second/10, 1, quota.Ask{Need: 200, Returned: 100}), 100)
	is.Equal(drawAt(a, 11*second, 1, quota.Ask{Need: 200, Returned: 100}), 90)
	is.Equal(drawAt(a, 20*second, 1, quota.Ask{Need: 200, Returned: 100}), 100)
}

// Guards against tokens that are used after their expiry, counted from the ask: after a slow answer, in the
// cache, or returned after a request that was refused.
func TestTokensExpire(t *testing.T) {
	is := is.New(t)
	c := quota.NewCache()
	waiting := c.Take(0, "a")
	at, asks := c.Asks(0)
	is.Equal(asks[0].Need, 1)
	grants := []quota.Grant{{Account: "a", Tokens: 5}}
	is.Equal(len(c.Settle(at+quota.TokenTTL, at, grants)), 0)
	is.Equal(waiting.Verdict, quota.Waiting)
	is.True(c.HasAsks()) // it is asked again
	at, _ = c.Asks(second)
	is.Equal(len(c.Settle(second+quota.TokenTTL/2, at, grants)), 1)
	is.Equal(waiting.Verdict, quota.Granted)
	is.Equal(waiting.Token.Expiry, second+quota.TokenTTL)
	_, ok := c.TakeCached(second+quota.TokenTTL, "a")
	is.True(!ok)
	c.Return(second+quota.TokenTTL, "a", waiting.Token)
	_, ok = c.TakeCached(second, "a")
	is.True(!ok)
}

// Guards against a token that is lost although its request did not run, and against a hedged request that
// takes the token of one that waits.
func TestTokensComeBack(t *testing.T) {
	is := is.New(t)
	c := quota.NewCache()
	first := c.Take(0, "a")
	at, _ := c.Asks(0)
	c.Settle(1, at, []quota.Grant{{Account: "a", Tokens: 1, RetryAfter: second}})
	is.Equal(first.Verdict, quota.Granted)
	refused := c.Take(2, "a")
	is.Equal(refused.Verdict, quota.OverQuota)
	is.True(refused.RetryAfter > second/2 && refused.RetryAfter <= second)
	is.True(!c.HasAsks()) // a refused request costs no message
	c.Return(3, "a", first.Token)
	_, ok := c.TakeCached(4, "a")
	is.True(ok)
	_, ok = c.TakeCached(4, "a")
	is.True(!ok)
}

// Guards against refused requests that are told to come back at the same time, or far too late while a new
// leader's buckets fill.
func TestRefusedRequestsComeBackOneAfterAnother(t *testing.T) {
	is := is.New(t)
	for _, starting := range []bool{false, true} {
		c := quota.NewCache()
		c.Take(0, "a")
		at, _ := c.Asks(0)
		c.Settle(1, at, []quota.Grant{{Account: "a", RetryAfter: second / 2, Unsure: starting}})
		last := time.Duration(0)
		for range 20 {
			refused := c.Take(2, "a")
			is.Equal(refused.Verdict == quota.NoQuota, starting)
			is.True(refused.RetryAfter > last)
			last = refused.RetryAfter
		}
		is.Equal(last < second, starting)
	}
}

// Guards against requests that wait for a lost leader, and against a wait that ends unanswered when the
// stream is replaced.
func TestLostLeader(t *testing.T) {
	is := is.New(t)
	c := quota.NewCache()
	waiting := c.Take(0, "a")
	c.Asks(0)
	c.Reset()
	c.SetLost(true)
	is.Equal(c.Take(1, "a").Verdict, quota.NoQuota)
	at, asks := c.Asks(2)
	is.Equal(asks[0].Need, 1)
	c.SetLost(false)
	c.Settle(3, at, []quota.Grant{{Account: "a", Tokens: 1}})
	is.Equal(waiting.Verdict, quota.Granted)
}
