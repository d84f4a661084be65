package backend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/transport/backend"
)

func TestMain(m *testing.M) {
	logx.Disable() // the client library logs every call
	os.Exit(m.Run())
}

// scriptedUpstream is an upstream that reads the header of each request and passes it
// to a function of the test, which writes to the connection and says whether to keep
// it open.
type scriptedUpstream struct {
	lis      net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

func newScriptedUpstream(t *testing.T, handle func(n int64, c net.Conn, r *http.Request) (keep bool)) *scriptedUpstream {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedUpstream{lis: lis}
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if !handle(s.requests.Add(1), c, r) {
						return
					}
				}
			}()
		}
	}()
	return s
}

func request(method, key string) *mulberrylink.Request {
	r := &mulberrylink.Request{
		ID: "x", Service: "s", Method: method, Path: "/p", Header: http.Header{},
		Deadline: time.Now().Add(5 * time.Second), Fingerprint: 7, Key: key,
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return r
}

func newBackend(t *testing.T, addr string, onCrash func([]uint64)) *backend.Backend {
	t.Helper()
	b := backend.New(backend.Config{OnCrash: onCrash})
	b.SetTarget(backend.Target{Addr: addr, MaxConnections: 10})
	return b
}

func readAll(t *testing.T, res backend.Result) string {
	t.Helper()
	data, err := io.ReadAll(res.Answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	res.Answer.Body.Close()
	return string(data)
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against net/http repeating a request on a new connection when the upstream
// reads it on a reused one and closes that: each request must arrive exactly once.
func TestNothingIsRepeatedBehindTheCaller(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "DELETE", "POST", "PUT"} {
		for _, key := range []string{"", "k1"} {
			t.Run(method+key, func(t *testing.T) {
				is := is.New(t)
				up := newScriptedUpstream(t, func(n int64, c net.Conn, _ *http.Request) bool {
					if n == 1 {
						io.WriteString(c, okResponse)
						return true
					}
					return false // reads the request and closes the connection
				})
				b := newBackend(t, up.lis.Addr().String(), nil)
				first := request("POST", "")
				readAll(t, b.Do(context.Background(), first))
				time.Sleep(20 * time.Millisecond)
				res := b.Do(context.Background(), request(method, key))
				is.Equal(res.Outcome, mulberrylink.Unknown)
				time.Sleep(20 * time.Millisecond)
				is.Equal(up.requests.Load(), int64(2))
			})
		}
	}
}

// Guards against requests that are sent on an idle connection that the upstream has
// already closed.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	up := newScriptedUpstream(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, okResponse)
		return false
	})
	b := newBackend(t, up.lis.Addr().String(), nil)
	for range 5 {
		is.Equal(readAll(t, b.Do(context.Background(), request("POST", ""))), "ok")
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(up.requests.Load(), int64(5))
}

// Guards against a wrong outcome: a request must be reported as not run if and only
// if the upstream can't have run it.
func TestOutcomes(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	cases := []struct {
		name     string
		response string // empty: close the connection after the request header
		addr     string
		outcome  mulberrylink.Outcome
		reason   mulberrylink.Reason
	}{
		{name: "refused", addr: closed.Addr().String(), outcome: mulberrylink.NotRun, reason: mulberrylink.ReasonConnect},
		{name: "closed", outcome: mulberrylink.Unknown, reason: mulberrylink.ReasonLost},
		{name: "shed", response: "HTTP/1.1 503 x\r\nUpstream-Shed: true\r\nContent-Length: 0\r\n\r\n", outcome: mulberrylink.NotRun, reason: mulberrylink.ReasonShed},
		{name: "unavailable", response: "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"},
		{name: "redirect", response: "HTTP/1.1 302 x\r\nLocation: /q\r\nContent-Length: 0\r\n\r\n"},
		{name: "garbage", response: "what\r\n\r\n", outcome: mulberrylink.Unknown, reason: mulberrylink.ReasonLost},
		{name: "other version", response: "HTTP/7.3 200 OK\r\nContent-Length: 0\r\n\r\n", outcome: mulberrylink.Unknown, reason: mulberrylink.ReasonLost},
		{name: "no status", response: "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", outcome: mulberrylink.Unknown, reason: mulberrylink.ReasonLost},
		{name: "interim status", response: "HTTP/1.1 101 OK\r\nContent-Length: 0\r\n\r\n", outcome: mulberrylink.Unknown, reason: mulberrylink.ReasonLost},
		{name: "status out of range", response: "HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n", outcome: mulberrylink.Unknown, reason: mulberrylink.ReasonLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			up := newScriptedUpstream(t, func(_ int64, conn net.Conn, _ *http.Request) bool {
				io.WriteString(conn, c.response)
				return false
			})
			addr := up.lis.Addr().String()
			if c.addr != "" {
				addr = c.addr
			}
			res := newBackend(t, addr, nil).Do(context.Background(), request("POST", ""))
			is.Equal(res.Outcome, c.outcome)
			is.Equal(res.Reason, c.reason)
			is.Equal(res.ConnectionRefused, c.name == "refused")
		})
	}
}

// Guards against a truncated response body that looks complete.
func TestCutAnswerIsAnError(t *testing.T) {
	for _, head := range []string{"Content-Length: 100", "Transfer-Encoding: chunked"} {
		is := is.New(t)
		up := newScriptedUpstream(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n5\r\nabcde\r\n", head)
			return false
		})
		res := newBackend(t, up.lis.Addr().String(), nil).Do(context.Background(), request("GET", ""))
		is.Equal(res.Outcome, mulberrylink.Answered)
		_, err := io.ReadAll(res.Answer.Body)
		is.True(err != nil)
	}
}

// Guards against callers that get their result before the requests in flight are
// reported, and against a crash that is reported several times.
func TestDeathIsReportedOnceBeforeAnyResult(t *testing.T) {
	is := is.New(t)
	var conns sync.Map
	var up *scriptedUpstream
	up = newScriptedUpstream(t, func(n int64, c net.Conn, _ *http.Request) bool {
		conns.Store(n, c)
		if n < 3 {
			select {} // the first two requests wait until their connections are cut
		}
		up.lis.Close()
		conns.Range(func(_, v any) bool { v.(net.Conn).Close(); return true })
		return false
	})
	var reports, early atomic.Int64
	var fingerprints []uint64
	b := newBackend(t, up.lis.Addr().String(), func(p []uint64) {
		time.Sleep(50 * time.Millisecond)
		fingerprints = p
		reports.Add(1)
	})
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			r := request("POST", "")
			r.Fingerprint = uint64(i)
			res := b.Do(context.Background(), r)
			if reports.Load() == 0 || res.Outcome != mulberrylink.Unknown {
				early.Add(1)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	is.Equal(early.Load(), int64(0))
	is.Equal(reports.Load(), int64(1))
	is.Equal(len(fingerprints), 3)
}

// Guards against a canceled request that continues to run at the upstream, and against
// headers that don't arrive.
func TestCancelAndHeaders(t *testing.T) {
	is := is.New(t)
	readErr := make(chan error, 1)
	headers := make(chan http.Header, 1)
	up := newScriptedUpstream(t, func(_ int64, c net.Conn, r *http.Request) bool {
		headers <- r.Header
		io.Copy(io.Discard, r.Body)
		c.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, err := c.Read(make([]byte, 1))
		readErr <- err
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	r := request("POST", "abc")
	r.ExtraAttempts, r.Depth = 2, 5
	r.Body, r.Length = strings.NewReader("body"), 4
	res := newBackend(t, up.lis.Addr().String(), nil).Do(ctx, r)
	is.Equal(res.Outcome, mulberrylink.Unknown)
	is.Equal(res.Reason, mulberrylink.ReasonCanceled)
	h := <-headers
	is.Equal(h.Get("Idempotency-Key"), "abc")
	is.Equal(h.Get("Mulberry-Tries"), "2")
	is.Equal(h.Get("Mulberry-Depth"), "5")
	is.True(h.Get("Mulberry-Timeout") != "")
	err := <-readErr
	is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded)) // closed, not timed out
}
