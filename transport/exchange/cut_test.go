package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
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

// stalledBody is a request body whose first piece is read once the upstream has reset the connection.
type stalledBody struct {
	reset <-chan struct{}
	once  sync.Once
	begun chan struct{} // closed when the first piece has been handed out
}

func (b *stalledBody) Read(p []byte) (int, error) {
	<-b.reset
	b.once.Do(func() { close(b.begun) })
	return len(p), nil
}

// Guards against a response without a length that looks complete although the upstream has reset the
// connection: the write of the request body meets the reset before the read of the response does.
func TestResetMetByTheRequestBodyIsNotTheEnd(t *testing.T) {
	for _, length := range []int64{64 << 20, -1} {
		for name, bufferBytes := range map[string]int{"buffered": 1 << 10, "streamed": 2} {
			t.Run(fmt.Sprintf("%s/%d", name, length), func(t *testing.T) {
				is := is.New(t)
				lis, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				defer func() { _ = lis.Close() }()
				reset, read := make(chan struct{}), make(chan struct{})
				go func() {
					defer close(reset)
					c, err := lis.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Exchange: a\r\n\r\npart"))
					}
					<-read // the response has arrived
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
				}()
				body := &stalledBody{reset: reset, begun: make(chan struct{})}
				p := exchange.NewPool(exchange.Config{DialTimeout: time.Second, BufferBytes: bufferBytes, IdleTimeout: time.Minute})
				resp, err := p.Do(context.Background(), &exchange.Request{
					Addr: lis.Addr().String(), Method: "PUT", Target: "/", Host: "h", Deadline: time.Now().Add(5 * time.Second), Body: body, Length: length,
					Match: func(http.Header) bool {
						close(read)
						<-body.begun
						time.Sleep(20 * time.Millisecond) // lets the write take the error of the socket
						return true
					},
				})
				if err == nil && resp.Rest != nil {
					_, err = io.ReadAll(resp.Rest)
					resp.Close()
				}
				is.True(err != nil) // the part looks like a complete response
			})
		}
	}
}
