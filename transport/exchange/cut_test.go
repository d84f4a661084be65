package exchange_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/transport/exchange"
)

// Guards against a response that ends at any byte of its head or body and looks complete.
func TestResponseCutAnywhereIsNotComplete(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Exchange: a\r\nKeep-Alive: timeout=5\r\nContent-Length: 12\r\n\r\n0123456789ab",
		"empty":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Exchange: a\r\n\r\n",
		"chunked": "HTTP/1.1 200 OK\r\nX-Exchange: a\r\nTransfer-Encoding: chunked\r\n\r\nc\r\n0123456789ab\r\n0\r\n\r\n",
		"interim": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX-Exchange: a\r\nContent-Length: 1\r\n\r\n0",
		"older":   "HTTP/1.0 200 OK\r\nX-Exchange: a\r\nContent-Length: 2\r\n\r\n01",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = lis.Close() }()
			go func() {
				for n := range text {
					c, err := lis.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = c.Write([]byte(text[:n]))
					}
					_ = c.Close()
				}
			}()
			p := exchange.NewPool(exchange.Config{DialTimeout: time.Second, BufferBytes: 64, IdleTimeout: time.Minute})
			for n := range text {
				resp, err := p.Do(context.Background(), &exchange.Request{
					Addr: lis.Addr().String(), Method: "GET", Target: "/", Host: "h", Deadline: time.Now().Add(5 * time.Second),
					Match: func(h http.Header) bool { return h.Get("X-Exchange") == "a" },
				})
				if err == nil {
					t.Errorf("cut after %d of %d bytes: status %d, body %q", n, len(text), resp.Status, resp.Body)
				}
			}
		})
	}
}
