package ingress

import (
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// body is the body of a request. One goroutine may read it while another one writes
// the response. Reads fail after the request has ended.
type body struct {
	w        *response
	rc       io.ReadCloser
	complete chan struct{} // closed when the body has been read completely

	continueMu      sync.Mutex // guards continuePending and the writing of the 100 response
	continuePending bool       // the caller waits for 100 Continue before it sends the body

	mu        sync.Mutex
	bytesRead int64
	eof       bool
	stopped   bool
}

var errReadAfterEnd = errors.New("request body read after the request has ended")

func newBody(w *response, r *http.Request) *body {
	return &body{w: w, rc: r.Body, complete: make(chan struct{}), continuePending: r.Header.Get("Expect") != ""}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.eof:
		return 0, io.EOF
	case b.stopped:
		return 0, errReadAfterEnd
	}
	if err := b.sendContinue(); err != nil {
		return 0, err
	}
	n, err := b.rc.Read(p)
	b.bytesRead += int64(n)
	if errors.Is(err, io.EOF) {
		b.eof = true
		close(b.complete)
	}
	return n, err
}

// sendContinue sends 100 Continue if the caller still waits for it.
func (b *body) sendContinue() error {
	b.continueMu.Lock()
	defer b.continueMu.Unlock()
	if !b.continuePending {
		return nil
	}
	b.continuePending = false
	writeStatus(b.w.c.bw, http.StatusContinue)
	_, _ = b.w.c.bw.WriteString("\r\n") // Flush returns the error of the write
	return b.w.c.bw.Flush()
}

// cancelContinue prevents a later 100 Continue. It reports whether the caller was
// still waiting for it.
func (b *body) cancelContinue() bool {
	b.continueMu.Lock()
	defer b.continueMu.Unlock()
	pending := b.continuePending
	b.continuePending = false
	return pending
}

// Close implements io.Closer.
func (*body) Close() error { return nil }

// discardRest discards what is left of the body, unless that is more than
// maxDiscardedBytes or the caller has not been told to send it. It reports whether
// the body has been read completely.
func (b *body) discardRest() bool {
	notContinued := b.cancelContinue()
	if !b.mu.TryLock() {
		return false // another goroutine is blocked in Read
	}
	eof, remaining := b.eof, b.w.req.ContentLength-b.bytesRead
	b.mu.Unlock()
	if eof || notContinued || remaining > maxDiscardedBytes {
		return eof
	}
	_, err := io.CopyN(io.Discard, b, maxDiscardedBytes+1)
	return errors.Is(err, io.EOF)
}

// stop makes further reads fail and interrupts a read in progress.
func (b *body) stop() {
	if !b.mu.TryLock() {
		_ = b.w.c.nc.SetReadDeadline(pastDeadline) // the connection closes after this request
		b.mu.Lock()
	}
	b.stopped = true
	b.mu.Unlock()
}
