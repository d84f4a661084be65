package gateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink/gateway"
	"github.com/mulberrylink/mulberrylink/internal/testaddr"
)

// Guards against a heartbeat with a service that the configuration does not name, which another
// sender wrote and which takes over the node.
func TestHeartbeatOfUnknownServiceIsIgnored(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n, other := d.addNode("n1", "d1", "archive", 4), d.addNode("n2", "d2", "archive", 4)
	d.waitReady(n, other)
	odd := gateway.Heartbeat{ID: "i-odd", Service: "unnamed", Addr: testaddr.Free(t), Slots: 4, Seq: 9, Incarnation: 9}
	is.Equal(n.g.Upstream().HandleHeartbeat(odd), gateway.ErrUnknownService)
	odd.Seq++
	is.Equal(n.g.Upstream().HandleHeartbeat(odd), gateway.ErrUnknownService)
	for range 5 {
		n.send("GET", "/read/1", "r", "")
		is.Equal(n.upstream.header().Get("Test-Caller"), "archive")
	}
	is.True(n.upstream.runsOf("r") > 0)
}

// Guards against a node that keeps such a heartbeat when it has arrived before the configuration.
func TestUnknownServiceIsForgottenWithTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	d := newDeploymentWithoutConfig(t)
	n := d.addNode("n1", "d1", "archive", 4)
	is.NoErr(n.g.Upstream().HandleHeartbeat(gateway.Heartbeat{ID: "i-odd", Service: "unnamed", Addr: testaddr.Free(t), Slots: 4, Seq: 9, Incarnation: 9}))
	d.configure()
	waitFor(t, 5*time.Second, "own upstream", func() bool { return n.send("GET", "/read/1", "r", "").status == http.StatusOK })
	is.Equal(n.upstream.header().Get("Test-Caller"), "archive")
}

// Guards against requests that an upstream of another service runs: late heartbeats of the former
// upstream at its address take over the node, and the probe then tells the identity alone.
func TestLateHeartbeatsDoNotChangeTheService(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	entry, n := d.addNode("n1", "d1", "store", 4), d.addNode("n2", "d2", "desk", 4)
	n.announce(gateway.Heartbeat{ID: n.upstream.id, Service: "desk", Addr: n.upstream.addr, Slots: 4, Seq: 2, Incarnation: 2000})
	wrong := atomic.Int64{}
	n.upstream.setHandler(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Test-For") == n.upstream.id {
			wrong.Add(1)
			return
		}
		w.Header().Del("Test-Signed")
		w.Header().Set("Test-Notrun", "misdirected")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	late := gateway.Heartbeat{ID: "i-former", Service: "archive", Addr: n.upstream.addr, Slots: 4, Seq: 7, Incarnation: 1000}
	for range 3 {
		for range 2 {
			late.Seq++
			is.NoErr(n.g.Upstream().HandleHeartbeat(late))
		}
		for i := range 20 {
			entry.send("POST", "/write/1", fmt.Sprintf("w%d", i), "x")
			time.Sleep(5 * time.Millisecond)
		}
	}
	is.Equal(wrong.Load(), int64(0))
	waitFor(t, time.Second, "own service", func() bool {
		return len(entry.g.ServiceNodes("desk")) == 1 && len(entry.g.ServiceNodes("archive")) == 0
	})
}

// Guards against requests that bear the service of a former upstream: late heartbeats of it take over
// the node where the requests begin.
func TestLateHeartbeatsDoNotChangeTheCaller(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n, other := d.addNode("n1", "d1", "archive", 4), d.addNode("n2", "d2", "archive", 4)
	n.announce(gateway.Heartbeat{ID: n.upstream.id, Service: "archive", Addr: n.upstream.addr, Slots: 4, Seq: 2, Incarnation: 2000})
	d.waitReady(n, other)
	other.upstream.setHandler(func(_ http.ResponseWriter, r *http.Request) {
		if caller := r.Header.Get("Test-Caller"); caller != "archive" {
			t.Errorf("request %s of an archive upstream bears the service %q", r.Header.Get("Test-Id"), caller)
		}
	})
	late := gateway.Heartbeat{ID: "i-former", Service: "desk", Addr: n.upstream.addr, Slots: 4, Seq: 7, Incarnation: 1000}
	for round := range 3 {
		for range 2 {
			late.Seq++
			is.NoErr(n.g.Upstream().HandleHeartbeat(late))
		}
		for i := range 40 {
			n.send("GET", "/read/1", fmt.Sprintf("r%d-%d", round, i), "")
		}
	}
	is.True(other.upstream.totalRuns() > 0)
}

// Guards against requests of a former service that reach an upstream of another one, to which the
// address was given, before its first heartbeat.
func TestAnotherUpstreamAwaitsItsHeartbeat(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 4)
	d.waitReady(n)
	n.upstream.setID("i-other")
	waitFor(t, 2*time.Second, "rejection", func() bool {
		start := time.Now()
		resp := n.send("POST", "/write/1", "w", "")
		return resp.status == http.StatusServiceUnavailable && time.Since(start) < 500*time.Millisecond
	})
	runs := n.upstream.totalRuns()
	for i := range 20 {
		is.Equal(n.send("POST", "/write/1", fmt.Sprint("w", i), "").status, http.StatusServiceUnavailable)
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(n.upstream.totalRuns(), runs)
	n.announce(gateway.Heartbeat{ID: "i-other", Service: "archive", Addr: n.upstream.addr, Slots: 4, Seq: 1, Incarnation: 2})
	waitFor(t, time.Second, "response", func() bool { return n.send("POST", "/write/1", "after", "").status == http.StatusOK })
}

// Guards against a crash that goes unnoticed because the upstream is back with another identity before
// its heartbeat.
func TestCrashIsNoticedBeforeHeartbeat(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 4)
	d.waitReady(n)
	n.upstream.setHandler(func(http.ResponseWriter, *http.Request) {
		n.upstream.setID("i-restarted")
		panic(http.ErrAbortHandler)
	})
	is.Equal(n.send("POST", "/write/1", "w", "").status, http.StatusBadGateway)
	is.Equal(metrics.GetOrRegisterCounter("upstream_crashed", n.registry).Count(), int64(1))
}
