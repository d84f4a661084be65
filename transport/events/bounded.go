package events

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainTime bounds how long Close waits for a reader that takes nothing.
	drainTime = 200 * time.Millisecond
	// burstSeconds is for how long lines may come at more than their rate: the
	// start of a failure is what explains it.
	burstSeconds = 5
	// keptShare is the share of the burst that is kept for warnings and errors.
	keptShare = 0.5
)

// Limits holds the limits of a BoundedWriter.
type Limits struct {
	// MaxQueued is the number of lines that may wait for a slow reader.
	MaxQueued int
	// LinesPerSecond limits the rate of lines, 0 for no limit.
	LinesPerSecond int
}

// BoundedWriter is a writer that never blocks its callers and whose volume is bounded:
// lines wait in a bounded queue for a reader that may be slow, and are dropped and
// counted when the queue is full or when there are more than the rate allows.
// Warnings and errors are dropped last.
type BoundedWriter struct {
	w       io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
	rate    float64

	mu    sync.Mutex
	spare float64 // lines that may be written at once
	at    time.Time
}

// NewBoundedWriter returns a writer in front of w.
func NewBoundedWriter(w io.Writer, l Limits) *BoundedWriter {
	b := &BoundedWriter{
		w: w, queue: make(chan []byte, l.MaxQueued), done: make(chan struct{}),
		rate: float64(l.LinesPerSecond), spare: burstSeconds * float64(l.LinesPerSecond), at: time.Now(),
	}
	go b.run()
	return b
}

// allows takes a line from the rate.
func (b *BoundedWriter) allows(p []byte) bool {
	if b.rate == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now, burst := time.Now(), burstSeconds*b.rate
	b.spare = min(burst, b.spare+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	least := 1.0
	if !bytes.Contains(p, warning) && !bytes.Contains(p, failure) {
		least += keptShare * burst
	}
	if b.spare < least {
		return false
	}
	b.spare--
	return true
}

var warning, failure = []byte(" level=warn "), []byte(" level=error ")

// Write implements io.Writer. It always succeeds.
func (b *BoundedWriter) Write(p []byte) (int, error) {
	if !b.allows(p) {
		b.dropped.Add(1)
		return len(p), nil
	}
	line := append([]byte(nil), p...)
	select {
	case b.queue <- line:
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were not written.
func (b *BoundedWriter) Dropped() uint64 { return b.dropped.Load() }

func (b *BoundedWriter) run() {
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
func (b *BoundedWriter) Close() {
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
