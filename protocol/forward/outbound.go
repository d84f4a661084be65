package forward

import (
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// outbound sends one answer and keeps a copy of a short one.
type outbound struct {
	e        *serverExchange
	head     *answerHead
	sentHead bool
	sendErr  error
	held     []byte
	overflow bool
	total    int64
}

func (o *outbound) chunk(b []byte) {
	o.keep(b)
	o.send(&frame{Kind: frameChunk, Data: b})
}

// lost reports whether nobody can get the rest of the answer: the stream is
// gone and the answer is too long to be held for a resolve.
func (o *outbound) lost() bool { return o.sendErr != nil && o.overflow }

func (o *outbound) end(b []byte) error {
	o.keep(b)
	if o.head.Length >= 0 && o.total != o.head.Length {
		return o.truncated(nil)
	}
	load := newLoad(o.e.srv.cfg.Runner.Load())
	reply := resolveReply{
		State: stateFailed, Outcome: mulberrylink.Unknown,
		Reason: mulberrylink.ReasonTruncated, Load: *load,
	}
	if !o.overflow {
		head := *o.head
		head.Length = int64(len(o.held))
		reply = resolveReply{State: stateAnswered, Answer: &head, Body: o.held, Load: *load}
	}
	o.e.srv.table.end(o.e.x, reply, time.Now())
	o.send(&frame{Kind: frameEnd, Data: b, Last: true, Load: load})
	return o.sendErr
}

// truncated ends an answer whose rest did not come. After the header the
// entry node can only abort; before it the outcome is unknown.
func (o *outbound) truncated(error) error {
	load := newLoad(o.e.srv.cfg.Runner.Load())
	o.e.srv.table.end(o.e.x, resolveReply{
		State: stateFailed, Outcome: mulberrylink.Unknown,
		Reason: mulberrylink.ReasonTruncated, Load: *load,
	}, time.Now())
	if o.sendErr == nil {
		o.sendErr = sendFrame(o.e.st, &frame{
			Kind: frameFailed, Outcome: mulberrylink.Unknown,
			Reason: mulberrylink.ReasonTruncated, Load: load,
		})
	}
	return o.sendErr
}

func (o *outbound) keep(b []byte) {
	o.total += int64(len(b))
	if o.overflow {
		return
	}
	if len(o.held)+len(b) > heldBytes {
		o.overflow = true
		o.held = nil
		return
	}
	o.held = append(o.held, b...)
}

// send turns the first frame into an answer frame with the header.
func (o *outbound) send(f *frame) {
	if o.sendErr != nil {
		return
	}
	if !o.sentHead {
		f.Kind = frameAnswer
		f.Answer = o.head
		o.sentHead = true
	}
	o.sendErr = sendFrame(o.e.st, f)
}
