package events

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// drainTime bounds how long Close waits for a reader that takes nothing.
const drainTime = 200 * time.Millisecond

// Bounded is a writer that never blocks its callers: lines wait in a bounded
// queue for a reader that may be slow, and are dropped and counted when the
// queue is full.
type Bounded struct {
	w       io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// NewBounded returns a writer in front of w that holds at most so many lines.
func NewBounded(w io.Writer, lines int) *Bounded {
	b := &Bounded{w: w, queue: make(chan []byte, lines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer. It always succeeds.
func (b *Bounded) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case b.queue <- line:
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that found the queue full.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

func (b *Bounded) run() {
	defer close(b.done)
	told := uint64(0)
	for line := range b.queue {
		if len(line) == 0 {
			return
		}
		// An error of the log has nowhere to go.
		_, _ = b.w.Write(line)
		if n := b.dropped.Load(); n != told {
			told = n
			_, _ = fmt.Fprintf(b.w, "time=%s level=warn event=%q dropped=%d\n",
				time.Now().Format("2006-01-02T15:04:05.000Z07:00"), "log lines dropped", n)
		}
	}
}

// Close writes what waits, for at most drainTime.
func (b *Bounded) Close() {
	b.once.Do(func() {
		timer := time.NewTimer(drainTime)
		defer timer.Stop()
		select {
		case b.queue <- nil:
		case <-timer.C:
			return
		}
		select {
		case <-b.done:
		case <-timer.C:
		}
	})
}
