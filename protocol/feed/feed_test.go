package feed_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/directory"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/rollout"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
	"github.com/mulberrylink/mulberrylink/internal/testclock"
	"github.com/mulberrylink/mulberrylink/protocol/feed"
	"github.com/mulberrylink/mulberrylink/state/boottime"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// host is a control host with a hub and a document that tests change.
type host struct {
	addr     string
	nodes    *directory.Directory
	suspects *suspect.List
	reports  *rollout.Board
	machine  *document.Machine
	noLeader atomic.Bool
	confirms atomic.Bool // quorum reads succeed
	hosts    []feed.Host
	clock    testclock.Clock
	stop     context.CancelFunc
}

func discardLogger() *log.Logger { return &log.Logger{Level: log.FatalLevel} }

func newHost(t *testing.T) *host {
	t.Helper()
	h := &host{nodes: directory.New(), suspects: newSuspects(), reports: rollout.NewBoard(), machine: document.NewMachine()}
	hub := feed.NewHub(feed.HubConfig{
		Directory: h.nodes, Suspects: h.suspects, Reports: h.reports, State: h.machine.Current, HasLeader: func() bool { return !h.noLeader.Load() },
		ConfirmedState: func(context.Context) (*document.State, bool) {
			state, _ := h.machine.Current()
			return state, h.confirms.Load()
		},
		Hosts: func() []feed.Host { return h.hosts }, Now: h.clock.Now, Log: discardLogger(),
	})
	s := rpc.NewServer(nil)
	name, handler := hub.Method()
	s.Handle(name, handler)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.addr = lis.Addr().String()
	var ctx context.Context
	ctx, h.stop = context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx, lis) }()
	t.Cleanup(func() { h.stop(); <-done })
	return h
}

func (h *host) change(version, base uint64, name string) {
	c := document.Change{BaseVersion: base, Version: version, Lists: []document.List{{Name: "routes", Items: []document.Item{{Name: name}}}}}
	h.machine.Apply(0, document.Encode(document.Command{Change: &c}))
}

// follower is a node that subscribes to control hosts.
type follower struct {
	client *feed.Client
	nodes  *directory.Directory
	state  atomic.Pointer[document.State]
	clock  testclock.Clock
	stop   func()
}

func startFollower(t *testing.T, name string, hosts ...*host) *follower {
	t.Helper()
	var seeds []string
	for _, h := range hosts {
		seeds = append(seeds, h.addr)
	}
	f := &follower{nodes: directory.New()}
	f.client = feed.NewClient(feed.ClientConfig{
		Dialer: rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second}), Seeds: seeds, Directory: f.nodes, NodeName: name,
		OnState: func(s *document.State) { f.state.Store(s) }, Now: f.clock.Now, Log: discardLogger(),
	})
	f.client.Announce(mulberrylink.Node{Name: name, Service: "archive", Incarnation: 1, State: mulberrylink.NodeReady})
	f.stop = run(t, f.client)
	return f
}

// run runs a client until stop is called or the test ends.
func run(t *testing.T, c *feed.Client) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

func (f *follower) version() uint64 {
	if s := f.state.Load(); s != nil {
		return s.Version
	}
	return 0
}

// waitFor fails the test if cond does not become true within limit.
func waitFor(t *testing.T, limit time.Duration, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %s", what, limit)
		}
	}
}

// Guards against a node that stays with a control host that has no leader while others have a newer
// configuration. During a network partition between control hosts, a node rejected a request to a
// new route 2 s after the route had been acknowledged.
func TestNodeLeavesHostThatIsBehind(t *testing.T) {
	a, b := newHost(t), newHost(t)
	a.change(1, 0, "first")
	b.change(1, 0, "first")
	n := startFollower(t, "n1", a, b)
	waitFor(t, 2*time.Second, "first version", func() bool { return n.version() == 1 })
	followed, other := a, b
	if b.nodes.Size() > 0 {
		followed, other = b, a
	}
	followed.noLeader.Store(true)
	other.change(2, 1, "second")
	// The limit is half of the 2 s in which a change has to be in force, because the control host
	// takes the other half to detect that it has no leader.
	waitFor(t, time.Second, "second version", func() bool { return n.version() == 2 })
}

// Guards against a node that goes back to an older version when it moves to a control host whose
// state is behind.
func TestNodeNeverGoesBack(t *testing.T) {
	is := is.New(t)
	a, b := newHost(t), newHost(t)
	a.change(1, 0, "first")
	a.change(5, 1, "second")
	b.change(1, 0, "first")
	n := startFollower(t, "n1", a)
	waitFor(t, 2*time.Second, "newest version", func() bool { return n.version() == 5 })
	n.client.AddSeeds([]string{b.addr})
	a.stop()
	waitFor(t, 5*time.Second, "move to the other host", func() bool { return b.nodes.Size() == 1 })
	time.Sleep(100 * time.Millisecond)
	is.Equal(n.version(), uint64(5))
	b.change(5, 1, "second")
	b.change(7, 5, "third")
	waitFor(t, 2*time.Second, "a newer version of another host", func() bool { return n.version() == 7 })
}

// Guards against a node whose lease ends because it stays with a control host that hears the leader and
// cannot reach a majority.
func TestNodeLeavesHostThatConfirmsNothing(t *testing.T) {
	a, b := newHost(t), newHost(t)
	b.confirms.Store(true)
	known := []feed.Host{{Addr: a.addr, Domain: "d1"}, {Addr: b.addr, Domain: "d2"}}
	a.hosts, b.hosts = known, known
	var confirmed atomic.Bool
	run(t, feed.NewClient(feed.ClientConfig{
		Dialer: rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second}), Seeds: []string{a.addr}, Directory: directory.New(), NodeName: "n1", Domain: "d1",
		Probe: boottime.Now, OnConfirmed: func(time.Duration, uint64) { confirmed.Store(true) }, Log: discardLogger(),
	}))
	// A lease lasts 4.5 s, and its last probe may be 0.6 s old.
	waitFor(t, 3900*time.Millisecond, "confirmation by the other host", confirmed.Load)
}

// Guards against nodes that do not receive one another's records or their changes, for example that a
// node is leaving.
func TestNodesLearnOfOneAnother(t *testing.T) {
	a := newHost(t)
	n1, n2 := startFollower(t, "n1", a), startFollower(t, "n2", a)
	waitFor(t, 2*time.Second, "records", func() bool { return n1.nodes.Size() == 1 && n2.nodes.Size() == 1 })
	n2.client.Announce(mulberrylink.Node{Name: "n2", Service: "registry", State: mulberrylink.NodeLeaving})
	waitFor(t, time.Second, "changed record", func() bool { return len(n1.nodes.ServiceNodes("registry")) == 1 })
}

// Guards against a restarted node that is served by the record of its former process. Processes
// count incarnations from 1, so the stored record has a higher one.
func TestRestartedNodeReplacesItsRecordAtOnce(t *testing.T) {
	is := is.New(t)
	a := newHost(t)
	a.change(1, 0, "first")
	a.nodes.Put(mulberrylink.Node{Name: "n1", Service: "old", Incarnation: 1 << 40}, "session-0", time.Now())
	n := startFollower(t, "n1", a)
	waitFor(t, 2*time.Second, "first message of the control host", func() bool { return n.version() == 1 })
	e, ok := a.nodes.Get("n1")
	is.True(ok)
	is.Equal(e.Node.Service, "archive")
	is.True(e.Node.Incarnation > 1<<40)
	n.client.Announce(mulberrylink.Node{Name: "n1", Service: "registry", State: mulberrylink.NodeReady})
	waitFor(t, time.Second, "next record", func() bool { return len(a.nodes.ServiceNodes("registry")) == 1 })
}

// Guards against a node that stays gone after a network partition: the control hosts on the other
// side marked it as gone under an incarnation that the node had not reached.
func TestNodeRefutesRecordOfAnotherHost(t *testing.T) {
	a := newHost(t)
	startFollower(t, "n1", a)
	waitFor(t, 2*time.Second, "record of the node", func() bool { return a.nodes.Size() == 1 })
	gone := mulberrylink.Node{Name: "n1", Service: "archive", Incarnation: 1 << 40, State: mulberrylink.NodeGone}
	a.nodes.Put(gone, "127.0.0.1:1", time.Now())
	waitFor(t, 200*time.Millisecond, "refutation by the node", func() bool { return a.nodes.Size() == 1 })
}

// Guards against sending a large document across failure domains to every node: once a node knows the
// control hosts, it follows one in its own domain.
func TestNodePrefersItsOwnDomain(t *testing.T) {
	a, b := newHost(t), newHost(t)
	known := []feed.Host{{Addr: a.addr, Domain: "d1"}, {Addr: b.addr, Domain: "d2"}}
	a.hosts, b.hosts = known, known
	a.change(1, 0, "first")
	b.change(1, 0, "first")
	f := &follower{nodes: directory.New()}
	f.client = feed.NewClient(feed.ClientConfig{
		Dialer: rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second}), Seeds: []string{a.addr}, Directory: f.nodes, NodeName: "n1", Domain: "d2", Log: discardLogger(),
	})
	f.client.Announce(mulberrylink.Node{Name: "n1", Service: "archive", Incarnation: 1})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.client.Run(ctx) }()
	defer func() { cancel(); <-done }()
	waitFor(t, 3*time.Second, "move to the own domain", func() bool { return b.nodes.Size() == 1 })
}

// Guards against a node that returns again and again to an unresponsive control host, which accepts
// connections but sends nothing. A request was handled by an old version 2 s after the new one had
// been accepted (run hbtg-mesh-grown trouble-1, seed 47667246425, in docs/platform.md).
func TestHostThatStandsStillIsTriedLast(t *testing.T) {
	a := newHost(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	a.hosts = []feed.Host{{Addr: a.addr, Domain: "d2"}, {Addr: lis.Addr().String(), Domain: "d1"}}
	a.change(1, 0, "first")
	f := &follower{nodes: directory.New()}
	f.client = feed.NewClient(feed.ClientConfig{
		Dialer: rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second}), Seeds: []string{a.addr}, Directory: f.nodes, NodeName: "n1", Domain: "d1",
		OnState: func(s *document.State) { f.state.Store(s) }, Log: discardLogger(),
	})
	f.client.Announce(mulberrylink.Node{Name: "n1", Service: "archive", Incarnation: 1})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.client.Run(ctx) }()
	defer func() { cancel(); <-done }()
	waitFor(t, time.Second, "first version", func() bool { return f.version() == 1 })
	for v := uint64(2); v < 8; v++ {
		a.change(v, v-1, "next")
		waitFor(t, time.Second, "next version", func() bool { return f.version() == v })
		time.Sleep(300 * time.Millisecond)
	}
}

// Guards against a node that subscribes after a failure domain was taken out of service and keeps
// sending requests there. The hub sent it the whole state from a cache that an earlier subscriber
// had filled before the domain changed, under the revision after the change.
func TestLateSubscriberLearnsOfDomainsOut(t *testing.T) {
	is := is.New(t)
	a := newHost(t)
	a.change(1, 0, "first")
	first := startFollower(t, "n1", a)
	waitFor(t, 2*time.Second, "version at the first node", func() bool { return first.version() == 1 })
	a.machine.Apply(0, document.Encode(document.Command{Domain: "d1", DomainOut: true}))
	waitFor(t, 2*time.Second, "domain out at the first node", func() bool { return first.state.Load().IsDomainOut("d1") })
	second := startFollower(t, "n2", a)
	waitFor(t, 2*time.Second, "version at the second node", func() bool { return second.version() == 1 })
	is.True(second.state.Load().IsDomainOut("d1"))
}

// Guards against feeds that are cut when the time of day jumps ahead on either side: the jump was
// taken for silence of the other side. A control host then reported its nodes as gone.
func TestTimeOfDayJumpsAhead(t *testing.T) {
	is := is.New(t)
	a := newHost(t)
	a.change(1, 0, "first")
	n := startFollower(t, "n1", a)
	waitFor(t, 2*time.Second, "first version", func() bool { return n.version() == 1 })
	before, ok := a.nodes.Get("n1")
	is.True(ok)
	a.clock.Step(time.Hour)
	n.clock.Step(-time.Hour)
	time.Sleep(time.Second) // several heartbeats
	after, ok := a.nodes.Get("n1")
	is.True(ok)
	is.Equal(after.Source, before.Source) // the session is still the same
	is.True(time.Since(n.client.LastHeard()) < time.Second)
}

// Guards against a subscriber that stops responding and is kept for as long as the time of day of
// the control host has jumped back.
func TestTimeOfDayJumpsBackBeforeSilence(t *testing.T) {
	a := newHost(t)
	a.change(1, 0, "first")
	relay := newRelay(t, a.addr)
	n := startFollower(t, "n1", &host{addr: relay.addr})
	waitFor(t, 2*time.Second, "record of the node", func() bool { return a.nodes.Size() == 1 })
	waitFor(t, 2*time.Second, "first version", func() bool { return n.version() == 1 })
	a.clock.Step(-time.Hour)
	relay.silence()
	// The silence timeout, the grace period to reconnect and a heartbeat add up to 3.3 s.
	waitFor(t, 5*time.Second, "removal of the silent node", func() bool { return a.nodes.Size() == 0 })
}

// relay passes bytes on between a subscriber and a control host until it is silenced.
type relay struct {
	addr   string
	silent atomic.Bool
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{addr: lis.Addr().String()}
	var mu sync.Mutex
	var conns []net.Conn
	var wg sync.WaitGroup
	pipe := func(from, to net.Conn) {
		buf := make([]byte, 4096)
		for {
			n, err := from.Read(buf)
			if err != nil {
				return
			}
			if r.silent.Load() {
				continue
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
	}
	wg.Go(func() {
		for {
			in, err := lis.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			mu.Lock()
			conns = append(conns, in, out)
			mu.Unlock()
			wg.Go(func() { pipe(in, out) })
			wg.Go(func() { pipe(out, in) })
		}
	})
	t.Cleanup(func() {
		_ = lis.Close()
		mu.Lock()
		for _, c := range conns {
			_ = c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	return r
}

// silence drops all further bytes in both directions and leaves the connections open.
func (r *relay) silence() { r.silent.Store(true) }
