package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink"
)

// resetConn is a connection to an upstream that responds at once and resets the connection while the
// request body is being written. The write takes the error, and the read gets a plain end of file.
type resetConn struct {
	net.Conn // never used; panics
	response io.Reader
	head     chan struct{} // closed when the head of the request has been written
	body     chan struct{} // closed when the body is being written
	ended    chan struct{} // closed when the read has got the end of file
}

func (c *resetConn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, []byte("PUT")) {
		close(c.body)
		<-c.ended
		return 0, syscall.ECONNRESET
	}
	close(c.head)
	return len(p), nil
}

func (c *resetConn) Read(p []byte) (int, error) {
	<-c.head
	n, err := c.response.Read(p)
	if err != nil {
		<-c.body
		close(c.ended)
	}
	return n, err
}

func (c *resetConn) Close() error { return nil }

// Guards against a response without a length that looks complete although the upstream has reset the
// connection.
func TestResetMetByTheRequestBodyIsNotTheEnd(t *testing.T) {
	is := is.New(t)
	b := New(Config{})
	b.SetTarget(Target{Addr: "127.0.0.1:1"})
	b.client.Load().transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		return &resetConn{
			response: bytes.NewReader([]byte("HTTP/1.1 200 OK\r\n\r\npart")), head: make(chan struct{}), body: make(chan struct{}), ended: make(chan struct{}),
		}, nil
	}
	res := b.Do(context.Background(), &mulberrylink.Request{
		Service: "archive", Method: http.MethodPut, Path: "/p", Header: http.Header{}, Deadline: time.Now().Add(5 * time.Second),
		Body: bytes.NewReader(make([]byte, 1<<20)), Length: 1 << 20,
	})
	is.Equal(res.Outcome, mulberrylink.Answered)
	_, err := io.ReadAll(res.Answer.Body)
	is.True(err != nil) // the part looks like a complete response
	is.NoErr(res.Answer.Body.Close())
}
