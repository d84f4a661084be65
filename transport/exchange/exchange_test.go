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

// TestScripts plays the upstreams of testdata against the client. Each file
// names the failure it guards against in its first lines. A script has a part
// for each connection; "> call" lines are made by the test in order, the other
// lines say what the upstream does.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			play(t, string(text))
		})
	}
}

// upstream serves one script: lines for each connection in turn.
type upstream struct {
	t     *testing.T
	lis   net.Listener
	conns [][]string
	done  chan struct{}
}

func (u *upstream) serve() {
	defer close(u.done)
	for _, lines := range u.conns {
		c, err := u.lis.Accept()
		if err != nil {
			return
		}
		u.connection(c, lines)
	}
}

func (u *upstream) connection(c net.Conn, lines []string) {
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

func play(t *testing.T, text string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{t: t, lis: lis, done: make(chan struct{})}
	var calls []string
	for _, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case line == "connection":
			u.conns = append(u.conns, nil)
		case strings.HasPrefix(line, "> "):
			calls = append(calls, line[2:])
		default:
			n := len(u.conns) - 1
			u.conns[n] = append(u.conns[n], line)
		}
	}
	go u.serve()
	p := exchange.NewPool(exchange.Config{DialTimeout: time.Second, MaxIdlePerAddr: 4, IdleTimeout: time.Minute, BufferBytes: 64})
	for _, c := range calls {
		call(t, p, lis.Addr().String(), c)
	}
	_ = lis.Close()
	p.CloseIdle(lis.Addr().String())
	<-u.done
}

// call makes one call, written as: ID key=value ... -> OUTCOME.
func call(t *testing.T, p *exchange.Pool, addr, line string) {
	left, want, _ := strings.Cut(line, " -> ")
	words := strings.Fields(left)
	o := make(map[string]string)
	for _, w := range words[1:] {
		k, v, _ := strings.Cut(w, "=")
		o[k] = v
	}
	if d, err := time.ParseDuration(o["pause"]); err == nil {
		time.Sleep(d)
	}
	id := words[0]
	x := &exchange.Request{
		Addr: addr, Method: "GET", Target: "/" + id, Host: "h", Header: http.Header{"X-Exchange": {id}},
		Deadline: time.Now().Add(2 * time.Second), Match: func(h http.Header) bool { return h.Get("X-Exchange") == id },
	}
	if n, err := strconv.Atoi(o["body"]); err == nil {
		x.Method, x.Body, x.Length = "POST", strings.NewReader(strings.Repeat("x", n)), int64(n)
		if o["chunked"] == "yes" {
			x.Length = -1
		}
		x.ExpectContinue = o["wait"] == "yes"
	}
	if d, err := time.ParseDuration(o["silence"]); err == nil {
		x.InactivityTimeout = d
	}
	if d, err := time.ParseDuration(o["maxidle"]); err == nil {
		x.MaxIdleTime = d
	}
	if got := outcome(p.Do(context.Background(), x)); got != want {
		t.Errorf("call %s: %s, want %s", line, got, want)
	}
}

func outcome(a *exchange.Response, err error) string {
	var f *exchange.StageError
	if errors.As(err, &f) {
		return f.Stage.String()
	}
	body := string(a.Body)
	if a.Rest != nil {
		more, err := io.ReadAll(a.Rest)
		body += string(more)
		if err != nil {
			body += " cut"
		}
		a.Close()
	}
	return strings.TrimSpace(strconv.Itoa(a.Status) + " " + body)
}

// Guards against a request to an upstream that is not there being taken for one
// that may have run.
func TestNothingSent(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := lis.Addr().String()
	is.NoErr(lis.Close())
	p := exchange.NewPool(exchange.Config{DialTimeout: time.Second, BufferBytes: 64, IdleTimeout: time.Minute})
	_, err = p.Do(context.Background(), &exchange.Request{Addr: addr, Method: "GET", Target: "/", Host: "h", Deadline: time.Now().Add(time.Second)})
	var f *exchange.StageError
	is.True(errors.As(err, &f))
	is.Equal(f.Stage, exchange.NotSent)
	is.True(f.ConnectionRefused)
}

// Guards against an upstream that works on for a caller that has left: the end
// of the context must close the connection.
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
