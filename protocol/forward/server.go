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

// Runner runs admitted requests on the local upstream.
type Runner interface {
	// Run calls admitted before any byte reaches the upstream, and not at
	// all when it refuses the request. The body of an answer is closed by
	// the caller.
	Run(ctx context.Context, r *mulberrylink.Request, alone bool, admitted func()) mulberrylink.Result
	// Load returns the current load of the local upstream.
	Load() mulberrylink.Load
}

// ConfigSource returns the newest committed configuration of this node.
type ConfigSource func() (version uint64, data []byte)

// ServerConfig sets up a Server.
type ServerConfig struct {
	Runner Runner
	Config ConfigSource
}

// Server is the admitting node's side.
type Server struct {
	cfg   ServerConfig
	table *table
}

// NewServer returns a server with an empty exchange table.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg, table: newTable(time.Now())}
}

// Handler serves one call.
type Handler = func(st drpc.Stream) error

// Register passes the methods of the protocol to handle.
func (s *Server) Register(handle func(method string, h Handler)) {
	handle(methodExchange, s.exchange)
	handle(methodResolve, s.resolve)
	handle(methodConfig, s.config)
}

// Pending returns the number of exchanges that run or whose result the entry
// node has not acknowledged yet.
func (s *Server) Pending() int { return s.table.pending(time.Now()) }

func (s *Server) exchange(st drpc.Stream) error {
	var f frame
	if err := recvFrame(st, &f); err != nil {
		return err
	}
	if f.Kind != frameOpen {
		return errors.Newf("exchange started with frame kind %d", f.Kind)
	}
	now := time.Now()
	in := newInbound(st, f.Data, f.Last, f.Open.Length)
	key := exchangeKey{id: f.Open.ID, attempt: f.Open.Attempt}
	var cut func()
	if !f.Last {
		cut = in.cutBody
	}
	x, reason := s.table.begin(key, cut, now)
	if x == nil {
		return s.refuse(st, reason)
	}
	in.onBodyEnd = func() { s.table.bodyDone(x) }
	e := &serverExchange{srv: s, st: st, x: x, in: in, req: f.Open.request(now), alone: f.Open.Alone}
	return e.serve()
}

func (s *Server) refuse(st drpc.Stream, reason mulberrylink.Reason) error {
	return sendFrame(st, &frame{
		Kind: frameRefused, Outcome: mulberrylink.NotRun, Reason: reason,
		Load: newLoad(s.cfg.Runner.Load()),
	})
}

// serverExchange is one exchange while its stream is served.
type serverExchange struct {
	srv   *Server
	st    drpc.Stream
	x     *exchange
	in    *inbound
	req   *mulberrylink.Request
	alone bool
}

func (e *serverExchange) serve() error {
	ctx, cancel := context.WithDeadline(context.Background(), e.req.Deadline)
	defer cancel()
	e.in.start(func(g gone) { e.callerGone(g, cancel) })
	stop := e.heartbeats()
	if e.in.hasBody() {
		e.req.Body = e.in
	}
	res := e.srv.cfg.Runner.Run(ctx, e.req, e.alone, e.admitted)
	stop()
	if res.Outcome != mulberrylink.Answered {
		return e.failed(res)
	}
	return e.answer(res)
}

func (e *serverExchange) admitted() {
	// A failed send shows in the receiving goroutine, which decides whether
	// the request goes on.
	_ = sendFrame(e.st, &frame{Kind: frameAdmitted})
}

// callerGone is called when nothing can come from the entry node any more. A
// canceled request ends at once. Otherwise the entry node gets time to resolve
// the exchange over another connection.
func (e *serverExchange) callerGone(g gone, cancel func()) {
	if g == goneAcknowledged {
		e.srv.table.acknowledge(e.x)
		return
	}
	e.endWrites()
	if g == goneCanceled {
		cancel()
		<-e.x.done
		e.srv.table.acknowledge(e.x)
		return
	}
	timer := time.NewTimer(callerSilence)
	defer timer.Stop()
	for {
		select {
		case <-e.x.done:
			return
		case <-timer.C:
		}
		if !e.srv.table.asked(e.x, time.Now()) {
			cancel()
			return
		}
		timer.Reset(callerSilence)
	}
}

// endWrites makes writes to the entry node fail. One that waits for a half-open
// connection or a stopped entry node would otherwise never return: it ends
// callerSilence after the last frame of the entry node.
func (e *serverExchange) endWrites() {
	tr, _ := drpcctx.Transport(e.st.Context())
	if conn, ok := tr.(interface{ SetWriteDeadline(at time.Time) error }); ok {
		_ = conn.SetWriteDeadline(time.Now())
	}
}

func (e *serverExchange) failed(res mulberrylink.Result) error {
	load := newLoad(e.srv.cfg.Runner.Load())
	e.srv.table.end(e.x, resolveReply{
		State: stateFailed, Outcome: res.Outcome, Reason: res.Reason, Load: *load,
	}, time.Now())
	kind := frameFailed
	if res.Outcome == mulberrylink.NotRun {
		kind = frameRefused
	}
	return sendFrame(e.st, &frame{Kind: kind, Outcome: res.Outcome, Reason: res.Reason, Load: load})
}

// heartbeats sends the first heartbeat early, so that an exchange that waits
// for admission is not mistaken for one on a silent connection.
func (e *serverExchange) heartbeats() (stop func()) {
	return beat(e.st, firstBeat)
}

// beat sends heartbeats on st until stop is called. It uses a timer instead of
// a goroutine, because most exchanges end before the first heartbeat.
func beat(st drpc.Stream, first time.Duration) (stop func()) {
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
			timer.Reset(beatInterval)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

// chunkBuffers saves an allocation of a whole chunk for each answer.
var chunkBuffers = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// answer sends the answer and keeps a copy while the entry node has not
// acknowledged it.
func (e *serverExchange) answer(res mulberrylink.Result) error {
	defer func() { _ = res.Answer.Body.Close() }()
	out := &outbound{e: e, head: &answerHead{
		Status: res.Answer.Status, Header: res.Answer.Header, Length: res.Answer.Length,
	}}
	stop := beat(e.st, beatInterval)
	defer stop()
	held, _ := chunkBuffers.Get().(*[chunkBytes]byte)
	defer chunkBuffers.Put(held) // a frame that was sent does not refer to it
	buf := held[:]
	for {
		n, err := readChunk(res.Answer, buf)
		if errors.Is(err, io.EOF) {
			return out.end(buf[:n])
		}
		if err != nil {
			return out.truncated(err)
		}
		out.chunk(buf[:n])
		if out.lost() {
			return out.truncated(errCallerGone)
		}
	}
}

// readChunk fills buf when the length of the answer is known, so that a short
// answer travels as one frame. Otherwise it returns what is there, because the
// upstream may be sending piece by piece.
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
	return f.check()
}
