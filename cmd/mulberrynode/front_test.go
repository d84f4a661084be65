package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink"
)

// sendRaw writes text to the front of n, closes the write side of the connection when closeWrite is
// set, and reads the response.
func sendRaw(t *testing.T, n *node, text string, closeWrite bool) (*http.Response, error) {
	t.Helper()
	c, err := net.Dial("tcp", n.front.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	io.WriteString(c, text)
	if closeWrite {
		c.(*net.TCPConn).CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	return http.ReadResponse(bufio.NewReader(c), nil)
}

// Guards against invalid requests that reach an upstream, that get the wrong status, or whose response
// lacks the headers that tell the caller that nothing was run.
func TestBadRequestsAreRefused(t *testing.T) {
	g := newFakeGroup()
	n := startNode(t, g, "a", "d1")
	var runs atomic.Int64
	announceUpstream(t, n, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	largeBody := strings.Repeat("x", 1<<20+1)
	cases := []struct {
		name, text string
		closeWrite bool
		status     int
		reason     mulberrylink.Reason
	}{
		{"unknown service", "GET /patterns HTTP/1.1\r\nHost: nobody\r\n\r\n", false, 404, mulberrylink.ReasonNoService},
		{"unknown path", "GET /none HTTP/1.1\r\nHost: archive\r\n\r\n", false, 404, mulberrylink.ReasonNoRoute},
		{"path with the route as a prefix only", "GET /patternsx HTTP/1.1\r\nHost: archive\r\n\r\n", false, 404, mulberrylink.ReasonNoRoute},
		{"unknown method", "DELETE /patterns HTTP/1.1\r\nHost: archive\r\n\r\n", false, 404, mulberrylink.ReasonNoRoute},
		{"asterisk", "OPTIONS * HTTP/1.1\r\nHost: archive\r\n\r\n", false, 400, mulberrylink.ReasonBadRequest},
		{"empty key", "POST /filings HTTP/1.1\r\nHost: archive\r\nIdempotency-Key: \r\nContent-Length: 1\r\n\r\nx", false, 400, mulberrylink.ReasonBadKey},
		{"key with a space", "POST /filings HTTP/1.1\r\nHost: archive\r\nIdempotency-Key: a b\r\nContent-Length: 1\r\n\r\nx", false, 400, mulberrylink.ReasonBadKey},
		{"two keys", "POST /filings HTTP/1.1\r\nHost: archive\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 1\r\n\r\nx", false, 400, mulberrylink.ReasonBadKey},
		{"long key", "POST /filings HTTP/1.1\r\nHost: archive\r\nIdempotency-Key: " + strings.Repeat("k", 256) + "\r\nContent-Length: 1\r\n\r\nx", false, 400, mulberrylink.ReasonBadKey},
		{"short body", "PUT /patterns HTTP/1.1\r\nHost: archive\r\nContent-Length: 10\r\n\r\nabc", true, 400, mulberrylink.ReasonBadRequest},
		{"keyed body too large", "POST /filings HTTP/1.1\r\nHost: archive\r\nIdempotency-Key: a\r\nContent-Length: 1048577\r\n\r\n" + largeBody, false, 413, mulberrylink.ReasonTooLarge},
		{"keyed chunked body too large", "POST /filings HTTP/1.1\r\nHost: archive\r\nIdempotency-Key: a\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\n" + largeBody + "\r\n0\r\n\r\n", false, 413, mulberrylink.ReasonTooLarge},
		{"large header", "GET /patterns HTTP/1.1\r\nHost: archive\r\nX: " + strings.Repeat("h", 70<<10) + "\r\n\r\n", false, 431, mulberrylink.ReasonTooLarge},
		{"timeout that is no number", "GET /patterns HTTP/1.1\r\nHost: archive\r\nMulberry-Timeout: soon\r\n\r\n", false, 400, mulberrylink.ReasonBadRequest},
		{"negative depth", "GET /patterns HTTP/1.1\r\nHost: archive\r\nMulberry-Depth: -1\r\n\r\n", false, 400, mulberrylink.ReasonBadRequest},
		{"loop of calls", "GET /patterns HTTP/1.1\r\nHost: archive\r\nMulberry-Depth: 64\r\n\r\n", false, 508, mulberrylink.ReasonDepth},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			resp, err := sendRaw(t, n, c.text, c.closeWrite)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get("Mulberry-Outcome"), "notrun")
			is.Equal(resp.Header.Get("Mulberry-Reason"), c.reason.String())
		})
	}
	is := is.New(t)
	status, h, _ := sendRequest(t, n, "GET", "/patterns", "", "Mulberry-Timeout", "0")
	is.Equal(status, http.StatusServiceUnavailable) // the deadline has passed
	is.Equal(h.Get("Mulberry-Reason"), "deadline")
	is.Equal(runs.Load(), int64(0))
}

// Guards against a truncated response that ends as if it were complete, on the admitting node and
// through an entry node, with and without a Content-Length.
func TestCutAnswerAbortsTheConnection(t *testing.T) {
	g := newFakeGroup()
	entry := startNode(t, g, "a", "d1")
	admitting := startNode(t, g, "b", "d1")
	announceUpstream(t, admitting, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("length") != "" {
			w.Header().Set("Content-Length", "200000")
		}
		w.Write(make([]byte, 100_000))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	for _, n := range []*node{entry, admitting} {
		for _, query := range []string{"", "?length=1"} {
			t.Run(n.cfg.Node.Name+query, func(t *testing.T) {
				is := is.New(t)
				resp, err := sendRaw(t, n, "GET /patterns"+query+" HTTP/1.1\r\nHost: archive\r\n\r\n", false)
				is.NoErr(err)
				defer resp.Body.Close()
				is.Equal(resp.StatusCode, 200)
				_, err = io.Copy(io.Discard, resp.Body)
				is.True(err != nil)
			})
		}
	}
}

// Guards against uploads and downloads of 64 MiB that are corrupted on the way through two nodes or
// buffered in memory. The receiver stops reading early; what the sender can still send, and what is
// alive on the heap while nothing moves, is held by the nodes and the sockets.
func TestLargeBodiesPassBothWays(t *testing.T) {
	const size, firstPart = 64 << 20, 1 << 20
	is := is.New(t)
	g := newFakeGroup()
	entry := startNode(t, g, "a", "d1")
	admitting := startNode(t, g, "b", "d1")
	var uploaded, downloaded countingReader // the bytes taken from the senders
	heldInUpload := make(chan held, 1)
	base := liveHeap()
	announceUpstream(t, admitting, func(w http.ResponseWriter, r *http.Request) {
		sum := xxhash.New()
		first, _ := io.CopyN(sum, r.Body, firstPart)
		heldInUpload <- held{bytes: uploaded.awaitStall() - first, heap: liveHeap() - base}
		n, err := io.Copy(sum, r.Body)
		w.Header().Set("X-Got", fmt.Sprint(first+n, err, sum.Sum64()))
		w.Header().Set("Content-Length", fmt.Sprint(size))
		downloaded.r = io.LimitReader(&positionReader{}, size)
		io.Copy(w, &downloaded)
	})
	want := xxhash.New()
	io.Copy(want, io.LimitReader(&positionReader{}, size))
	uploaded.r = io.LimitReader(&positionReader{}, size)
	req, err := http.NewRequest("PUT", "http://"+entry.front.Addr()+"/patterns", &uploaded)
	is.NoErr(err)
	req.Host = "archive"
	req.ContentLength = size
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.Header.Get("X-Got"), fmt.Sprint(size, nil, want.Sum64()))
	got := xxhash.New()
	first, err := io.CopyN(got, resp.Body, firstPart)
	is.NoErr(err)
	heldInDownload := held{bytes: downloaded.awaitStall() - first, heap: liveHeap() - base}
	n, err := io.Copy(got, resp.Body)
	is.NoErr(err)
	is.Equal(first+n, int64(size))
	is.Equal(got.Sum64(), want.Sum64())
	for _, h := range []held{<-heldInUpload, heldInDownload} {
		t.Logf("held while the receiver stops: %d KiB, alive: %d KiB", h.bytes>>10, h.heap>>10)
		is.True(h.bytes < size/2)
		is.True(h.heap < size/2) // both nodes, the caller and the upstream run in this process
	}
}

// held is what is on its way while the receiver of a body does not read.
type held struct{ bytes, heap int64 }

// countingReader counts the bytes read from r.
type countingReader struct {
	r io.Reader
	n atomic.Int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// awaitStall waits until nothing has been read for 200 ms and returns the number of bytes read.
func (c *countingReader) awaitStall() int64 {
	for {
		before := c.n.Load()
		time.Sleep(200 * time.Millisecond)
		if now := c.n.Load(); now == before {
			return now
		}
	}
}

// liveHeap returns the bytes that are alive on the heap.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// positionReader returns bytes that depend on their position, so that a lost or moved byte is detected.
type positionReader struct{ position uint32 }

// Read implements io.Reader.
func (r *positionReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.position * 2654435761 >> 24)
		r.position++
	}
	return len(p), nil
}

// zeroReader leaves the buffer as it is and reports it as filled.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// Guards against an unknown outcome that is reported as not run: an upstream that reads a request and
// closes the connection may have run it.
func TestLostAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup()
	entry := startNode(t, g, "a", "d1")
	admitting := startNode(t, g, "b", "d1")
	var runs atomic.Int64
	announceUpstream(t, admitting, func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			runs.Add(1)
		}
		panic(http.ErrAbortHandler)
	})
	for i, n := range []*node{entry, admitting} {
		status, h, _ := sendRequest(t, n, "POST", "/filings", "x")
		is.Equal(status, http.StatusBadGateway)
		is.Equal(h.Get("Mulberry-Outcome"), "unknown")
		is.Equal(runs.Load(), int64(i+1))
	}
}

// Guards against an expired deadline that gets another status than 504, or that doesn't cancel the
// request at the upstream.
func TestDeadlineIsAGatewayTimeout(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup()
	entry := startNode(t, g, "a", "d1")
	admitting := startNode(t, g, "b", "d1")
	canceled := make(chan struct{}, 2)
	announceUpstream(t, admitting, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			canceled <- struct{}{}
		case <-time.After(5 * time.Second):
		}
	})
	for _, n := range []*node{entry, admitting} {
		status, h, _ := sendRequest(t, n, "POST", "/filings", "", "Mulberry-Timeout", "300")
		is.Equal(status, http.StatusGatewayTimeout)
		is.Equal(h.Get("Mulberry-Outcome"), "unknown")
		is.Equal(h.Get("Mulberry-Reason"), "deadline")
		select {
		case <-canceled:
		case <-time.After(time.Second):
			t.Fatal("request was not canceled at the upstream")
		}
	}
}

// Guards against callers that stop sending or reading and so keep their request in flight beyond its
// deadline, which would block a planned shutdown.
func TestStalledCallersAreLetGo(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup()
	entry := startNode(t, g, "a", "d1")
	admitting := startNode(t, g, "b", "d1")
	announceUpstream(t, admitting, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.Copy(w, io.LimitReader(zeroReader{}, 64<<20))
	})
	for _, text := range []string{
		"PUT /patterns HTTP/1.1\r\nHost: archive\r\nMulberry-Timeout: 500\r\nContent-Length: 1000000\r\n\r\nabc",
		"PUT /patterns HTTP/1.1\r\nHost: archive\r\nMulberry-Timeout: 500\r\nContent-Length: 10\r\n\r\nabc",
		"POST /filings HTTP/1.1\r\nHost: archive\r\nIdempotency-Key: s\r\nMulberry-Timeout: 500\r\nContent-Length: 10\r\n\r\nabc",
		"GET /patterns HTTP/1.1\r\nHost: archive\r\nMulberry-Timeout: 500\r\n\r\n",
	} {
		c, err := net.Dial("tcp", entry.front.Addr())
		is.NoErr(err)
		defer c.Close()
		io.WriteString(c, text)
	}
	time.Sleep(100 * time.Millisecond)
	is.Equal(entry.front.InFlight(), 4)
	time.Sleep(1900 * time.Millisecond) // the deadline of 500 ms, the grace period and a margin
	is.Equal(entry.front.InFlight(), 0)
	is.Equal(admitting.admitter.Load().InFlight, 0)
}

// Guards against hop-by-hop headers that are forwarded in either direction, and against headers of
// this project that an upstream sets and a caller receives.
func TestHopByHopHeadersAreRemoved(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup()
	n := startNode(t, g, "a", "d1")
	var got http.Header
	announceUpstream(t, n, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		w.Header().Set("Mulberry-Outcome", "notrun") // only the node itself may set it
		w.Header().Set("Keep-Alive", "timeout=1")
	})
	_, h, _ := sendRequest(t, n, "GET", "/patterns", "", "Connection", "X-Drop", "X-Drop", "1", "X-Keep", "2", "Te", "trailers")
	is.Equal(got.Get("X-Drop"), "")
	is.Equal(got.Get("Te"), "")
	is.Equal(got.Get("X-Keep"), "2")
	is.Equal(h.Get("Mulberry-Outcome"), "")
	is.Equal(h.Get("Keep-Alive"), "")
}

// Guards against an invalid announcement that is applied in part or whose error doesn't name the field.
func TestBadAnnouncementsAreRefused(t *testing.T) {
	n := startNode(t, newFakeGroup(), "a", "d1")
	for name, body := range map[string]string{
		"state":   "service=s&addr=127.0.0.1:1&slots=1&state=fine&ttl=1000",
		"slots":   "service=s&addr=127.0.0.1:1&slots=many&state=ready&ttl=1000",
		"addr":    "service=s&addr=localhost:1&slots=1&state=ready&ttl=1000",
		"ttl":     "service=s&addr=127.0.0.1:1&slots=1&state=ready&ttl=0",
		"service": "addr=127.0.0.1:1&slots=1&state=ready&ttl=1000",
		"JSON":    "{",
	} {
		is := is.New(t)
		kind := "application/x-www-form-urlencoded"
		if name == "JSON" {
			kind = "application/json"
		}
		resp, err := http.Post("http://"+n.admin.addr+"/announce", kind, strings.NewReader(body))
		is.NoErr(err)
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusBadRequest)
		is.True(bytes.Contains(text, []byte(name))) // the error names the field
	}
	is.New(t).Equal(n.upstream.current().State, mulberrylink.UpstreamDown)
}
