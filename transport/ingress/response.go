package ingress

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// response implements http.ResponseWriter for one request.
type response struct {
	c      *conn
	in     *http.Request
	body   *body // nil without one
	turn   <-chan struct{}
	done   chan struct{}
	header http.Header

	status  int   // 0 before the header of the answer
	length  int64 // announced, -1 for none
	written int64
	chunked bool
	closes  bool // the connection ends with the answer
	unread  bool // part of the body is still to come
	failed  error
}

func newResponse(c *conn, r *http.Request, turn <-chan struct{}) *response {
	w := &response{c: c, in: r, turn: turn, done: make(chan struct{}), header: make(http.Header), length: -1}
	r.RemoteAddr = c.nc.RemoteAddr().String()
	if r.Body != http.NoBody {
		w.body = newBody(w, r)
		r.Body = w.body
	}
	return w
}

// run serves the request.
func (w *response) run() {
	whole := false
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler { //nolint:errorlint // the value itself is thrown
			w.c.s.cfg.Log.Error().Str("path", w.in.URL.Path).Str("panic", fmt.Sprint(p)).Str("stack", string(debug.Stack())).Msg("request failed with a panic")
		}
		if w.body != nil {
			w.body.end()
		}
		if !whole {
			w.c.abort()
		}
		w.c.end(w, whole && !w.closes)
	}()
	w.c.s.cfg.Handler(w, w.in)
	whole = w.finish() == nil
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if w.status != 0 {
		return
	}
	<-w.turn
	w.extend()
	bw := w.c.bw
	if status < http.StatusOK {
		w.interim(status)
		return
	}
	w.status = status
	if w.body != nil {
		w.unread = !w.body.skip()
	}
	w.closes = w.c.endsWith(w)
	writeStatus(bw, status)
	h := w.header
	h.Del("Connection")
	h.Del("Transfer-Encoding")
	switch announced, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); {
	case !w.hasBody():
	case err == nil && announced >= 0:
		w.length = announced
	default:
		h.Del("Content-Length")
		// To an HTTP/1.0 caller the end of the connection ends the body.
		if w.chunked = w.in.ProtoAtLeast(1, 1); w.chunked {
			h.Set("Transfer-Encoding", "chunked")
		}
	}
	if w.closes {
		h.Set("Connection", "close")
	}
	w.fail(h.Write(bw))
	_, err := bw.WriteString("\r\n")
	w.fail(err)
}

// interim writes an answer that is followed by another one.
func (w *response) interim(status int) {
	writeStatus(w.c.bw, status)
	w.fail(w.header.Write(w.c.bw))
	_, err := w.c.bw.WriteString("\r\n")
	w.fail(err)
	w.fail(w.c.bw.Flush())
}

func (w *response) fail(err error) {
	if err != nil && w.failed == nil {
		w.failed = err
	}
}

// hasBody reports whether the answer has a body.
func (w *response) hasBody() bool {
	return w.in.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.failed != nil {
		return 0, w.failed
	}
	if len(p) == 0 || !w.hasBody() {
		return len(p), nil
	}
	if w.length >= 0 && w.written+int64(len(p)) > w.length {
		return 0, http.ErrContentLength
	}
	w.extend()
	if w.chunked {
		_, err := fmt.Fprintf(w.c.bw, "%x\r\n", len(p))
		w.fail(err)
	}
	n, err := w.c.bw.Write(p)
	w.fail(err)
	w.written += int64(n)
	if w.chunked {
		_, err := w.c.bw.WriteString("\r\n")
		w.fail(err)
	}
	return n, w.failed
}

// FlushError sends what has been written, for http.ResponseController.
func (w *response) FlushError() error {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	w.extend()
	w.fail(w.c.bw.Flush())
	return w.failed
}

// extend allows the next write its time. The one before may be long ago: an
// upstream may pause within its answer.
func (w *response) extend() {
	_ = w.c.nc.SetWriteDeadline(time.Now().Add(writeTime)) // a closed connection shows in the write
}

// finish completes the answer.
func (w *response) finish() error {
	if w.status == 0 {
		w.header.Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
	}
	w.extend()
	if w.length > w.written {
		return errors.Newf("answer ends after %d bytes of %d", w.written, w.length)
	}
	if w.chunked {
		_, err := w.c.bw.WriteString("0\r\n\r\n")
		w.fail(err)
	}
	w.fail(w.c.bw.Flush())
	return w.failed
}

func writeStatus(bw *bufio.Writer, status int) {
	text := http.StatusText(status)
	if text == "" {
		text = "status"
	}
	// The writer keeps its first error.
	_, _ = bw.WriteString("HTTP/1.1 ")
	_, _ = bw.WriteString(strconv.Itoa(status))
	_ = bw.WriteByte(' ')
	_, _ = bw.WriteString(text)
	_, _ = bw.WriteString("\r\n")
}
