package controlplane

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink/coordination/quorum"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

const (
	methodStep = "quorum/step"

	// maxQueue is the number of messages that wait for one host. The log sends
	// again what is dropped.
	maxQueue = 256
	// maxBatch and maxBatchBytes bound one batch; the rpc limit is 8 MiB.
	maxBatch      = 64
	maxBatchBytes = 1 << 20
	// ackTimeout is the longest wait for the acknowledgement of a batch. A
	// connection whose path has gone silent would accept writes for minutes.
	ackTimeout = time.Second
	// redialPause is the wait before a lost connection is opened again.
	redialPause = 100 * time.Millisecond
)

// stepBatch carries messages of the replicated log.
type stepBatch struct {
	Messages []quorum.Message `cbor:"m"`
}

type stepAck struct{}

// Links sends the messages of the replicated log to the other control hosts,
// over one connection to each. It implements quorum.Sender.
type Links struct {
	dial ConnPool
	ctx  context.Context // ends the links; Send has no context
	end  context.CancelFunc

	mu    sync.Mutex
	links map[string]chan quorum.Message
	done  sync.WaitGroup
}

// NewLinks returns links that open connections when they are needed.
func NewLinks(dial ConnPool) *Links {
	ctx, end := context.WithCancel(context.Background())
	return &Links{dial: dial, ctx: ctx, end: end, links: make(map[string]chan quorum.Message)}
}

// Send queues m for its destination. It drops m when the queue is full.
func (l *Links) Send(m quorum.Message) {
	select {
	case l.queue(m.ToAddr) <- m:
	default:
	}
}

// Close ends all links and returns when their connections are closed.
func (l *Links) Close() {
	l.mu.Lock()
	l.end()
	l.mu.Unlock()
	l.done.Wait()
}

func (l *Links) queue(addr string) chan quorum.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.links[addr]
	if !ok {
		q = make(chan quorum.Message, maxQueue)
		l.links[addr] = q
		if l.ctx.Err() == nil {
			l.done.Go(func() { l.run(addr, q) })
		}
	}
	return q
}

// run keeps the link to one host until Close.
func (l *Links) run(addr string, q chan quorum.Message) {
	for {
		select {
		case <-l.ctx.Done():
			return
		case m := <-q:
			l.session(addr, m, q)
		}
		t := time.NewTimer(redialPause)
		select {
		case <-l.ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// session sends over one connection until it is lost.
func (l *Links) session(addr string, first quorum.Message, q chan quorum.Message) {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	conn, err := l.dial.Get(ctx, addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	st, err := conn.NewStream(ctx, methodStep, codec.Encoding{})
	if err != nil {
		return
	}
	g := newAckGuard(func() {
		cancel()
		_ = conn.Close()
	})
	defer g.stop()
	go func() {
		defer cancel()
		for st.MsgRecv(&stepAck{}, codec.Encoding{}) == nil {
			g.acked()
		}
	}()
	for m := first; ; {
		g.sent()
		if err := st.MsgSend(collect(m, q), codec.Encoding{}); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case m = <-q:
		}
	}
}

// collect makes a batch of m and what waits behind it.
func collect(m quorum.Message, q chan quorum.Message) *stepBatch {
	b := &stepBatch{Messages: []quorum.Message{m}}
	for size := messageBytes(m); len(b.Messages) < maxBatch && size < maxBatchBytes; {
		select {
		case m = <-q:
			b.Messages = append(b.Messages, m)
			size += messageBytes(m)
		default:
			return b
		}
	}
	return b
}

func messageBytes(m quorum.Message) int {
	n := len(m.Data)
	for _, e := range m.Entries {
		n += len(e.Data)
	}
	return n
}

// ackGuard ends a connection when a batch is not acknowledged in time.
type ackGuard struct {
	mu      sync.Mutex
	waiting int
	timer   *time.Timer
}

func newAckGuard(lost func()) *ackGuard {
	g := &ackGuard{timer: time.AfterFunc(ackTimeout, lost)}
	g.timer.Stop()
	return g
}

func (g *ackGuard) sent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting++; g.waiting == 1 {
		g.timer.Reset(ackTimeout)
	}
}

func (g *ackGuard) acked() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting--; g.waiting > 0 {
		g.timer.Reset(ackTimeout)
		return
	}
	g.timer.Stop()
}

func (g *ackGuard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer.Stop()
}

// StepMethod returns the name and the handler of the messages of the
// replicated log; receive must not block.
func StepMethod(receive func(quorum.Message)) (string, func(drpc.Stream) error) {
	return methodStep, func(st drpc.Stream) error {
		for {
			var b stepBatch
			if err := st.MsgRecv(&b, codec.Encoding{}); err != nil {
				return err
			}
			for _, m := range b.Messages {
				receive(m)
			}
			if err := st.MsgSend(&stepAck{}, codec.Encoding{}); err != nil {
				return err
			}
		}
	}
}
