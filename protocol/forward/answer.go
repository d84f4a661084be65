package forward

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink"
)

// ErrTruncated is returned by the body of an answer whose rest did not come.
var ErrTruncated = errors.New("answer was truncated")

// answerBody reads the body of an answer from its stream.
type answerBody struct {
	x      *call
	ctx    context.Context //nolint:containedctx // lives as long as the body
	cur    []byte
	length int64
	got    int64
	done   bool
	err    error
}

// Read implements io.Reader. It returns io.EOF only after the end mark.
func (b *answerBody) Read(p []byte) (int, error) {
	for len(b.cur) == 0 && !b.done {
		b.next()
	}
	if len(b.cur) == 0 {
		return 0, b.err
	}
	n := copy(p, b.cur)
	b.cur = b.cur[n:]
	return n, nil
}

// Close implements io.Closer. It cancels an answer that was not read to its
// end.
func (b *answerBody) Close() error {
	if !b.done {
		b.x.sendCancel()
		b.fail()
	}
	b.cur = nil
	return nil
}

func (b *answerBody) next() {
	f, err := b.x.recv(silence)
	if err != nil {
		b.recover()
		return
	}
	switch f.Kind {
	case frameChunk, frameEnd:
		b.cur = f.Data
		b.got += int64(len(f.Data))
		if f.Kind == frameEnd {
			b.end()
		}
	case frameHeartbeat:
	default:
		b.fail()
	}
}

// end handles the end mark.
func (b *answerBody) end() {
	if b.length >= 0 && b.got != b.length {
		b.fail()
		return
	}
	b.done = true
	b.err = io.EOF
	b.x.finish()
}

func (b *answerBody) fail() {
	b.done = true
	b.err = ErrTruncated
	b.x.drop()
}

// recover fetches the held answer over a new connection and continues where
// the first connection stopped.
func (b *answerBody) recover() {
	got := b.got
	res := b.x.recover(b.ctx)
	if res.Outcome != mulberrylink.Answered {
		b.fail()
		return
	}
	held, ok := res.Answer.Body.(*heldBody)
	if !ok || int64(len(held.rest)) < got {
		b.fail()
		return
	}
	b.cur = held.rest[got:]
	b.done = true
	b.err = io.EOF
}

// heldBody is an answer that came with a resolve reply.
type heldBody struct{ rest []byte }

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *heldBody) Close() error { return nil }

func heldAnswer(reply *resolveReply, now time.Time) mulberrylink.Result {
	return mulberrylink.Result{
		Outcome: mulberrylink.Answered,
		Load:    reply.Load.load(now),
		Answer: &mulberrylink.Answer{
			Status: reply.Answer.Status, Header: reply.Answer.Header,
			Length: int64(len(reply.Body)), Body: &heldBody{rest: reply.Body},
		},
	}
}
