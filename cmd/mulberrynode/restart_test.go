package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// restartingUpstream simulates an upstream that crashes on requests with the body "boom" and restarts
// at once: its address never refuses a connection, and only the new incarnation that it announces
// after announceDelay shows the restart.
type restartingUpstream struct {
	node          *node
	srv           *http.Server
	lis           net.Listener
	announceDelay time.Duration
	incarnation   atomic.Int64
	crashes       *atomic.Int64
}

func startRestartingUpstream(t *testing.T, n *node, announceDelay time.Duration, crashes *atomic.Int64) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &restartingUpstream{node: n, lis: lis, announceDelay: announceDelay, crashes: crashes}
	u.srv = &http.Server{Handler: u}
	go u.srv.Serve(lis)
	t.Cleanup(func() { u.srv.Close() })
	u.announce()
}

func (u *restartingUpstream) announce() {
	form := fmt.Sprintf("service=archive&addr=%s&slots=6&state=ready&ttl=60000&incarnation=%d", u.lis.Addr(), u.incarnation.Add(1))
	resp, err := http.Post("http://"+u.node.admin.addr+"/announce", "application/x-www-form-urlencoded", strings.NewReader(form))
	if err == nil { // the node may have been stopped at the end of the test
		resp.Body.Close()
	}
}

// ServeHTTP implements http.Handler.
func (u *restartingUpstream) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if string(body) != "boom" {
		return
	}
	u.crashes.Add(1)
	time.AfterFunc(u.announceDelay, u.announce)
	panic(http.ErrAbortHandler)
}

// Guards against a request that crashes one upstream after another unnoticed, because each upstream
// has restarted before its crash is detected. The request is the only one in flight each time.
func TestCrashBeforeQuickRestartIsRecognized(t *testing.T) {
	for _, announceDelay := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(announceDelay.String(), func(t *testing.T) {
			is := is.New(t)
			g := newFakeGroup()
			entry := startNode(t, g, "entry", "d1")
			var crashes atomic.Int64
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				startRestartingUpstream(t, startNode(t, g, name, "d1"), announceDelay, &crashes)
			}
			for range 8 {
				sendRequest(t, entry, "POST", "/filings", "boom")
			}
			is.Equal(crashes.Load(), int64(2))
			status, h, _ := sendRequest(t, entry, "POST", "/filings", "boom")
			is.Equal(status, http.StatusServiceUnavailable)
			is.Equal(h.Get("Mulberry-Reason"), "crasher")
			status, _, _ = sendRequest(t, entry, "POST", "/filings", "fine")
			is.Equal(status, http.StatusOK)
		})
	}
}

// Guards against a crash that is ignored because it is detected only after the caller got its
// response: the request must become a suspect then. Guards also against a suspect that is recorded
// for a cut connection while the upstream shows no sign of a crash.
func TestLateCrashDetectionMakesSuspects(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup()
	n := startNode(t, g, "a", "d1")
	var crashes atomic.Int64
	startRestartingUpstream(t, n, time.Second, &crashes)
	start := time.Now()
	status, h, _ := sendRequest(t, n, "POST", "/filings", "boom")
	is.Equal(status, http.StatusBadGateway)
	is.Equal(h.Get("Mulberry-Reason"), "lost")
	is.True(time.Since(start) < time.Second)
	is.Equal(len(n.suspects.list.Notices()), 0)
	waitFor(t, "the request is a suspect", func() bool { return len(n.suspects.list.Notices()) == 1 })
}
