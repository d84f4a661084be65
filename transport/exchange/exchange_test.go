package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/transport/exchange"
)

// TestScripts runs the client against the scripted upstreams of testdata. The first lines of each
// file name the failure that it guards against. A script has a section for each connection with the
// steps of the upstream. Lines that start with ">" are the requests that the test sends, in order.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			runScript(t, string(text))
		})
	}
}

// upstream serves the connections of one script one after another.
type upstream struct {
	t     *testing.T
	lis   net.Listener
	conns [][]string // steps of each connection
	done  chan struct{}
}

func (u *upstream) serve() {
	defer close(u.done)
	for _, lines := range u.conns {
		c, err := u.lis.Accept()
		if err != nil {
			return
		}
		u.serveConn(c, lines)
	}
}

func (u *upstream) serveConn(c net.Conn, lines []string) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for _, line := range lines {
		verb, arg, _ := strings.Cut(line, " ")
		switch verb {
		case "read": // a whole request
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
		case "head": // a request without its body
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
		case "write":
			text, err := strconv.Unquote(arg)
			if err != nil {
				u.t.Errorf("%s: %v", line, err)
			}
			_, _ = c.Write([]byte(text))
		case "flood": // the text again and again, until the client closes the connection
			text, err := strconv.Unquote(arg)
			if err != nil {
				u.t.Errorf("%s: %v", line, err)
			}
			repeat(c, text, 0)
		case "wait":
			d, err := time.ParseDuration(arg)
			if err != nil {
				u.t.Errorf("%s: %v", line, err)
			}
			time.Sleep(d)
		case "reset":
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		default:
			u.t.Errorf("unknown step %q", line)
		}
	}
}

// repeat writes a text until the other side closes the connection, with a pause after each one.
func repeat(c net.Conn, text string, pause time.Duration) {
	block := []byte(text)
	if pause == 0 {
		block = []byte(strings.Repeat(text, 4096/len(text)+1))
	}
	for {
		if _, err := c.Write(block); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

func runScript(t *testing.T, text string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{t: t, lis: lis, done: make(chan struct{})}
	var requests []string
	for _, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case line == "connection":
			u.conns = append(u.conns, nil)
		case strings.HasPrefix(line, "> "):
			requests = append(requests, line[2:])
		default:
			n := len(u.conns) - 1
			u.conns[n] = append(u.conns[n], line)
		}
	}
	go u.serve()
	p := exchange.NewPool(exchange.Config{DialTimeout: time.Second, MaxIdlePerAddr: 4, IdleTimeout: time.Minute, BufferBytes: 64, MaxUndelimitedBytes: 1 << 20})
	for _, line := range requests {
		doRequest(t, p, lis.Addr().String(), line)
	}
	_ = lis.Close()
	p.CloseIdle(lis.Addr().String())
	<-u.done
}

// doRequest sends one request, written as: ID key=value ... -> OUTCOME.
func doRequest(t *testing.T, p *exchange.Pool, addr, line string) {
	spec, want, _ := strings.Cut(line, " -> ")
	words := strings.Fields(spec)
	options := make(map[string]string)
	for _, w := range words[1:] {
		k, v, _ := strings.Cut(w, "=")
		options[k] = v
	}
	if d, err := time.ParseDuration(options["pause"]); err == nil {
		time.Sleep(d)
	}
	id := words[0]
	req := &exchange.Request{
		Addr: addr, Method: "GET", Target: "/" + id, Host: "h", Header: http.Header{"X-Exchange": {id}},
		Deadline: time.Now().Add(2 * time.Second), Match: func(h http.Header) bool { return h.Get("X-Exchange") == id },
	}
	if n, err := strconv.Atoi(options["body"]); err == nil {
		req.Method, req.Body, req.Length = "POST", strings.NewReader(strings.Repeat("x", n)), int64(n)
		if options["chunked"] == "yes" {
			req.Length = -1
		}
		req.ExpectContinue = options["wait"] == "yes"
	}
	if d, err := time.ParseDuration(options["silence"]); err == nil {
		req.InactivityTimeout = d
	}
	if d, err := time.ParseDuration(options["maxidle"]); err == nil {
		req.MaxIdleTime = d
	}
	if got := outcome(p.Do(context.Background(), req)); got != want {
		t.Errorf("request %s: got %s, want %s", line, got, want)
	}
}

func outcome(resp *exchange.Response, err error) string {
	var stageErr *exchange.StageError
	if errors.As(err, &stageErr) {
		return stageErr.Stage.String()
	}
	body := string(resp.Body)
	if resp.Rest != nil {
		rest, err := io.ReadAll(resp.Rest)
		body += string(rest)
		if err != nil {
			body += " cut"
		}
		resp.Close()
	}
	return strings.TrimSpace(strconv.Itoa(resp.Status) + " " + body)
}

// Guards against a request to an upstream that doesn't listen being reported as one
// that may have run.
func TestNothingSent(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := lis.Addr().String()
	is.NoErr(lis.Close())
	p := exchange.NewPool(exchange.Config{DialTimeout: time.Second, BufferBytes: 64, IdleTimeout: time.Minute})
	_, err = p.Do(context.Background(), &exchange.Request{Addr: addr, Method: "GET", Target: "/", Host: "h", Deadline: time.Now().Add(time.Second)})
	var stageErr *exchange.StageError
	is.True(errors.As(err, &stageErr))
	is.Equal(stageErr.Stage, exchange.NotSent)
	is.True(stageErr.ConnectionRefused)
}

// Guards against an upstream that continues to work for a caller that no longer
// waits: the end of the context must close the connection.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed := make(chan time.Time, 1)
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c)
		closed <- time.Now()
		_ = c.Close()
	}()
	p := exchange.NewPool(exchange.Config{DialTimeout: time.Second, BufferBytes: 64, IdleTimeout: time.Minute})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = p.Do(ctx, &exchange.Request{Addr: lis.Addr().String(), Method: "GET", Target: "/", Host: "h", Deadline: time.Now().Add(time.Minute)})
	is.True(errors.Is(err, context.DeadlineExceeded))
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection is still open")
	}
	_ = lis.Close()
}
