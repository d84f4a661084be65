package forward

import (
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// responseSender sends the response of an exchange. It retains a copy of the body
// for a resolve as long as it is at most maxRetainedBytes long.
type responseSender struct {
	exchange *serverExchange
	head     *responseHead
	headSent bool
	sendErr  error
	retained []byte
	overflow bool  // the body is too long to be retained
	total    int64 // bytes of the body so far
}

func (s *responseSender) sendChunk(b []byte) {
	s.retain(b)
	s.send(&frame{Kind: frameChunk, Data: b})
}

// undeliverable reports whether the entry node can't get the rest of the response:
// the stream has failed and the response is too long to be retained for a resolve.
func (s *responseSender) undeliverable() bool { return s.sendErr != nil && s.overflow }

// finish sends the last chunk with the end mark and records the result.
func (s *responseSender) finish(b []byte) error {
	s.retain(b)
	if s.head.Length >= 0 && s.total != s.head.Length {
		return s.truncate(nil)
	}
	load := newLoadMessage(s.exchange.server.cfg.Runner.Load())
	reply := resolveReply{
		State: stateFailed, Outcome: mulberrylink.Unknown,
		Reason: mulberrylink.ReasonTruncated, Load: *load,
	}
	if !s.overflow {
		head := *s.head
		head.Length = int64(len(s.retained))
		reply = resolveReply{State: stateAnswered, Response: &head, Body: s.retained, Load: *load}
	}
	s.exchange.server.table.recordResult(s.exchange.record, reply, time.Now())
	s.send(&frame{Kind: frameResponseEnd, Data: b, Last: true, Load: load})
	return s.sendErr
}

// truncate ends a response that is cut off. An entry node that has already passed
// on the header can only abort its response to the caller; otherwise it reports an
// unknown outcome.
func (s *responseSender) truncate(error) error {
	load := newLoadMessage(s.exchange.server.cfg.Runner.Load())
	s.exchange.server.table.recordResult(s.exchange.record, resolveReply{
		State: stateFailed, Outcome: mulberrylink.Unknown,
		Reason: mulberrylink.ReasonTruncated, Load: *load,
	}, time.Now())
	if s.sendErr == nil {
		s.sendErr = sendFrame(s.exchange.stream, &frame{
			Kind: frameFailed, Outcome: mulberrylink.Unknown,
			Reason: mulberrylink.ReasonTruncated, Load: load,
		})
	}
	return s.sendErr
}

func (s *responseSender) retain(b []byte) {
	s.total += int64(len(b))
	if s.overflow {
		return
	}
	if len(s.retained)+len(b) > maxRetainedBytes {
		s.overflow = true
		s.retained = nil
		return
	}
	s.retained = append(s.retained, b...)
}

// send sends a frame. It turns the first one into a response frame with the header.
func (s *responseSender) send(f *frame) {
	if s.sendErr != nil {
		return
	}
	if !s.headSent {
		f.Kind = frameResponse
		f.Response = s.head
		s.headSent = true
	}
	s.sendErr = sendFrame(s.exchange.stream, f)
}
