package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
)

// propagationTarget is the target for the time from the acceptance of a version until all watchers
// have received it.
const propagationTarget = time.Second

// repetitions returns the number of repetitions of a measurement: full with -long, short otherwise.
func repetitions(short, full int) int {
	if *long {
		return full
	}
	return short
}

// checkLatencies logs the p50, p99 and maximum of durations and checks the p99 against the target.
func checkLatencies(t *testing.T, label string, durations []time.Duration, target time.Duration) {
	t.Helper()
	slices.Sort(durations)
	percentile := func(q int) time.Duration { return durations[min(len(durations)-1, len(durations)*q/100)] }
	t.Logf("%s: n=%d p50=%s p99=%s max=%s", label, len(durations), percentile(50), percentile(99), durations[len(durations)-1])
	if percentile(99) > target {
		t.Errorf("%s: p99 %s is above the target of %s", label, percentile(99), target)
	}
}

// Guards the target for the time from SIGKILL of the leader until a new leader accepts the first
// change.
func TestNewLeaderTime(t *testing.T) {
	c := newCluster(t, nil)
	var durations []time.Duration
	version := uint64(0)
	for i := range repetitions(4, 30) {
		p := c.leader()
		rest := c.others(p)
		for _, o := range rest {
			waitUntil(t, "followers are caught up", func() bool { st, err := o.status(); return err == nil && st.Version == version })
		}
		p.kill()
		begin := time.Now()
		version = c.applyMany(c.client(rest...), fmt.Sprintf("kill-%d", i), version, 1)
		durations = append(durations, time.Since(begin))
		p.start()
	}
	checkLatencies(t, "kill to accepted", durations, newLeaderTarget)
}

// Guards the target for the time from the acceptance of a version until nine watchers have received
// it.
func TestNineWatchers(t *testing.T) {
	c := newCluster(t, nil)
	c.leader()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	const watchers = 9
	type arrival struct {
		version uint64
		at      time.Time
	}
	arrivals := make(chan arrival, watchers*4)
	for i := range watchers {
		wg.Go(func() {
			_ = watchVersions(ctx, c.hosts[i%3], func(v uint64) { arrivals <- arrival{v, time.Now()} })
		})
	}
	// All streams are open when the first version has arrived at every watcher.
	receive := func(version uint64) (last time.Time) {
		timeout := time.After(waitTimeout)
		for n := 0; n < watchers; {
			select {
			case a := <-arrivals:
				if a.version == version {
					n++
					last = a.at
				}
			case <-timeout:
				t.Fatalf("version %d reached %d of %d watchers", version, n, watchers)
			}
		}
		return last
	}
	client := c.client()
	version := c.applyMany(client, "first", 0, 1)
	receive(version)
	var durations []time.Duration
	for i := range repetitions(40, 200) {
		reply, err := applyUntilDecided(client, newChange(fmt.Sprintf("change-%d", i), version))
		if err != nil || reply.State != controlplane.ApplyAccepted {
			t.Fatalf("%v %+v", err, reply)
		}
		accepted := time.Now()
		version = reply.Version
		durations = append(durations, max(0, receive(version).Sub(accepted)))
	}
	cancel()
	wg.Wait()
	checkLatencies(t, "accepted to received everywhere", durations, propagationTarget)
}
