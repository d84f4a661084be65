package ingress

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// conn is one connection. Its goroutine reads requests; each request runs in a
// goroutine of its own.
type conn struct {
	s      *Server
	nc     net.Conn
	in     limitedReader
	br     *bufio.Reader
	bw     *bufio.Writer // used by the response whose turn it is
	cancel context.CancelFunc
	slots  chan struct{} // one for each request that runs

	mu      sync.Mutex
	last    *response // the newest request
	open    int       // requests that are not answered yet
	header  bool      // a request is being read
	closing bool      // no more requests are taken
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{s: s, nc: nc, cancel: func() {}, slots: make(chan struct{}, pipelined)}
	c.in.r = nc
	c.br, c.bw = bufio.NewReader(&c.in), bufio.NewWriter(nc)
	return c
}

// serve reads requests until the connection ends, and waits for the answers.
func (c *conn) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer c.s.remove(c)
	defer func() { _ = c.nc.Close() }() // it may have been closed before
	defer cancel()
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()

	turn := make(chan struct{}) // closed when the answers before are complete
	close(turn)
	alone := false // the request before must be answered first
	for {
		r, status, err := c.read()
		if err != nil && status == 0 {
			if !c.isClosing() {
				cancel() // the caller has left
			}
			break
		}
		if alone || err != nil || !mayOverlap(r) {
			<-turn
		}
		if c.isClosing() {
			break // the answer before was announced as the last one
		}
		if err != nil {
			c.s.cfg.Log.Info().Str("peer", c.nc.RemoteAddr().String()).Int("status", status).Err(err).Msg("request not readable")
			c.refuse(status)
			break
		}
		alone = !mayOverlap(r)
		c.slots <- struct{}{}
		w := c.begin(ctx, r, turn)
		if w == nil {
			break
		}
		go w.run()
		turn = w.done
		if w.body != nil {
			// What follows the body cannot be read before it.
			select {
			case <-w.body.read:
			case <-w.done:
			}
		}
		if r.Close || c.isClosing() {
			break
		}
	}
	c.watch(turn, cancel)
}

// watch follows a connection whose last request has been read.
func (c *conn) watch(turn <-chan struct{}, cancel context.CancelFunc) {
	c.in.left = math.MaxInt64
	_ = c.nc.SetReadDeadline(time.Time{}) // a closed connection shows in the read
	left := make(chan struct{})
	go func() {
		defer close(left)
		_, _ = io.Copy(io.Discard, c.br) // ends when the caller has left
	}()
	select {
	case <-turn:
		if w, ok := c.nc.(interface{ CloseWrite() error }); ok && w.CloseWrite() == nil {
			select {
			case <-left:
			case <-time.After(lingerTime):
			}
		}
	case <-left:
		cancel()
		<-turn
	}
}

// mayOverlap reports whether a request may run beside others of its connection.
func mayOverlap(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return r.Body == http.NoBody
	}
	return false
}

// read returns the next request. An error with a status is the caller's fault.
func (c *conn) read() (r *http.Request, status int, err error) {
	c.in.left = math.MaxInt64
	c.mu.Lock()
	c.header = false
	c.setIdle()
	c.mu.Unlock()
	if _, err := c.br.Peek(1); err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	c.header = true
	c.mu.Unlock()
	_ = c.nc.SetReadDeadline(time.Now().Add(headerTime)) // a closed connection shows in the read
	c.in.left = headerBytes
	r, err = http.ReadRequest(c.br)
	switch {
	case err != nil && c.in.left <= 0:
		return nil, http.StatusRequestHeaderFieldsTooLarge, errors.Newf("header is longer than %d bytes", headerBytes)
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNet(err):
		return nil, 0, err
	case err != nil:
		return nil, http.StatusBadRequest, err
	}
	c.in.left = math.MaxInt64
	_ = c.nc.SetReadDeadline(time.Time{})
	if status, err := check(r); err != nil {
		return nil, status, err
	}
	r.Close = r.Close || !r.ProtoAtLeast(1, 1)
	return r, 0, nil
}

func isNet(err error) bool {
	var n net.Error
	return errors.As(err, &n)
}

// check makes the checks that http.ReadRequest leaves to the server.
func check(r *http.Request) (status int, err error) {
	if r.ProtoMajor != 1 {
		return http.StatusHTTPVersionNotSupported, errors.Newf("protocol %s is not served", r.Proto)
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) || !httpguts.ValidHostHeader(r.Host) {
		return http.StatusBadRequest, errors.Newf("host %q is not valid", r.Host)
	}
	for name, values := range r.Header {
		for _, v := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(v) {
				return http.StatusBadRequest, errors.Newf("header %q is not valid", name)
			}
		}
	}
	if e := r.Header.Get("Expect"); e != "" && !strings.EqualFold(e, "100-continue") {
		return http.StatusExpectationFailed, errors.Newf("expectation %q is not met", e)
	}
	return 0, nil
}

// setIdle bounds the wait for the next request; c.mu is held.
func (c *conn) setIdle() {
	var until time.Time
	switch {
	case c.header:
		return
	case c.open > 0:
	case c.closing || c.s.closing.Load():
		c.closing = true
		until = longAgo
	default:
		until = time.Now().Add(idleTime)
	}
	_ = c.nc.SetReadDeadline(until) // a closed connection shows in the read
}

// longAgo as a deadline ends a read at once.
var longAgo = time.Unix(1, 0)

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// begin takes a request, unless an answer has announced the end of the
// connection: the caller knows then that the request was not read.
func (c *conn) begin(ctx context.Context, r *http.Request, turn <-chan struct{}) *response {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	w := newResponse(c, r.WithContext(ctx), turn)
	c.last = w
	c.open++
	c.s.active.Add(1)
	return w
}

// end takes a request as answered. The connection ends with it when keep is
// false.
func (c *conn) end(w *response, keep bool) {
	<-w.turn // an aborted request may be before its turn
	c.mu.Lock()
	c.open--
	c.s.active.Add(-1)
	if !keep {
		c.closing = true
	}
	c.setIdle()
	c.mu.Unlock()
	<-c.slots
	close(w.done)
}

// endsWith reports whether the answer of w is the last one of the connection.
func (c *conn) endsWith(w *response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.in.Close || w.unread || c.s.draining.Load() && c.last == w {
		c.closing = true
	}
	return c.closing && c.last == w
}

// closeUnused ends the connection when no request is open.
func (c *conn) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setIdle()
}

// abort ends the connection and its requests at once.
func (c *conn) abort() {
	c.mu.Lock()
	c.closing = true
	cancel := c.cancel
	c.mu.Unlock()
	cancel()
	_ = c.nc.Close() // it may have been closed before
}

// refuse answers a request that cannot be read. No other answer is open.
func (c *conn) refuse(status int) {
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTime))
	writeStatus(c.bw, status)
	_, _ = c.bw.WriteString("Connection: close\r\nContent-Length: 0\r\n\r\n")
	_ = c.bw.Flush() // the caller may have gone
}

// limitedReader ends the input after left bytes.
type limitedReader struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	l.left -= int64(n)
	return n, err
}
