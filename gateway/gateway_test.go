package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/gateway"
	"github.com/mulberrylink/mulberrylink/internal/testaddr"
)

// abortHandler closes the connection after the request has been read.
func abortHandler(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against a request or a response that is changed on its way through two nodes, and
// against internal headers that reach the upstream or the caller.
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

// Guards against a non-idempotent request that runs twice after its response was lost, and
// against a rejection of a request that has run.
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

// Guards against an idempotent request that fails although another upstream is available:
// the first response is lost, truncated, an error, unsigned, or says that it did not run.
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
			waitFor(t, 5*time.Second, "both upstreams known", func() bool {
				// The first record of a node may tell that its upstream is down.
				return good.send("GET", "/read/1", "k", "").err == nil && knowsUp(good) && knowsUp(bad)
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

// knowsUp reports whether a node knows another node of archive whose upstream is up.
func knowsUp(n *node) bool {
	return slices.ContainsFunc(n.g.ServiceNodes("archive"), func(r mulberrylink.Node) bool {
		return r.Usable() && r.Upstream == mulberrylink.UpstreamUp
	})
}

// Guards against exceeding the concurrency limit of an upstream, and against callers that
// wait although their request will be rejected. With one slot and a long service time most
// requests must be rejected at once, and a rejected request must not have run.
func TestFullUpstreamRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 1)
	// The node learns the service time from the first request.
	n.upstream.setHandler(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(400 * time.Millisecond) })
	d.waitReady(n)
	var wg sync.WaitGroup
	responses := make([]response, 30)
	took := make([]time.Duration, len(responses))
	for i := range responses {
		wg.Go(func() {
			start := time.Now()
			responses[i] = n.send("POST", "/write/1", fmt.Sprintf("w%d", i), "")
			took[i] = time.Since(start)
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
			t.Errorf("rejected after %s: %v", took[i], resp.header)
		}
	}
	is.Equal(n.upstream.maxConcurrent(), 1)
	is.True(rejected >= 20)
}

// Guards against an upstream that counts as slow because the first requests of a route take
// longer than those of other routes. Their service time was not known before.
func TestFirstRequestsOfARouteAreNoSlowness(t *testing.T) {
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 2)
	d.waitReady(n) // these responses take less than a millisecond
	n.upstream.setHandler(func(http.ResponseWriter, *http.Request) { time.Sleep(100 * time.Millisecond) })
	for round := range 3 {
		var wg sync.WaitGroup
		for i := range 4 { // no more requests wait than run, so all can finish in time
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

// Guards against requests to an upstream that is draining or has deregistered, and to one
// in a failure domain that is out of service.
func TestNoWorkForUpstreamsThatLeave(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	a, b := d.addNode("n1", "d1", "archive", 4), d.addNode("n2", "d2", "archive", 4)
	d.waitReady(a, b)
	waitFor(t, 5*time.Second, "both upstreams known", func() bool { return len(a.g.ServiceNodes("archive")) >= 1 })
	drain := a.heartbeat
	drain.Seq, drain.Draining = 2, true
	a.announce(drain)
	before := a.upstream.totalRuns()
	stale := a.heartbeat
	stale.Seq, stale.Draining = 1, false
	is.NoErr(a.g.Upstream().HandleHeartbeat(stale)) // a stale heartbeat that arrives after a newer one
	for i := range 10 {
		is.Equal(a.send("GET", "/read/1", fmt.Sprintf("r%d", i), "").status, http.StatusOK)
	}
	is.Equal(a.upstream.totalRuns(), before)
	d.setDomainOut("d2", true)
	for _, n := range []*node{a, b} { // each hears of it over a feed of its own
		waitFor(t, 2*time.Second, "rejection", func() bool { return n.send("GET", "/read/1", "x", "").status == http.StatusServiceUnavailable })
	}
	before = b.upstream.totalRuns()
	is.Equal(b.send("GET", "/read/1", "y", "").status, http.StatusServiceUnavailable)
	is.Equal(b.upstream.totalRuns(), before)
	d.setDomainOut("d2", false)
	waitFor(t, 2*time.Second, "response", func() bool { return a.send("GET", "/read/1", "z", "").status == http.StatusOK })
	b.g.Upstream().Deregister("i-n2", 0)
	is.Equal(b.send("GET", "/read/1", "last", "").status, http.StatusServiceUnavailable)
}

// Guards against an upstream that keeps running a request whose caller has disconnected,
// through one node and through two.
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
		waitFor(t, 500*time.Millisecond, "cancellation at the upstream", func() bool {
			other.upstream.mu.Lock()
			defer other.upstream.mu.Unlock()
			return other.upstream.canceled == i+1
		})
	}
}

// Guards against a graceful shutdown that interrupts a request or leaves a request on a
// reused connection without a response. Callers that haven't noticed the shutdown yet are
// still served.
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
	shutdownDone := make(chan time.Time, 1)
	go func() { entry.g.Shutdown(context.Background()); shutdownDone <- time.Now() }()
	time.Sleep(50 * time.Millisecond)
	is.True(!entry.g.Ready())
	is.Equal((<-done).status, http.StatusOK)
	resp := entry.send("GET", "/read/1", "c", "")
	is.Equal(resp.status, http.StatusOK)
	is.True(resp.close)
	select {
	case <-shutdownDone:
	case <-time.After(6 * time.Second):
		t.Fatal("the node does not shut down")
	}
}

// Guards against a node that says that it is ready although callers cannot connect.
func TestNotReadyBeforeCallersCanConnect(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 4)
	waitFor(t, 5*time.Second, "ready", n.g.Ready)
	taken, err := net.Listen("tcp", testaddr.Free(t))
	is.NoErr(err)
	defer func() { _ = taken.Close() }()
	g := gateway.New(gateway.Config{
		Name: "n2", OutboundAddr: taken.Addr().String(), InboundAddr: testaddr.Free(t), Seeds: []string{d.hubAddr}, Service: "archive",
		UpstreamAddr: testaddr.Free(t), Headers: testHeaders{}, GracePeriod: time.Second,
		DecodeTable: func(*document.State) (*routes.Table, error) { return d.table, nil }, Log: discardLogger(), Registry: metrics.NewRegistry(),
	})
	is.True(g.Serve(t.Context()) != nil)
	time.Sleep(500 * time.Millisecond) // the configuration arrives meanwhile
	is.True(!g.Ready())
}

// Guards against a node without a configuration that responds that a route does not exist.
func TestNodeWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	d.hubAddr = testaddr.Free(t) // nothing listens there
	n := d.addNode("n1", "d1", "archive", 4)
	waitFor(t, 2*time.Second, "rejection", func() bool { return n.send("GET", "/read/1", "a", "").err == nil })
	is.Equal(n.send("GET", "/read/1", "a", "").status, http.StatusServiceUnavailable)
	is.True(!n.g.Ready())
}

// Guards against a request that is lost or runs twice because it was sent over a reused
// connection to another node whose path drops all packets. The entry node must ask for the
// outcome over a new connection.
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

// Guards against a stale heartbeat of a former incarnation at the same address that is
// applied to the current one.
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
	is.NoErr(n.g.Upstream().HandleHeartbeat(stale))
	is.Equal(n.send("GET", "/read/1", "a", "").status, http.StatusOK)
	is.Equal(n.upstream.header().Get("Test-For"), "i-new")
}

// Guards against an upstream that is ignored for good, or that is sent requests after it has
// announced that it stops: the clock of its host was set back while it restarted under the same
// identifier, so its start time is before that of its former process.
func TestUpstreamRestartedAfterItsClockWasSetBack(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 4)
	d.waitReady(n)
	hb := n.heartbeat
	hb.Incarnation, hb.Seq = 5000, 20
	n.announce(hb)
	delayed := hb
	delayed.Incarnation, delayed.Seq, delayed.Draining = 4000, 7, true
	is.NoErr(n.g.Upstream().HandleHeartbeat(delayed)) // of a former process, between two of the current one
	hb.Seq = 21
	is.NoErr(n.g.Upstream().HandleHeartbeat(hb))
	delayed.Seq = 8
	is.NoErr(n.g.Upstream().HandleHeartbeat(delayed))
	is.Equal(n.send("GET", "/read/1", "a", "").status, http.StatusOK)
	restarted := hb
	restarted.Incarnation, restarted.Slots = 1000, 7
	for restarted.Seq = 1; restarted.Seq <= 2; restarted.Seq++ {
		is.NoErr(n.g.Upstream().HandleHeartbeat(restarted))
	}
	is.Equal(n.send("GET", "/read/1", "b", "").status, http.StatusOK)
	is.Equal(n.g.Load().Slots, 7)
	n.g.Upstream().Deregister(restarted.ID, restarted.Incarnation)
	is.Equal(n.send("GET", "/read/1", "c", "").status, http.StatusServiceUnavailable)
}

// Guards against requests that count as in flight forever after their callers have
// disconnected or their deadline has passed, so that their upstream is chosen less and less.
// Also guards against an upstream that never responds and keeps being chosen.
func TestRequestsWithoutAnAnswer(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	entry, unresponsive := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d1", "archive", 8)
	d.waitReady(entry)
	good := d.addNode("n3", "d2", "archive", 8)
	waitFor(t, 5*time.Second, "both upstreams known", func() bool { return len(entry.g.ServiceNodes("archive")) == 2 })
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

// Guards against giving up a request at which an upstream is at work: the node beside it sent
// nothing for a while, because it was short of processor time, and no retry was possible. The
// response must be delivered although it comes later than the silence is tolerated.
func TestResponseOfASilentNodeIsDelivered(t *testing.T) {
	for _, path := range []string{"/read/1", "/write/1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t)
			relay := newRelay(t)
			entry := d.addNode("n1", "d1", "desk", 4)
			other := d.addNodeBehindRelay(relay, "n2", "d2", "archive", 4)
			d.waitReady(entry)
			other.upstream.setHandler(func(w http.ResponseWriter, _ *http.Request) {
				relay.pause(1200 * time.Millisecond)
				_, _ = io.WriteString(w, "done")
			})
			resp := entry.send(http.MethodPost, path, "slow", "")
			is.Equal(resp.status, http.StatusOK)
			is.Equal(resp.body, "done")
			is.Equal(other.upstream.runsOf("slow"), 1)
		})
	}
}

// Guards against refusing the requests that arrive between the start of a node and its first
// configuration, after all processes have been restarted. Callers come back only once, and all at
// the same moment. Without a configuration within the time that an election takes, they are refused.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	d := newDeploymentWithoutConfig(t)
	n := d.addNode("n1", "d1", "archive", 4)
	waitFor(t, time.Second, "listening node", func() bool {
		c, err := net.Dial("tcp", n.outbound)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
	time.AfterFunc(400*time.Millisecond, d.configure)
	is.Equal(n.send("GET", "/read/1", "early", "").status, http.StatusOK)

	late := newDeploymentWithoutConfig(t).addNode("n1", "d1", "archive", 4)
	var resp response
	waitFor(t, 5*time.Second, "refusal", func() bool { resp = late.send("GET", "/read/1", "late", ""); return resp.err == nil })
	is.Equal(resp.status, http.StatusServiceUnavailable)
	is.Equal(resp.header.Get("Mulberry-Reason"), "noconfig")
	start := time.Now()
	waitFor(t, 2*time.Second, "refusal at once", func() bool {
		start = time.Now()
		return late.send("GET", "/read/1", "later", "").status == http.StatusServiceUnavailable && time.Since(start) < 100*time.Millisecond
	})
}
