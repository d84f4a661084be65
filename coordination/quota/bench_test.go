package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/quota"
)

// BenchmarkDraw measures the cost of one ask on the leader, with 10,000 accounts and 1,400 nodes.
func BenchmarkDraw(b *testing.B) {
	const accounts, nodes = 10_000, 1400
	limits := make(map[string]quota.Limit)
	names := make([]string, accounts)
	for i := range names {
		names[i] = fmt.Sprint("account-", i)
		limits[names[i]] = quota.Limit{Rate: 14, Burst: 14}
	}
	a := quota.NewAllocator()
	a.SetLimits(0, limits)
	b.ReportAllocs()
	now, i := 10*time.Second, 0
	for b.Loop() {
		now += 10 * time.Microsecond
		a.Confirm(1, now)
		a.Draw(now, uint32(i%nodes), []quota.Ask{{Account: names[i*7%accounts], Need: 1, Rate: 0.01}})
		i++
	}
}

// BenchmarkTake measures the cost of one request on a node that finds a token in the cache.
func BenchmarkTake(b *testing.B) {
	c := quota.NewCache()
	c.Take(0, "a")
	at, _ := c.Asks(0)
	c.Settle(1, at, []quota.Grant{{Account: "a", Tokens: 1}})
	b.ReportAllocs()
	for b.Loop() {
		if t := c.Take(2, "a"); t.Verdict == quota.Granted {
			c.Return(2, "a", t.Token)
		}
	}
}
