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
	errBodyCut    = errors.New("request body was cut")
	errBodyLong   = errors.New("request body is longer than its length")
	errCallerGone = errors.New("entry node is not connected")
)

// gone tells why nothing more can come from the entry node.
type gone uint8

const (
	goneLost         gone = iota // the connection is cut or silent
	goneCanceled                 // the caller no longer wants the answer
	goneAcknowledged             // the entry node has the whole result
)

// bodyBuffer is the number of chunks that may wait between the connection and
// the upstream.
const bodyBuffer = 4

// inbound receives the frames of the entry node and is the reader of the
// request's body.
type inbound struct {
	st        drpc.Stream
	length    int64
	onBodyEnd func()

	chunks chan []byte
	cur    []byte
	got    int64

	mu    sync.Mutex
	ended bool  // no chunk is sent any more
	err   error // returned after the last chunk
	cut   chan struct{}
}

func newInbound(st drpc.Stream, first []byte, last bool, length int64) *inbound {
	in := &inbound{
		st: st, length: length,
		chunks: make(chan []byte, bodyBuffer),
		cut:    make(chan struct{}),
	}
	in.put(first)
	if last {
		in.finish(nil)
	}
	return in
}

// hasBody reports whether the upstream needs a body.
func (in *inbound) hasBody() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return !in.ended || in.got > 0
}

// start receives frames until the stream ends and then calls end once.
func (in *inbound) start(end func(gone)) {
	var once sync.Once
	leave := func(g gone) {
		once.Do(func() {
			in.finish(errCallerGone)
			end(g)
		})
	}
	watch := time.AfterFunc(callerSilence, func() { leave(goneLost) })
	go func() {
		defer watch.Stop()
		for {
			watch.Reset(callerSilence)
			var f frame
			err := recvFrame(in.st, &f)
			watch.Stop() // a body that waits for the upstream is not silence
			if errors.Is(err, io.EOF) {
				leave(goneAcknowledged)
				return
			}
			if err != nil {
				leave(goneLost)
				return
			}
			if f.Kind == frameCancel {
				leave(goneCanceled)
				continue
			}
			in.receive(&f)
		}
	}()
}

func (in *inbound) receive(f *frame) {
	switch f.Kind {
	case frameChunk:
		in.put(f.Data)
		if f.Last {
			in.finish(nil)
		}
	case frameBodyEnd:
		in.finish(nil)
	case frameBodyCut:
		in.finish(errBodyCut)
	default: // heartbeats only show that the connection works
	}
}

func (in *inbound) put(b []byte) {
	in.mu.Lock()
	ended := in.ended
	in.mu.Unlock()
	if len(b) == 0 || ended {
		return
	}
	in.got += int64(len(b))
	if in.length >= 0 && in.got > in.length {
		in.finish(errBodyLong)
		return
	}
	select {
	case in.chunks <- b:
	case <-in.cut:
	}
}

// finish ends the body; only the first call counts. A body that is shorter
// than its length ends with an error.
func (in *inbound) finish(err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.ended {
		return
	}
	if err == nil && in.length >= 0 && in.got != in.length {
		err = io.ErrUnexpectedEOF
	}
	in.ended = true
	in.err = err
	if err != nil {
		close(in.cut)
	} else {
		in.err = io.EOF
		close(in.chunks)
	}
	if err == nil && in.onBodyEnd != nil {
		in.onBodyEnd()
	}
}

// cutBody ends a body that cannot be completed. The table calls it under its
// own mutex, so that it must not run onBodyEnd.
func (in *inbound) cutBody() { go in.finish(errCallerGone) }

// Read implements io.Reader.
func (in *inbound) Read(p []byte) (int, error) {
	if len(in.cur) == 0 {
		select {
		case b, ok := <-in.chunks:
			if !ok {
				return 0, io.EOF
			}
			in.cur = b
		case <-in.cut:
			in.mu.Lock()
			defer in.mu.Unlock()
			return 0, in.err
		}
	}
	n := copy(p, in.cur)
	in.cur = in.cur[n:]
	return n, nil
}
