package main

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/state/overlay"
	"github.com/mulberrylink/mulberrylink/transport/events"
)

// fakeControl is a fake of the control hosts, whose responses the test sets.
type fakeControl struct {
	version   uint64 // 0 for no quorum
	push      chan uint64
	lastHeard atomic.Int64
}

func (c *fakeControl) Finish(context.Context, *mulberrylink.Request, *mulberrylink.Answer) {}

func (c *fakeControl) Confirmed(context.Context) (version uint64, data []byte, err error) {
	if c.version == 0 {
		return 0, nil, errors.New("no quorum")
	}
	return c.version, []byte("x"), nil
}

func (c *fakeControl) Watch(ctx context.Context, push func(uint64, []byte)) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-c.push:
			push(v, []byte("x"))
		}
	}
}

func (c *fakeControl) LastHeard() time.Time { return time.Unix(c.lastHeard.Load(), 0) }

// fakePeers serves the same configuration for every peer.
type fakePeers struct{ version *atomic.Uint64 }

func (p fakePeers) Config(context.Context, mulberrylink.Node, uint64) (newest uint64, data []byte, err error) {
	return p.version.Load(), []byte("x"), nil
}

func newActiveConfig(onChange func(old, next *configVersion)) *activeConfig {
	return &activeConfig{
		decode: func(version uint64, data []byte) (*overlay.Config, error) {
			if string(data) == "bad" {
				return nil, errors.New("bad")
			}
			return testConfig(version), nil
		},
		onChange: onChange, log: events.New(os.Stderr, "error", "test", "a"),
	}
}

// Guards against a configuration that reverts to an older version, and against one that can't be
// decoded and replaces a valid one.
func TestVersionNeverGoesBack(t *testing.T) {
	is := is.New(t)
	var versions []uint64
	a := newActiveConfig(func(_, next *configVersion) { versions = append(versions, next.version) })
	for _, v := range []uint64{0, 3, 2, 3, 5, 4} {
		a.apply(v, []byte("x"), "test")
	}
	a.apply(9, []byte("bad"), "test")
	is.Equal(versions, []uint64{3, 5})
	is.Equal(a.version(), uint64(5))
}

// Guards against a node that starts with an unconfirmed version although a quorum responds, and
// against one that never gets a configuration when no quorum does.
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
			appliedVersions := make(chan uint64, 10)
			a := newActiveConfig(func(_, next *configVersion) { appliedVersions <- next.version })
			control := &fakeControl{version: c.quorum, push: make(chan uint64, 1)}
			if c.pushed > 0 {
				control.push <- c.pushed
			}
			g := newFakeGroup()
			groupView{g, "p"}.Update(func(n *mulberrylink.Node) { n.Addr, n.Version = "x", c.peers })
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			start := time.Now()
			go a.run(ctx, control, groupView{g, "self"}, newFakePeers(c.peers))
			got := <-appliedVersions
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

func newFakePeers(version uint64) fakePeers {
	p := fakePeers{new(atomic.Uint64)}
	p.version.Store(version)
	return p
}

// Guards against a node that misses a change while no control host reaches it: it fetches newer
// versions from its peers at any time, not only when it starts.
func TestConfigurationOfPeersWithoutControlHosts(t *testing.T) {
	is := is.New(t)
	a := newActiveConfig(func(_, _ *configVersion) {})
	control := &fakeControl{version: 7, push: make(chan uint64)} // never pushes
	g := newFakeGroup()
	peers := newFakePeers(7)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.run(ctx, control, groupView{g, "self"}, peers)
	waitFor(t, "confirmed version is active", func() bool { return a.version() == 7 })
	for _, v := range []uint64{8, 12} {
		peers.version.Store(v)
		groupView{g, "p"}.Update(func(n *mulberrylink.Node) { n.Addr, n.Version = "x", v })
		start := time.Now()
		waitFor(t, "newer version of a peer is active", func() bool { return a.version() == v })
		is.True(time.Since(start) < 3*time.Second) // the target for taking a failure domain out of service
	}
}

// rampCounter counts the resets of the limit.
type rampCounter struct {
	gate
	ramps atomic.Int64
}

func (g *rampCounter) Ramp() { g.ramps.Add(1) }

// Guards against new requests on a node that has no configuration, is in a failure domain out of
// service, is isolated, or is leaving. Guards also against full load when it returns to service.
func TestNodeRefusesNewWork(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup()
	domainOut := atomic.Bool{}
	counter := &rampCounter{gate: newGate("adaptive")}
	n := startNodeWith(t, g, testSettings("a", "d1"), func(deps *dependencies) {
		deps.gate = counter
		deps.decode = func(version uint64, _ []byte) (*overlay.Config, error) {
			cfg := testConfig(version)
			if domainOut.Load() {
				cfg.Domains[0].State = overlay.DomainOut
			}
			return cfg, nil
		}
	})
	var runs atomic.Int64
	announceUpstream(t, n, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	expectResponse := func(status int, reason string) {
		t.Helper()
		got, h, _ := sendRequest(t, n, "GET", "/patterns", "")
		is.Equal(got, status)
		is.Equal(h.Get("Mulberry-Reason"), reason)
	}
	waitForCheck := func() { time.Sleep(3 * availabilityCheckInterval) }
	expectResponse(200, "")

	domainOut.Store(true)
	n.active.apply(2, []byte("x"), "test")
	waitForCheck()
	is.Equal(n.admitter.Run(context.Background(), &mulberrylink.Request{Service: "archive"}, false, nil).Reason, mulberrylink.ReasonDomainOut)
	got, h, _ := sendRequest(t, n, "GET", "/patterns", "")
	is.Equal(got, http.StatusServiceUnavailable)
	is.Equal(h.Get("Mulberry-Outcome"), "notrun")

	domainOut.Store(false)
	n.active.apply(3, []byte("x"), "test")
	waitForCheck()
	is.Equal(counter.ramps.Load(), int64(1))
	expectResponse(200, "")

	g.mu.Lock()
	g.lastHeard = time.Now()
	g.mu.Unlock()
	time.Sleep(2500 * time.Millisecond)
	expectResponse(200, "") // isolationTimeout of 3 s has not passed
	time.Sleep(700 * time.Millisecond)
	expectResponse(503, "isolated")
	g.mu.Lock()
	g.lastHeard = time.Time{}
	g.mu.Unlock()
	waitForCheck()
	is.Equal(counter.ramps.Load(), int64(2))
	expectResponse(200, "")

	n.availability.leaving.Store(true)
	expectResponse(503, "leaving")
	n.availability.leaving.Store(false)
	n.active.current.Store(nil)
	expectResponse(503, "noconfig")
	is.Equal(runs.Load(), int64(4))
}

// Guards against an upstream that still gets requests after its announcement has expired.
func TestAnnouncementExpires(t *testing.T) {
	is := is.New(t)
	var states []mulberrylink.UpstreamState
	u := &upstream{
		onChange: func(a announcement) { states = append(states, a.State) },
		log:      events.New(os.Stderr, "error", "test", "a"),
	}
	now := time.Now()
	a := announcement{Service: "s", State: mulberrylink.UpstreamUp, ExpiresAt: now.Add(time.Second)}
	u.announce(a)
	u.expire(now.Add(900 * time.Millisecond))
	a.ExpiresAt = now.Add(2 * time.Second)
	u.announce(a) // renewed in time: no change
	u.expire(now.Add(1900 * time.Millisecond))
	is.Equal(len(states), 1)
	u.expire(now.Add(2 * time.Second))
	u.expire(now.Add(3 * time.Second))
	is.Equal(states, []mulberrylink.UpstreamState{mulberrylink.UpstreamUp, mulberrylink.UpstreamDown})
	is.Equal(u.rejectReason("s"), mulberrylink.ReasonNoUpstream)
	u.announce(a)
	is.Equal(u.rejectReason("s"), mulberrylink.ReasonNone)
	is.Equal(u.rejectReason("other"), mulberrylink.ReasonNoUpstream)
}

// Guards against a node that is ready while callers cannot connect to it yet: the configuration may
// arrive before the server for callers listens.
func TestNotReadyBeforeCallersCanConnect(t *testing.T) {
	is := is.New(t)
	n := buildNode(t, newFakeGroup(), testSettings("a", "d1"), nil)
	n.active.apply(1, []byte("x"), "test")
	status := func() int {
		w := httptest.NewRecorder()
		n.admin.readiness(w, nil)
		return w.Code
	}
	is.Equal(status(), http.StatusServiceUnavailable)
	startBuiltNode(t, n)
	is.Equal(status(), http.StatusOK)
}
