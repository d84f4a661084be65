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

// scripted is an upstream that reads one request head per turn and does what
// the script says with its connection.
type scripted struct {
	lis   net.Listener
	heads atomic.Int64
	conns atomic.Int64
}

func listen(t *testing.T, turn func(n int64, c net.Conn, r *http.Request) (keep bool)) *scripted {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{lis: lis}
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
					if !turn(s.heads.Add(1), c, r) {
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

func use(t *testing.T, addr string, died func([]uint64)) *backend.Backend {
	t.Helper()
	b := backend.New(backend.Config{OnCrash: died})
	b.SetTarget(backend.Target{Addr: addr, MaxConnections: 10})
	return b
}

func drain(t *testing.T, res backend.Result) string {
	t.Helper()
	data, err := io.ReadAll(res.Answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	res.Answer.Body.Close()
	return string(data)
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against net/http repeating a request on a new connection when the
// upstream takes it on a reused one and closes: each must arrive exactly once.
func TestNothingIsRepeatedBehindTheCaller(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "DELETE", "POST", "PUT"} {
		for _, key := range []string{"", "k1"} {
			t.Run(method+key, func(t *testing.T) {
				is := is.New(t)
				up := listen(t, func(n int64, c net.Conn, _ *http.Request) bool {
					if n == 1 {
						io.WriteString(c, ok)
						return true
					}
					return false // takes the request and closes
				})
				b := use(t, up.lis.Addr().String(), nil)
				first := request("POST", "")
				drain(t, b.Do(context.Background(), first))
				time.Sleep(20 * time.Millisecond)
				res := b.Do(context.Background(), request(method, key))
				is.Equal(res.Outcome, mulberrylink.Unknown)
				time.Sleep(20 * time.Millisecond)
				is.Equal(up.heads.Load(), int64(2))
			})
		}
	}
}

// Guards against requests that are sent on an idle connection which the
// upstream has closed long ago.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	up := listen(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, ok)
		return false
	})
	b := use(t, up.lis.Addr().String(), nil)
	for range 5 {
		is.Equal(drain(t, b.Do(context.Background(), request("POST", ""))), "ok")
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(up.heads.Load(), int64(5))
}

// Guards against an untrue outcome: what was not run must say so, and nothing
// else may.
func TestOutcomes(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	cases := []struct {
		name    string
		answer  string // empty: close after the head
		addr    string
		outcome mulberrylink.Outcome
		reason  mulberrylink.Reason
	}{
		{name: "refused", addr: closed.Addr().String(), outcome: mulberrylink.NotRun, reason: mulberrylink.ReasonConnect},
		{name: "closed", outcome: mulberrylink.Unknown, reason: mulberrylink.ReasonLost},
		{name: "shed", answer: "HTTP/1.1 503 x\r\nUpstream-Shed: true\r\nContent-Length: 0\r\n\r\n", outcome: mulberrylink.NotRun, reason: mulberrylink.ReasonShed},
		{name: "unavailable", answer: "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"},
		{name: "redirect", answer: "HTTP/1.1 302 x\r\nLocation: /q\r\nContent-Length: 0\r\n\r\n"},
		{name: "garbage", answer: "what\r\n\r\n", outcome: mulberrylink.Unknown, reason: mulberrylink.ReasonLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			up := listen(t, func(_ int64, conn net.Conn, _ *http.Request) bool {
				io.WriteString(conn, c.answer)
				return false
			})
			addr := up.lis.Addr().String()
			if c.addr != "" {
				addr = c.addr
			}
			res := use(t, addr, nil).Do(context.Background(), request("POST", ""))
			is.Equal(res.Outcome, c.outcome)
			is.Equal(res.Reason, c.reason)
			is.Equal(res.ConnectionRefused, c.name == "refused")
		})
	}
}

// Guards against a body that ends early and looks complete.
func TestCutAnswerIsAnError(t *testing.T) {
	for _, head := range []string{"Content-Length: 100", "Transfer-Encoding: chunked"} {
		is := is.New(t)
		up := listen(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n5\r\nabcde\r\n", head)
			return false
		})
		res := use(t, up.lis.Addr().String(), nil).Do(context.Background(), request("GET", ""))
		is.Equal(res.Outcome, mulberrylink.Answered)
		_, err := io.ReadAll(res.Answer.Body)
		is.True(err != nil)
	}
}

// Guards against callers that are answered before the fingerprints in flight
// are reported, and against one death that is reported several times.
func TestDeathIsReportedOnceBeforeAnyResult(t *testing.T) {
	is := is.New(t)
	var conns sync.Map
	var up *scripted
	up = listen(t, func(n int64, c net.Conn, _ *http.Request) bool {
		conns.Store(n, c)
		if n < 3 {
			select {} // keeps the others waiting until their connection is cut
		}
		up.lis.Close()
		conns.Range(func(_, v any) bool { v.(net.Conn).Close(); return true })
		return false
	})
	var reports, early atomic.Int64
	var prints []uint64
	b := use(t, up.lis.Addr().String(), func(p []uint64) {
		time.Sleep(50 * time.Millisecond)
		prints = p
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
	is.Equal(len(prints), 3)
}

// Guards against a canceled caller whose request goes on at the upstream, and
// against headers that do not arrive.
func TestCancelAndHeaders(t *testing.T) {
	is := is.New(t)
	gone := make(chan error, 1)
	heads := make(chan http.Header, 1)
	up := listen(t, func(_ int64, c net.Conn, r *http.Request) bool {
		heads <- r.Header
		io.Copy(io.Discard, r.Body)
		c.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, err := c.Read(make([]byte, 1))
		gone <- err
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	r := request("POST", "abc")
	r.Attempts, r.Depth = 2, 5
	r.Body, r.Length = strings.NewReader("body"), 4
	res := use(t, up.lis.Addr().String(), nil).Do(ctx, r)
	is.Equal(res.Outcome, mulberrylink.Unknown)
	is.Equal(res.Reason, mulberrylink.ReasonCanceled)
	h := <-heads
	is.Equal(h.Get("Idempotency-Key"), "abc")
	is.Equal(h.Get("Mulberry-Tries"), "2")
	is.Equal(h.Get("Mulberry-Depth"), "5")
	is.True(h.Get("Mulberry-Timeout") != "")
	err := <-gone
	is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded)) // closed, not timed out
}
