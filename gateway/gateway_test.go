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
func abortHandler(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against a request that is changed on its way over two nodes, and an
// answer that is not the upstream's own.
func TestOverTwoNodes(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	entry, other := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d2", "archive", 4)
	d.waitReady(entry)
	resp := entry.send("POST", "/write/7?x=%2F..", "w1", "body")
	is.Equal(resp.status, http.StatusOK)
	is.Equal(resp.body, "i-n2 POST /write/7?x=%2F.. 4")
	is.Equal(resp.header.Get("Test-Id"), "w1")
	is.Equal(resp.header.Get("Mulberry-Hop"), "")
	is.Equal(other.upstream.header().Get("Test-Caller"), "desk")
	is.Equal(other.upstream.header().Get("Test-For"), "i-n2")
	is.Equal(other.upstream.header().Get("Mulberry-Hop"), "")
	is.Equal(entry.send("GET", "/none/", "x", "").status, http.StatusNotFound)
	large := strings.Repeat("x", 3<<20)
	is.Equal(entry.send("POST", "/put/1", "p1", large).body, fmt.Sprintf("i-n2 POST /put/1 %d", len(large)))
}

// Guards against a request that may run at most once and runs twice after its
// answer was lost, and against a refusal of a request that ran.
func TestLostAnswerOfAWriteIsNotRepeated(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	entry, a, b := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d2", "archive", 4), d.addNode("n3", "d3", "archive", 4)
	d.waitReady(entry)
	a.upstream.setHandler(abortHandler)
	b.upstream.setHandler(abortHandler)
	for i := range 10 {
		id := fmt.Sprintf("w%d", i)
		resp := entry.send("POST", "/write/1", id, "x")
		is.Equal(resp.status, http.StatusBadGateway)
		is.Equal(resp.header.Get("Mulberry-Outcome"), "unknown")
		is.Equal(a.upstream.runsOf(id)+b.upstream.runsOf(id), 1)
	}
}

// Guards against a read that fails although another upstream could have answered
// it: the answer is lost, cut off, a failure, or not the upstream's own.
func TestReadsAreTriedElsewhere(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"lost": abortHandler,
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
			d := newDeployment(t)
			bad, good := d.addNode("n1", "d1", "archive", 4), d.addNode("n2", "d2", "archive", 4)
			d.waitReady(bad)
			waitFor(t, 5*time.Second, "both known", func() bool {
				return good.send("GET", "/read/1", "k", "").err == nil && len(good.g.ServiceNodes("archive")) >= 1 && len(bad.g.ServiceNodes("archive")) >= 1
			})
			bad.upstream.setHandler(h)
			for i := range 3 {
				resp := bad.send("GET", "/read/1", fmt.Sprintf("r%d", i), "")
				is.Equal(resp.status, http.StatusOK)
				is.True(strings.HasPrefix(resp.body, "i-n2"))
			}
		})
	}
}

// Guards against more requests on an upstream than it runs at a time, and against
// callers that wait for nothing: with one slot and long work most are refused at
// once, and what is refused has not run.
func TestFullUpstreamRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 1)
	// The node learns from the first request how long the work takes.
	n.upstream.setHandler(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(400 * time.Millisecond) })
	d.waitReady(n)
	var wg sync.WaitGroup
	responses := make([]response, 30)
	took := make([]time.Duration, len(responses))
	for i := range responses {
		wg.Go(func() {
			began := time.Now()
			responses[i] = n.send("POST", "/write/1", fmt.Sprintf("w%d", i), "")
			took[i] = time.Since(began)
		})
	}
	wg.Wait()
	rejected := 0
	for i, resp := range responses {
		if resp.status != http.StatusServiceUnavailable {
			continue
		}
		rejected++
		is.Equal(resp.header.Get("Mulberry-Outcome"), "notrun")
		is.True(resp.header.Get("Retry-After") != "")
		is.Equal(n.upstream.runsOf(fmt.Sprintf("w%d", i)), 0)
		if took[i] > 500*time.Millisecond {
			t.Errorf("refused after %s: %v", took[i], resp.header)
		}
	}
	is.Equal(n.upstream.maxConcurrent(), 1)
	is.True(rejected >= 20)
}

// Guards against an upstream that counts as slow because the first requests of a
// route take longer than those of other routes: nobody knew their work before.
func TestFirstRequestsOfARouteAreNoSlowness(t *testing.T) {
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 2)
	d.waitReady(n) // answered within a millisecond
	n.upstream.setHandler(func(http.ResponseWriter, *http.Request) { time.Sleep(100 * time.Millisecond) })
	for round := range 3 {
		var wg sync.WaitGroup
		for i := range 4 { // no more wait than run: all but those that are lost are let in
			wg.Go(func() {
				id := fmt.Sprintf("w%d-%d", round, i)
				if resp := n.send("POST", "/write/1", id, ""); resp.status != http.StatusOK {
					t.Errorf("request %s: %d %v", id, resp.status, resp.header)
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
	d := newDeployment(t)
	a, b := d.addNode("n1", "d1", "archive", 4), d.addNode("n2", "d2", "archive", 4)
	d.waitReady(a, b)
	waitFor(t, 5*time.Second, "both known", func() bool { return len(a.g.ServiceNodes("archive")) >= 1 })
	drain := a.heartbeat
	drain.Seq, drain.Draining = 2, true
	a.announce(drain)
	before := a.upstream.totalRuns()
	stale := a.heartbeat
	stale.Seq, stale.Draining = 1, false
	a.g.Upstream().HandleHeartbeat(stale) // arrives after the newer one
	for i := range 10 {
		is.Equal(a.send("GET", "/read/1", fmt.Sprintf("r%d", i), "").status, http.StatusOK)
	}
	is.Equal(a.upstream.totalRuns(), before)
	d.setDomainOut("d2", true)
	waitFor(t, 2*time.Second, "refusal", func() bool { return a.send("GET", "/read/1", "x", "").status == http.StatusServiceUnavailable })
	before = b.upstream.totalRuns()
	is.Equal(b.send("GET", "/read/1", "y", "").status, http.StatusServiceUnavailable)
	is.Equal(b.upstream.totalRuns(), before)
	d.setDomainOut("d2", false)
	waitFor(t, 2*time.Second, "answer", func() bool { return a.send("GET", "/read/1", "z", "").status == http.StatusOK })
	b.g.Upstream().Deregister("i-n2", 0)
	is.Equal(b.send("GET", "/read/1", "last", "").status, http.StatusServiceUnavailable)
}

// Guards against an upstream that works on for a caller that has left, through
// one node and through two.
func TestCallerThatLeaves(t *testing.T) {
	d := newDeployment(t)
	entry, other := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d2", "archive", 4)
	d.waitReady(entry)
	other.upstream.setHandler(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
		}
	})
	for i, n := range []*node{entry, other} {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		n.sendWith(ctx, &http.Client{Transport: &http.Transport{}}, "GET", "/read/1", fmt.Sprintf("g%d", i), "")
		cancel()
		waitFor(t, 500*time.Millisecond, "end of the work", func() bool {
			other.upstream.mu.Lock()
			defer other.upstream.mu.Unlock()
			return other.upstream.canceled == i+1
		})
	}
}

// Guards against a planned stop that cuts off a request or leaves a kept
// connection without an answer.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	entry, other := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d2", "archive", 4)
	d.waitReady(entry)
	other.upstream.setHandler(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(600 * time.Millisecond) })
	client := &http.Client{Transport: &http.Transport{}}
	is.Equal(entry.sendWith(context.Background(), client, "GET", "/read/1", "a", "").status, http.StatusOK)
	done := make(chan response, 1)
	go func() { done <- entry.sendWith(context.Background(), client, "GET", "/read/1", "b", "") }()
	time.Sleep(100 * time.Millisecond)
	left := make(chan time.Time, 1)
	go func() { entry.g.Shutdown(context.Background()); left <- time.Now() }()
	time.Sleep(50 * time.Millisecond)
	is.True(!entry.g.Ready())
	is.Equal((<-done).status, http.StatusOK)
	resp := entry.send("GET", "/read/1", "c", "")
	is.Equal(resp.status, http.StatusOK)
	is.True(resp.close)
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
	d := newDeployment(t)
	d.hubAddr = freeAddr(t) // nobody listens there
	n := d.addNode("n1", "d1", "archive", 4)
	waitFor(t, 2*time.Second, "refusal", func() bool { return n.send("GET", "/read/1", "a", "").err == nil })
	is.Equal(n.send("GET", "/read/1", "a", "").status, http.StatusServiceUnavailable)
	is.True(!n.g.Ready())
}

// Guards against a request that is lost with a reused connection to another node
// whose path has gone silent: the node is asked over a new connection.
func TestSilentConnectionBetweenNodes(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	entry := d.addNode("n1", "d1", "desk", 4)
	relay := newRelay(t)
	other := d.addNodeBehindRelay(relay, "n2", "d2", "archive", 4)
	d.waitReady(entry)
	is.Equal(entry.send("POST", "/write/1", "w1", "x").status, http.StatusOK)
	relay.blackhole()
	resp := entry.send("POST", "/write/1", "w2", "x")
	is.True(resp.status == http.StatusOK || resp.status == http.StatusServiceUnavailable)
	if resp.status == http.StatusOK {
		is.Equal(other.upstream.runsOf("w2"), 1)
	} else {
		is.Equal(other.upstream.runsOf("w2"), 0)
	}
	is.Equal(entry.send("POST", "/write/1", "w3", "x").status, http.StatusOK)
}

// Guards against announcements of a former incarnation at the same address that
// arrive late.
func TestLateAnnouncementOfAFormerIncarnation(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 4)
	d.waitReady(n)
	next := gateway.Heartbeat{ID: "i-new", Service: "archive", Addr: n.upstream.addr, Slots: 4, Seq: 1, Incarnation: 100}
	n.upstream.setID("i-new")
	n.announce(next)
	stale := n.heartbeat
	stale.ID, stale.Incarnation, stale.Seq, stale.Draining = "i-n1", 1, 9, true
	n.g.Upstream().HandleHeartbeat(stale)
	is.Equal(n.send("GET", "/read/1", "a", "").status, http.StatusOK)
	is.Equal(n.upstream.header().Get("Test-For"), "i-new")
}

// Guards against requests that are counted as under way for ever after their
// callers have left or their time was up: their upstream would be avoided more and
// more. Guards as well against an upstream that never answers and is chosen again
// and again.
func TestRequestsWithoutAnAnswer(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	entry, unresponsive := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d1", "archive", 8)
	d.waitReady(entry)
	good := d.addNode("n3", "d2", "archive", 8)
	waitFor(t, 5*time.Second, "both known", func() bool { return len(entry.g.ServiceNodes("archive")) == 2 })
	unresponsive.upstream.setHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	for i := range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		entry.sendWith(ctx, &http.Client{Transport: &http.Transport{}}, "POST", "/write/1", fmt.Sprintf("left%d", i), "x")
		cancel()
	}
	waitFor(t, time.Second, "end of all requests", func() bool { return entry.g.InFlight("n2") == 0 })
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { entry.send("POST", "/write/1", fmt.Sprintf("late%d", i), "x") })
	}
	wg.Wait()
	waitFor(t, time.Second, "end of all requests", func() bool { return entry.g.InFlight("n2") == 0 })
	for i := range 5 {
		is.Equal(entry.send("POST", "/write/1", fmt.Sprintf("w%d", i), "x").body, fmt.Sprintf("i-n3 POST /write/1 %d", 1))
	}
	is.Equal(good.upstream.runsOf("w0"), 1)
}
