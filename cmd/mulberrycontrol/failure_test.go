package main

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
)

// Guards against a lost or duplicated change, two changes accepted as the same version and a version
// that goes back. Leaders are killed while two operators make competing changes and resend those
// without a response.
func TestKillLeaderDuringChanges(t *testing.T) {
	c := newCluster(t, nil)
	c.leader()
	ctx, cancel := context.WithCancel(context.Background())
	stop, rec := make(chan struct{}), newRecorder()
	var watchers, operators sync.WaitGroup
	for _, p := range c.hosts {
		watchers.Go(func() {
			if err := watchVersions(ctx, p, func(uint64) {}); err != nil {
				t.Error(err)
			}
		})
	}
	for i := range 2 {
		client := c.client()
		operators.Go(func() {
			if err := rec.makeChanges(client, i, stop); err != nil {
				t.Error(err)
			}
		})
	}
	for range 3 {
		time.Sleep(300 * time.Millisecond)
		p := c.leader()
		p.kill()
		c.leader(c.others(p)...)
		time.Sleep(100 * time.Millisecond)
		p.start()
	}
	close(stop)
	operators.Wait()
	rec.check(t, c.client())
	cancel()
	watchers.Wait()
}

// Guards against a former leader that responds as the leader with old state after its process was
// stopped for longer than the election timeout. The requests are already in its socket buffers, so
// that it reads them before it learns of the new leader.
func TestStoppedLeaderDoesNotAnswer(t *testing.T) {
	c := newCluster(t, nil)
	oldLeader := c.leader()
	v := c.applyMany(c.client(), "before", 0, 3)
	oldLeader.signal(syscall.SIGSTOP)
	newLeader := c.leader(c.others(oldLeader)...)
	want := c.applyMany(c.client(newLeader), "after", v, 3)
	time.Sleep(2 * maxElectionTimeout)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			var out rawConfirmed
			err := oldLeader.invoke("control/confirmed", waitTimeout, &struct{}{}, &out)
			if err == nil && out.Status == controlplane.StatusCommitted && out.Version < want {
				t.Errorf("stopped leader confirmed version %d after %d was accepted", out.Version, want)
			}
			var st rawStatus
			err = oldLeader.invoke("control/status", waitTimeout, &struct{}{}, &st)
			if err == nil && st.Self {
				t.Errorf("stopped leader responds as leader with version %d", st.Version)
			}
		})
	}
	time.Sleep(100 * time.Millisecond) // until the requests are in the socket buffers
	oldLeader.signal(syscall.SIGCONT)
	wg.Wait()
	waitUntil(t, "old leader has become a follower with the accepted version", func() bool {
		st, err := oldLeader.status()
		return err == nil && st.Version == want && !st.Self
	})
}

// Guards against a restart of all hosts that loses accepted changes or exceeds restartTarget.
func TestRestartAfterChanges(t *testing.T) {
	c := newCluster(t, nil)
	c.leader()
	want := c.applyMany(c.client(), "change", 0, 500)
	for _, p := range c.hosts {
		p.kill()
	}
	begin := time.Now()
	for _, p := range c.hosts {
		p.start()
	}
	client := c.client()
	var got uint64
	waitUntil(t, "a version is confirmed", func() bool { got = confirmedVersion(client); return got > 0 })
	took := time.Since(begin)
	t.Logf("restart_ms=%d version=%d", took.Milliseconds(), got)
	if got != want {
		t.Errorf("confirmed version %d after the restart, want %d", got, want)
	}
	if took > restartTarget {
		t.Errorf("restart took %s, more than %s", took, restartTarget)
	}
	for _, p := range c.hosts {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(waitTimeout, cancel)
		var last uint64
		_ = watchVersions(ctx, p, func(v uint64) {
			if last = v; v == want {
				cancel()
			}
		})
		cancel()
		if last != want {
			t.Errorf("watch stream of %s ends at version %d, want %d", p.name, last, want)
		}
	}
}
