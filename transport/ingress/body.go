package ingress

import (
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// body is the body of a request. It can be read by one goroutine while another
// one answers, and by none after the request.
type body struct {
	w    *response
	rc   io.ReadCloser
	read chan struct{} // closed when the body has been read to its end

	asking sync.Mutex // guards ask and the answer 100
	ask    bool       // the caller sends the body when it gets 100

	mu    sync.Mutex
	count int64
	whole bool
	ended bool
}

var errBodyEnded = errors.New("the body is read after the request has ended")

func newBody(w *response, r *http.Request) *body {
	return &body{w: w, rc: r.Body, read: make(chan struct{}), ask: r.Header.Get("Expect") != ""}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.whole:
		return 0, io.EOF
	case b.ended:
		return 0, errBodyEnded
	}
	if err := b.askFor(); err != nil {
		return 0, err
	}
	n, err := b.rc.Read(p)
	b.count += int64(n)
	if errors.Is(err, io.EOF) {
		b.whole = true
		close(b.read)
	}
	return n, err
}

// askFor tells the caller once to send the body.
func (b *body) askFor() error {
	b.asking.Lock()
	defer b.asking.Unlock()
	if !b.ask {
		return nil
	}
	b.ask = false
	writeStatus(b.w.c.bw, http.StatusContinue)
	_, _ = b.w.c.bw.WriteString("\r\n") // the writer keeps its error
	return b.w.c.bw.Flush()
}

// withdraw tells that the body will not be asked for any more, and reports
// whether it had not been.
func (b *body) withdraw() bool {
	b.asking.Lock()
	defer b.asking.Unlock()
	was := b.ask
	b.ask = false
	return was
}

// Close implements io.Closer.
func (*body) Close() error { return nil }

// skip reads a short rest and reports whether the whole body has been read.
func (b *body) skip() bool {
	unasked := b.withdraw()
	if !b.mu.TryLock() {
		return false // another goroutine waits for more of it
	}
	whole, left := b.whole, b.w.in.ContentLength-b.count
	b.mu.Unlock()
	if whole || unasked || left > skippedBytes {
		return whole
	}
	_, err := io.CopyN(io.Discard, b, skippedBytes+1)
	return errors.Is(err, io.EOF)
}

// end stops a goroutine that still reads the body.
func (b *body) end() {
	if !b.mu.TryLock() {
		_ = b.w.c.nc.SetReadDeadline(longAgo) // the connection ends with this request
		b.mu.Lock()
	}
	b.ended = true
	b.mu.Unlock()
}
