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

// phoenix is a stand-in for an upstream that dies on a marked request and is
// back at once: its address never refuses a connection, and only the
// incarnation that it announces after the pause tells of the restart.
type phoenix struct {
	node    *node
	srv     *http.Server
	lis     net.Listener
	pause   time.Duration
	starts  atomic.Int64
	crashes *atomic.Int64
}

func startPhoenix(t *testing.T, n *node, pause time.Duration, crashes *atomic.Int64) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &phoenix{node: n, lis: lis, pause: pause, crashes: crashes}
	p.srv = &http.Server{Handler: p}
	go p.srv.Serve(lis)
	t.Cleanup(func() { p.srv.Close() })
	p.announce()
}

func (p *phoenix) announce() {
	form := fmt.Sprintf("service=archive&addr=%s&slots=6&state=ready&ttl=60000&incarnation=%d", p.lis.Addr(), p.starts.Add(1))
	resp, err := http.Post("http://"+p.node.admin.addr+"/announce", "application/x-www-form-urlencoded", strings.NewReader(form))
	if err == nil { // the node may have ended with the test
		resp.Body.Close()
	}
}

// ServeHTTP implements http.Handler.
func (p *phoenix) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if string(body) != "boom" {
		return
	}
	p.crashes.Add(1)
	time.AfterFunc(p.pause, p.announce)
	panic(http.ErrAbortHandler)
}

// Guards against a crashing request that is alone in flight each time and takes
// down one upstream after the other, because each is back before its death is
// noticed.
func TestCrashBeforeQuickRestartIsRecognized(t *testing.T) {
	for _, pause := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			is := is.New(t)
			g := newFakeGroup()
			entry := startNode(t, g, "entry", "d1")
			var crashes atomic.Int64
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				startPhoenix(t, startNode(t, g, name, "d1"), pause, &crashes)
			}
			for range 8 {
				call(t, entry, "POST", "/filings", "boom")
			}
			is.Equal(crashes.Load(), int64(2))
			status, h, _ := call(t, entry, "POST", "/filings", "boom")
			is.Equal(status, http.StatusServiceUnavailable)
			is.Equal(h.Get("Mulberry-Reason"), "crasher")
			status, _, _ = call(t, entry, "POST", "/filings", "fine")
			is.Equal(status, http.StatusOK)
		})
	}
}

// Guards against a death that shows only after the caller was answered: the
// request is a suspect from then on. Guards also against an ordinary cut on a
// living upstream that makes a suspect.
func TestLateSignOfDeathMakesSuspects(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup()
	n := startNode(t, g, "a", "d1")
	var crashes atomic.Int64
	startPhoenix(t, n, time.Second, &crashes)
	start := time.Now()
	status, h, _ := call(t, n, "POST", "/filings", "boom")
	is.Equal(status, http.StatusBadGateway)
	is.Equal(h.Get("Mulberry-Reason"), "lost")
	is.True(time.Since(start) < time.Second)
	is.Equal(len(n.suspects.list.Notices()), 0)
	until(t, "the request is a suspect", func() bool { return len(n.suspects.list.Notices()) == 1 })
}
