package controlhost_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/controlhost"
	"github.com/mulberrylink/mulberrylink/coordination/directory"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/rollout"
	"github.com/mulberrylink/mulberrylink/protocol/feed"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// fakeNode reports results of its upstream in proportion to the share of its version.
type fakeNode struct {
	client   *feed.Client
	recorder *rollout.Recorder
	release  string
	order    atomic.Pointer[document.Rollout]
	failing  *atomic.Bool // whether all results of v2 are failures
}

func (c *cluster) startNode(name, release string, failing *atomic.Bool) *fakeNode {
	n := &fakeNode{recorder: rollout.NewRecorder(name, "e1"), release: release, failing: failing}
	n.client = feed.NewClient(feed.ClientConfig{
		Dialer: rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second}), Seeds: c.seeds, Directory: directory.New(), NodeName: name,
		OnState: func(s *document.State) { n.order.Store(s.Rollout("archive")) }, Log: &log.Logger{Level: log.FatalLevel},
	})
	n.client.Announce(mulberrylink.Node{Name: name, Domain: "d1", Service: "archive", Release: release, State: mulberrylink.NodeReady, Upstream: mulberrylink.UpstreamUp, Slots: 6})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { n.client.Run(ctx); done <- struct{}{} }()
	go func() { n.reportLoop(ctx); done <- struct{}{} }()
	c.t.Cleanup(func() { cancel(); <-done; <-done })
	return n
}

func (n *fakeNode) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	due := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		order := n.order.Load()
		if order == nil || order.State != document.RolloutRunning {
			continue
		}
		n.recorder.Track("archive", order.Number)
		if due += document.FullShare - order.Share; n.release == order.To {
			due += 2*order.Share - document.FullShare
		}
		for ; due >= 200; due -= 200 { // 50 results a second at the full share
			n.recorder.Record(rollout.Result{Release: n.release, Route: "r", Took: 20 * time.Millisecond, Failed: n.release == "v2" && n.failing.Load()})
		}
		n.client.SendReport(n.recorder.Report())
	}
}

// startRollout starts three control hosts with nodes, and a rollout of archive to v2.
func startRollout(t *testing.T, failing *atomic.Bool, duration time.Duration) *cluster {
	c := newCluster(t, 3)
	for _, addr := range c.seeds {
		c.start(addr, t.TempDir(), true)
	}
	c.applyChange(newChange(0, 1))
	var nodes []*fakeNode
	for i := range 3 {
		nodes = append(nodes, c.startNode(fmt.Sprint("old-", i), "v1", failing), c.startNode(fmt.Sprint("new-", i), "v2", failing))
	}
	waitFor(t, 10*time.Second, "all nodes connected", func() bool {
		for _, n := range nodes {
			if n.client.LastHeard().IsZero() {
				return false
			}
		}
		return true
	})
	waitFor(t, 5*time.Second, "order accepted", func() bool {
		for _, r := range c.hosts {
			if r.host.StartRollout(context.Background(), "archive", "v2", duration).Status == controlhost.Done {
				return true
			}
		}
		return false
	})
	return c
}

// rollout returns the confirmed state of the rollout, nil without one.
func (c *cluster) rollout() *document.Rollout {
	for _, r := range c.hosts {
		if order, err := r.host.ReadRollout(context.Background(), "archive"); err == nil {
			return order
		}
	}
	return nil
}

func (c *cluster) stopLeader() {
	for _, r := range c.hosts {
		if _, leads := r.host.IsLeader(); leads {
			r.stop()
			return
		}
	}
	c.t.Fatal("no leader to stop")
}

// Guards against a good version that is not completed because the leader is lost while it has a share.
func TestRolloutBearsALostLeader(t *testing.T) {
	c := startRollout(t, &atomic.Bool{}, 9*time.Second)
	waitFor(t, 9*time.Second, "first share", func() bool { o := c.rollout(); return o != nil && o.Share > 0 })
	c.stopLeader()
	waitFor(t, 15*time.Second, "completion", func() bool { o := c.rollout(); return o != nil && o.State == document.RolloutCompleted })
}

// Guards against a new leader that trusts a version for the results that the former one had.
func TestNewLeaderTakesABadVersionBack(t *testing.T) {
	failing := &atomic.Bool{}
	c := startRollout(t, failing, 9*time.Second)
	waitFor(t, 9*time.Second, "first share", func() bool { o := c.rollout(); return o != nil && o.Share > 0 })
	c.stopLeader()
	failing.Store(true)
	waitFor(t, 15*time.Second, "end", func() bool { o := c.rollout(); return o != nil && o.State == document.RolloutRolledBack })
}

// Guards against an order that is refused when it is sent again, and against orders that are accepted
// although they are invalid or another one runs.
func TestRolloutOrders(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	host := c.start(c.seeds[0], t.TempDir(), true).host
	ctx := context.Background()
	waitFor(t, 5*time.Second, "leader", func() bool { _, leads := host.IsLeader(); return leads })
	is.Equal(host.StartRollout(ctx, "archive", "v2", time.Minute).Status, controlhost.Unavailable) // no configuration yet
	c.applyChange(newChange(0, 1))
	order, err := host.ReadRollout(ctx, "archive")
	is.NoErr(err)
	is.True(order == nil)
	is.Equal(host.StartRollout(ctx, "archive", "v2", time.Minute).Status, controlhost.Done)
	is.Equal(host.StartRollout(ctx, "archive", "v2", time.Minute).Status, controlhost.Done)
	is.Equal(host.StartRollout(ctx, "archive", "v2", time.Hour).Status, controlhost.Conflict)
	is.Equal(host.StartRollout(ctx, "archive", "v3", time.Minute).Status, controlhost.Conflict)
	for _, res := range []controlhost.Result{
		host.StartRollout(ctx, "", "v2", time.Minute), host.StartRollout(ctx, "desk", "", time.Minute), host.StartRollout(ctx, "desk", "v2", 0),
		host.StartRollout(ctx, "desk", "v2", -time.Minute), host.StartRollout(ctx, "unknown", "v2", time.Minute),
	} {
		is.Equal(res.Status, controlhost.Invalid)
	}
}

// Guards against a host without a majority that accepts an order, or tells the state of a rollout.
func TestMinorityKnowsNoRollout(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	for _, addr := range c.seeds {
		c.start(addr, t.TempDir(), true)
	}
	c.applyChange(newChange(0, 1))
	c.hosts[c.seeds[0]].stop()
	c.hosts[c.seeds[1]].stop()
	last := c.hosts[c.seeds[2]].host
	_, err := last.ReadRollout(context.Background(), "archive")
	is.True(err != nil)
	is.True(last.StartRollout(context.Background(), "archive", "v2", time.Minute).Status != controlhost.Done)
}
