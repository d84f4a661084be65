package dispatch

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"github.com/mulberrylink/mulberrylink"
)

// body hands out the body of a request for each try.
type body struct {
	req      *mulberrylink.Request
	consumed atomic.Bool
	given    bool
}

// again reports whether another try can send the whole body.
func (b *body) again() bool {
	return b.req.Body == nil || b.req.Replay != nil || !b.consumed.Load()
}

// parallel reports whether two tries can run at the same time.
func (b *body) parallel() bool { return b.req.Body == nil || b.req.Replay != nil }

// open returns a copy of the request for one try.
func (b *body) open(extra int) (*mulberrylink.Request, error) {
	r := *b.req
	r.Tries += extra
	switch {
	case r.Body == nil:
	case r.Replay != nil && b.given:
		replay, err := r.Replay()
		if err != nil {
			return nil, err
		}
		r.Body = replay
	case r.Replay == nil:
		r.Body = &onceReader{r: r.Body, consumed: &b.consumed}
	}
	b.given = true
	return &r, nil
}

// onceReader notes that a streamed body has been read from.
type onceReader struct {
	r        io.Reader
	consumed *atomic.Bool
}

func (o *onceReader) Read(p []byte) (int, error) {
	o.consumed.Store(true)
	return o.r.Read(p)
}

// heldBody ends the context of a try when the caller closes the answer.
type heldBody struct {
	io.ReadCloser
	cancel context.CancelFunc
	once   sync.Once
}

func (h *heldBody) Close() error {
	err := h.ReadCloser.Close()
	h.once.Do(h.cancel)
	return err
}
