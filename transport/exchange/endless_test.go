package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/transport/exchange"
)

// maxHeapGrowth is the bound for 50 exchanges at once. A node has 184 MB for everything; each
// exchange may hold a head of 64 KiB, which takes about 1 MiB parsed, and 64 KiB of body.
const maxHeapGrowth = 80 << 20

// Guards against a process that runs out of memory, or keeps requests until their deadline, when
// many upstreams send bytes without end: in a head, in interim responses, in a body without length
// and in chunks, at full speed and drop by drop.
func TestEndlessUpstreams(t *testing.T) {
	for name, c := range map[string]struct {
		start, text string
		pause       time.Duration
		atDeadline  bool // the bytes come too slowly to exceed a limit before
	}{
		"line":        {start: "HTTP/1.1 200 OK\r\nX-Long: ", text: "x"},
		"lines":       {start: "HTTP/1.1 200 OK\r\n", text: "A: \r\n"},
		"interim":     {text: "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n"},
		"undelimited": {start: "HTTP/1.1 200 OK\r\n\r\n", text: "body "},
		"chunks":      {start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", text: "5\r\nbody \r\n"},
		"slow line":   {start: "HTTP/1.1 200 OK\r\nX-Long: ", text: "x", pause: 5 * time.Millisecond, atDeadline: true},
		"slow body":   {start: "HTTP/1.1 200 OK\r\n\r\n", text: "x", pause: 5 * time.Millisecond, atDeadline: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			var upstreams sync.WaitGroup
			upstreams.Go(func() {
				for {
					conn, err := lis.Accept()
					if err != nil {
						return
					}
					upstreams.Go(func() {
						defer func() { _ = conn.Close() }()
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
							return
						}
						_, _ = io.WriteString(conn, c.start)
						repeat(conn, c.text, c.pause)
					})
				}
			})
			p := exchange.NewPool(exchange.Config{
				DialTimeout: time.Second, MaxIdlePerAddr: 4, IdleTimeout: time.Minute, BufferBytes: 64 << 10, MaxUndelimitedBytes: 1 << 20,
			})
			before := liveHeap()
			timeLimit := 20 * time.Second
			if c.atDeadline {
				timeLimit = time.Second
			}
			var clients sync.WaitGroup
			for range 50 {
				clients.Go(func() {
					start := time.Now()
					resp, err := p.Do(context.Background(), &exchange.Request{
						Addr: lis.Addr().String(), Method: "GET", Target: "/", Host: "h", Header: http.Header{}, Deadline: start.Add(timeLimit),
					})
					if err == nil {
						_, err = io.Copy(io.Discard, resp.Rest)
						resp.Close()
					}
					if err == nil {
						t.Error("the response counts as complete")
					}
					if atDeadline := time.Since(start) >= timeLimit; atDeadline != c.atDeadline {
						t.Errorf("ended after %s", time.Since(start))
					}
				})
			}
			ended := make(chan struct{})
			go func() { defer close(ended); clients.Wait() }()
			for done := false; !done; {
				select {
				case <-ended:
					done = true
				case <-time.After(100 * time.Millisecond):
				}
				if growth := liveHeap() - before; growth > maxHeapGrowth {
					t.Fatalf("%d MiB of memory in use", growth>>20)
				}
			}
			_ = lis.Close()
			upstreams.Wait() // each connection has been closed
		})
	}
}

// liveHeap returns the bytes in use after a collection.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) //nolint:gosec // far below the limit
}
