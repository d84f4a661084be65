package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/mulberrylink/mulberrylink/state/memory"
)

const (
	// maxInlineBody is the largest body that is sent together with the header,
	// before the response is read.
	maxInlineBody = 2 << 10
	// bodySendGrace is how long a complete response waits for its request body to
	// be sent to the end, so that the connection can be reused.
	bodySendGrace = 2 * time.Millisecond
	// maxMismatched is the number of responses to other requests that are skipped.
	maxMismatched = 3
	// maxMismatchedBytes bounds the body of a skipped response.
	maxMismatchedBytes = 1 << 20
	// maxInterimResponses and maxInterimBytes bound the interim (1xx) responses of one
	// exchange. Another node sends four a second, of about 200 bytes each.
	maxInterimResponses = 10_000
	maxInterimBytes     = 1 << 20
	// maxHeadBytes bounds the head of one response, and with it each of its lines. Parsed,
	// a head of many short lines takes about 16 times its size.
	maxHeadBytes = 64 << 10
	// headFactor is the size of a parsed head of many short lines relative to its bytes.
	headFactor = 16
	// minHeadBytes is the size of a head that counts as a part of the request.
	minHeadBytes = 1 << 10
)

var (
	errMismatched  = errors.New("the response belongs to another request")
	errHeadTooLong = fmt.Errorf("the head of the response exceeds %d bytes", maxHeadBytes)
	errInterim     = errors.New("too many interim responses")
	errStatus      = errors.New("the status of the response is not one of a final response")
	errBody        = errors.New("malformed response body")
	errNotSent     = errors.New("the connection ended before the request was sent to its end")
)

// IsMalformed reports whether an exchange failed because the upstream sent bytes that are no response,
// or ended the connection in the middle of a response. An error of the connection itself doesn't count,
// since the network may have caused it.
func IsMalformed(err error) bool {
	for _, cause := range []error{errMalformedHead, errHeadTooLong, errInterim, errStatus, errBody, io.ErrUnexpectedEOF} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// bodyError marks an error in reading a response body that only its bytes can have caused.
func bodyError(err error) error {
	var netErr net.Error
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) || errors.Is(err, http.ErrBodyReadAfterClose) {
		return err
	}
	return fmt.Errorf("%w: %w", errBody, err)
}

// Do sends a request and reads its response. The error is a *StageError.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	c, err := p.get(ctx, req)
	if err != nil {
		return nil, &StageError{Stage: NotSent, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
	}
	_ = c.SetDeadline(req.Deadline)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	t := &roundTrip{pool: p, conn: c, req: req, ctx: ctx, stopCloseOnCancel: stop, bodySent: make(chan struct{})}
	resp, err := t.do()
	if err != nil {
		t.release(false)
		if ctx.Err() != nil {
			err = fmt.Errorf("%w (%w)", ctx.Err(), err)
		}
		stage := Sent
		if t.responseBegun {
			stage = ResponseBegun
		}
		return nil, &StageError{Stage: stage, Err: err}
	}
	return resp, nil
}

// roundTrip is the state of one exchange on its connection.
type roundTrip struct {
	pool              *Pool
	conn              *conn
	req               *Request
	ctx               context.Context
	stopCloseOnCancel func() bool
	responseBegun     bool

	startBody   func() // starts sendBody on its first call
	bodyStarted bool
	bodySent    chan struct{} // closed when sending of the body has ended; bodyErr is then set
	bodyErr     error
	releaseOnce sync.Once
	reusable    bool
}

func (t *roundTrip) do() (*Response, error) {
	if err := t.writeRequest(); err != nil {
		return nil, err
	}
	resp, err := t.readResponse() //nolint:bodyclose // readBody releases the connection or passes the body on
	if err != nil {
		return nil, err
	}
	return t.readBody(resp)
}

// writeRequest writes the header, and the body if it is short. A longer body is
// sent by sendBody.
func (t *roundTrip) writeRequest() error {
	w, req := t.conn.bw, t.req
	_, _ = w.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if err := req.Header.Write(w); err != nil {
		return err
	}
	hasBody := req.Body != nil && req.Length != 0
	switch {
	case hasBody && req.Length > 0:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(req.Length, 10) + "\r\n")
	case hasBody:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case req.Method != http.MethodGet && req.Method != http.MethodHead:
		_, _ = w.WriteString("Content-Length: 0\r\n")
	}
	if hasBody && req.ExpectContinue {
		_, _ = w.WriteString("Expect: 100-continue\r\n")
	}
	_, _ = w.WriteString("\r\n") // Flush returns the first error of a bufio.Writer
	t.startBody = sync.OnceFunc(func() {
		t.bodyStarted = true
		go t.sendBody()
	})
	switch {
	case !hasBody:
		t.startBody = func() {} // a 100 Continue response may arrive all the same
		close(t.bodySent)
	case !req.ExpectContinue && req.Length > 0 && req.Length <= maxInlineBody:
		t.startBody = func() {}
		if _, err := io.CopyN(w, req.Body, req.Length); err != nil {
			return err
		}
		close(t.bodySent)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if hasBody && !req.ExpectContinue {
		t.startBody()
	}
	return nil
}

// chunkWriter writes each piece of a body of unknown length as one HTTP chunk.
type chunkWriter struct{ w *bufio.Writer }

// Write implements io.Writer.
func (w chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil // an empty chunk would end the body
	}
	_, _ = w.w.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	n, err := w.w.Write(p)
	if err == nil {
		_, err = w.w.WriteString("\r\n")
	}
	return n, err
}

// sendBody streams the body while the response is read. No other goroutine uses
// the connection's writer meanwhile.
func (t *roundTrip) sendBody() {
	defer close(t.bodySent)
	if t.req.Length > 0 {
		_, t.bodyErr = io.CopyN(t.conn.bw, t.req.Body, t.req.Length)
	} else {
		if _, t.bodyErr = io.Copy(chunkWriter{t.conn.bw}, t.req.Body); t.bodyErr == nil {
			_, t.bodyErr = t.conn.bw.WriteString("0\r\n\r\n")
		}
	}
	if t.bodyErr == nil {
		t.bodyErr = t.conn.bw.Flush()
		return
	}
	// Reading the caller's body failed. The connection is closed so that the
	// upstream can't take the part that it received for the whole body.
	if !errors.Is(t.bodyErr, syscall.EPIPE) && !errors.Is(t.bodyErr, syscall.ECONNRESET) {
		_ = t.conn.Close()
	}
}

// readResponse reads the header of the final response to this request. It skips
// interim responses and responses to other requests.
func (t *roundTrip) readResponse() (*http.Response, error) {
	httpReq := &http.Request{Method: t.req.Method}
	interimBytes := int64(0)
	for mismatched, interim := 0, 0; ; {
		if err := t.beginHead(); err != nil {
			t.responseBegun = errors.Is(err, errMalformedHead)
			return nil, err
		}
		t.responseBegun = true
		resp, headBytes, err := t.readHead(httpReq) //nolint:bodyclose // readBody releases the connection or passes the body on
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			t.responseBegun = false
			interimBytes += headBytes
			if interim++; interim > maxInterimResponses || interimBytes > maxInterimBytes {
				return nil, errInterim
			}
			if resp.StatusCode == http.StatusContinue {
				t.startBody()
			}
			if t.req.OnInterim != nil {
				t.req.OnInterim(resp.Header)
			}
			continue
		}
		if resp.StatusCode < http.StatusOK {
			return nil, fmt.Errorf("%w: %d", errStatus, resp.StatusCode)
		}
		if t.req.Match == nil || t.req.Match(resp.Header) {
			t.req.Memory.Take(memory.Heads, max(0, headBytes-minHeadBytes)*headFactor)
			return resp, nil
		}
		if mismatched++; mismatched > maxMismatched || resp.Close {
			return nil, errMismatched
		}
		t.responseBegun = false
		if _, err := io.CopyN(io.Discard, resp.Body, maxMismatchedBytes); !errors.Is(err, io.EOF) {
			return nil, errMismatched
		}
	}
}

// beginHead waits for the first bytes of a response head. From here to the end of readHead, the
// bytes of the upstream are checked as they arrive.
func (t *roundTrip) beginHead() error {
	br := t.conn.br
	buffered, _ := br.Peek(br.Buffered()) // never fails for this length
	if err := t.conn.head.begin(buffered); err != nil {
		return err
	}
	return t.awaitBytes()
}

// awaitBytes waits for the next bytes of the upstream.
func (t *roundTrip) awaitBytes() error {
	t.setInactivityDeadline()
	_, err := t.conn.br.Peek(1)
	if t.req.OnInactivity == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(t.req.Deadline) {
		return err
	}
	t.req.OnInactivity()
	t.req.InactivityTimeout = 0
	if err := t.conn.SetReadDeadline(t.req.Deadline); err != nil {
		return err
	}
	_, err = t.conn.br.Peek(1)
	return err
}

// readHead reads the head of one response and returns its size. The connection's reader
// hands out at most maxHeadBytes meanwhile: an upstream may send a head without end.
func (t *roundTrip) readHead(req *http.Request) (resp *http.Response, size int64, err error) {
	c := t.conn
	before := int64(c.br.Buffered())
	c.input.N = maxHeadBytes
	resp, err = http.ReadResponse(c.br, req)
	consumed := maxHeadBytes - c.input.N
	exceeded := c.input.N <= 0
	c.input.N = math.MaxInt64
	malformed := c.head.end()
	switch {
	case errors.Is(malformed, errMalformedHead):
		return nil, 0, malformed
	case err != nil && exceeded:
		return nil, 0, errHeadTooLong
	case err != nil:
		return nil, 0, err
	case malformed != nil:
		return nil, 0, malformed
	}
	if resp.ContentLength < 0 && t.pool.cfg.MaxUndelimitedBytes > 0 {
		resp.Body = http.MaxBytesReader(nil, resp.Body, t.pool.cfg.MaxUndelimitedBytes)
	}
	return resp, before + consumed - int64(c.br.Buffered()), nil
}

// setInactivityDeadline bounds the wait for the next bytes of the upstream.
func (t *roundTrip) setInactivityDeadline() {
	if t.req.InactivityTimeout <= 0 {
		return
	}
	deadline := time.Now().Add(t.req.InactivityTimeout)
	if deadline.After(t.req.Deadline) {
		deadline = t.req.Deadline
	}
	_ = t.conn.SetReadDeadline(deadline)
}

// readBody reads the first bytes of the body, up to the buffer size of the pool.
// The rest of a longer body is streamed.
func (t *roundTrip) readBody(resp *http.Response) (*Response, error) {
	if t.req.InactivityTimeout > 0 {
		_ = t.conn.SetReadDeadline(t.req.Deadline)
	}
	out := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	buffer := bodyBuffer{mem: t.req.Memory, limit: t.pool.cfg.BufferBytes}
	t.reusable = !resp.Close
	t.conn.setReusableUntil(resp.Header.Get("Keep-Alive"), t.pool.cfg.IdleTimeout)
	buffer.begin(resp.ContentLength)
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		resp.Body = &undelimitedBody{ReadCloser: resp.Body, t: t}
	}
	complete, err := buffer.fill(resp.Body)
	if err != nil {
		return nil, bodyError(err)
	}
	out.Body = buffer.data
	if complete {
		t.release(true)
		return out, nil
	}
	out.Rest = &restReader{t: t, body: resp.Body}
	return out, nil
}

// release returns the connection to the pool, or closes it when it can't be
// reused. complete reports whether the response was read to its end.
func (t *roundTrip) release(complete bool) {
	t.releaseOnce.Do(func() {
		// A false result of stopCloseOnCancel means that the end of the context has closed
		// the connection.
		if !t.stopCloseOnCancel() || !complete || !t.reusable || !t.requestFullySent() || t.conn.br.Buffered() > 0 {
			_ = t.conn.Close()
			return
		}
		t.pool.putIdle(t.conn)
	})
}

// requestFullySent reports whether the whole request was sent. When an upstream
// responds before it has read the body, it would parse the rest of the body as
// the next request on the connection.
func (t *roundTrip) requestFullySent() bool {
	select {
	case <-t.bodySent:
		return t.bodyErr == nil
	default:
	}
	// The response may arrive before sendBody has returned.
	timer := time.NewTimer(bodySendGrace)
	defer timer.Stop()
	select {
	case <-t.bodySent:
		return t.bodyErr == nil
	case <-timer.C:
		return false
	}
}

// undelimitedBody is a response body that ends with its connection. If the upstream resets the
// connection while the request body is being written, the write consumes the error of the socket, and the
// next read returns a plain end of file. The end of the body is therefore the end of the response only
// if the request was sent without an error.
type undelimitedBody struct {
	io.ReadCloser
	t *roundTrip
}

// Read implements io.Reader.
func (b *undelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) || !b.t.bodyStarted {
		return n, err
	}
	select {
	case <-b.t.bodySent:
		if b.t.bodyErr != nil {
			err = fmt.Errorf("%w: %w", errNotSent, b.t.bodyErr)
		}
	case <-b.t.ctx.Done():
		err = b.t.ctx.Err()
	}
	return n, err
}

// restReader streams the part of a response body that Do didn't read.
type restReader struct {
	t    *roundTrip
	body io.ReadCloser
	eof  bool
}

// Read implements io.Reader.
func (r *restReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.eof = true
	}
	return n, bodyError(err)
}

// Close implements io.Closer.
func (r *restReader) Close() error {
	r.t.release(r.eof)
	return nil
}
