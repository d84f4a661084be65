package quota_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/quota"
)

// standbyAt returns the standby tokens that a node gets which states how many it holds.
func standbyAt(a *quota.Allocator, at time.Duration, term uint64, node uint32, held int) int {
	a.Confirm(term, at)
	grants, _ := a.Draw(at, node, []quota.Ask{{Account: "a", Need: 1, Rate: 1, Standby: held}})
	return grants[0].Standby
}

// Guards against more standby tokens over all nodes than may be spent on top of the bucket, counting those
// that were spent within a window or are held by nodes that have gone, and against a new leader that hands
// out some while its predecessor's are valid.
func TestStandbyTokensAreLimited(t *testing.T) {
	is := is.New(t)
	a := newAllocator(10, 10) // 10 standby tokens
	is.Equal(standbyAt(a, 13*second, 1, 1, 0), 0)
	is.Equal(standbyAt(a, 13*second, 1, 1, 3), 3) // of the former leader
	total := 3
	for node := range uint32(20) {
		total += standbyAt(a, 14*second, 1, 2+node, 0)
	}
	is.Equal(total, 10)
	is.Equal(standbyAt(a, 15*second, 1, 1, 0), 0) // it has spent 3, which count for a window
	is.Equal(standbyAt(a, 20*second, 1, 1, 0), 0)
	is.True(standbyAt(a, 22*second, 1, 1, 0) > 0)
	total = 0
	for node := range uint32(20) {
		total += standbyAt(a, 27*second, 1, 100+node, 0) // the first 20 nodes may hold theirs
	}
	is.True(total <= 3)
	total = 0
	for node := range uint32(20) {
		total += standbyAt(a, 40*second, 1, 200+node, 0)
	}
	is.True(total >= 7 && total <= 10)
	is.Equal(standbyAt(a, 41*second, 2, 1, 0), 0) // a new leader
	a.SetLimits(60*second, map[string]quota.Limit{"a": {Rate: 10, Burst: 10}})
	is.Equal(standbyAt(a, 60*second, 2, 1, 9), 10) // all of them for the only node
	a.SetLimits(60*second, map[string]quota.Limit{"a": {Rate: 1, Burst: 1}})
	is.True(standbyAt(a, 61*second, 2, 1, 9) <= 7) // 8 are allowed, and at least one was spent
}

// Guards against standby tokens that are spent while the leader answers, after their expiry or after limits
// have changed, and against an answer that gives back what was spent after its ask.
func TestStandbyTokensAreSpentWithoutAnswers(t *testing.T) {
	is := is.New(t)
	c := quota.NewCache()
	grant := func(at time.Duration, standby int) {
		c.Take(at, "a")
		at, _ = c.Asks(at)
		c.Settle(at+1, at, []quota.Grant{{Account: "a", Tokens: 1, Standby: standby}})
	}
	grant(0, 3)
	first := c.Take(second, "a")
	is.Equal(first.Verdict, quota.Waiting)
	at, asks := c.Asks(second)
	is.Equal(asks[0].Standby, 3)
	is.True(!c.TakeStandby(second+quota.StandbyWait-1, first))
	is.True(c.TakeStandby(second+quota.StandbyWait, first))
	is.Equal(c.Take(second+quota.StandbyWait, "a").Verdict, quota.Granted) // at once
	c.Settle(2*second, at, []quota.Grant{{Account: "a", Standby: 3}})      // late
	c.SetLost(true)
	is.Equal(c.Take(2*second, "a").Verdict, quota.Granted)
	is.Equal(c.Take(2*second, "a").Verdict, quota.NoQuota)
	is.Equal(c.Counts().Standby, int64(3))

	c.SetLost(false)
	grant(3*second, 2)
	c.SetLost(true)
	is.Equal(c.Take(3*second+quota.StandbyTTL, "a").Verdict, quota.NoQuota)
	is.Equal(c.Take(3*second+quota.StandbyTTL-1, "a").Verdict, quota.Granted)
	c.DropStandby()
	is.Equal(c.Take(3*second+quota.StandbyTTL-1, "a").Verdict, quota.NoQuota)
}
