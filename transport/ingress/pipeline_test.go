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

// testTime bounds whatever a test waits for.
const testTime = 5 * time.Second

// start serves h and returns the server and its address.
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

// dial opens a connection that fails reads and writes after testTime.
func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testTime))
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

// reply is an answer with its whole body.
type reply struct {
	status int
	close  bool
	body   string
}

func answer(t *testing.T, br *bufio.Reader, method string) reply {
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
	return reply{status: res.StatusCode, close: res.Close, body: string(body)}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// Requests behind a slow one on the same connection must not wait for it, and
// their answers must come in the order of the requests.
func TestPipelinedRequestsRunAtTheSameTime(t *testing.T) {
	is := is.New(t)
	var both sync.WaitGroup
	both.Add(3)
	_, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		both.Done()
		both.Wait() // none goes on before all have begun
		if r.URL.Path == "/1" {
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c, br := dial(t, addr)
	_, err := io.WriteString(c, get("/1")+get("/2")+get("/3"))
	is.NoErr(err)
	for i := range 3 {
		res := answer(t, br, "GET")
		is.Equal(res.body, fmt.Sprintf("/%d", i+1))
	}
}

// A request that is not safe must not overtake, nor be overtaken.
func TestUnsafePipelinedRequestRunsAlone(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	running, most := 0, 0
	_, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		running++
		most = max(most, running)
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
		res := answer(t, br, "GET")
		is.Equal(res.body, want)
	}
	is.Equal(most, 1)
}

// A caller that leaves must end its requests, also when it has sent more than
// one and when the last one is not safe.
func TestCallerThatLeavesEndsItsRequests(t *testing.T) {
	for name, sent := range map[string][]string{
		"one":       {get("/1")},
		"pipelined": {get("/1"), get("/2"), get("/3")},
		"body":      {"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began, ended := make(chan struct{}, 8), make(chan struct{}, 8)
			_, addr := start(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				began <- struct{}{}
				select {
				case <-r.Context().Done():
					ended <- struct{}{}
				case <-time.After(testTime):
				}
				panic(http.ErrAbortHandler)
			})
			c, _ := dial(t, addr)
			_, err := io.WriteString(c, strings.Join(sent, ""))
			is.NoErr(err)
			for range sent {
				<-began
			}
			is.NoErr(c.Close())
			for range sent {
				select {
				case <-ended:
				case <-time.After(testTime):
					t.Fatal("the request of a caller that has left goes on")
				}
			}
		})
	}
}

// While the server drains, requests that were read are answered, and only the
// last answer announces the close.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	is := is.New(t)
	began, goOn := make(chan struct{}, 2), make(chan struct{})
	s, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-goOn
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c, br := dial(t, addr)
	_, err := io.WriteString(c, get("/1")+get("/2"))
	is.NoErr(err)
	<-began
	<-began
	s.Drain()
	close(goOn)
	res := answer(t, br, "GET")
	is.Equal(res.body, "/1")
	is.True(!res.close)
	res = answer(t, br, "GET")
	is.Equal(res.body, "/2")
	is.True(res.close)
	_, err = br.ReadByte()
	is.Equal(err, io.EOF) // closed, not reset
}

// Nothing may follow an answer that announces the end of the connection, also when
// unreadable bytes came before it was sent.
func TestNothingFollowsTheLastAnswer(t *testing.T) {
	is := is.New(t)
	began, goOn := make(chan struct{}, 1), make(chan struct{})
	s, addr := start(t, func(w http.ResponseWriter, _ *http.Request) {
		began <- struct{}{}
		<-goOn
		w.WriteHeader(http.StatusNoContent)
	})
	c, br := dial(t, addr)
	_, err := io.WriteString(c, get("/1")+"hello\r\n\r\n")
	is.NoErr(err)
	<-began
	time.Sleep(20 * time.Millisecond) // the rest is read
	s.Drain()
	close(goOn)
	res := answer(t, br, "GET")
	is.True(res.close)
	_, err = br.ReadByte()
	is.Equal(err, io.EOF)
}

// Whatever a caller sends, answers stay apart: a body that was not read is not
// taken for the next request.
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
		res := answer(t, br, "GET")
		is.Equal(res.status, http.StatusNoContent)
	}
	mu.Lock()
	defer mu.Unlock()
	is.Equal(paths, []string{"/p", "/2"})
}

// An unread body that is too long to be skipped ends the connection.
func TestLongUnreadBodyEndsTheConnection(t *testing.T) {
	is := is.New(t)
	_, addr := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestEntityTooLarge) })
	c, br := dial(t, addr)
	go func() {
		_, _ = fmt.Fprintf(c, "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 8<<20)
		_, _ = io.CopyN(c, strings.NewReader(strings.Repeat("x", 8<<20)), 8<<20)
	}()
	res := answer(t, br, "POST")
	is.Equal(res.status, http.StatusRequestEntityTooLarge)
	is.True(res.close)
}

// A body that waits for 100 is asked for when it is read, and not before.
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
	res := answer(t, br, "POST")
	is.Equal(res.status, http.StatusContinue)
	_, err = io.WriteString(c, "ab")
	is.NoErr(err)
	res = answer(t, br, "POST")
	is.Equal(res.body, "ab")
	_, err = io.WriteString(c, "POST /no"+head)
	is.NoErr(err)
	res = answer(t, br, "POST")
	is.Equal(res.status, http.StatusServiceUnavailable)
	is.True(res.close) // the body may still come
}

// An answer that breaks off must not look complete.
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

// Unreadable requests are answered, and the connection is closed behind them.
func TestUnreadableRequests(t *testing.T) {
	_, addr := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	for name, c := range map[string]struct {
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
			go func() { _, _ = io.WriteString(conn, c.in) }()
			res := answer(t, br, "GET")
			is.Equal(res.status, c.status)
			if c.status == http.StatusNoContent {
				res = answer(t, br, "GET")
				is.Equal(res.status, 400)
			}
			is.True(res.close)
		})
	}
}

// Old callers get answers that end with the connection.
func TestHTTP10(t *testing.T) {
	is := is.New(t)
	_, addr := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "abc") })
	c, br := dial(t, addr)
	_, err := io.WriteString(c, "GET / HTTP/1.0\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	res := answer(t, br, "GET")
	is.Equal(res.body, "abc")
	is.True(res.close)
}

// Close ends unused connections at once and waits for requests.
func TestCloseWaitsForRequests(t *testing.T) {
	is := is.New(t)
	began, goOn := make(chan struct{}, 1), make(chan struct{})
	s, addr := start(t, func(w http.ResponseWriter, _ *http.Request) {
		began <- struct{}{}
		<-goOn
		_, _ = io.WriteString(w, "abc")
	})
	_, idle := dial(t, addr)
	c, br := dial(t, addr)
	_, err := io.WriteString(c, get("/"))
	is.NoErr(err)
	<-began
	closed := make(chan error, 1)
	go func() { closed <- s.Close(t.Context()) }()
	_, err = idle.ReadByte()
	is.Equal(err, io.EOF)
	select {
	case <-closed:
		t.Fatal("closed while a request was open")
	case <-time.After(20 * time.Millisecond):
	}
	close(goOn)
	res := answer(t, br, "GET")
	is.Equal(res.body, "abc")
	is.NoErr(<-closed)
}
