package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/gateway"
)

const (
	crashPath = "/crash"
	// crashDelay is how long an upstream runs a crashing request before it crashes, and
	// crashedFor how long it is down.
	crashDelay = 40 * time.Millisecond
	crashedFor = 300 * time.Millisecond
)

// crashFleet is a service whose upstreams crash when they run a request for crashPath.
type crashFleet struct {
	t       *testing.T
	d       *deployment
	crashes atomic.Int64
	down    atomic.Int64 // upstreams that have crashed and are not back
	// abortedProbes is the number of health probes that a crashing upstream ends before it refuses
	// connections.
	abortedProbes int32

	mu    sync.Mutex
	nodes []*node
}

func newCrashFleet(t *testing.T, size int) *crashFleet {
	t.Helper()
	f := &crashFleet{t: t, d: newDeployment(t)}
	for i := range size {
		n := f.d.addNode(fmt.Sprintf("n%d", i+1), fmt.Sprintf("d%d", i+1), "archive", 4)
		n.upstream.setHandler(f.handler(i))
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		waitFor(t, 5*time.Second, "all nodes known", func() bool { return len(n.g.ServiceNodes("archive")) >= size-1 })
	}
	f.d.waitReady(f.nodes...)
	t.Cleanup(f.waitUp)
	return f
}

func (f *crashFleet) node(i int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[i%len(f.nodes)]
}

func (f *crashFleet) handler(i int) http.HandlerFunc {
	var crashing atomic.Bool
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(crashDelay)
		if r.URL.Path != "/read"+crashPath && r.URL.Path != "/write"+crashPath {
			return
		}
		if crashing.CompareAndSwap(false, true) {
			f.down.Add(1)
			incarnation := f.crashes.Add(1) + 1
			u := f.node(i).upstream
			u.probesToAbort.Store(f.abortedProbes)
			u.ended.Store(f.abortedProbes == 0)
			go func() {
				defer f.down.Add(-1)
				f.restartUpstream(i, incarnation)
				crashing.Store(false)
			}()
		}
		panic(http.ErrAbortHandler)
	}
}

// restartUpstream ends the upstream of a node once its health probes have been aborted, and starts a new
// incarnation at the same address.
func (f *crashFleet) restartUpstream(i int, incarnation int64) {
	n := f.node(i)
	for start := time.Now(); n.upstream.probesToAbort.Load() > 0 && time.Since(start) < 20*time.Millisecond; {
		time.Sleep(100 * time.Microsecond)
	}
	n.upstream.ended.Store(true)
	_ = n.upstream.srv.Close()
	time.Sleep(crashedFor)
	n.upstream.probesToAbort.Store(0)
	n.upstream.ended.Store(false)
	n.upstream.setID(fmt.Sprintf("i-%s-%d", n.name, incarnation))
	lis, err := net.Listen("tcp", n.upstream.addr)
	if err != nil {
		f.t.Error(err)
		return
	}
	n.upstream.srv = &http.Server{Handler: http.HandlerFunc(n.upstream.serve)}
	go func() { _ = n.upstream.srv.Serve(lis) }()
	f.node(i).announce(gateway.Heartbeat{
		ID: n.upstream.id, Service: "archive", Addr: n.upstream.addr, Slots: 4, Seq: 1, Incarnation: incarnation,
	})
}

// sendCrashing sends a copy of the crashing request and waits until all upstreams are up again.
func (f *crashFleet) sendCrashing(method, path string, copies, first int) (responses []response) {
	f.t.Helper()
	responses = make([]response, copies)
	var wg sync.WaitGroup
	for c := range copies {
		wg.Go(func() {
			responses[c] = f.node(first+c).send(method, path, fmt.Sprintf("crash-%d-%d", first, c), "")
		})
	}
	wg.Wait()
	f.waitUp()
	return responses
}

func (f *crashFleet) waitUp() {
	waitFor(f.t, 5*time.Second, "all upstreams back", func() bool { return f.down.Load() == 0 })
}

// sendHarmless sends requests of other callers until ctx ends.
func (f *crashFleet) sendHarmless(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range f.nodes {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				f.node(i).send("GET", fmt.Sprintf("/read/%d-%d", i, n), fmt.Sprintf("h-%d-%d", i, n), "")
			}
		})
	}
	return func() { cancel(); wg.Wait() }
}

// Guards against a request that crashes one upstream after the other: two of five may crash.
func TestCrashingRequestReachesAtMostTwoUpstreams(t *testing.T) {
	for _, c := range []struct{ name, method, path string }{
		{"read", "GET", "/read" + crashPath},
		{"write", "POST", "/write" + crashPath},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newCrashFleet(t, 5)
			defer f.sendHarmless(context.Background())()
			var last response
			for i := range 8 {
				last = f.sendCrashing(c.method, c.path, 1, i)[0]
			}
			is.True(f.crashes.Load() <= 2)
			is.Equal(last.status, http.StatusServiceUnavailable)
			is.Equal(last.header.Get("Mulberry-Outcome"), "notrun")
			is.Equal(last.header.Get("Mulberry-Reason"), "crasher")
		})
	}
}

// Guards against a crash that is not recognized, because the probe that is to tell it from a lost
// response was accepted by the ending upstream and cut off.
func TestCrashDuringTheProbe(t *testing.T) {
	is := is.New(t)
	f := newCrashFleet(t, 5)
	f.abortedProbes = 2
	for i := range 6 {
		f.sendCrashing("GET", "/read"+crashPath, 1, i)
	}
	is.True(f.crashes.Load() <= 2)
}

// Guards against copies that are sent through several nodes at once and crash more upstreams than
// ran one before the first crash was known, and one more.
func TestCopiesOfACrashingRequestReachFewUpstreams(t *testing.T) {
	is := is.New(t)
	f := newCrashFleet(t, 5)
	defer f.sendHarmless(context.Background())()
	const copies = 2
	for i := range 6 {
		f.sendCrashing("GET", "/read"+crashPath, copies, i)
	}
	is.True(f.crashes.Load() <= copies+1)
}

// Guards against a crashing request that is forgotten when nodes restart.
func TestRestartedNodesKnowACrashingRequest(t *testing.T) {
	is := is.New(t)
	f := newCrashFleet(t, 5)
	for i := range 2 {
		f.sendCrashing("GET", "/read"+crashPath, 1, i)
	}
	for i, n := range f.nodes {
		restarted := f.d.restartNode(n)
		f.mu.Lock()
		f.nodes[i] = restarted
		f.mu.Unlock()
		waitFor(t, 5*time.Second, "configuration", restarted.g.Ready)
		f.sendCrashing("GET", "/read"+crashPath, 1, i)
	}
	is.True(f.crashes.Load() <= 2)
}

// Guards against harmless requests that are refused because an upstream crashed while it ran them.
func TestRequestsBesideACrashingOneAreServed(t *testing.T) {
	is := is.New(t)
	f := newCrashFleet(t, 5)
	ctx, cancel := context.WithCancel(context.Background())
	served, lost, wg := atomic.Int64{}, atomic.Int64{}, sync.WaitGroup{}
	for i := range 5 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				// All callers send the same request, so that one is in flight at each crash.
				if f.node(i).send("GET", "/read/popular", fmt.Sprintf("p-%d-%d", i, n), "").status == http.StatusOK {
					served.Add(1)
				} else {
					lost.Add(1)
				}
			}
		})
	}
	for i := range 4 {
		f.sendCrashing("GET", "/read"+crashPath, 1, i)
	}
	for i := range 5 {
		waitFor(t, time.Second, "popular request served again", func() bool {
			return f.node(i).send("GET", "/read/popular", "again", "").status == http.StatusOK
		})
	}
	cancel()
	wg.Wait()
	is.True(f.crashes.Load() <= 2)
	is.True(lost.Load()*10 < served.Load())
}
