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

// activeTarget is the stated bound from accepted to received everywhere.
const activeTarget = time.Second

// repeat returns the repetitions of a measurement.
func repeat(short, full int) int {
	if *long {
		return full
	}
	return short
}

// report logs p50 and p99 and checks p99 against the target.
func report(t *testing.T, what string, took []time.Duration, target time.Duration) {
	t.Helper()
	slices.Sort(took)
	at := func(q int) time.Duration { return took[min(len(took)-1, len(took)*q/100)] }
	t.Logf("%s: n=%d p50=%s p99=%s max=%s", what, len(took), at(50), at(99), took[len(took)-1])
	if at(99) > target {
		t.Errorf("%s: p99 %s is above the target of %s", what, at(99), target)
	}
}

// Guards the target for the time from SIGKILL of the leader to the first change
// that a new leader accepts.
func TestNewLeaderTime(t *testing.T) {
	c := newCluster(t, nil)
	var took []time.Duration
	version := uint64(0)
	for i := range repeat(4, 30) {
		p := c.leader()
		rest := c.others(p)
		for _, o := range rest {
			until(t, "followers are caught up", func() bool { st, err := o.status(); return err == nil && st.Version == version })
		}
		p.kill()
		begin := time.Now()
		version = c.applyMany(c.client(rest...), fmt.Sprintf("kill-%d", i), version, 1)
		took = append(took, time.Since(begin))
		p.start()
	}
	report(t, "kill to accepted", took, leaderTarget)
}

// Guards the target for the time from accepted to received by nine watchers.
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
			_ = watch(ctx, c.hosts[i%3], func(v uint64) { arrivals <- arrival{v, time.Now()} })
		})
	}
	// The streams are open once the first version has arrived everywhere.
	receive := func(version uint64) (last time.Time) {
		limit := time.After(waitLimit)
		for n := 0; n < watchers; {
			select {
			case a := <-arrivals:
				if a.version == version {
					n++
					last = a.at
				}
			case <-limit:
				t.Fatalf("version %d reached %d of %d watchers", version, n, watchers)
			}
		}
		return last
	}
	cl := c.client()
	version := c.applyMany(cl, "first", 0, 1)
	receive(version)
	var took []time.Duration
	for i := range repeat(40, 200) {
		r, err := applyDecided(cl, change(fmt.Sprintf("change-%d", i), version))
		if err != nil || r.State != controlplane.ApplyAccepted {
			t.Fatalf("%v %+v", err, r)
		}
		accepted := time.Now()
		version = r.Version
		took = append(took, max(0, receive(version).Sub(accepted)))
	}
	cancel()
	wg.Wait()
	report(t, "accepted to received everywhere", took, activeTarget)
}
