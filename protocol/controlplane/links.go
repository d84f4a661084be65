package controlplane

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink/coordination/quorum"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

const (
	methodStep = "quorum/step"

	// maxQueuedMessages bounds the queue of one host. The log resends dropped messages.
	maxQueuedMessages = 256
	// maxBatchMessages and maxBatchBytes bound one batch. The limit of the rpc package is 8 MiB.
	maxBatchMessages = 64
	maxBatchBytes    = 1 << 20
	// ackTimeout is the maximum wait for the acknowledgement of a batch. Without it, a connection
	// whose peer is unreachable would accept writes for minutes.
	ackTimeout = time.Second
	// redialDelay is the delay before a lost connection is opened again.
	redialDelay = 100 * time.Millisecond
	// idleLinkTimeout is how long a host without messages keeps its queue and its connection. A
	// member gets some several times a second.
	idleLinkTimeout = 30 * time.Second
)

var errBatchTooLarge = errors.New("the batch has too many messages")

// stepBatch is a batch of messages of the replicated log.
type stepBatch struct {
	Messages []quorum.Message `cbor:"m"`
}

type stepAck struct{}

// Links sends the messages of the replicated log to the other control hosts, over one connection to
// each host. It implements quorum.Sender.
type Links struct {
	pool   ConnPool
	ctx    context.Context // canceled by Close; a field because Send has no context parameter
	cancel context.CancelFunc

	idleTimeout time.Duration

	mu     sync.Mutex
	queues map[string]chan quorum.Message
	wg     sync.WaitGroup
}

// NewLinks returns Links that open a connection to a host with the first message for it.
func NewLinks(pool ConnPool) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	return &Links{pool: pool, ctx: ctx, cancel: cancel, idleTimeout: idleLinkTimeout, queues: make(map[string]chan quorum.Message)}
}

// Send queues m for its destination and does not block. It drops m if the queue is full.
func (l *Links) Send(m quorum.Message) {
	l.mu.Lock() // run does not remove the queue meanwhile
	defer l.mu.Unlock()
	select {
	case l.queueFor(m.ToAddr) <- m:
	default:
	}
}

// Close stops sending and returns when all connections are closed.
func (l *Links) Close() {
	l.mu.Lock()
	l.cancel()
	l.mu.Unlock()
	l.wg.Wait()
}

// queueFor returns the queue of a host. The caller holds mu.
func (l *Links) queueFor(addr string) chan quorum.Message {
	q, ok := l.queues[addr]
	if !ok {
		q = make(chan quorum.Message, maxQueuedMessages)
		l.queues[addr] = q
		if l.ctx.Err() == nil {
			l.wg.Go(func() { l.run(addr, q) })
		}
	}
	return q
}

// run sends the queued messages for one host until Close, or until there has been none for
// idleTimeout.
func (l *Links) run(addr string, q chan quorum.Message) {
	for {
		m, ok := l.next(addr, q)
		if !ok {
			return
		}
		l.runConn(addr, m, q)
		t := time.NewTimer(redialDelay)
		select {
		case <-l.ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// next waits for the next message of a queue. It removes the queue after idleTimeout.
func (l *Links) next(addr string, q chan quorum.Message) (m quorum.Message, ok bool) {
	t := time.NewTimer(l.idleTimeout)
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return m, false
		case m = <-q:
			return m, true
		case <-t.C:
		}
		l.mu.Lock()
		if len(q) == 0 {
			delete(l.queues, addr)
			l.mu.Unlock()
			return m, false
		}
		l.mu.Unlock()
	}
}

// runConn sends messages, starting with first, over one connection until the connection is lost or
// there has been no message for idleTimeout.
func (l *Links) runConn(addr string, first quorum.Message, q chan quorum.Message) {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	conn, err := l.pool.Get(ctx, addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	st, err := conn.NewStream(ctx, methodStep, codec.Encoding{})
	if err != nil {
		return
	}
	watchdog := newAckWatchdog(func() {
		cancel()
		_ = conn.Close()
	})
	defer watchdog.stop()
	go func() {
		defer cancel()
		for st.MsgRecv(&stepAck{}, codec.Encoding{}) == nil {
			watchdog.batchAcked()
		}
	}()
	idle := time.NewTimer(l.idleTimeout)
	defer idle.Stop()
	for m := first; ; {
		watchdog.batchSent()
		if err := st.MsgSend(collectBatch(m, q), codec.Encoding{}); err != nil {
			return
		}
		idle.Reset(l.idleTimeout)
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			return
		case m = <-q:
		}
	}
}

// collectBatch returns a batch of m and the messages that are queued after it.
func collectBatch(m quorum.Message, q chan quorum.Message) *stepBatch {
	b := &stepBatch{Messages: []quorum.Message{m}}
	for size := messageBytes(m); len(b.Messages) < maxBatchMessages && size < maxBatchBytes; {
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

// ackWatchdog closes a connection if a batch is not acknowledged within ackTimeout.
type ackWatchdog struct {
	mu      sync.Mutex
	unacked int
	timer   *time.Timer
}

func newAckWatchdog(onTimeout func()) *ackWatchdog {
	w := &ackWatchdog{timer: time.AfterFunc(ackTimeout, onTimeout)}
	w.timer.Stop()
	return w
}

func (w *ackWatchdog) batchSent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unacked++; w.unacked == 1 {
		w.timer.Reset(ackTimeout)
	}
}

func (w *ackWatchdog) batchAcked() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unacked--; w.unacked > 0 {
		w.timer.Reset(ackTimeout)
		return
	}
	w.timer.Stop()
}

func (w *ackWatchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

// StepMethod returns the name and the handler of the RPC method that receives messages of the
// replicated log. The function receive must not block.
func StepMethod(receive func(quorum.Message)) (string, func(drpc.Stream) error) {
	return methodStep, func(st drpc.Stream) error {
		for {
			var b stepBatch
			if err := st.MsgRecv(&b, codec.Encoding{}); err != nil {
				return err
			}
			if len(b.Messages) > maxBatchMessages {
				return errBatchTooLarge
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
