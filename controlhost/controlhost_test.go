package controlhost_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink/controlhost"
	"github.com/mulberrylink/mulberrylink/coordination/document"
)

// cluster runs control hosts in one process.
type cluster struct {
	t     *testing.T
	seeds []string
	hosts map[string]*running // by address
}

type running struct {
	host *controlhost.Host
	dir  string
	stop func()
}

func address(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

func newCluster(t *testing.T, seeds int) *cluster {
	c := &cluster{t: t, hosts: make(map[string]*running)}
	for range seeds {
		c.seeds = append(c.seeds, address(t))
	}
	return c
}

var errBad = errors.New("bad")

// start opens a host on a directory and runs it.
func (c *cluster) start(addr, dir string, first bool) *running {
	c.t.Helper()
	h, err := controlhost.Open(controlhost.Config{
		Name: addr, Dir: dir, Addr: addr, Seeds: c.seeds, Bootstrap: first, GroupSize: 5,
		Validate: func(_ *document.State, ch *document.Change) error {
			if len(ch.Lists) > 0 && ch.Lists[0].Name == "bad" {
				return errBad
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
	r := &running{host: h, dir: dir}
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

func within(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %s", what, limit)
		}
	}
}

// change asks every host until one accepts.
func (c *cluster) change(ch document.Change) {
	c.t.Helper()
	within(c.t, 10*time.Second, fmt.Sprintf("version %d", ch.Version), func() bool {
		for _, r := range c.hosts {
			if r.host.ApplyChange(context.Background(), &ch).Status == controlhost.Done {
				return true
			}
		}
		return false
	})
}

// read returns the version that a host confirms.
func (r *running) read() uint64 {
	if s, ok := r.host.ReadState(context.Background()); ok {
		return s.Version
	}
	return 0
}

func change(base, version uint64) document.Change {
	return document.Change{BaseVersion: base, Version: version, Lists: []document.List{{Name: "routes"}}}
}

// Guards against hosts that do not find one another from their seeds, start more
// than one group, or lose what was accepted with the disks of two of five.
func TestGroupFormsAndBearsTwoLostDisks(t *testing.T) {
	c := newCluster(t, 3)
	addrs := append([]string{address(t), address(t)}, c.seeds...)
	for _, a := range addrs { // those that are no seeds come first
		c.start(a, t.TempDir(), true)
	}
	c.change(change(0, 3))
	for _, a := range addrs {
		within(t, 10*time.Second, "membership of "+a, func() bool { return c.hosts[a].host.MemberCount() == 5 })
	}
	c.change(change(3, 7))
	for _, a := range []string{c.seeds[0], c.seeds[1]} {
		c.hosts[a].stop()
	}
	for _, a := range []string{c.seeds[0], c.seeds[1]} {
		c.start(a, t.TempDir(), false)
	}
	for _, a := range addrs {
		within(t, 15*time.Second, "version at "+a, func() bool { return c.hosts[a].read() == 7 })
	}
	c.change(change(7, 9))
}

// Guards against a host that is replaced for good at another address and still
// counts, so that the next losses stop the group.
func TestReplacedHost(t *testing.T) {
	c := newCluster(t, 3)
	all := append([]string{address(t), address(t)}, c.seeds...)
	for _, a := range all {
		c.start(a, t.TempDir(), true)
	}
	c.change(change(0, 1))
	within(t, 10*time.Second, "five members", func() bool { return c.hosts[all[0]].host.MemberCount() == 5 && c.hosts[all[4]].host.MemberCount() == 5 })
	c.hosts[all[2]].stop()
	next := address(t)
	c.start(next, t.TempDir(), false)
	within(t, 15*time.Second, "version at the new host", func() bool { return c.hosts[next].read() == 1 })
	within(t, 15*time.Second, "removal of the old host", func() bool { return c.hosts[next].host.MemberCount() == 5 })
	c.hosts[all[3]].stop()
	c.hosts[all[4]].stop()
	c.change(change(1, 2))
}

// Guards against outcomes that operators would misread: a refused change that is
// in force, a resent one that is refused, and two winners of a race.
func TestOutcomes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	h := c.start(c.seeds[0], t.TempDir(), true).host
	c.change(change(0, 1))
	ctx := context.Background()
	a, b := change(1, 5), change(1, 5)
	b.Lists = []document.List{{Name: "other"}}
	is.Equal(h.ApplyChange(ctx, &a).Status, controlhost.Done)
	is.Equal(h.ApplyChange(ctx, &b).Status, controlhost.Conflict)
	is.Equal(h.ApplyChange(ctx, &a).Status, controlhost.Done)
	stale := change(5, 4)
	is.Equal(h.ApplyChange(ctx, &stale).Status, controlhost.Invalid)
	bad := document.Change{BaseVersion: 5, Version: 6, Lists: []document.List{{Name: "bad"}}}
	res := h.ApplyChange(ctx, &bad)
	is.Equal(res.Status, controlhost.Invalid)
	is.Equal(res.Err, errBad)
	is.Equal(h.SetDomainOut(ctx, "d1", true).Status, controlhost.Done)
	s, ok := h.ReadState(ctx)
	is.True(ok)
	is.Equal(s.Version, uint64(5))
	is.True(s.IsDomainOut("d1"))
}

// Guards against a host that answers a read, or accepts a change, while it cannot
// reach a majority.
func TestMinorityAnswersNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	for _, a := range c.seeds {
		c.start(a, t.TempDir(), true)
	}
	c.change(change(0, 1))
	c.hosts[c.seeds[0]].stop()
	c.hosts[c.seeds[1]].stop()
	last := c.hosts[c.seeds[2]].host
	_, ok := last.ReadState(context.Background())
	is.True(!ok)
	next := change(1, 2)
	is.True(last.ApplyChange(context.Background(), &next).Status != controlhost.Done)
}

// Guards against a restarted host that has lost what it acknowledged, and against
// a seed that starts a second group when it is started again with its disk.
func TestRestart(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	dir := t.TempDir()
	r := c.start(c.seeds[0], dir, true)
	c.change(change(0, 1))
	r.stop()
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	is.NoErr(err)
	is.True(len(files) > 0)
	r = c.start(c.seeds[0], dir, true)
	within(t, 5*time.Second, "version after the restart", func() bool { return r.read() == 1 })
	r.stop()
	is.NoErr(os.RemoveAll(dir))
	is.NoErr(os.Mkdir(dir, 0o700))
	r = c.start(c.seeds[0], dir, false)
	time.Sleep(time.Second)
	is.Equal(r.read(), uint64(0)) // it waits for a group and forms none
}
