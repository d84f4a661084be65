package forward

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink"
)

// call is one exchange on the entry node.
type call struct {
	c        *Client
	node     mulberrylink.Node
	conn     drpc.Conn
	st       drpc.Stream
	reused   bool
	id       string
	attempt  int
	deadline time.Time
	opened   time.Time

	frames   atomic.Uint64 // frames received, to recognize a false alarm
	sending  atomic.Bool   // the body is being sent
	watch    *time.Timer
	stopBeat func()
	stopCtx  func() bool

	mu      sync.Mutex
	aborted mulberrylink.Reason // set when the caller has gone
	found   *resolveReply       // what the watchdog found out
	closed  bool
}

func newCall(c *Client, n mulberrylink.Node, conn drpc.Conn, st drpc.Stream, reused bool) *call {
	return &call{c: c, node: n, conn: conn, st: st, reused: reused}
}

// run sends the request and waits for the header of the answer.
func (x *call) run(ctx context.Context, r *mulberrylink.Request, alone bool) mulberrylink.Result {
	body, err := requestBody(r)
	if err != nil {
		x.drop()
		return notRun(x.node, mulberrylink.ReasonBadRequest)
	}
	open, err := openFrame(r, body, x.attempt, alone)
	if err != nil {
		x.drop()
		return notRun(x.node, mulberrylink.ReasonBadRequest)
	}
	x.opened = time.Now()
	x.watch = time.AfterFunc(x.firstLimit(), x.silent)
	x.stopBeat = beat(x.st, beatInterval)
	x.stopCtx = context.AfterFunc(ctx, func() { x.abort(ctx) })
	if err := sendFrame(x.st, open); err != nil {
		return x.recover(ctx)
	}
	return x.await(ctx, body, open.Last)
}

// requestBody returns the body from its start when it can be replayed.
func requestBody(r *mulberrylink.Request) (io.Reader, error) {
	if r.Replay == nil {
		return r.Body, nil
	}
	return r.Replay()
}

// firstLimit returns how long the first frame may take.
func (x *call) firstLimit() time.Duration {
	if x.reused {
		return admitSilence
	}
	return silence
}

// await handles the frames up to the header of the answer.
func (x *call) await(ctx context.Context, body io.Reader, sent bool) mulberrylink.Result {
	limit := x.firstLimit()
	for {
		f, err := x.recv(limit)
		if err != nil {
			return x.recover(ctx)
		}
		limit = silence
		switch f.Kind {
		case frameAdmitted:
			if !sent {
				sent = true
				x.sending.Store(true)
				go x.sendBody(body)
			}
		case frameRefused, frameFailed:
			x.finish()
			return mulberrylink.Result{Outcome: f.Outcome, Reason: f.Reason, Load: f.Load.load(time.Now())}
		case frameAnswer:
			return x.answered(ctx, f)
		case frameHeartbeat:
		default:
			x.drop()
			return unknown(mulberrylink.ReasonLost)
		}
	}
}

func (x *call) answered(ctx context.Context, f *frame) mulberrylink.Result {
	b := &answerBody{x: x, ctx: ctx, cur: f.Data, length: f.Answer.Length, got: int64(len(f.Data))}
	if f.Last {
		b.end()
	}
	return mulberrylink.Result{
		Outcome: mulberrylink.Answered,
		Load:    f.Load.load(time.Now()),
		Answer: &mulberrylink.Answer{
			Status: f.Answer.Status, Header: f.Answer.Header, Length: f.Answer.Length, Body: b,
		},
	}
}

// sendBody sends the body in chunks. A body that cannot be read to its end is
// marked as cut, so that the upstream does not see a complete one.
func (x *call) sendBody(body io.Reader) {
	defer x.sending.Store(false)
	buf := make([]byte, chunkBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if sendFrame(x.st, &frame{Kind: frameChunk, Data: buf[:n]}) != nil {
				return // the receiving side resolves the exchange
			}
		}
		if errors.Is(err, io.EOF) {
			_ = sendFrame(x.st, &frame{Kind: frameBodyEnd})
			return
		}
		if err != nil {
			_ = sendFrame(x.st, &frame{Kind: frameBodyCut})
			return
		}
	}
}

// recv returns the next frame. The watchdog runs only while it waits: a caller
// that reads slowly does not make the connection silent.
func (x *call) recv(limit time.Duration) (*frame, error) {
	x.watch.Reset(limit)
	defer x.watch.Stop()
	var f frame
	if err := recvFrame(x.st, &f); err != nil {
		return nil, err
	}
	x.frames.Add(1)
	return &f, nil
}

// silent is called when no frame came in time. It asks over a new connection.
// When a frame has arrived meanwhile, the connection works after all.
func (x *call) silent() {
	before := x.frames.Load()
	reply, err := x.ask(context.Background(), resolveRequest{Peek: true})
	if err == nil && reply.State == stateRunning && x.reused && before == 0 {
		// The first frame of a reused connection has less time than the
		// others. A slow host gets the rest.
		time.Sleep(silence - admitSilence)
	}
	if x.frames.Load() != before {
		return
	}
	x.mu.Lock()
	if err == nil && reply.State != stateRunning {
		x.found = &reply
	}
	x.mu.Unlock()
	x.c.cfg.Pool.Drop(x.node.Addr)
	closeConn(x.conn)
}

// abort ends the exchange because the caller no longer waits. After a deadline
// the admitting node gets a little time to deliver its own verdict.
func (x *call) abort(ctx context.Context) {
	reason := contextReason(ctx)
	if reason == mulberrylink.ReasonDeadline {
		time.Sleep(verdictGrace)
	}
	x.mu.Lock()
	done := x.closed
	x.aborted = reason
	x.mu.Unlock()
	if done {
		return
	}
	x.sendCancel()
	closeConn(x.conn)
}

// sendCancel tells the admitting node to cancel the upstream's request. It
// does not wait for a connection that takes no more data.
func (x *call) sendCancel() {
	sent := make(chan struct{})
	go func() {
		_ = sendFrame(x.st, &frame{Kind: frameCancel})
		close(sent)
	}()
	timer := time.NewTimer(verdictGrace)
	defer timer.Stop()
	select {
	case <-sent:
	case <-timer.C:
	}
}

// finish acknowledges the result and returns the connection to the pool. A
// body that is still being sent would delay the acknowledgement.
func (x *call) finish() {
	if x.sending.Load() {
		x.sendCancel()
		x.drop()
		return
	}
	if !x.close() {
		return
	}
	if x.st.Close() != nil {
		go closeConn(x.conn)
		return
	}
	x.c.cfg.Pool.Put(x.node.Addr, x.conn)
}

// drop closes the connection of an exchange that did not end cleanly.
func (x *call) drop() {
	if x.close() {
		go closeConn(x.conn)
	}
}

// close stops the timers and reports whether this was the first call.
func (x *call) close() bool {
	if x.stopCtx != nil {
		x.stopCtx()
	}
	if x.stopBeat != nil {
		x.stopBeat()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	first := !x.closed
	x.closed = true
	return first && x.aborted == mulberrylink.ReasonNone
}
