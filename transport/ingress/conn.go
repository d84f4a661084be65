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

	"github.com/mulberrylink/mulberrylink/state/memory"
)

// conn is one connection. One goroutine reads its requests, and each request runs in
// its own goroutine.
type conn struct {
	server *Server
	nc     net.Conn
	mem    *memory.Account
	meter  headMeter
	input  io.LimitedReader // its limit applies to headers, and after the last request
	br     *bufio.Reader
	bw     *bufio.Writer // used by the response that is next in order
	cancel context.CancelFunc
	slots  chan struct{} // semaphore that limits the concurrent requests
	// headBytes is what the newest head has taken from mem. The goroutine that reads uses it.
	headBytes int64

	mu           sync.Mutex
	lastResponse *response // the response to the newest request
	inFlight     int       // requests without a complete response
	reading      bool      // the goroutine reads a request and sets the read deadline itself
	closing      bool      // no further requests are accepted
	closedIdle   bool      // it is closed because it was idle; no response is on its way
	idleAt       time.Time // when the connection became idle, zero while it is not
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, cancel: func() {}, slots: make(chan struct{}, maxPipelined), mem: s.cfg.Memory.NewAccount(nil)}
	c.mem.Take(memory.Connections, connBytes)
	c.meter = headMeter{r: nc, mem: c.mem}
	c.input.R = &c.meter
	c.br, c.bw = bufio.NewReader(&c.input), bufio.NewWriter(nc)
	return c
}

// serve reads requests until the connection ends, and waits for their responses.
func (c *conn) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer c.server.remove(c)
	defer c.mem.Close()
	defer func() { _ = c.nc.Close() }() // it may already be closed
	defer cancel()
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()

	previousDone := make(chan struct{}) // closed when all earlier responses are complete
	close(previousDone)
	waitForPrevious := false // the response to the previous request must be complete first
	for {
		r, status, err := c.readRequest()
		if err != nil && status == 0 {
			if !c.isClosing() {
				cancel() // the caller has disconnected
			}
			break
		}
		if waitForPrevious || err != nil || !mayRunConcurrently(r) {
			<-previousDone
		}
		if c.isClosing() {
			break // the previous response was announced as the last one
		}
		if err != nil {
			c.server.cfg.Log.Info().Str("peer", c.nc.RemoteAddr().String()).Int("status", status).Err(err).Msg("rejected an invalid request; closing the connection")
			c.rejectRequest(status)
			break
		}
		waitForPrevious = !mayRunConcurrently(r)
		c.slots <- struct{}{}
		w := c.beginRequest(ctx, r, previousDone)
		if w == nil {
			break
		}
		go w.run()
		previousDone = w.done
		if w.body != nil {
			// The next request can't be read before the end of the body.
			select {
			case <-w.body.complete:
			case <-w.done:
			}
		}
		if r.Close || c.isClosing() {
			break
		}
	}
	c.awaitClose(previousDone, cancel)
}

// awaitClose waits for the last response of a connection from which no further request is
// read. It then closes the write side and keeps reading for up to lingerTimeout. It reads at most
// maxLingerBytes in total; the caller can still read the response when the limit is reached. If the
// caller disconnects before the last response, it cancels the requests.
func (c *conn) awaitClose(lastDone <-chan struct{}, cancel context.CancelFunc) {
	c.mu.Lock()
	closedIdle := c.closedIdle
	c.mu.Unlock()
	if closedIdle {
		return
	}
	c.input.N = maxLingerBytes
	_ = c.nc.SetReadDeadline(time.Time{}) // the next read reports a failure
	callerDisconnected := make(chan struct{})
	go func() {
		if n, err := io.CopyN(io.Discard, c.br, lingerBufferBytes); err == nil && n == lingerBufferBytes {
			if tcp, ok := c.nc.(*net.TCPConn); ok {
				_ = tcp.SetReadBuffer(lingerBufferBytes) // otherwise the kernel receives many MiB more
			}
			_, _ = io.Copy(io.Discard, c.br) // returns when the caller has disconnected or at the limit
		}
		if c.input.N > 0 {
			close(callerDisconnected)
		}
	}()
	select {
	case <-lastDone:
		if halfCloser, ok := c.nc.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() == nil {
			select {
			case <-callerDisconnected:
			case <-time.After(lingerTimeout):
			}
		}
	case <-callerDisconnected:
		cancel()
		<-lastDone
	}
}

// mayRunConcurrently reports whether a request may run concurrently with others of its
// connection. RFC 9112 (9.3.2) allows that only for safe methods. Requests with a body also run
// alone.
func mayRunConcurrently(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return r.Body == http.NoBody
	}
	return false
}

// readRequest reads the next request. With an error, status is the status of the response
// to an invalid request, or 0 when the connection has failed or was closed.
func (c *conn) readRequest() (r *http.Request, status int, err error) {
	c.input.N = math.MaxInt64
	c.mu.Lock()
	c.reading = false
	c.updateReadDeadline()
	c.mu.Unlock()
	if _, err := c.br.Peek(1); err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	c.reading = true
	c.idleAt = time.Time{}
	c.mu.Unlock()
	_ = c.nc.SetReadDeadline(time.Now().Add(headerReadTimeout)) // the next read reports a failure
	c.input.N = maxHeaderBytes
	buffered, _ := c.br.Peek(c.br.Buffered()) // returns no error for bytes that are buffered
	if err = c.meter.begin(buffered); err == nil {
		r, err = http.ReadRequest(c.br)
	}
	c.headBytes = c.meter.end(c.br.Buffered())
	switch {
	case c.meter.refused:
		return nil, http.StatusServiceUnavailable, errNoMemory
	case err != nil && c.input.N <= 0:
		return nil, http.StatusRequestHeaderFieldsTooLarge, errors.Newf("request header exceeds %d bytes", maxHeaderBytes)
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetworkError(err):
		return nil, 0, err
	case err != nil:
		return nil, http.StatusBadRequest, err
	}
	c.input.N = math.MaxInt64
	_ = c.nc.SetReadDeadline(time.Time{})
	if status, err := validateRequest(r); err != nil {
		return nil, status, err
	}
	r.Close = r.Close || !r.ProtoAtLeast(1, 1)
	return r, 0, nil
}

func isNetworkError(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr)
}

// validateRequest makes the checks that http.ReadRequest leaves to the server. With an
// error, it returns the status of the response.
func validateRequest(r *http.Request) (status int, err error) {
	if r.ProtoMajor != 1 {
		return http.StatusHTTPVersionNotSupported, errors.Newf("unsupported protocol %s", r.Proto)
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) || !httpguts.ValidHostHeader(r.Host) {
		return http.StatusBadRequest, errors.Newf("invalid host %q", r.Host)
	}
	for name, values := range r.Header {
		for _, v := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(v) {
				return http.StatusBadRequest, errors.Newf("invalid header %q", name)
			}
		}
	}
	if expect := r.Header.Get("Expect"); expect != "" && !strings.EqualFold(expect, "100-continue") {
		return http.StatusExpectationFailed, errors.Newf("unsupported expectation %q", expect)
	}
	return 0, nil
}

// updateReadDeadline sets the deadline for the arrival of the next request: none while
// requests are in flight, and the idle timeout otherwise. An idle connection that is to be
// closed gets a deadline in the past. c.mu must be held.
func (c *conn) updateReadDeadline() {
	var deadline time.Time
	c.idleAt = time.Time{}
	switch {
	case c.reading:
		return
	case c.inFlight > 0:
	case c.closing || c.server.closing.Load():
		c.closing = true
		deadline = pastDeadline
	default:
		c.idleAt = time.Now()
		deadline = c.idleAt.Add(idleTimeout)
	}
	_ = c.nc.SetReadDeadline(deadline) // the next read reports a failure
}

// pastDeadline is a deadline that interrupts a read at once.
var pastDeadline = time.Now().Add(-time.Second)

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// beginRequest registers a request and returns its response. It returns nil when an earlier
// response has announced the end of the connection; the caller then knows that the request
// was not run.
func (c *conn) beginRequest(ctx context.Context, r *http.Request, previousDone <-chan struct{}) *response {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	w := newResponse(c, r.WithContext(ctx), previousDone)
	w.headBytes = c.headBytes
	c.lastResponse = w
	c.inFlight++
	c.server.inFlight.Add(1)
	return w
}

// endRequest marks a request as complete. If keepAlive is false, the connection accepts no
// further request.
func (c *conn) endRequest(w *response, keepAlive bool) {
	<-w.previousDone // an aborted request may end before earlier ones
	c.mem.Release(memory.Heads, w.headBytes)
	c.mu.Lock()
	c.inFlight--
	c.server.inFlight.Add(-1)
	if !keepAlive {
		c.closing = true
	}
	c.updateReadDeadline()
	c.mu.Unlock()
	<-c.slots
	close(w.done)
}

// isLastResponse reports whether w is the last response of the connection. It marks the
// connection as closing if the caller has asked for that, if the request body was left
// unread, or if the server drains and no newer request has been read.
func (c *conn) isLastResponse(w *response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.req.Close || w.bodyUnread || c.server.draining.Load() && c.lastResponse == w {
		c.closing = true
	}
	return c.closing && c.lastResponse == w
}

// refreshReadDeadline applies a change of c.server.closing, which closes an idle connection.
func (c *conn) refreshReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateReadDeadline()
}

// idleSince returns when the connection became idle, and whether it is.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleAt, !c.idleAt.IsZero()
}

// closeIfIdle closes the connection if it is idle.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idleAt.IsZero() {
		c.closing, c.closedIdle = true, true
		c.updateReadDeadline()
	}
}

// abort closes the connection and cancels its requests at once.
func (c *conn) abort() {
	c.mu.Lock()
	c.closing = true
	cancel := c.cancel
	c.mu.Unlock()
	cancel()
	_ = c.nc.Close() // it may already be closed
}

// rejectRequest responds to an invalid request. All earlier responses are complete by then.
func (c *conn) rejectRequest(status int) {
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	writeStatus(c.bw, status)
	if status == http.StatusServiceUnavailable {
		_, _ = c.bw.WriteString("Retry-After: 1\r\n")
	}
	_, _ = c.bw.WriteString("Connection: close\r\nContent-Length: 0\r\n\r\n")
	_ = c.bw.Flush() // the caller may have disconnected
}
