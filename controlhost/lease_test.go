package controlhost_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink/coordination/directory"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/protocol/feed"
	"github.com/mulberrylink/mulberrylink/state/boottime"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// Guards against a control host without a majority that confirms probes, and against confirmations for a
// state that is older than the last acknowledged change.
func TestProbesAreConfirmedByAMajorityOnly(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	for _, addr := range c.seeds {
		c.start(addr, t.TempDir(), true)
	}
	c.applyChange(document.Change{Version: 1, Replace: true})
	var confirmed, ackedAt, stale atomic.Int64
	client := feed.NewClient(feed.ClientConfig{
		Dialer: rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second}), Seeds: c.seeds[:1], SeedsOnly: true, Directory: directory.New(), NodeName: "n1",
		Log: &log.Logger{Level: log.FatalLevel}, Probe: boottime.Now,
		OnConfirmed: func(probe time.Duration, revision uint64) {
			confirmed.Store(int64(probe))
			if at := ackedAt.Load(); at != 0 && int64(probe) > at && revision < 2 {
				stale.Add(1)
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); client.Run(ctx) }()
	defer func() { cancel(); <-done }()
	waitFor(t, 5*time.Second, "first confirmation", func() bool { return confirmed.Load() != 0 })
	c.applyChange(document.Change{BaseVersion: 1, Version: 2, Replace: true})
	ackedAt.Store(int64(boottime.Now()))
	waitFor(t, 5*time.Second, "confirmation after the change", func() bool { return confirmed.Load() > ackedAt.Load() })
	is.Equal(stale.Load(), int64(0))
	for addr, r := range c.hosts {
		if addr != c.seeds[0] {
			r.stop()
		}
	}
	stoppedAt := int64(boottime.Now())
	time.Sleep(1500 * time.Millisecond) // several reads
	is.True(confirmed.Load() < stoppedAt)
}
