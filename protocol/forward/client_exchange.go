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

// clientExchange is the entry node's side of an exchange.
type clientExchange struct {
	client   *Client
	node     mulberrylink.Node
	conn     drpc.Conn
	stream   drpc.Stream
	reused   bool
	id       string
	attempt  int
	deadline time.Time
	openedAt time.Time

	framesReceived atomic.Uint64 // tells onInactivity whether a frame arrived meanwhile
	sending        atomic.Bool   // whether the body is being sent
	watchdog       *time.Timer
	stopHeartbeats func()
	stopCtx        func() bool

	mu          sync.Mutex
	abortReason mulberrylink.Reason // set when the caller no longer waits
	resolved    *resolveReply       // the reply that onInactivity got, when the exchange has ended
	closed      bool
}

func newClientExchange(c *Client, n mulberrylink.Node, conn drpc.Conn, st drpc.Stream, reused bool) *clientExchange {
	return &clientExchange{client: c, node: n, conn: conn, stream: st, reused: reused}
}

// run sends the request and waits for the header of the response.
func (x *clientExchange) run(ctx context.Context, r *mulberrylink.Request, alone bool) mulberrylink.Result {
	body, err := requestBody(r)
	if err != nil {
		x.dropConn()
		return notRunResult(x.node, mulberrylink.ReasonBadRequest)
	}
	open, err := newOpenFrame(r, body, x.attempt, alone)
	if err != nil {
		x.dropConn()
		return notRunResult(x.node, mulberrylink.ReasonBadRequest)
	}
	x.openedAt = time.Now()
	x.watchdog = time.AfterFunc(x.firstFrameTimeout(), x.onInactivity)
	x.stopHeartbeats = startHeartbeats(x.stream, heartbeatInterval)
	x.stopCtx = context.AfterFunc(ctx, func() { x.abort(ctx) })
	if err := sendFrame(x.stream, open); err != nil {
		return x.recover(ctx)
	}
	return x.awaitResponse(ctx, body, open.Last)
}

// requestBody returns the body of r, from its start if it can be replayed.
func requestBody(r *mulberrylink.Request) (io.Reader, error) {
	if r.Replay == nil {
		return r.Body, nil
	}
	return r.Replay()
}

// firstFrameTimeout returns how long to wait for the first frame.
func (x *clientExchange) firstFrameTimeout() time.Duration {
	if x.reused {
		return reusedConnTimeout
	}
	return inactivityTimeout
}

// awaitResponse handles the frames up to the header of the response. bodySent is
// true when the whole body was sent with the open frame.
func (x *clientExchange) awaitResponse(ctx context.Context, body io.Reader, bodySent bool) mulberrylink.Result {
	timeout := x.firstFrameTimeout()
	for {
		f, err := x.recv(timeout)
		if err != nil {
			return x.recover(ctx)
		}
		timeout = inactivityTimeout
		switch f.Kind {
		case frameAdmitted:
			if !bodySent {
				bodySent = true
				x.sending.Store(true)
				go x.sendBody(body)
			}
		case frameRejected, frameFailed:
			x.acknowledge()
			return mulberrylink.Result{Outcome: f.Outcome, Reason: f.Reason, Load: f.Load.toLoad(time.Now())}
		case frameResponse:
			return x.responseResult(ctx, f)
		case frameHeartbeat:
		default:
			x.dropConn()
			return unknownResult(mulberrylink.ReasonLost)
		}
	}
}

// responseResult returns the result for a response frame.
func (x *clientExchange) responseResult(ctx context.Context, f *frame) mulberrylink.Result {
	b := &responseBody{exchange: x, ctx: ctx, unread: f.Data, length: f.Response.Length, received: int64(len(f.Data))}
	if f.Last {
		b.complete()
	}
	return mulberrylink.Result{
		Outcome: mulberrylink.Answered,
		Load:    f.Load.toLoad(time.Now()),
		Answer: &mulberrylink.Answer{
			Status: f.Response.Status, Header: f.Response.Header, Length: f.Response.Length, Body: b,
		},
	}
}

// sendBody sends the body in chunks. When the body can't be read to its end, the
// admitting node is told so, and the upstream doesn't get an incomplete body that
// looks complete.
func (x *clientExchange) sendBody(body io.Reader) {
	defer x.sending.Store(false)
	buf := make([]byte, chunkBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if sendFrame(x.stream, &frame{Kind: frameChunk, Data: buf[:n]}) != nil {
				return // awaitResponse sees the failed stream, too, and resolves the exchange
			}
		}
		if errors.Is(err, io.EOF) {
			_ = sendFrame(x.stream, &frame{Kind: frameBodyEnd})
			return
		}
		if err != nil {
			_ = sendFrame(x.stream, &frame{Kind: frameBodyAborted})
			return
		}
	}
}

// recv returns the next frame. The watchdog runs only while recv waits, because a
// caller that reads the response slowly doesn't mean that the connection failed.
func (x *clientExchange) recv(timeout time.Duration) (*frame, error) {
	x.watchdog.Reset(timeout)
	defer x.watchdog.Stop()
	var f frame
	if err := recvFrame(x.stream, &f); err != nil {
		return nil, err
	}
	x.framesReceived.Add(1)
	return &f, nil
}

// onInactivity is called when no frame arrived in time. It queries the state of
// the exchange over a new connection and then closes the connection of the
// exchange, unless a frame has arrived meanwhile.
func (x *clientExchange) onInactivity() {
	before := x.framesReceived.Load()
	reply, err := x.sendResolve(context.Background(), resolveRequest{Peek: true})
	if err == nil && reply.State == stateRunning && x.reused && before == 0 {
		// The timeout of the first frame on a reused connection is shorter than
		// that of other frames. A slow host gets the rest of the time.
		time.Sleep(inactivityTimeout - reusedConnTimeout)
	}
	if x.framesReceived.Load() != before {
		return
	}
	x.mu.Lock()
	if err == nil && reply.State != stateRunning {
		x.resolved = &reply
	}
	x.mu.Unlock()
	x.client.cfg.Pool.Drop(x.node.Addr)
	closeConn(x.conn)
}

// abort ends the exchange because the caller no longer waits. After a deadline it
// first waits for resultGrace, because the admitting node observes the same
// deadline and its own result may still arrive.
func (x *clientExchange) abort(ctx context.Context) {
	reason := contextReason(ctx)
	if reason == mulberrylink.ReasonDeadline {
		time.Sleep(resultGrace)
	}
	x.mu.Lock()
	closed := x.closed
	x.abortReason = reason
	x.mu.Unlock()
	if closed {
		return
	}
	x.sendCancel()
	closeConn(x.conn)
}

// sendCancel tells the admitting node to cancel the request at the upstream. It
// waits for at most resultGrace, because a write can block on a connection whose
// peer reads nothing.
func (x *clientExchange) sendCancel() {
	sent := make(chan struct{})
	go func() {
		_ = sendFrame(x.stream, &frame{Kind: frameCancel})
		close(sent)
	}()
	timer := time.NewTimer(resultGrace)
	defer timer.Stop()
	select {
	case <-sent:
	case <-timer.C:
	}
}

// acknowledge closes the stream, which tells the admitting node that the whole
// result has arrived, and returns the connection to the pool. While the body is
// still being sent, it cancels the exchange and closes the connection instead,
// because the body would delay the acknowledgement.
func (x *clientExchange) acknowledge() {
	if x.sending.Load() {
		x.sendCancel()
		x.dropConn()
		return
	}
	if !x.close() {
		return
	}
	if x.stream.Close() != nil {
		go closeConn(x.conn)
		return
	}
	x.client.cfg.Pool.Put(x.node.Addr, x.conn)
}

// dropConn closes the connection of an exchange that did not end cleanly.
func (x *clientExchange) dropConn() {
	if x.close() {
		go closeConn(x.conn)
	}
}

// close stops the timers. It reports whether the caller has to release the
// connection: this is the first call, and abort does not release it.
func (x *clientExchange) close() bool {
	if x.stopCtx != nil {
		x.stopCtx()
	}
	if x.stopHeartbeats != nil {
		x.stopHeartbeats()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	first := !x.closed
	x.closed = true
	return first && x.abortReason == mulberrylink.ReasonNone
}
