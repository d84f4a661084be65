package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/state/overlay"
	"github.com/mulberrylink/mulberrylink/transport/events"
)

// fakeLink is a control host whose answers the test sets.
type fakeLink struct {
	version uint64 // 0: no quorum
	push    chan uint64
	heard   atomic.Int64
}

func (l *fakeLink) Finish(context.Context, *mulberrylink.Request, *mulberrylink.Answer) {}

func (l *fakeLink) Confirmed(context.Context) (version uint64, data []byte, err error) {
	if l.version == 0 {
		return 0, nil, errors.New("no quorum")
	}
	return l.version, []byte("x"), nil
}

func (l *fakeLink) Watch(ctx context.Context, push func(uint64, []byte)) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-l.push:
			push(v, []byte("x"))
		}
	}
}

func (l *fakeLink) LastHeard() time.Time { return time.Unix(l.heard.Load(), 0) }

// fakePeers serves the configuration of any peer.
type fakePeers struct{ version *atomic.Uint64 }

func (p fakePeers) Config(context.Context, mulberrylink.Node, uint64) (newest uint64, data []byte, err error) {
	return p.version.Load(), []byte("x"), nil
}

func newActive(changed func(old, next *committed)) *active {
	return &active{
		decode: func(version uint64, data []byte) (*overlay.Config, error) {
			if string(data) == "bad" {
				return nil, errors.New("bad")
			}
			return testConfig(version), nil
		},
		changed: changed, log: events.New(os.Stderr, "error", "test", "a"),
	}
}

// Guards against a configuration that goes back, and against one that cannot be
// read and replaces a good one.
func TestVersionNeverGoesBack(t *testing.T) {
	is := is.New(t)
	var seen []uint64
	a := newActive(func(_, next *committed) { seen = append(seen, next.version) })
	for _, v := range []uint64{0, 3, 2, 3, 5, 4} {
		a.adopt(v, []byte("x"), "test")
	}
	a.adopt(9, []byte("bad"), "test")
	is.Equal(seen, []uint64{3, 5})
	is.Equal(a.version(), uint64(5))
}

// Guards against a node that starts with an unconfirmed version while a control
// host answers, and against one that never starts when none does.
func TestConfigurationAtStart(t *testing.T) {
	cases := []struct {
		name            string
		quorum, peers   uint64
		pushed, want    uint64
		earliest, after time.Duration
	}{
		{name: "quorum", quorum: 7, want: 7},
		{name: "peers are ahead of the quorum's answer", quorum: 7, peers: 8, want: 8},
		{name: "no quorum", peers: 6, want: 6, earliest: 2900 * time.Millisecond},
		{name: "lagging control host", peers: 6, pushed: 4, want: 6, earliest: 2900 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			first := make(chan uint64, 10)
			a := newActive(func(_, next *committed) { first <- next.version })
			link := &fakeLink{version: c.quorum, push: make(chan uint64, 1)}
			if c.pushed > 0 {
				link.push <- c.pushed
			}
			g := newFakeGroup()
			view{g, "p"}.Update(func(n *mulberrylink.Node) { n.Addr, n.Version = "x", c.peers })
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			start := time.Now()
			go a.follow(ctx, link, view{g, "self"}, peersWith(c.peers))
			got := <-first
			is.True(time.Since(start) >= c.earliest)
			if c.quorum > 0 {
				is.Equal(got, c.quorum)
			} else {
				is.Equal(got, c.want)
			}
			time.Sleep(500 * time.Millisecond)
			is.Equal(a.version(), c.want)
		})
	}
}

func peersWith(version uint64) fakePeers {
	p := fakePeers{new(atomic.Uint64)}
	p.version.Store(version)
	return p
}

// Guards against a node that misses a change while no control host reaches it:
// peers that have the newer version are asked for it at any time.
func TestConfigurationOfPeersWithoutControlHosts(t *testing.T) {
	is := is.New(t)
	a := newActive(func(_, _ *committed) {})
	link := &fakeLink{version: 7, push: make(chan uint64)} // never pushes
	g := newFakeGroup()
	peers := peersWith(7)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.follow(ctx, link, view{g, "self"}, peers)
	until(t, "confirmed version is active", func() bool { return a.version() == 7 })
	for _, v := range []uint64{8, 12} {
		peers.version.Store(v)
		view{g, "p"}.Update(func(n *mulberrylink.Node) { n.Addr, n.Version = "x", v })
		start := time.Now()
		until(t, "newer version of a peer is active", func() bool { return a.version() == v })
		is.True(time.Since(start) < 3*time.Second) // the target for a domain out of service
	}
}

// rampGate counts the restarts of the limit.
type rampGate struct {
	gate
	ramps atomic.Int64
}

func (g *rampGate) Ramp() { g.ramps.Add(1) }

// Guards against new work on a node without configuration, in a failure domain
// out of service, cut off from everybody, or about to leave; and against full
// load on its return.
func TestNodeRefusesNewWork(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup()
	out := atomic.Bool{}
	rg := &rampGate{gate: newGate("adaptive")}
	n := startWith(t, g, testSettings("a", "d1"), func(p *parts) {
		p.gate = rg
		p.decode = func(version uint64, _ []byte) (*overlay.Config, error) {
			cfg := testConfig(version)
			if out.Load() {
				cfg.Domains[0].State = overlay.DomainOut
			}
			return cfg, nil
		}
	})
	var runs atomic.Int64
	announceUpstream(t, n, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	expect := func(status int, reason string) {
		t.Helper()
		got, h, _ := call(t, n, "GET", "/patterns", "")
		is.Equal(got, status)
		is.Equal(h.Get("Mulberry-Reason"), reason)
	}
	settle := func() { time.Sleep(3 * standingInterval) }
	expect(200, "")

	out.Store(true)
	n.active.adopt(2, []byte("x"), "test")
	settle()
	is.Equal(n.admitter.Run(context.Background(), &mulberrylink.Request{Service: "archive"}, false, nil).Reason, mulberrylink.ReasonDomainOut)
	got, h, _ := call(t, n, "GET", "/patterns", "")
	is.Equal(got, http.StatusServiceUnavailable)
	is.Equal(h.Get("Mulberry-Outcome"), "notrun")

	out.Store(false)
	n.active.adopt(3, []byte("x"), "test")
	settle()
	is.Equal(rg.ramps.Load(), int64(1))
	expect(200, "")

	g.mu.Lock()
	g.heard = time.Now()
	g.mu.Unlock()
	time.Sleep(2500 * time.Millisecond)
	expect(200, "") // 3 s have not passed
	time.Sleep(700 * time.Millisecond)
	expect(503, "isolated")
	g.mu.Lock()
	g.heard = time.Time{}
	g.mu.Unlock()
	settle()
	is.Equal(rg.ramps.Load(), int64(2))
	expect(200, "")

	n.standing.leaving.Store(true)
	expect(503, "leaving")
	n.standing.leaving.Store(false)
	n.active.current.Store(nil)
	expect(503, "noconfig")
	is.Equal(runs.Load(), int64(4))
}

// Guards against an upstream that is still chosen after its announcement
// expired.
func TestAnnouncementExpires(t *testing.T) {
	is := is.New(t)
	var states []mulberrylink.UpstreamState
	u := &upstream{
		changed: func(a announcement) { states = append(states, a.State) },
		log:     events.New(os.Stderr, "error", "test", "a"),
	}
	now := time.Now()
	a := announcement{Service: "s", State: mulberrylink.UpstreamUp, Expires: now.Add(time.Second)}
	u.announce(a)
	u.expire(now.Add(900 * time.Millisecond))
	a.Expires = now.Add(2 * time.Second)
	u.announce(a) // renewed in time: no change
	u.expire(now.Add(1900 * time.Millisecond))
	is.Equal(len(states), 1)
	u.expire(now.Add(2 * time.Second))
	u.expire(now.Add(3 * time.Second))
	is.Equal(states, []mulberrylink.UpstreamState{mulberrylink.UpstreamUp, mulberrylink.UpstreamDown})
	is.Equal(u.refuse("s"), mulberrylink.ReasonNoUpstream)
	u.announce(a)
	is.Equal(u.refuse("s"), mulberrylink.ReasonNone)
	is.Equal(u.refuse("other"), mulberrylink.ReasonNoUpstream)
}
