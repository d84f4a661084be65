package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/gateway"
)

// abort breaks an exchange off after the request was read.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against a request that is changed on its way over two nodes, and an
// answer that is not the upstream's own.
func TestOverTwoNodes(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	entry, other := d.node("n1", "d1", "desk", 4), d.node("n2", "d2", "archive", 4)
	d.ready(entry)
	a := entry.call("POST", "/write/7?x=%2F..", "w1", "body")
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, "i-n2 POST /write/7?x=%2F.. 4")
	is.Equal(a.header.Get("Test-Id"), "w1")
	is.Equal(a.header.Get("Mulberry-Hop"), "")
	is.Equal(other.up.header().Get("Test-Caller"), "desk")
	is.Equal(other.up.header().Get("Test-For"), "i-n2")
	is.Equal(other.up.header().Get("Mulberry-Hop"), "")
	is.Equal(entry.call("GET", "/none/", "x", "").status, http.StatusNotFound)
	large := strings.Repeat("x", 3<<20)
	is.Equal(entry.call("POST", "/put/1", "p1", large).body, fmt.Sprintf("i-n2 POST /put/1 %d", len(large)))
}

// Guards against a request that may run at most once and runs twice after its
// answer was lost, and against a refusal of a request that ran.
func TestLostAnswerOfAWriteIsNotRepeated(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	entry, a, b := d.node("n1", "d1", "desk", 4), d.node("n2", "d2", "archive", 4), d.node("n3", "d3", "archive", 4)
	d.ready(entry)
	a.up.set(abort)
	b.up.set(abort)
	for i := range 10 {
		id := fmt.Sprintf("w%d", i)
		got := entry.call("POST", "/write/1", id, "x")
		is.Equal(got.status, http.StatusBadGateway)
		is.Equal(got.header.Get("Mulberry-Outcome"), "unknown")
		is.Equal(a.up.count(id)+b.up.count(id), 1)
	}
}

// Guards against a read that fails although another upstream could have answered
// it: the answer is lost, cut off, a failure, or not the upstream's own.
func TestReadsAreTriedElsewhere(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"lost": abort,
		"cut": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("half"))
		},
		"failure":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"unsigned": func(w http.ResponseWriter, _ *http.Request) { w.Header().Del("Test-Signed") },
		"notrun": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Test-Notrun", "full")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t)
			bad, good := d.node("n1", "d1", "archive", 4), d.node("n2", "d2", "archive", 4)
			d.ready(bad)
			within(t, 5*time.Second, "both known", func() bool {
				return good.call("GET", "/read/1", "k", "").err == nil && len(good.g.ServiceNodes("archive")) >= 1 && len(bad.g.ServiceNodes("archive")) >= 1
			})
			bad.up.set(h)
			for i := range 3 {
				got := bad.call("GET", "/read/1", fmt.Sprintf("r%d", i), "")
				is.Equal(got.status, http.StatusOK)
				is.True(strings.HasPrefix(got.body, "i-n2"))
			}
		})
	}
}

// Guards against more requests on an upstream than it runs at a time, and against
// callers that wait for nothing: with one slot and long work most are refused at
// once, and what is refused has not run.
func TestFullUpstreamRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	n := d.node("n1", "d1", "archive", 1)
	// The node learns from the first request how long the work takes.
	n.up.set(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(400 * time.Millisecond) })
	d.ready(n)
	var wg sync.WaitGroup
	got := make([]answer, 30)
	took := make([]time.Duration, len(got))
	for i := range got {
		wg.Go(func() {
			began := time.Now()
			got[i] = n.call("POST", "/write/1", fmt.Sprintf("w%d", i), "")
			took[i] = time.Since(began)
		})
	}
	wg.Wait()
	refused := 0
	for i, a := range got {
		if a.status != http.StatusServiceUnavailable {
			continue
		}
		refused++
		is.Equal(a.header.Get("Mulberry-Outcome"), "notrun")
		is.True(a.header.Get("Retry-After") != "")
		is.Equal(n.up.count(fmt.Sprintf("w%d", i)), 0)
		if took[i] > 500*time.Millisecond {
			t.Errorf("refused after %s: %v", took[i], a.header)
		}
	}
	is.Equal(n.up.mostAtOnce(), 1)
	is.True(refused >= 20)
}

// Guards against an upstream that counts as slow because the first requests of a
// route take longer than those of other routes: nobody knew their work before.
func TestFirstRequestsOfARouteAreNoSlowness(t *testing.T) {
	d := deploy(t)
	n := d.node("n1", "d1", "archive", 2)
	d.ready(n) // answered within a millisecond
	n.up.set(func(http.ResponseWriter, *http.Request) { time.Sleep(100 * time.Millisecond) })
	for round := range 3 {
		var wg sync.WaitGroup
		for i := range 4 { // no more wait than run: all but those that are lost are let in
			wg.Go(func() {
				id := fmt.Sprintf("w%d-%d", round, i)
				if a := n.call("POST", "/write/1", id, ""); a.status != http.StatusOK {
					t.Errorf("request %s: %d %v", id, a.status, a.header)
				}
			})
		}
		wg.Wait()
	}
}

// Guards against work for an upstream that is draining or has said that it goes,
// and for one in a failure domain that is out of service.
func TestNoWorkForUpstreamsThatLeave(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	a, b := d.node("n1", "d1", "archive", 4), d.node("n2", "d2", "archive", 4)
	d.ready(a, b)
	within(t, 5*time.Second, "both known", func() bool { return len(a.g.ServiceNodes("archive")) >= 1 })
	drain := a.beat
	drain.Seq, drain.Draining = 2, true
	a.announce(drain)
	before := a.up.total()
	late := a.beat
	late.Seq, late.Draining = 1, false
	a.g.Upstream().HandleHeartbeat(late) // arrives after the newer one
	for i := range 10 {
		is.Equal(a.call("GET", "/read/1", fmt.Sprintf("r%d", i), "").status, http.StatusOK)
	}
	is.Equal(a.up.total(), before)
	d.out("d2", true)
	within(t, 2*time.Second, "refusal", func() bool { return a.call("GET", "/read/1", "x", "").status == http.StatusServiceUnavailable })
	before = b.up.total()
	is.Equal(b.call("GET", "/read/1", "y", "").status, http.StatusServiceUnavailable)
	is.Equal(b.up.total(), before)
	d.out("d2", false)
	within(t, 2*time.Second, "answer", func() bool { return a.call("GET", "/read/1", "z", "").status == http.StatusOK })
	b.g.Upstream().Deregister("i-n2", 0)
	is.Equal(b.call("GET", "/read/1", "last", "").status, http.StatusServiceUnavailable)
}

// Guards against an upstream that works on for a caller that has left, through
// one node and through two.
func TestCallerThatLeaves(t *testing.T) {
	d := deploy(t)
	entry, other := d.node("n1", "d1", "desk", 4), d.node("n2", "d2", "archive", 4)
	d.ready(entry)
	other.up.set(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
		}
	})
	for i, n := range []*node{entry, other} {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		n.callWith(ctx, &http.Client{Transport: &http.Transport{}}, "GET", "/read/1", fmt.Sprintf("g%d", i), "")
		cancel()
		within(t, 500*time.Millisecond, "end of the work", func() bool {
			other.up.mu.Lock()
			defer other.up.mu.Unlock()
			return other.up.gone == i+1
		})
	}
}

// Guards against a planned stop that cuts off a request or leaves a kept
// connection without an answer.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	entry, other := d.node("n1", "d1", "desk", 4), d.node("n2", "d2", "archive", 4)
	d.ready(entry)
	other.up.set(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(600 * time.Millisecond) })
	kept := &http.Client{Transport: &http.Transport{}}
	is.Equal(entry.callWith(context.Background(), kept, "GET", "/read/1", "a", "").status, http.StatusOK)
	done := make(chan answer, 1)
	go func() { done <- entry.callWith(context.Background(), kept, "GET", "/read/1", "b", "") }()
	time.Sleep(100 * time.Millisecond)
	left := make(chan time.Time, 1)
	go func() { entry.g.Shutdown(context.Background()); left <- time.Now() }()
	time.Sleep(50 * time.Millisecond)
	is.True(!entry.g.Ready())
	is.Equal((<-done).status, http.StatusOK)
	again := entry.call("GET", "/read/1", "c", "")
	is.Equal(again.status, http.StatusOK)
	is.True(again.close)
	select {
	case <-left:
	case <-time.After(6 * time.Second):
		t.Fatal("the node does not leave")
	}
}

// Guards against a node that knows no configuration answering that a route does
// not exist.
func TestNodeWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.hub = addr(t) // nobody listens there
	n := d.node("n1", "d1", "archive", 4)
	within(t, 2*time.Second, "refusal", func() bool { return n.call("GET", "/read/1", "a", "").err == nil })
	is.Equal(n.call("GET", "/read/1", "a", "").status, http.StatusServiceUnavailable)
	is.True(!n.g.Ready())
}

// Guards against a request that is lost with a reused connection to another node
// whose path has gone silent: the node is asked over a new connection.
func TestSilentConnectionBetweenNodes(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	entry := d.node("n1", "d1", "desk", 4)
	relay := newRelay(t)
	other := d.nodeBehind(relay, "n2", "d2", "archive", 4)
	d.ready(entry)
	is.Equal(entry.call("POST", "/write/1", "w1", "x").status, http.StatusOK)
	relay.silence()
	got := entry.call("POST", "/write/1", "w2", "x")
	is.True(got.status == http.StatusOK || got.status == http.StatusServiceUnavailable)
	if got.status == http.StatusOK {
		is.Equal(other.up.count("w2"), 1)
	} else {
		is.Equal(other.up.count("w2"), 0)
	}
	is.Equal(entry.call("POST", "/write/1", "w3", "x").status, http.StatusOK)
}

// Guards against announcements of a former incarnation at the same address that
// arrive late.
func TestLateAnnouncementOfAFormerIncarnation(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	n := d.node("n1", "d1", "archive", 4)
	d.ready(n)
	next := gateway.Heartbeat{ID: "i-new", Service: "archive", Addr: n.up.addr, Slots: 4, Seq: 1, Incarnation: 100}
	n.up.rename("i-new")
	n.announce(next)
	old := n.beat
	old.ID, old.Incarnation, old.Seq, old.Draining = "i-n1", 1, 9, true
	n.g.Upstream().HandleHeartbeat(old)
	is.Equal(n.call("GET", "/read/1", "a", "").status, http.StatusOK)
	is.Equal(n.up.header().Get("Test-For"), "i-new")
}

// Guards against requests that are counted as under way for ever after their
// callers have left or their time was up: their upstream would be avoided more and
// more. Guards as well against an upstream that never answers and is chosen again
// and again.
func TestRequestsWithoutAnAnswer(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	entry, mute := d.node("n1", "d1", "desk", 4), d.node("n2", "d1", "archive", 8)
	d.ready(entry)
	good := d.node("n3", "d2", "archive", 8)
	within(t, 5*time.Second, "both known", func() bool { return len(entry.g.ServiceNodes("archive")) == 2 })
	mute.up.set(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	for i := range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		entry.callWith(ctx, &http.Client{Transport: &http.Transport{}}, "POST", "/write/1", fmt.Sprintf("left%d", i), "x")
		cancel()
	}
	within(t, time.Second, "end of all requests", func() bool { return entry.g.InFlight("n2") == 0 })
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { entry.call("POST", "/write/1", fmt.Sprintf("late%d", i), "x") })
	}
	wg.Wait()
	within(t, time.Second, "end of all requests", func() bool { return entry.g.InFlight("n2") == 0 })
	for i := range 5 {
		is.Equal(entry.call("POST", "/write/1", fmt.Sprintf("w%d", i), "x").body, fmt.Sprintf("i-n3 POST /write/1 %d", 1))
	}
	is.Equal(good.up.count("w0"), 1)
}
