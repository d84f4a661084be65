package controlhost_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/quota"
)

// drawOne draws one token of an account for a node.
func (r *runningHost) drawOne() (tokens int, ok bool) {
	grants, ok := r.host.DrawQuota(context.Background(), []quota.Ask{{Account: "a", Need: 1}})
	if ok {
		tokens = grants[0].Tokens
	}
	return tokens, ok
}

// leaders returns the hosts that answer draws.
func (c *cluster) leaders() (addrs []string) {
	for addr, r := range c.hosts {
		if _, ok := r.drawOne(); ok {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// Guards against two hosts that hand out tokens, against a leader that hands them out without a majority or
// while it stops, and against limits that are decoded with each draw or cannot be decoded and end the service.
func TestQuotasOfOneLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	var decoded atomic.Int64
	c.limits = func(s *document.State) (map[string]quota.Limit, error) {
		decoded.Add(1)
		if s.Version == 2 {
			return nil, errors.New("bad limits")
		}
		return map[string]quota.Limit{"a": {Rate: 100, Burst: 100}}, nil
	}
	for _, addr := range c.seeds {
		c.start(addr, t.TempDir(), true)
	}
	c.applyChange(newChange(0, 1))
	var first string
	waitFor(t, 5*time.Second, "one leader", func() bool {
		leaders := c.leaders()
		if len(leaders) == 1 {
			first = leaders[0]
		}
		return len(leaders) == 1
	})
	for addr, r := range c.hosts {
		if addr != first {
			is.Equal(r.host.QuotaLeaderAddr(), first)
		}
	}
	waitFor(t, 5*time.Second, "tokens", func() bool { n, _ := c.hosts[first].drawOne(); return n == 1 })
	before := decoded.Load()
	for range 100 {
		c.hosts[first].drawOne()
	}
	is.Equal(decoded.Load(), before)
	c.applyChange(newChange(1, 2))
	waitFor(t, 5*time.Second, "tokens after limits that are not decoded", func() bool { n, _ := c.hosts[first].drawOne(); return n == 1 })
	is.True(decoded.Load() <= before+3) // once on each host that has led
	c.applyChange(newChange(2, 3))

	stopping := c.hosts[first]
	stopping.stop()
	second := ""
	waitFor(t, 5*time.Second, "another leader", func() bool {
		for _, addr := range c.leaders() {
			second = addr
		}
		return second != ""
	})
	_, ok := stopping.drawOne()
	is.True(!ok)
	last := c.hosts[second]
	for addr, r := range c.hosts {
		if addr != second {
			r.stop()
		}
	}
	time.Sleep(quota.ConfirmTTL)
	_, ok = last.drawOne()
	is.True(!ok)
}
