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
	c            *conn
	req          *http.Request
	body         *body           // nil when the request has no body
	previousDone <-chan struct{} // closed when the earlier responses of the connection are complete
	done         chan struct{}
	header       http.Header
	headBytes    int64 // what the head of the request has taken from the budget of memory

	status        int   // 0 until the header is written
	contentLength int64 // the announced length of the response body, -1 if unknown
	written       int64
	chunked       bool
	closesConn    bool  // the connection closes after this response
	bodyUnread    bool  // the request body has not been read completely
	writeErr      error // the first error of a write
}

func newResponse(c *conn, r *http.Request, previousDone <-chan struct{}) *response {
	w := &response{c: c, req: r, previousDone: previousDone, done: make(chan struct{}), header: make(http.Header), contentLength: -1}
	r.RemoteAddr = c.nc.RemoteAddr().String()
	if r.Body != http.NoBody {
		w.body = newBody(w, r)
		r.Body = w.body
	}
	return w
}

// run calls the handler and completes the response. If that fails, it aborts the connection.
func (w *response) run() {
	complete := false
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler { //nolint:errorlint // http.ErrAbortHandler is never wrapped
			w.c.server.cfg.Log.Error().Str("path", w.req.URL.Path).Str("panic", fmt.Sprint(p)).Str("stack", string(debug.Stack())).Msg("request handler panicked; closing the connection")
		}
		if w.body != nil {
			w.body.stop()
		}
		if !complete {
			w.c.abort()
		}
		w.c.endRequest(w, complete && !w.closesConn)
	}()
	w.c.server.cfg.Handler(w, w.req)
	complete = w.finish() == nil
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if w.status != 0 {
		return
	}
	<-w.previousDone
	w.extendWriteDeadline()
	bw := w.c.bw
	if status < http.StatusOK {
		w.writeInterim(status)
		return
	}
	w.status = status
	if w.body != nil {
		w.bodyUnread = !w.body.discardRest()
	}
	w.closesConn = w.c.isLastResponse(w)
	writeStatus(bw, status)
	h := w.header
	h.Del("Connection")
	h.Del("Transfer-Encoding")
	switch length, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); {
	case !w.hasBody():
	case err == nil && length >= 0:
		w.contentLength = length
	default:
		h.Del("Content-Length")
		// For an HTTP/1.0 caller, the end of the connection ends the body.
		if w.chunked = w.req.ProtoAtLeast(1, 1); w.chunked {
			h.Set("Transfer-Encoding", "chunked")
		}
	}
	if w.closesConn {
		h.Set("Connection", "close")
	}
	w.recordError(h.Write(bw))
	_, err := bw.WriteString("\r\n")
	w.recordError(err)
}

// writeInterim writes a 1xx response.
func (w *response) writeInterim(status int) {
	writeStatus(w.c.bw, status)
	w.recordError(w.header.Write(w.c.bw))
	_, err := w.c.bw.WriteString("\r\n")
	w.recordError(err)
	w.recordError(w.c.bw.Flush())
}

func (w *response) recordError(err error) {
	if err != nil && w.writeErr == nil {
		w.writeErr = err
	}
}

// hasBody reports whether the response has a body.
func (w *response) hasBody() bool {
	return w.req.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.writeErr != nil {
		return 0, w.writeErr
	}
	if len(p) == 0 || !w.hasBody() {
		return len(p), nil
	}
	if w.contentLength >= 0 && w.written+int64(len(p)) > w.contentLength {
		return 0, http.ErrContentLength
	}
	w.extendWriteDeadline()
	if w.chunked {
		_, err := fmt.Fprintf(w.c.bw, "%x\r\n", len(p))
		w.recordError(err)
	}
	n, err := w.c.bw.Write(p)
	w.recordError(err)
	w.written += int64(n)
	if w.chunked {
		_, err := w.c.bw.WriteString("\r\n")
		w.recordError(err)
	}
	return n, w.writeErr
}

// FlushError sends the buffered data. It is called by http.ResponseController.
func (w *response) FlushError() error {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	w.extendWriteDeadline()
	w.recordError(w.c.bw.Flush())
	return w.writeErr
}

// SetReadDeadline bounds the reading of the request body. It is called by
// http.ResponseController.
func (w *response) SetReadDeadline(deadline time.Time) error {
	return w.c.nc.SetReadDeadline(deadline)
}

// extendWriteDeadline sets the write deadline anew before each write, because an upstream may
// pause within its response.
func (w *response) extendWriteDeadline() {
	_ = w.c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // the next write reports a failure
}

// finish completes the response.
func (w *response) finish() error {
	if w.status == 0 {
		w.header.Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
	}
	w.extendWriteDeadline()
	if w.contentLength > w.written {
		return errors.Newf("response body ended after %d of %d bytes", w.written, w.contentLength)
	}
	if w.chunked {
		_, err := w.c.bw.WriteString("0\r\n\r\n")
		w.recordError(err)
	}
	w.recordError(w.c.bw.Flush())
	return w.writeErr
}

func writeStatus(bw *bufio.Writer, status int) {
	text := http.StatusText(status)
	if text == "" {
		text = "status"
	}
	// Flush returns the first error of these writes.
	_, _ = bw.WriteString("HTTP/1.1 ")
	_, _ = bw.WriteString(strconv.Itoa(status))
	_ = bw.WriteByte(' ')
	_, _ = bw.WriteString(text)
	_, _ = bw.WriteString("\r\n")
}
