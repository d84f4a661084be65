package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/control"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// startControlHost runs one control host, whose log is in memory.
func startControlHost(t *testing.T) (addr string, stop func()) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	machine := control.NewMachine()
	srv := controlplane.NewServer(controlplane.ServerConfig{
		Name: "c1", Log: controlplane.NewLocalLog(lis.Addr().String(), machine), Machine: machine, Now: time.Now,
	})
	rpcServer := rpc.NewServer(nil)
	for method, h := range srv.Methods() {
		rpcServer.Handle(method, h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go rpcServer.Serve(ctx, lis)
	t.Cleanup(cancel)
	return lis.Addr().String(), cancel
}

// Guards against a request that crashes one upstream after another: it may crash two, the second one
// while it runs alone, and is then rejected by every node.
func TestCrashingRequestTakesDownTwo(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup()
	entry := startNode(t, g, "entry", "d1")
	var crashes atomic.Int64
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		n := startNode(t, g, name, "d1")
		var srv *httptest.Server
		srv = announceUpstream(t, n, func(_ http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				io.Copy(io.Discard, r.Body)
				crashes.Add(1)
				srv.Listener.Close()
				panic(http.ErrAbortHandler)
			}
		})
	}
	for range 6 {
		sendRequest(t, entry, "POST", "/filings", "boom")
	}
	is.Equal(crashes.Load(), int64(2))
	status, h, _ := sendRequest(t, entry, "POST", "/filings", "boom")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(h.Get("Mulberry-Reason"), "crasher")
	status, _, _ = sendRequest(t, entry, "GET", "/patterns", "")
	is.Equal(status, http.StatusOK) // other requests still run
}

// Guards against a request with an idempotency key that runs twice, that runs without a claim, or
// whose repetition gets a different response. The entry nodes and the admitting node differ.
func TestKeyedRequestRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	addr, stop := startControlHost(t)
	g := newFakeGroup()
	startKeyed := func(name string) *node {
		cfg := testSettings(name, "d1")
		cfg.Control.Hosts = []string{addr}
		return startNodeWith(t, g, cfg, func(deps *dependencies) { deps.controlPlane = newControlPlaneClient(cfg) })
	}
	entry1, entry2, admitting := startKeyed("a"), startKeyed("b"), startKeyed("c")
	var runs atomic.Int64
	announceUpstream(t, admitting, func(w http.ResponseWriter, r *http.Request) {
		n := runs.Add(1)
		body, _ := io.ReadAll(r.Body)
		switch {
		case strings.Contains(string(body), "cut"):
			panic(http.ErrAbortHandler)
		case strings.Contains(string(body), "long"):
			w.Write(make([]byte, 64<<10))
			return
		}
		w.Header().Set("X-Run", string(rune('0'+n)))
		w.WriteHeader(http.StatusCreated)
		io.WriteString(w, "filed "+string(body))
	})
	expectResponse := func(n *node, key, body string, status int, reason, response string) {
		t.Helper()
		got, h, text := sendRequest(t, n, "POST", "/filings", body, "Idempotency-Key", key)
		is.Equal(got, status)
		is.Equal(h.Get("Mulberry-Reason"), reason)
		if response != "" {
			is.Equal(text, response)
		}
	}
	expectResponse(entry1, "k1", "x", 201, "", "filed x")
	time.Sleep(50 * time.Millisecond) // until the response is recorded
	expectResponse(entry1, "k1", "x", 201, "", "filed x")
	expectResponse(entry2, "k1", "x", 201, "", "filed x")
	expectResponse(entry2, "k1", "y", 422, "conflict", "")
	is.Equal(runs.Load(), int64(1))

	expectResponse(entry1, "k2", "cut", 502, "lost", "")
	time.Sleep(50 * time.Millisecond)
	expectResponse(entry2, "k2", "cut", 502, "claimed", "") // answered with outcome unknown at once
	is.Equal(runs.Load(), int64(2))

	expectResponse(entry1, "k3", "long", 200, "", "")
	time.Sleep(50 * time.Millisecond)
	expectResponse(entry2, "k3", "long", 502, "claimed", "") // the response is too long to be recorded
	is.Equal(runs.Load(), int64(3))

	expectResponse(entry1, "", "x", 400, "badkey", "")
	stop()
	time.Sleep(50 * time.Millisecond)
	got, h, _ := sendRequest(t, entry1, "POST", "/filings", "z", "Idempotency-Key", "k4", "Mulberry-Timeout", "1500")
	is.Equal(got, 503)
	is.Equal(h.Get("Mulberry-Outcome"), "notrun")
	is.Equal(runs.Load(), int64(3))
	if t.Failed() {
		entry1.stats.write(os.Stderr)
	}
}
