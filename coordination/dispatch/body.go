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
	req       *mulberrylink.Request
	consumed  atomic.Bool
	handedOut bool
}

// again reports whether another try can send the whole body.
func (b *body) canResend() bool {
	return b.req.Body == nil || b.req.Replay != nil || !b.consumed.Load()
}

// parallel reports whether two tries can run at the same time.
func (b *body) canSendConcurrently() bool { return b.req.Body == nil || b.req.Replay != nil }

// open returns a copy of the request for one try.
func (b *body) attemptRequest(extraAttempts int) (*mulberrylink.Request, error) {
	r := *b.req
	r.Tries += extraAttempts
	switch {
	case r.Body == nil:
	case r.Replay != nil && b.handedOut:
		replay, err := r.Replay()
		if err != nil {
			return nil, err
		}
		r.Body = replay
	case r.Replay == nil:
		r.Body = &readTracker{r: r.Body, consumed: &b.consumed}
	}
	b.handedOut = true
	return &r, nil
}

// onceReader notes that a streamed body has been read from.
type readTracker struct {
	r        io.Reader
	consumed *atomic.Bool
}

func (t *readTracker) Read(p []byte) (int, error) {
	t.consumed.Store(true)
	return t.r.Read(p)
}

// heldBody ends the context of a try when the caller closes the answer.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
	once   sync.Once
}

func (c *cancelOnClose) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.cancel)
	return err
}
