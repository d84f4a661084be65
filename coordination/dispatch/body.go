package dispatch

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"github.com/mulberrylink/mulberrylink"
)

// body provides the body of a request to each attempt.
type body struct {
	req       *mulberrylink.Request
	consumed  atomic.Bool // a streamed body has been read from
	handedOut bool        // an attempt has been given the body
}

// canResend reports whether another attempt can send the whole body.
func (b *body) canResend() bool {
	return b.req.Body == nil || b.req.Replay != nil || !b.consumed.Load()
}

// canSendConcurrently reports whether two attempts can send the body at the same
// time.
func (b *body) canSendConcurrently() bool { return b.req.Body == nil || b.req.Replay != nil }

// attemptRequest returns a copy of the request for one attempt. It replays a
// buffered body that an earlier attempt was given.
func (b *body) attemptRequest(extraAttempts int) (*mulberrylink.Request, error) {
	r := *b.req
	r.ExtraAttempts += extraAttempts
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

// readTracker records that a streamed body has been read from.
type readTracker struct {
	r        io.Reader
	consumed *atomic.Bool
}

func (t *readTracker) Read(p []byte) (int, error) {
	t.consumed.Store(true)
	return t.r.Read(p)
}

// cancelOnClose is a response body that cancels the context of its attempt when
// it is closed.
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
