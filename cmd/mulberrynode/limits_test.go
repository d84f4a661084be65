package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers above the connection limit, or with large headers, that aren't told whether
// their request was run. Guards also against a limit that doesn't bound the number of connections.
func TestLimitsAreAnswered(t *testing.T) {
	is := is.New(t)
	cfg := testSettings("a", "d1")
	cfg.Limits.Connections, cfg.Limits.Header = 2, 4096
	n := startNodeWith(t, newFakeGroup(), cfg, nil)
	announceUpstream(t, n, func(http.ResponseWriter, *http.Request) {})
	send := func(c net.Conn, header string) (int, string) {
		io.WriteString(c, "GET /patterns HTTP/1.1\r\nHost: archive\r\n"+header+"\r\n")
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, ""
		}
		defer resp.Body.Close()
		return resp.StatusCode, resp.Header.Get("Mulberry-Outcome") + " " + resp.Header.Get("Mulberry-Reason")
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", n.front.Addr())
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	conn1, conn2 := dial(), dial()
	for _, c := range []net.Conn{conn1, conn2} {
		status, _ := send(c, "")
		is.Equal(status, 200)
	}
	status, outcome := send(dial(), "")
	is.Equal(status, 503)
	is.Equal(outcome, "notrun busy")
	status, outcome = send(conn1, "X-Long: "+strings.Repeat("x", 8000)+"\r\n")
	is.Equal(status, 431)
	is.Equal(outcome, "notrun toolarge")
	status, outcome = send(conn2, "X-Long: "+strings.Repeat("x", 100_000)+"\r\n")
	is.Equal(status, 431) // sent by net/http
	is.Equal(outcome, " ")
	conn2.Close()
	for range 40 {
		dial() // sends nothing
	}
	time.Sleep(100 * time.Millisecond)
	status, _ = send(dial(), "")
	is.Equal(status, 0) // far above the limit the connection is closed
	status, _ = send(conn1, "")
	is.Equal(status, 200) // connections within the limit stay usable
}
