package controlhost_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink/controlhost"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/internal/testaddr"
)

// cluster runs control hosts in one process.
type cluster struct {
	t     *testing.T
	seeds []string
	hosts map[string]*runningHost // by address
}

// runningHost is a control host of a cluster.
type runningHost struct {
	host     *controlhost.Host
	registry metrics.Registry
	dir      string
	stop     func()
}

func newCluster(t *testing.T, seedCount int) *cluster {
	c := &cluster{t: t, hosts: make(map[string]*runningHost)}
	for range seedCount {
		c.seeds = append(c.seeds, testaddr.Free(t))
	}
	return c
}

var errInvalid = errors.New("bad")

// start opens a host with the given data directory and runs it.
func (c *cluster) start(addr, dir string, bootstrap bool) *runningHost {
	c.t.Helper()
	registry := metrics.NewRegistry()
	h, err := controlhost.Open(controlhost.Config{
		Registry: registry, Name: addr, Dir: dir, Addr: addr, Seeds: c.seeds, Bootstrap: bootstrap, GroupSize: 5,
		Validate: func(_ *document.State, ch *document.Change) error {
			if len(ch.Lists) > 0 && ch.Lists[0].Name == "bad" {
				return errInvalid
			}
			return nil
		},
		Log: &log.Logger{Level: log.FatalLevel},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = h.Serve(ctx) }()
	stopped := false
	r := &runningHost{host: h, registry: registry, dir: dir}
	r.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		<-done
		_ = h.Stop(context.Background())
		delete(c.hosts, addr)
	}
	c.t.Cleanup(r.stop)
	c.hosts[addr] = r
	return r
}

// waitFor fails the test if cond does not become true within limit.
func waitFor(t *testing.T, limit time.Duration, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !cond(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %s", what, limit)
		}
	}
}

// applyChange sends a change to every host in turn until one accepts it.
func (c *cluster) applyChange(change document.Change) {
	c.t.Helper()
	waitFor(c.t, 10*time.Second, fmt.Sprintf("version %d", change.Version), func() bool {
		for _, r := range c.hosts {
			if r.host.ApplyChange(context.Background(), &change).Status == controlhost.Done {
				return true
			}
		}
		return false
	})
}

// confirmedVersion returns the version that a linearizable read returns, or 0 if the read fails.
func (r *runningHost) confirmedVersion() uint64 {
	if s, err := r.host.ReadState(context.Background()); err == nil {
		return s.Version
	}
	return 0
}

func (r *runningHost) gauge(name string) int64 {
	return metrics.GetOrRegisterGauge(name, r.registry).Value()
}

func newChange(base, version uint64) document.Change {
	return document.Change{BaseVersion: base, Version: version, Lists: []document.List{{Name: "routes"}}}
}

// Guards against hosts that do not find one another from their seeds, hosts that form more than one
// group, and the loss of accepted changes when two of five hosts lose their disks.
func TestGroupFormsAndBearsTwoLostDisks(t *testing.T) {
	c := newCluster(t, 3)
	addrs := append([]string{testaddr.Free(t), testaddr.Free(t)}, c.seeds...)
	for _, addr := range addrs { // hosts that are not seeds start first
		c.start(addr, t.TempDir(), true)
	}
	c.applyChange(newChange(0, 3))
	for _, addr := range addrs {
		waitFor(t, 10*time.Second, "membership of "+addr, func() bool { return c.hosts[addr].host.MemberCount() == 5 })
	}
	c.applyChange(newChange(3, 7))
	for _, addr := range []string{c.seeds[0], c.seeds[1]} {
		c.hosts[addr].stop()
	}
	for _, addr := range []string{c.seeds[0], c.seeds[1]} {
		c.start(addr, t.TempDir(), false)
	}
	for _, addr := range addrs {
		waitFor(t, 15*time.Second, "version at "+addr, func() bool { return c.hosts[addr].confirmedVersion() == 7 })
	}
	c.applyChange(newChange(7, 9))
}

// Guards against a former host that stays a voter after its replacement joined at another address:
// the group would then lose its majority with the next failures.
func TestReplacedHost(t *testing.T) {
	c := newCluster(t, 3)
	all := append([]string{testaddr.Free(t), testaddr.Free(t)}, c.seeds...)
	for _, addr := range all {
		c.start(addr, t.TempDir(), true)
	}
	c.applyChange(newChange(0, 1))
	waitFor(t, 10*time.Second, "five members", func() bool { return c.hosts[all[0]].host.MemberCount() == 5 && c.hosts[all[4]].host.MemberCount() == 5 })
	c.hosts[all[2]].stop()
	replacement := testaddr.Free(t)
	c.start(replacement, t.TempDir(), false)
	waitFor(t, 15*time.Second, "version at the new host", func() bool { return c.hosts[replacement].confirmedVersion() == 1 })
	waitFor(t, 15*time.Second, "removal of the old host", func() bool { return c.hosts[replacement].host.MemberCount() == 5 })
	c.hosts[all[3]].stop()
	c.hosts[all[4]].stop()
	c.applyChange(newChange(1, 2))
}

// Guards against a host that was removed from the group and never joins again, because its data
// directory could not be cleared at the first try.
func TestRemovedHostJoinsAfterAFailedReset(t *testing.T) {
	c := newCluster(t, 3)
	all := append([]string{testaddr.Free(t), testaddr.Free(t)}, c.seeds...)
	for _, addr := range all {
		c.start(addr, t.TempDir(), true)
	}
	c.applyChange(newChange(0, 1))
	waitFor(t, 10*time.Second, "five members", func() bool { return c.hosts[all[0]].host.MemberCount() == 5 && c.hosts[all[4]].host.MemberCount() == 5 })
	removed := c.hosts[all[2]]
	removed.stop()
	replacement := testaddr.Free(t)
	c.start(replacement, t.TempDir(), false)
	waitFor(t, 15*time.Second, "replacement", func() bool {
		return c.hosts[replacement].confirmedVersion() == 1 && c.hosts[replacement].host.MemberCount() == 5
	})

	returned := c.start(all[2], removed.dir, false)
	aside := returned.dir + "-aside"
	if err := errors.Join(os.Rename(returned.dir, aside), os.WriteFile(returned.dir, nil, 0o600)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * time.Second) // it is told that it was removed after 2 s
	if err := errors.Join(os.Remove(returned.dir), os.Rename(aside, returned.dir)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, 10*time.Second, "version at the returned host", func() bool { return returned.confirmedVersion() == 1 })
}

// Guards against a host that lost its disk and never joins again, because all hosts in its settings have
// been replaced: the members still send to its former identity.
func TestHostWithoutDiskFindsGroupWithoutSeeds(t *testing.T) {
	c := newCluster(t, 3)
	for _, addr := range c.seeds {
		c.start(addr, t.TempDir(), true)
	}
	c.applyChange(newChange(0, 1))
	addr := c.seeds[0]
	c.hosts[addr].stop()
	c.seeds = []string{testaddr.Free(t)}
	c.start(addr, t.TempDir(), false)
	waitFor(t, 10*time.Second, "version at the host", func() bool { return c.hosts[addr].confirmedVersion() == 1 })
}

// Guards against gauges that hide a host outside of the group.
func TestGauges(t *testing.T) {
	c := newCluster(t, 3)
	for _, addr := range c.seeds {
		c.start(addr, t.TempDir(), true)
	}
	c.applyChange(newChange(0, 1))
	waitFor(t, 5*time.Second, "members in the gauges", func() bool {
		leaders := int64(0)
		for _, r := range c.hosts {
			if r.gauge("control.voting") != 1 || r.gauge("control.knows_leader") != 1 || r.gauge("control.members") != 3 || r.gauge("control.commit") == 0 {
				return false
			}
			leaders += r.gauge("control.leads")
		}
		return leaders == 1
	})
	c.hosts[c.seeds[0]].stop()
	c.hosts[c.seeds[1]].stop()
	alone := c.hosts[c.seeds[2]]
	waitFor(t, 5*time.Second, "no leader in the gauges", func() bool { return alone.gauge("control.knows_leader") == 0 && alone.gauge("control.leads") == 0 })
}

// Guards against results that mislead operators: a rejected change that takes effect, a repeated
// change that is rejected, and two accepted changes with the same base version.
func TestOutcomes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	host := c.start(c.seeds[0], t.TempDir(), true).host
	c.applyChange(newChange(0, 1))
	ctx := context.Background()
	a, b := newChange(1, 5), newChange(1, 5)
	b.Lists = []document.List{{Name: "other"}}
	is.Equal(host.ApplyChange(ctx, &a).Status, controlhost.Done)
	is.Equal(host.ApplyChange(ctx, &b).Status, controlhost.Conflict)
	is.Equal(host.ApplyChange(ctx, &a).Status, controlhost.Done)
	stale := newChange(5, 4)
	is.Equal(host.ApplyChange(ctx, &stale).Status, controlhost.Invalid)
	bad := document.Change{BaseVersion: 5, Version: 6, Lists: []document.List{{Name: "bad"}}}
	res := host.ApplyChange(ctx, &bad)
	is.Equal(res.Status, controlhost.Invalid)
	is.Equal(res.Err, errInvalid)
	is.Equal(host.SetDomainOut(ctx, "d1", true).Status, controlhost.Done)
	s, err := host.ReadState(ctx)
	is.NoErr(err)
	is.Equal(s.Version, uint64(5))
	is.True(s.IsDomainOut("d1"))
}

// Guards against a host that completes a read or accepts a change while it cannot reach a majority.
func TestMinorityAnswersNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	for _, addr := range c.seeds {
		c.start(addr, t.TempDir(), true)
	}
	c.applyChange(newChange(0, 1))
	c.hosts[c.seeds[0]].stop()
	c.hosts[c.seeds[1]].stop()
	last := c.hosts[c.seeds[2]].host
	_, err := last.ReadState(context.Background())
	is.True(err != nil)
	next := newChange(1, 2)
	is.True(last.ApplyChange(context.Background(), &next).Status != controlhost.Done)
}

// Guards against refusals in the log of an operator's request that do not tell why.
func TestRefusalsNameTheirCause(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	for _, addr := range c.seeds {
		c.start(addr, t.TempDir(), true)
	}
	c.applyChange(newChange(0, 1))
	last := c.hosts[c.seeds[2]]
	c.hosts[c.seeds[0]].stop()
	c.hosts[c.seeds[1]].stop()
	waitFor(t, 5*time.Second, "a read refused without a leader", func() bool {
		_, err := last.host.ReadState(context.Background())
		return err.Error() == "no leader is known"
	})
	next := newChange(1, 2)
	is.Equal(last.host.ApplyChange(context.Background(), &next).Err.Error(), "no leader is known")
	blank := c.start(testaddr.Free(t), t.TempDir(), false)
	_, err := blank.host.ReadState(context.Background())
	is.Equal(err.Error(), "this host has not joined a group yet")
	for _, name := range []string{"control.refused_reads", "control.refused_changes"} {
		is.True(metrics.GetOrRegisterCounter(name, last.registry).Count() > 0)
	}
}

// Guards against a restarted host that loses acknowledged changes, and against a seed that forms a
// second group when it is restarted, with its data directory or without.
func TestRestart(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	dir := t.TempDir()
	r := c.start(c.seeds[0], dir, true)
	c.applyChange(newChange(0, 1))
	r.stop()
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	is.NoErr(err)
	is.True(len(files) > 0)
	r = c.start(c.seeds[0], dir, true)
	waitFor(t, 5*time.Second, "version after the restart", func() bool { return r.confirmedVersion() == 1 })
	r.stop()
	is.NoErr(os.RemoveAll(dir))
	is.NoErr(os.Mkdir(dir, 0o700))
	r = c.start(c.seeds[0], dir, false)
	time.Sleep(time.Second)
	is.Equal(r.confirmedVersion(), uint64(0)) // the host must wait to join a group, not form one
}
