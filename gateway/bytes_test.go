package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a large response that is cut off while it is relayed, from the upstream beside the
// entry node and from another one.
func TestLargeResponses(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	entry, other := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d2", "archive", 4)
	d.waitReady(entry, other)
	large := strings.Repeat("0123456789abcdef", 4<<16)
	other.upstream.setHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, large) })
	for _, n := range []*node{entry, other} {
		resp := n.send("GET", "/read/1", "large", "")
		is.NoErr(resp.err)
		is.Equal(len(resp.body), len(large))
		is.Equal(resp.body, large)
	}
	waitFor(t, time.Second, "free slots", func() bool { return other.g.Load().Running == 0 })
}

// Guards against an upstream that sends bytes without end and keeps its requests until their
// deadline: an idempotent request must be answered by another upstream, one that runs once must end
// as unknown, and the upstream must then be avoided.
func TestEndlessUpstreamIsLeft(t *testing.T) {
	for name, text := range map[string]string{
		"line": "HTTP/1.1 200 OK\r\nX-Long: ", "interim": "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n", "chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t)
			bad, good := d.addNode("n1", "d1", "archive", 4), d.addNode("n2", "d2", "archive", 4)
			d.waitReady(bad, good)
			waitFor(t, 5*time.Second, "both upstreams known", func() bool { return len(bad.g.ServiceNodes("archive")) == 1 })
			bad.upstream.setHandler(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				block := []byte(text)
				for err == nil {
					_, err = conn.Write(block)
					if name != "interim" {
						block = []byte(strings.Repeat("1", 4096))
					}
				}
			})
			start := time.Now()
			resp := bad.send("GET", "/read/1", "r1", "")
			is.Equal(resp.status, http.StatusOK)
			is.True(strings.HasPrefix(resp.body, "i-n2"))
			is.True(time.Since(start) < time.Second)
			unknown := 0
			for i := range 10 {
				resp := bad.send("POST", "/write/1", fmt.Sprintf("w%d", i), "")
				if resp.status == http.StatusOK {
					is.True(strings.HasPrefix(resp.body, "i-n2"))
					continue
				}
				is.Equal(resp.status, http.StatusBadGateway)
				is.Equal(resp.header.Get("Mulberry-Outcome"), "unknown")
				is.Equal(bad.upstream.runsOf(fmt.Sprintf("w%d", i)), 1)
				unknown++
			}
			is.True(unknown < 10) // the upstream is avoided after its failures
			is.True(time.Since(start) < 2*time.Second)
		})
	}
}

// Guards against a caller that sends a body without end, or byte by byte, and keeps its connection
// and the buffer of its request past its deadline.
func TestEndlessBodyOfACaller(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 4)
	d.waitReady(n)
	for name, c := range map[string]struct {
		chunk  string
		pause  time.Duration
		status int
	}{
		"slow": {"1\r\nx\r\n", 20 * time.Millisecond, http.StatusRequestTimeout},
		"fast": {"8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n", 0, 0},
	} {
		conn, err := net.Dial("tcp", n.outbound)
		is.NoErr(err)
		_, err = fmt.Fprintf(conn, "POST /put/1 HTTP/1.1\r\nHost: shop\r\nTest-Id: %s\r\nTest-Wait: 500\r\nTransfer-Encoding: chunked\r\n\r\n", name)
		is.NoErr(err)
		start := time.Now()
		for err == nil && time.Since(start) < 3*time.Second {
			_, err = io.WriteString(conn, c.chunk)
			time.Sleep(c.pause)
		}
		is.True(err != nil) // the node has closed the connection
		is.True(time.Since(start) < 2*time.Second)
		if c.status == http.StatusRequestTimeout {
			is.Equal(n.upstream.runsOf(name), 0)
		}
		_ = conn.Close()
	}
	waitFor(t, time.Second, "free slots", func() bool { return n.g.Load().Running == 0 })
}

// Guards against an empty success for a caller that has closed its side of the connection while its
// request waited for the first configuration, or in the middle of its body.
func TestNoSuccessForACallerThatLeft(t *testing.T) {
	for name, sent := range map[string]string{
		"no configuration": "GET /read/1 HTTP/1.1\r\nHost: shop\r\n\r\n",
		"half a body":      "POST /write/1 HTTP/1.1\r\nHost: shop\r\nContent-Length: 10\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDeploymentWithoutConfig(t)
			if name != "no configuration" {
				d.configure()
			}
			n := d.addNode("n1", "d1", "archive", 4)
			var conn net.Conn
			waitFor(t, time.Second, "listening node", func() bool {
				var err error
				conn, err = net.Dial("tcp", n.outbound)
				return err == nil
			})
			defer func() { _ = conn.Close() }()
			_, err := io.WriteString(conn, sent)
			is.NoErr(err)
			is.NoErr(conn.(*net.TCPConn).CloseWrite())
			data, err := io.ReadAll(conn)
			is.NoErr(err)
			is.True(!strings.Contains(string(data), " 200 "))
		})
	}
}

// Guards against a caller that gets no response when its body does not end in time, because writing
// the log line failed.
func TestUnfinishedBodyIsAnswered(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 4)
	d.waitReady(n)
	conn, err := net.Dial("tcp", n.outbound)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "POST /write/1 HTTP/1.1\r\nHost: shop\r\nTest-Id: a\r\nTest-Wait: 300\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
	is.NoErr(err) // the rest of the body never comes
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	is.Equal(resp.Header.Get("Mulberry-Outcome"), "notrun")
}
