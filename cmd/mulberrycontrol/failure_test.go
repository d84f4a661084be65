package main

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
)

// Guards against a lost or doubled change, two winners for one version and a
// version that goes back, when leaders die while two operators race and resend
// what got no answer.
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
		cl := c.client()
		operators.Go(func() {
			if err := rec.makeChanges(cl, i, stop); err != nil {
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

// Guards against a leader that was stopped for longer than the election
// timeout and answers as leader with old state when it goes on. The questions
// wait in its sockets, so that it reads them before it hears of the new leader.
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
				t.Errorf("stopped leader answers as leader with version %d", st.Version)
			}
		})
	}
	time.Sleep(100 * time.Millisecond) // the questions are in the sockets
	oldLeader.signal(syscall.SIGCONT)
	wg.Wait()
	waitUntil(t, "old leader follows", func() bool {
		st, err := oldLeader.status()
		return err == nil && st.Version == want && !st.Self
	})
}

// Guards against a restart that loses accepted changes or is slow.
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
	cl := c.client()
	var got uint64
	waitUntil(t, "the latest version is served", func() bool { got = confirmedVersion(cl); return got > 0 })
	took := time.Since(begin)
	t.Logf("restart_ms=%d version=%d", took.Milliseconds(), got)
	if got != want {
		t.Errorf("version %d after the restart, want %d", got, want)
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
