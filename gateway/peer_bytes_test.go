package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/directory"
	"github.com/mulberrylink/mulberrylink/protocol/feed"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// maxNodeHeap is half of the 184 MB of the smallest node: the collector may need as much again.
const maxNodeHeap = 92 << 20

const faultyConns = 60

// checkHeap fails the test if the heap has grown by more than maxNodeHeap.
func checkHeap(t *testing.T, before int64) {
	t.Helper()
	if growth := liveHeap() - before; growth > maxNodeHeap {
		t.Fatalf("%d MiB of memory in use", growth>>20)
	}
}

func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) //nolint:gosec // far below the limit
}

// pour sends start once and text without end, with a pause after each.
func pour(nc net.Conn, start, text string, pause time.Duration) {
	defer func() { _ = nc.Close() }()
	_, err := io.WriteString(nc, start)
	for next := []byte(text); err == nil; {
		_, err = nc.Write(next)
		time.Sleep(pause)
	}
}

// addFaultyPeer registers a node whose responses are start and then text without end. It returns the
// number of connections to it so far.
func (d *deployment) addFaultyPeer(ctx context.Context, start, text string, pause time.Duration) *atomic.Int64 {
	d.t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = lis.Close() })
	var conns atomic.Int64
	go func() {
		for {
			nc, err := lis.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() { _, _ = io.Copy(io.Discard, nc) }()
			go pour(nc, start, text, pause)
		}
	}()
	c := feed.NewClient(feed.ClientConfig{
		Dialer: rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second}), Seeds: []string{d.hubAddr}, Directory: directory.New(), NodeName: "faulty", Log: discardLogger(),
	})
	c.Announce(mulberrylink.Node{
		Name: "faulty", Domain: "d1", Service: "archive", Addr: lis.Addr().String(), Incarnation: 1,
		State: mulberrylink.NodeReady, Upstream: mulberrylink.UpstreamUp, Slots: 1000,
	})
	go c.Run(ctx)
	return &conns
}

// Guards against a node that runs out of memory, or loses the requests of others, while another node
// responds to many requests at once with bytes without end.
func TestEndlessResponsesOfAPeer(t *testing.T) {
	for name, c := range map[string]struct {
		start, text string
		pause       time.Duration
	}{
		"garbage":     {text: strings.Repeat("garbage", 1000)},
		"line":        {start: "HTTP/1.1 200 OK\r\nX-Long: ", text: strings.Repeat("x", 4096)},
		"lines":       {start: "HTTP/1.1 200 OK\r\n", text: strings.Repeat("A: \r\n", 1000)},
		"interim":     {text: strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n", 100)},
		"undelimited": {start: "HTTP/1.1 200 OK\r\n\r\n", text: strings.Repeat("x", 4096)},
		"chunks":      {start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", text: strings.Repeat("5\r\nbody \r\n", 400)},
		"slow lines":  {start: "HTTP/1.1 200 OK\r\n", text: "A: \r\n", pause: 5 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			entry, good := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d2", "archive", 100)
			d.waitReady(entry, good)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			conns := d.addFaultyPeer(ctx, c.start, c.text, c.pause)
			waitFor(t, 2*time.Second, "faulty peer", func() bool { return len(entry.g.ServiceNodes("archive")) == 2 })
			before := liveHeap()
			var wg sync.WaitGroup
			for i := range faultyConns {
				wg.Go(func() { entry.send("POST", "/write/1", fmt.Sprint("w", i), "") })
				wg.Go(func() { entry.send("GET", "/read/1", fmt.Sprint("r", i), "") })
			}
			ended := make(chan struct{})
			go func() { defer close(ended); wg.Wait() }()
			for done := false; !done; checkHeap(t, before) {
				select {
				case <-ended:
					done = true
				case <-time.After(100 * time.Millisecond):
				}
			}
			t.Logf("%d connections to the faulty peer", conns.Load())
			is := is.New(t)
			is.True(conns.Load() > 0)
			is.Equal(good.send("GET", "/read/1", "after", "").status, http.StatusOK)
			waitFor(t, 3*time.Second, "healthy upstream", func() bool { return entry.send("GET", "/read/1", "again", "").status == http.StatusOK })
		})
	}
}

// Guards against a node that runs out of memory, or does not serve others, while another node sends
// requests without end on many connections.
func TestEndlessRequestsOfAPeer(t *testing.T) {
	for name, c := range map[string]struct {
		start, text string
		pause       time.Duration
	}{
		"garbage":   {text: strings.Repeat("\x00garbage", 1000)},
		"line":      {start: "GET / HTTP/1.1\r\nX-Long: ", text: strings.Repeat("x", 4096)},
		"lines":     {start: "GET / HTTP/1.1\r\nHost: h\r\n", text: strings.Repeat("A: \r\n", 1000)},
		"length":    {start: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000000\r\n\r\n", text: strings.Repeat("x", 4096)},
		"chunks":    {start: "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", text: strings.Repeat("5\r\nbody \r\n", 400)},
		"pipelined": {text: strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 100)},
		"slow line": {start: "GET / HTTP/1.1\r\nX-Long: ", text: "x", pause: 5 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			entry, n := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d2", "archive", 4)
			d.waitReady(entry, n)
			before, end := liveHeap(), time.Now().Add(time.Second)
			var wg sync.WaitGroup
			defer wg.Wait()
			for range faultyConns {
				wg.Go(func() {
					for time.Now().Before(end) {
						nc, err := net.Dial("tcp", n.inbound)
						if err != nil {
							return
						}
						_ = nc.SetDeadline(end)
						go func() { _, _ = io.Copy(io.Discard, nc) }()
						pour(nc, c.start, c.text, c.pause)
					}
				})
			}
			served := false
			for i := 0; time.Now().Before(end); i++ {
				served = entry.send("GET", "/read/1", fmt.Sprint("r", i), "").status == http.StatusOK || served
				checkHeap(t, before)
			}
			waitFor(t, 5*time.Second, "response to another node", func() bool {
				return served || entry.send("GET", "/read/1", "after", "").status == http.StatusOK
			})
		})
	}
}
