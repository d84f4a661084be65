package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// inlineBody is the largest body that is sent before the answer is read.
	inlineBody = 2 << 10
	// sendGrace is the wait for the end of a body that the other side has
	// answered already.
	sendGrace = 2 * time.Millisecond
	// maxStray is the number of answers to other requests that are skipped.
	maxStray = 3
	// strayBytes bounds the body of such an answer.
	strayBytes = 1 << 20
	// maxInterim bounds the interim answers of one exchange.
	maxInterim = 10_000
)

var errStray = errors.New("the answer belongs to another request")

// Do sends a request and reads its answer. The error is a *StageError.
func (p *Pool) Do(ctx context.Context, call *Request) (*Response, error) {
	c, err := p.get(ctx, call)
	if err != nil {
		return nil, &StageError{Stage: NotSent, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
	}
	_ = c.SetDeadline(call.Deadline)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	x := &run{pool: p, c: c, call: call, ctx: ctx, stop: stop, sent: make(chan struct{})}
	ans, err := x.run()
	if err != nil {
		x.end(false)
		if ctx.Err() != nil {
			err = fmt.Errorf("%w (%w)", ctx.Err(), err)
		}
		stage := Sent
		if x.begun {
			stage = ResponseBegun
		}
		return nil, &StageError{Stage: stage, Err: err}
	}
	return ans, nil
}

// run is one exchange under way.
type run struct {
	pool  *Pool
	c     *conn
	call  *Request
	ctx   context.Context
	stop  func() bool
	begun bool

	send     func() // sends the body, once
	sent     chan struct{}
	sendErr  error
	endOnce  sync.Once
	reusable bool
}

func (x *run) run() (*Response, error) {
	if err := x.writeHead(); err != nil {
		return nil, err
	}
	resp, err := x.readHead() //nolint:bodyclose // readBody ends the connection or hands the body on
	if err != nil {
		return nil, err
	}
	return x.readBody(resp)
}

func (x *run) writeHead() error {
	w, call := x.c.bw, x.call
	_, _ = w.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if err := call.Header.Write(w); err != nil {
		return err
	}
	body := call.Body != nil && call.Length != 0
	switch {
	case body && call.Length > 0:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(call.Length, 10) + "\r\n")
	case body:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case call.Method != http.MethodGet && call.Method != http.MethodHead:
		_, _ = w.WriteString("Content-Length: 0\r\n")
	}
	if body && call.ExpectContinue {
		_, _ = w.WriteString("Expect: 100-continue\r\n")
	}
	_, _ = w.WriteString("\r\n") // errors of a bufio.Writer show in Flush
	x.send = sync.OnceFunc(func() { go x.sendBody() })
	switch {
	case !body:
		close(x.sent)
	case !call.ExpectContinue && call.Length > 0 && call.Length <= inlineBody:
		x.send = func() {}
		if _, err := io.CopyN(w, call.Body, call.Length); err != nil {
			return err
		}
		close(x.sent)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if body && !call.ExpectContinue {
		x.send()
	}
	return nil
}

// chunks writes each piece of a body of unknown length as a chunk.
type chunks struct{ w *bufio.Writer }

// Write implements io.Writer.
func (c chunks) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil // an empty chunk would end the body
	}
	_, _ = c.w.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	n, err := c.w.Write(p)
	if err == nil {
		_, err = c.w.WriteString("\r\n")
	}
	return n, err
}

// sendBody streams the body while the answer is read. It owns the writer.
func (x *run) sendBody() {
	defer close(x.sent)
	if x.call.Length > 0 {
		_, x.sendErr = io.CopyN(x.c.bw, x.call.Body, x.call.Length)
	} else {
		if _, x.sendErr = io.Copy(chunks{x.c.bw}, x.call.Body); x.sendErr == nil {
			_, x.sendErr = x.c.bw.WriteString("0\r\n\r\n")
		}
	}
	if x.sendErr == nil {
		x.sendErr = x.c.bw.Flush()
		return
	}
	// The body of the caller broke off: the other side must not take what it got
	// for the whole.
	if !errors.Is(x.sendErr, syscall.EPIPE) && !errors.Is(x.sendErr, syscall.ECONNRESET) {
		_ = x.c.Close()
	}
}

// readHead reads up to the final answer of this request.
func (x *run) readHead() (*http.Response, error) {
	req := &http.Request{Method: x.call.Method}
	for stray, interim := 0, 0; ; {
		x.armSilence()
		if _, err := x.c.br.Peek(1); err != nil {
			return nil, err
		}
		x.begun = true
		resp, err := http.ReadResponse(x.c.br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			x.begun = false
			if interim++; interim > maxInterim {
				return nil, errors.New("too many interim answers")
			}
			if resp.StatusCode == http.StatusContinue {
				x.send()
			}
			if x.call.OnInterim != nil {
				x.call.OnInterim(resp.Header)
			}
			continue
		}
		if x.call.Match == nil || x.call.Match(resp.Header) {
			return resp, nil
		}
		if stray++; stray > maxStray || resp.Close {
			return nil, errStray
		}
		x.begun = false
		if _, err := io.CopyN(io.Discard, resp.Body, strayBytes); !errors.Is(err, io.EOF) {
			return nil, errStray
		}
	}
}

// armSilence bounds the wait for the next sign of the other side.
func (x *run) armSilence() {
	if x.call.InactivityTimeout <= 0 {
		return
	}
	at := time.Now().Add(x.call.InactivityTimeout)
	if at.After(x.call.Deadline) {
		at = x.call.Deadline
	}
	_ = x.c.SetReadDeadline(at)
}

// readBody reads the first bytes, mostly all.
func (x *run) readBody(resp *http.Response) (*Response, error) {
	if x.call.InactivityTimeout > 0 {
		_ = x.c.SetReadDeadline(x.call.Deadline)
	}
	a := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	x.reusable = !resp.Close
	x.c.keepFor(resp.Header.Get("Keep-Alive"), x.pool.cfg.IdleTimeout)
	limit := x.pool.cfg.BufferBytes
	if resp.ContentLength > 0 {
		a.Body = make([]byte, 0, min(int64(limit), resp.ContentLength)+1)
	}
	for len(a.Body) < limit {
		if len(a.Body) == cap(a.Body) {
			a.Body = append(a.Body, 0)[:len(a.Body)]
		}
		n, err := resp.Body.Read(a.Body[len(a.Body):cap(a.Body)])
		a.Body = a.Body[:len(a.Body)+n]
		if errors.Is(err, io.EOF) {
			x.end(true)
			return a, nil
		}
		if err != nil {
			return nil, err
		}
	}
	a.Rest = &rest{x: x, body: resp.Body}
	return a, nil
}

// end gives the connection back, or closes it when it cannot be used again.
func (x *run) end(complete bool) {
	x.endOnce.Do(func() {
		// A false result of stop means that the context has closed the connection.
		if !x.stop() || !complete || !x.reusable || !x.wholeBodySent() || x.c.br.Buffered() > 0 {
			_ = x.c.Close()
			return
		}
		x.pool.put(x.c)
	})
}

// wholeBodySent reports whether the other side has got the whole request. The
// rest of a body that it did not wait for would be taken for the next request.
func (x *run) wholeBodySent() bool {
	select {
	case <-x.sent:
		return x.sendErr == nil
	default:
	}
	// The answer may overtake the sender's last steps.
	timer := time.NewTimer(sendGrace)
	defer timer.Stop()
	select {
	case <-x.sent:
		return x.sendErr == nil
	case <-timer.C:
		return false
	}
}

// rest streams what Do did not read.
type rest struct {
	x    *run
	body io.ReadCloser
	done bool
}

// Read implements io.Reader.
func (r *rest) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.done = true
	}
	return n, err
}

// Close implements io.Closer.
func (r *rest) Close() error {
	r.x.end(r.done)
	return nil
}
