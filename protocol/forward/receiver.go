package forward

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
)

// Errors of a request body on the admitting node.
var (
	errBodyAborted   = errors.New("request body was aborted by the entry node")
	errBodyTooLong   = errors.New("request body is longer than its declared length")
	errEntryNodeGone = errors.New("entry node is not connected")
)

// endCause says why the entry node sends nothing more on the stream.
type endCause uint8

const (
	endConnLost     endCause = iota // the connection is cut, or nothing arrived in time
	endCanceled                     // the caller no longer waits for the response
	endAcknowledged                 // the entry node has the whole result
)

// maxBufferedChunks is the number of body chunks that are buffered between the
// connection and the upstream.
const maxBufferedChunks = 4

// requestReceiver receives the frames of the entry node. Its Read method returns
// the request body.
type requestReceiver struct {
	stream    drpc.Stream
	length    int64  // -1 when it is unknown
	onBodyEnd func() // called with mu held when the whole body has arrived

	chunks   chan []byte // closed after the last chunk of a complete body
	unread   []byte
	received int64 // number of bytes

	mu      sync.Mutex
	ended   bool          // no more chunks are accepted
	err     error         // the error of Read after the end of the body
	aborted chan struct{} // closed when the body ends with an error
}

func newRequestReceiver(st drpc.Stream, firstChunk []byte, last bool, length int64) *requestReceiver {
	r := &requestReceiver{
		stream: st, length: length,
		chunks:  make(chan []byte, maxBufferedChunks),
		aborted: make(chan struct{}),
	}
	r.putChunk(firstChunk)
	if last {
		r.endBody(nil)
	}
	return r
}

// hasBody reports whether the request has a body, or one may still arrive.
func (r *requestReceiver) hasBody() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended || r.received > 0
}

// start receives frames in the background. It calls end once, when the entry node
// sends nothing more.
func (r *requestReceiver) start(end func(endCause)) {
	var once sync.Once
	endOnce := func(cause endCause) {
		once.Do(func() {
			r.endBody(errEntryNodeGone)
			end(cause)
		})
	}
	watchdog := time.AfterFunc(entryNodeTimeout, func() { endOnce(endConnLost) })
	go func() {
		defer watchdog.Stop()
		for {
			watchdog.Reset(entryNodeTimeout)
			var f frame
			err := recvFrame(r.stream, &f)
			watchdog.Stop() // handleFrame may block until the upstream reads the body
			if errors.Is(err, io.EOF) {
				endOnce(endAcknowledged)
				return
			}
			if err != nil {
				endOnce(endConnLost)
				return
			}
			if f.Kind == frameCancel {
				endOnce(endCanceled)
				continue
			}
			r.handleFrame(&f)
		}
	}()
}

func (r *requestReceiver) handleFrame(f *frame) {
	switch f.Kind {
	case frameChunk:
		r.putChunk(f.Data)
		if f.Last {
			r.endBody(nil)
		}
	case frameBodyEnd:
		r.endBody(nil)
	case frameBodyAborted:
		r.endBody(errBodyAborted)
	default: // a heartbeat only restarts the watchdog
	}
}

func (r *requestReceiver) putChunk(b []byte) {
	r.mu.Lock()
	ended := r.ended
	r.mu.Unlock()
	if len(b) == 0 || ended {
		return
	}
	r.received += int64(len(b))
	if r.length >= 0 && r.received > r.length {
		r.endBody(errBodyTooLong)
		return
	}
	select {
	case r.chunks <- b:
	case <-r.aborted:
	}
}

// endBody ends the body with err, or with io.EOF when err is nil. Only the first
// call has an effect. A body that is shorter than its length ends with an error.
func (r *requestReceiver) endBody(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	if err == nil && r.length >= 0 && r.received != r.length {
		err = io.ErrUnexpectedEOF
	}
	r.ended = true
	r.err = err
	if err != nil {
		close(r.aborted)
	} else {
		r.err = io.EOF
		close(r.chunks)
	}
	if err == nil && r.onBodyEnd != nil {
		r.onBodyEnd()
	}
}

// abortBody ends a body whose rest cannot arrive. The table calls it with its
// mutex held, which a concurrent endBody may be waiting for in onBodyEnd, so
// abortBody must not wait for endBody.
func (r *requestReceiver) abortBody() { go r.endBody(errEntryNodeGone) }

// Read implements io.Reader.
func (r *requestReceiver) Read(p []byte) (int, error) {
	if len(r.unread) == 0 {
		select {
		case b, ok := <-r.chunks:
			if !ok {
				return 0, io.EOF
			}
			r.unread = b
		case <-r.aborted:
			r.mu.Lock()
			defer r.mu.Unlock()
			return 0, r.err
		}
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}
