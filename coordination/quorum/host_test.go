package quorum

import (
	"context"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/state/storage"
	"github.com/mulberrylink/mulberrylink/state/storage/storagetest"
)

// itemList is a state machine that keeps the list of the applied proposals, or nothing with discard.
type itemList struct {
	mu      sync.Mutex
	discard bool
	items   []string
}

func (l *itemList) Apply(_ uint64, data []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.discard {
		return nil
	}
	l.items = append(l.items, string(data))
	return binary.AppendUvarint(nil, uint64(len(l.items)))
}

func (l *itemList) Snapshot() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	var b []byte
	for _, s := range l.items {
		b = append(binary.AppendUvarint(b, uint64(len(s))), s...)
	}
	return b
}

func (l *itemList) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = nil
	for len(data) > 0 {
		n, w := binary.Uvarint(data)
		if w <= 0 || uint64(len(data)-w) < n {
			return errors.New("item list snapshot is truncated")
		}
		l.items = append(l.items, string(data[w:w+int(n)]))
		data = data[w+int(n):]
	}
	return nil
}

func (l *itemList) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.items...)
}

// network delivers messages between hosts of one process.
type network struct {
	mu       sync.Mutex
	hosts    map[string]*Host
	isolated map[string]bool
}

func (n *network) Send(m Message) {
	n.mu.Lock()
	h := n.hosts[m.ToAddr]
	if n.isolated[m.ToAddr] || n.isolated[m.FromAddr] {
		h = nil
	}
	n.mu.Unlock()
	if h != nil {
		h.Receive(m)
	}
}

func (n *network) setIsolated(addr string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[addr] = isolated
}

type testGroup struct {
	t               testing.TB
	dir             string
	net             *network
	hosts           map[string]*Host
	machines        map[string]*itemList
	fs              map[string]storage.FS
	snapshotEntries uint64
	discard         bool // the state machines keep nothing
}

func newGroup(t testing.TB, n int) *testGroup { return newGroupWith(t, n, false) }

func newGroupWith(t testing.TB, n int, discard bool) *testGroup {
	g := &testGroup{
		t: t, discard: discard, dir: t.TempDir(), hosts: map[string]*Host{}, machines: map[string]*itemList{}, fs: map[string]storage.FS{},
		net: &network{hosts: map[string]*Host{}, isolated: map[string]bool{}},
	}
	var members []Member
	for i := range n {
		members = append(members, Member{ID: uint64(i + 1), Addr: fmt.Sprintf("h%d", i+1)})
	}
	for _, m := range members {
		cfg := g.config(m.Addr)
		cfg.ID = m.ID
		if err := Format(cfg, members); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range members {
		g.open(m.Addr)
	}
	t.Cleanup(func() {
		for addr := range g.hosts {
			g.kill(addr)
		}
	})
	return g
}

func (g *testGroup) config(addr string) Config {
	return Config{
		Dir: filepath.Join(g.dir, addr), FS: g.fs[addr], Addr: addr,
		Machine: &itemList{discard: g.discard}, Sender: g.net, SnapshotEntries: g.snapshotEntries,
	}
}

func (g *testGroup) open(addr string) *Host {
	g.t.Helper()
	cfg := g.config(addr)
	h, err := Open(cfg)
	if err != nil {
		g.t.Fatal(err)
	}
	g.hosts[addr], g.machines[addr] = h, cfg.Machine.(*itemList)
	g.net.mu.Lock()
	g.net.hosts[addr] = h
	g.net.mu.Unlock()
	return h
}

// kill stops a host without a leadership transfer.
func (g *testGroup) kill(addr string) {
	g.net.setIsolated(addr, true)
	h := g.hosts[addr]
	delete(g.hosts, addr)
	h.stopOnce.Do(func() { close(h.quit) })
	<-h.stopped
	_ = errors.CombineErrors(h.store.Close(), h.closeFS())
	g.net.setIsolated(addr, false)
}

func (g *testGroup) leader() *Host {
	g.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, h := range g.hosts {
			if st := h.Status(); st.Role == Leader && h.ReadBarrier(timeout(g.t, time.Second)) {
				return h
			}
		}
	}
	g.t.Fatal("no leader after 10 s")
	return nil
}

func (g *testGroup) propose(s string) {
	g.t.Helper()
	for range 20 {
		if _, st := g.leader().Propose(timeout(g.t, 5*time.Second), []byte(s)); st == Committed {
			return
		}
	}
	g.t.Fatalf("%q was not committed", s)
}

func timeout(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against members that apply different sequences, a restart that loses committed entries, and
// a follower with a stale state after a read barrier.
func TestHostsAgreeAcrossRestart(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	for i := range 50 {
		g.propose(fmt.Sprint("a", i))
	}
	first := g.leader().cfg.Addr
	g.kill(first)
	for i := range 50 {
		g.propose(fmt.Sprint("b", i))
	}
	g.open(first)
	for _, h := range g.hosts {
		is.True(h.ReadBarrier(timeout(t, 5*time.Second)))
		is.Equal(len(g.machines[h.cfg.Addr].list()), 100)
	}
	is.Equal(g.machines["h1"].list(), g.machines["h2"].list())
	is.Equal(g.machines["h1"].list(), g.machines["h3"].list())
}

// Guards against a replacement that becomes a voter without the log, and against data loss when a
// second member fails right after the repair.
func TestReplaceLostDiskThenLoseAnother(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	g.snapshotEntries = 20 // the new member needs a snapshot
	for _, addr := range []string{"h1", "h2", "h3"} {
		g.kill(addr)
		g.open(addr)
	}
	for i := range 2000 {
		if i%100 == 0 {
			g.propose(fmt.Sprint("a", i))
		} else {
			go g.hosts["h1"].Propose(timeout(t, time.Second), []byte("x"))
		}
	}
	lost := g.leader()
	g.kill(lost.cfg.Addr)
	blank := g.open("h4")
	is.True(!blank.Status().Voting)
	l := g.leader()
	is.NoErr(l.RemoveMember(timeout(t, 10*time.Second), lost.Status().ID))
	is.NoErr(l.AddMember(timeout(t, 10*time.Second), Member{ID: blank.Status().ID, Addr: "h4"}))
	for addr := range g.hosts {
		if addr != "h4" {
			g.kill(addr)
			break
		}
	}
	g.propose("after")
	is.True(blank.ReadBarrier(timeout(t, 5*time.Second)))
	list := g.machines["h4"].list()
	is.Equal(list[len(list)-1], "after")
}

// Guards against a member that still votes or leads after its disk has failed, and against a status
// that doesn't show the failure.
func TestDiskErrorStopsMember(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	disks := map[string]*storagetest.Disk{}
	for i, addr := range []string{"h1", "h2", "h3"} {
		g.kill(addr)
		disks[addr] = storagetest.New(uint64(i))
		g.fs[addr] = disks[addr]
		cfg := g.config(addr)
		cfg.ID = uint64(i + 1)
		is.NoErr(Format(cfg, []Member{{ID: 1, Addr: "h1"}, {ID: 2, Addr: "h2"}, {ID: 3, Addr: "h3"}}))
		g.open(addr)
	}
	g.propose("a")
	l := g.leader()
	is.NoErr(l.call(timeout(t, time.Second), func() {
		// The sync goroutine is idle while the control goroutine is here.
		disks[l.cfg.Addr].Space = 0
	}))
	_, st := l.Propose(timeout(t, 5*time.Second), []byte("b"))
	is.True(st == Indeterminate || st == Committed)
	for end := time.Now().Add(5 * time.Second); l.Status().Err == nil && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(l.Status().Err != nil)
	is.True(!l.Status().Voting)
	_, _, self := l.Leader()
	is.True(!self)
	_, st = l.Propose(timeout(t, time.Second), []byte("c"))
	is.Equal(st, Unavailable)
	g.propose("d")
	is.True(g.leader() != l)
}

// limitedDir is a directory on a disk that can be full.
type limitedDir struct {
	*storage.Dir
	full atomic.Bool
}

func (d *limitedDir) Create(name string) (storage.File, error) {
	if d.full.Load() {
		return nil, syscall.ENOSPC
	}
	f, err := d.Dir.Create(name)
	return &limitedFile{File: f, dir: d}, err
}

func (d *limitedDir) Append(name string) (storage.File, error) {
	f, err := d.Dir.Append(name)
	return &limitedFile{File: f, dir: d}, err
}

type limitedFile struct {
	storage.File
	dir *limitedDir
}

// Write writes half of the bytes if the disk is full.
func (f *limitedFile) Write(b []byte) (int, error) {
	if !f.dir.full.Load() {
		return f.File.Write(b)
	}
	n, err := f.File.Write(b[:len(b)/2])
	return n, errors.CombineErrors(err, syscall.ENOSPC)
}

// Guards against a member that stays out of the group after its disk was full for some time: with each
// full disk the group would bear one failure less.
func TestMemberReturnsWhenDiskHasRoom(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 5)
	dirs := map[string]*limitedDir{}
	for addr := range g.machines {
		g.kill(addr)
		dir, err := storage.NewDir(filepath.Join(g.dir, addr))
		is.NoErr(err)
		t.Cleanup(func() { _ = dir.Close() })
		dirs[addr] = &limitedDir{Dir: dir}
		g.fs[addr] = dirs[addr]
		g.open(addr)
	}
	for i := range 10 {
		g.propose(fmt.Sprint("before ", i))
		l := g.leader()
		dirs[l.cfg.Addr].full.Store(true)
		_, st := l.Propose(timeout(t, 5*time.Second), []byte("proposal"))
		is.True(st == Indeterminate || st == Committed)
		g.propose(fmt.Sprint("meanwhile ", i))
		is.True(l.Status().Err != nil)
		_, _, self := l.Leader()
		is.True(!self)
		dirs[l.cfg.Addr].full.Store(false)
		for end := time.Now().Add(5 * time.Second); !l.ReadBarrier(timeout(t, time.Second)); time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(end)) // it takes part again
		}
	}
	g.propose("last")
	for _, h := range g.hosts {
		is.True(h.ReadBarrier(timeout(t, 5*time.Second)))
		is.NoErr(h.Status().Err)
	}
	for addr := range g.hosts {
		is.Equal(g.machines[addr].list(), g.machines["h1"].list())
	}
	g.kill("h1")
	g.kill("h2")
	g.propose("after")
}

// Guards against a read that never ends: the leader confirmed its index, and the disk failed before
// this member had applied the log up to it.
func TestDiskErrorEndsConfirmedReads(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	g.propose("a")
	l := g.leader()
	r := &readRequest{ctx: context.Background(), done: make(chan bool, 1)}
	is.NoErr(l.call(timeout(t, time.Second), func() {
		l.confirmedReads = append(l.confirmedReads, confirmedRead{index: l.applied + 1, requests: []*readRequest{r}})
		l.fail(errDisk)
	}))
	select {
	case ok := <-r.done:
		is.True(!ok)
	case <-time.After(time.Second):
		t.Fatal("the read has not ended")
	}
}

var errDisk = errors.New("input/output error")

// Guards against a leader in the minority that doesn't step down after an election timeout, and
// against a proposal that it reports as committed.
func TestCutLeaderStepsDown(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	g.propose("a")
	l := g.leader()
	g.net.setIsolated(l.cfg.Addr, true)
	_, st := l.Propose(timeout(t, 5*time.Second), []byte("lost"))
	is.Equal(st, Indeterminate)
	_, _, self := l.Leader()
	is.True(!self)
	is.True(!l.ReadBarrier(timeout(t, 100*time.Millisecond)))
	_, st = l.Propose(timeout(t, time.Second), []byte("b"))
	is.Equal(st, Unavailable)
	g.net.setIsolated(l.cfg.Addr, false)
	g.propose("c")
}

// Guards against a graceful stop that leaves the group without a leader for an election timeout, and
// against a Format that overwrites a directory that already holds a member.
func TestStopTransfersLeadership(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	g.propose("a")
	l := g.leader()
	delete(g.hosts, l.cfg.Addr)
	start := time.Now()
	is.NoErr(l.Stop(timeout(t, 5*time.Second)))
	g.propose("b")
	is.True(time.Since(start) < defaultElectionTimeoutMin)
	cfg := g.config(l.cfg.Addr)
	cfg.ID = l.Status().ID
	err := Format(cfg, l.Status().Members)
	is.True(errors.Is(err, storage.ErrExists))
}
