package forward

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink"
)

// ErrTruncated is returned by the body of a response that was cut off.
var ErrTruncated = errors.New("response was truncated")

// responseBody reads the body of a response from the stream of its exchange.
type responseBody struct {
	exchange *clientExchange
	ctx      context.Context //nolint:containedctx // lives as long as the body
	unread   []byte
	length   int64 // -1 when it is unknown
	received int64 // number of bytes
	done     bool  // no more frames are read
	err      error
}

// Read implements io.Reader. It returns io.EOF only after the end mark.
func (b *responseBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 && !b.done {
		b.readFrame()
	}
	if len(b.unread) == 0 {
		return 0, b.err
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close implements io.Closer. It cancels the exchange when not all frames of the
// response have arrived.
func (b *responseBody) Close() error {
	if !b.done {
		b.exchange.sendCancel()
		b.truncate()
	}
	b.unread = nil
	return nil
}

func (b *responseBody) readFrame() {
	f, err := b.exchange.recv(inactivityTimeout)
	if err != nil {
		b.recover()
		return
	}
	switch f.Kind {
	case frameChunk, frameResponseEnd:
		b.unread = f.Data
		b.received += int64(len(f.Data))
		if f.Kind == frameResponseEnd {
			b.complete()
		}
	case frameHeartbeat:
	default:
		b.truncate()
	}
}

// complete handles the end mark.
func (b *responseBody) complete() {
	if b.length >= 0 && b.received != b.length {
		b.truncate()
		return
	}
	b.done = true
	b.err = io.EOF
	b.exchange.acknowledge()
}

func (b *responseBody) truncate() {
	b.done = true
	b.err = ErrTruncated
	b.exchange.dropConn()
}

// recover gets the retained response over a new connection and continues after
// the bytes that have already arrived.
func (b *responseBody) recover() {
	received := b.received
	res := b.exchange.recover(b.ctx)
	if res.Outcome != mulberrylink.Answered {
		b.truncate()
		return
	}
	retained, ok := res.Answer.Body.(*retainedBody)
	if !ok || int64(len(retained.unread)) < received {
		b.truncate()
		return
	}
	b.unread = retained.unread[received:]
	b.done = true
	b.err = io.EOF
}

// retainedBody is the body of a response from a resolve reply.
type retainedBody struct{ unread []byte }

// Read implements io.Reader.
func (b *retainedBody) Read(p []byte) (int, error) {
	if len(b.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *retainedBody) Close() error { return nil }

func retainedResult(reply *resolveReply, now time.Time) mulberrylink.Result {
	return mulberrylink.Result{
		Outcome: mulberrylink.Answered,
		Load:    reply.Load.toLoad(now),
		Answer: &mulberrylink.Answer{
			Status: reply.Response.Status, Header: reply.Response.Header,
			Length: int64(len(reply.Body)), Body: &retainedBody{unread: reply.Body},
		},
	}
}
