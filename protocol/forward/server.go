package forward

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

// Runner admits requests and runs them on the local upstream.
type Runner interface {
	// Run runs r. It calls admitted before any byte reaches the upstream, and not
	// at all when it rejects the request. The caller closes the body of the
	// response.
	Run(ctx context.Context, r *mulberrylink.Request, alone bool, admitted func()) mulberrylink.Result
	// Load returns the current load of the local upstream.
	Load() mulberrylink.Load
}

// ConfigSource returns the newest committed configuration of this node.
type ConfigSource func() (version uint64, data []byte)

// ServerConfig holds the dependencies of a Server. Config may be nil.
type ServerConfig struct {
	Runner Runner
	Config ConfigSource
}

// Server serves the exchanges of entry nodes on the admitting node.
type Server struct {
	cfg   ServerConfig
	table *exchangeTable
}

// NewServer returns a server with an empty exchange table.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg, table: newExchangeTable(time.Now())}
}

// Handler serves one RPC.
type Handler = func(st drpc.Stream) error

// Register calls handle with each method of the protocol.
func (s *Server) Register(handle func(method string, h Handler)) {
	handle(methodExchange, s.handleExchange)
	handle(methodResolve, s.handleResolve)
	handle(methodConfig, s.handleConfig)
}

// Pending returns the number of exchanges that run or whose result was not
// acknowledged yet.
func (s *Server) Pending() int { return s.table.pending(time.Now()) }

func (s *Server) handleExchange(st drpc.Stream) error {
	var f frame
	if err := recvFrame(st, &f); err != nil {
		return err
	}
	if f.Kind != frameOpen {
		return errors.Newf("exchange started with frame kind %d", f.Kind)
	}
	now := time.Now()
	receiver := newRequestReceiver(st, f.Data, f.Last, f.Open.Length)
	key := exchangeKey{id: f.Open.ID, attempt: f.Open.Attempt}
	var abortBody func()
	if !f.Last {
		abortBody = receiver.abortBody
	}
	record, reason := s.table.begin(key, abortBody, now)
	if record == nil {
		return s.reject(st, reason)
	}
	receiver.onBodyEnd = func() { s.table.setBodyComplete(record) }
	e := &serverExchange{server: s, stream: st, record: record, receiver: receiver, req: f.Open.toRequest(now), alone: f.Open.Alone}
	return e.serve()
}

func (s *Server) reject(st drpc.Stream, reason mulberrylink.Reason) error {
	return sendFrame(st, &frame{
		Kind: frameRejected, Outcome: mulberrylink.NotRun, Reason: reason,
		Load: newLoadMessage(s.cfg.Runner.Load()),
	})
}

// serverExchange is the admitting node's side of an exchange, while its stream is
// served. Its record outlives it.
type serverExchange struct {
	server   *Server
	stream   drpc.Stream
	record   *exchangeRecord
	receiver *requestReceiver
	req      *mulberrylink.Request
	alone    bool
}

func (e *serverExchange) serve() error {
	ctx, cancel := context.WithDeadline(context.Background(), e.req.Deadline)
	defer cancel()
	e.receiver.start(func(cause endCause) { e.onEnd(cause, cancel) })
	stop := e.sendHeartbeats()
	if e.receiver.hasBody() {
		e.req.Body = e.receiver
	}
	res := e.server.cfg.Runner.Run(ctx, e.req, e.alone, e.admitted)
	stop()
	if res.Outcome != mulberrylink.Answered {
		return e.sendFailure(res)
	}
	return e.sendResponse(res)
}

func (e *serverExchange) admitted() {
	// The receiving goroutine sees the failed stream, too, and decides whether the
	// request continues.
	_ = sendFrame(e.stream, &frame{Kind: frameAdmitted})
}

// onEnd is called when the entry node sends nothing more on the stream. A canceled
// request ends at once. When the connection was lost, the request continues as long
// as resolve requests arrive at least every entryNodeTimeout.
func (e *serverExchange) onEnd(cause endCause, cancel func()) {
	if cause == endAcknowledged {
		e.server.table.acknowledge(e.record)
		return
	}
	e.abortWrites()
	if cause == endCanceled {
		cancel()
		<-e.record.done
		e.server.table.acknowledge(e.record)
		return
	}
	timer := time.NewTimer(entryNodeTimeout)
	defer timer.Stop()
	for {
		select {
		case <-e.record.done:
			return
		case <-timer.C:
		}
		if !e.server.table.recentlyResolved(e.record, time.Now()) {
			cancel()
			return
		}
		timer.Reset(entryNodeTimeout)
	}
}

// abortWrites makes writes to the entry node fail. A write to a half-open connection
// or to a stopped entry node would otherwise block forever. Since onEnd calls
// abortWrites, it blocks for at most entryNodeTimeout after the last frame of the
// entry node.
func (e *serverExchange) abortWrites() {
	transport, _ := drpcctx.Transport(e.stream.Context())
	if conn, ok := transport.(interface{ SetWriteDeadline(at time.Time) error }); ok {
		_ = conn.SetWriteDeadline(time.Now())
	}
}

func (e *serverExchange) sendFailure(res mulberrylink.Result) error {
	load := newLoadMessage(e.server.cfg.Runner.Load())
	e.server.table.recordResult(e.record, resolveReply{
		State: stateFailed, Outcome: res.Outcome, Reason: res.Reason, Load: *load,
	}, time.Now())
	kind := frameFailed
	if res.Outcome == mulberrylink.NotRun {
		kind = frameRejected
	}
	return sendFrame(e.stream, &frame{Kind: kind, Outcome: res.Outcome, Reason: res.Reason, Load: load})
}

// sendHeartbeats sends the first heartbeat early, so that the entry node doesn't
// take the wait for admission for a failed connection.
func (e *serverExchange) sendHeartbeats() (stop func()) {
	return startHeartbeats(e.stream, firstHeartbeat)
}

// startHeartbeats sends heartbeats on st until stop is called. It uses a timer
// instead of a goroutine, because most exchanges end before the first heartbeat.
func startHeartbeats(st drpc.Stream, first time.Duration) (stop func()) {
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(first, func() {
		if sendFrame(st, &frame{Kind: frameHeartbeat}) != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			timer.Reset(heartbeatInterval)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

// chunkPool saves the allocation of a chunk for each response.
var chunkPool = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// sendResponse sends the response and records it for a resolve.
func (e *serverExchange) sendResponse(res mulberrylink.Result) error {
	defer func() { _ = res.Answer.Body.Close() }()
	sender := &responseSender{exchange: e, head: &responseHead{
		Status: res.Answer.Status, Header: res.Answer.Header, Length: res.Answer.Length,
	}}
	stop := startHeartbeats(e.stream, heartbeatInterval)
	defer stop()
	array, _ := chunkPool.Get().(*[chunkBytes]byte)
	defer chunkPool.Put(array) // safe: a frame that was sent doesn't refer to the buffer
	buf := array[:]
	for {
		n, err := readChunk(res.Answer, buf)
		if errors.Is(err, io.EOF) {
			return sender.finish(buf[:n])
		}
		if err != nil {
			return sender.truncate(err)
		}
		sender.sendChunk(buf[:n])
		if sender.undeliverable() {
			return sender.truncate(errEntryNodeGone)
		}
	}
}

// readChunk fills buf when the length of the response is known, so that a short
// response is sent as one frame. Otherwise it returns the bytes that have arrived,
// because the upstream may be streaming.
func readChunk(a *mulberrylink.Answer, buf []byte) (int, error) {
	if a.Length < 0 {
		return a.Body.Read(buf)
	}
	n := 0
	for n < len(buf) {
		m, err := a.Body.Read(buf[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func sendFrame(st drpc.Stream, f *frame) error { return st.MsgSend(f, codec.Encoding{}) }

func recvFrame(st drpc.Stream, f *frame) error {
	*f = frame{}
	if err := st.MsgRecv(f, codec.Encoding{}); err != nil {
		return err
	}
	return f.validate()
}
