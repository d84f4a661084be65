package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink/transport/ingress"
)

// testTimeout limits every wait of a test.
const testTimeout = 5 * time.Second

// start starts a server with the handler h and returns it and its address.
func start(t *testing.T, h http.HandlerFunc) (*ingress.Server, string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := lis.Addr().String()
	_ = lis.Close()
	s := ingress.New(ingress.Config{Addr: addr, Handler: h, Log: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}})
	go func() { _ = s.Serve(t.Context()) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = s.Close(ctx)
	})
	for range 500 {
		if c, err := net.Dial("tcp", addr); err == nil {
			_ = c.Close()
			return s, addr
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatal("the server does not listen")
	return nil, ""
}

// dial opens a connection whose reads and writes fail after testTimeout.
func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

// response is a received response with its complete body.
type response struct {
	status int
	close  bool
	body   string
}

func readResponse(t *testing.T, br *bufio.Reader, method string) response {
	t.Helper()
	res, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{status: res.StatusCode, close: res.Close, body: string(body)}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// Guards against pipelined requests that wait for a slow request before them on the
// same connection, and against responses that arrive out of order.
func TestPipelinedRequestsRunAtTheSameTime(t *testing.T) {
	is := is.New(t)
	var allStarted sync.WaitGroup
	allStarted.Add(3)
	_, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		allStarted.Done()
		allStarted.Wait() // no request continues before all have started
		if r.URL.Path == "/1" {
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c, br := dial(t, addr)
	_, err := io.WriteString(c, get("/1")+get("/2")+get("/3"))
	is.NoErr(err)
	for i := range 3 {
		res := readResponse(t, br, "GET")
		is.Equal(res.body, fmt.Sprintf("/%d", i+1))
	}
}

// Guards against a request with an unsafe method that runs concurrently with others of
// its connection.
func TestUnsafePipelinedRequestRunsAlone(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	running, maxRunning := 0, 0
	_, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		running++
		maxRunning = max(maxRunning, running)
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		running--
		mu.Unlock()
		_, _ = w.Write(body)
	})
	c, br := dial(t, addr)
	post := "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n"
	_, err := io.WriteString(c, get("/1")+post+"ab"+post+"cd"+get("/4"))
	is.NoErr(err)
	for _, want := range []string{"", "ab", "cd", ""} {
		res := readResponse(t, br, "GET")
		is.Equal(res.body, want)
	}
	is.Equal(maxRunning, 1)
}

// Guards against requests that keep running after their caller has disconnected, also
// when it has pipelined several and when the last one is unsafe.
func TestCallerThatLeavesEndsItsRequests(t *testing.T) {
	for name, requests := range map[string][]string{
		"one":       {get("/1")},
		"pipelined": {get("/1"), get("/2"), get("/3")},
		"body":      {"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			started, ended := make(chan struct{}, 8), make(chan struct{}, 8)
			_, addr := start(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				started <- struct{}{}
				select {
				case <-r.Context().Done():
					ended <- struct{}{}
				case <-time.After(testTimeout):
				}
				panic(http.ErrAbortHandler)
			})
			c, _ := dial(t, addr)
			_, err := io.WriteString(c, strings.Join(requests, ""))
			is.NoErr(err)
			for range requests {
				<-started
			}
			is.NoErr(c.Close())
			for range requests {
				select {
				case <-ended:
				case <-time.After(testTimeout):
					t.Fatal("request still running after its caller disconnected")
				}
			}
		})
	}
}

// Guards against a draining server that drops requests it has read, or that announces
// the end of the connection before the last response.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	is := is.New(t)
	started, proceed := make(chan struct{}, 2), make(chan struct{})
	s, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-proceed
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c, br := dial(t, addr)
	_, err := io.WriteString(c, get("/1")+get("/2"))
	is.NoErr(err)
	<-started
	<-started
	s.Drain()
	close(proceed)
	res := readResponse(t, br, "GET")
	is.Equal(res.body, "/1")
	is.True(!res.close)
	res = readResponse(t, br, "GET")
	is.Equal(res.body, "/2")
	is.True(res.close)
	_, err = br.ReadByte()
	is.Equal(err, io.EOF) // closed, not reset
}

// Guards against data after a response that has announced the end of the connection,
// also when an invalid request arrived before that response was sent.
func TestNothingFollowsTheLastAnswer(t *testing.T) {
	is := is.New(t)
	started, proceed := make(chan struct{}, 1), make(chan struct{})
	s, addr := start(t, func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-proceed
		w.WriteHeader(http.StatusNoContent)
	})
	c, br := dial(t, addr)
	_, err := io.WriteString(c, get("/1")+"hello\r\n\r\n")
	is.NoErr(err)
	<-started
	time.Sleep(20 * time.Millisecond) // time for the server to read the invalid request
	s.Drain()
	close(proceed)
	res := readResponse(t, br, "GET")
	is.True(res.close)
	_, err = br.ReadByte()
	is.Equal(err, io.EOF)
}

// Guards against request smuggling: a body that the handler didn't read must not be
// parsed as the next request.
func TestUnreadBodyIsNoRequest(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var paths []string
	_, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		paths = append(paths, r.URL.Path)
		mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	})
	c, br := dial(t, addr)
	hidden := get("/hidden")
	_, err := fmt.Fprintf(c, "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s%s", len(hidden), hidden, get("/2"))
	is.NoErr(err)
	for range 2 {
		res := readResponse(t, br, "GET")
		is.Equal(res.status, http.StatusNoContent)
	}
	mu.Lock()
	defer mu.Unlock()
	is.Equal(paths, []string{"/p", "/2"})
}

// Guards against a connection that stays open after a request whose unread body is too
// long to be discarded.
func TestLongUnreadBodyEndsTheConnection(t *testing.T) {
	is := is.New(t)
	_, addr := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestEntityTooLarge) })
	c, br := dial(t, addr)
	go func() {
		_, _ = fmt.Fprintf(c, "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 8<<20)
		_, _ = io.CopyN(c, strings.NewReader(strings.Repeat("x", 8<<20)), 8<<20)
	}()
	res := readResponse(t, br, "POST")
	is.Equal(res.status, http.StatusRequestEntityTooLarge)
	is.True(res.close)
}

// Guards against a 100 Continue response that isn't sent when the handler reads the
// body, or is sent although the handler doesn't read it.
func TestContinue(t *testing.T) {
	is := is.New(t)
	_, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/no" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	const head = " HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
	c, br := dial(t, addr)
	_, err := io.WriteString(c, "POST /yes"+head)
	is.NoErr(err)
	res := readResponse(t, br, "POST")
	is.Equal(res.status, http.StatusContinue)
	_, err = io.WriteString(c, "ab")
	is.NoErr(err)
	res = readResponse(t, br, "POST")
	is.Equal(res.body, "ab")
	_, err = io.WriteString(c, "POST /no"+head)
	is.NoErr(err)
	res = readResponse(t, br, "POST")
	is.Equal(res.status, http.StatusServiceUnavailable)
	is.True(res.close) // the caller may still send the body
}

// Guards against a truncated response that looks complete to the caller.
func TestBrokenAnswerEndsTheConnection(t *testing.T) {
	for _, length := range []string{"", "10"} {
		t.Run("length "+length, func(t *testing.T) {
			is := is.New(t)
			_, addr := start(t, func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = io.WriteString(w, "abc")
				is.NoErr(http.NewResponseController(w).Flush())
				if length == "" {
					panic(http.ErrAbortHandler)
				}
			})
			c, br := dial(t, addr)
			_, err := io.WriteString(c, get("/"))
			is.NoErr(err)
			res, err := http.ReadResponse(br, nil)
			is.NoErr(err)
			defer func() { _ = res.Body.Close() }()
			_, err = io.ReadAll(res.Body)
			is.True(err != nil)
		})
	}
}

// Guards against invalid requests that get no response or the wrong status, or after
// which the connection stays open.
func TestUnreadableRequests(t *testing.T) {
	_, addr := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	for name, tc := range map[string]struct {
		in     string
		status int
	}{
		"no request":      {"hello\r\n\r\n", 400},
		"no host":         {"GET / HTTP/1.1\r\n\r\n", 400},
		"http 2":          {"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505},
		"header value":    {"GET / HTTP/1.1\r\nHost: a\r\nX: a\x00b\r\n\r\n", 400},
		"long header":     {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 400<<10) + "\r\n\r\n", 431},
		"two lengths":     {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"other transfer":  {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\nab", 400},
		"behind a good":   {get("/") + "hello\r\n\r\n", 204},
		"expects a thing": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nExpect: tea\r\n\r\na", 417},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, br := dial(t, addr)
			go func() { _, _ = io.WriteString(conn, tc.in) }()
			res := readResponse(t, br, "GET")
			is.Equal(res.status, tc.status)
			if tc.status == http.StatusNoContent {
				res = readResponse(t, br, "GET")
				is.Equal(res.status, 400)
			}
			is.True(res.close)
		})
	}
}

// Guards against a response to an HTTP/1.0 request that doesn't end with the connection.
func TestHTTP10(t *testing.T) {
	is := is.New(t)
	_, addr := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "abc") })
	c, br := dial(t, addr)
	_, err := io.WriteString(c, "GET / HTTP/1.0\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	res := readResponse(t, br, "GET")
	is.Equal(res.body, "abc")
	is.True(res.close)
}

// Guards against a Close that keeps idle connections open, or that doesn't wait for the
// requests in flight.
func TestCloseWaitsForRequests(t *testing.T) {
	is := is.New(t)
	started, proceed := make(chan struct{}, 1), make(chan struct{})
	s, addr := start(t, func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-proceed
		_, _ = io.WriteString(w, "abc")
	})
	_, idle := dial(t, addr)
	c, br := dial(t, addr)
	_, err := io.WriteString(c, get("/"))
	is.NoErr(err)
	<-started
	closed := make(chan error, 1)
	go func() { closed <- s.Close(t.Context()) }()
	_, err = idle.ReadByte()
	is.Equal(err, io.EOF)
	select {
	case <-closed:
		t.Fatal("Close returned while a request was in flight")
	case <-time.After(20 * time.Millisecond):
	}
	close(proceed)
	res := readResponse(t, br, "GET")
	is.Equal(res.body, "abc")
	is.NoErr(<-closed)
}

// Guards against a planned stop that reports interrupted requests because callers keep their side
// of idle connections open, and against one that reports none when it interrupts requests.
func TestCloseReportsInterruptedRequestsOnly(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{}, 1)
	s, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "abc")
	})
	c, br := dial(t, addr)
	_, err := io.WriteString(c, get("/"))
	is.NoErr(err)
	is.Equal(readResponse(t, br, "GET").body, "abc")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.NoErr(s.Close(ctx)) // c is idle, and the test keeps it open

	s, addr = start(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
	})
	c, _ = dial(t, addr)
	_, err = io.WriteString(c, get("/"))
	is.NoErr(err)
	<-started
	ctx, cancel = context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err = s.Close(ctx)
	is.True(err != nil)
	is.True(strings.HasPrefix(err.Error(), "1 requests were in flight"))
}
