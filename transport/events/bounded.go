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
	// closeTimeout limits how long Close waits for a stalled reader of the log.
	closeTimeout = 200 * time.Millisecond
	// burstSeconds is the size of a burst in seconds at the permitted rate. Bursts are
	// allowed because the first lines of a failure are the ones that explain it.
	burstSeconds = 5
	// reservedShare is the share of the burst that is reserved for warnings and errors.
	reservedShare = 0.5
)

// Limits holds the limits of a BoundedWriter.
type Limits struct {
	// MaxQueued is the number of lines that may wait for a slow reader.
	MaxQueued int
	// LinesPerSecond limits the rate of lines, 0 for no limit.
	LinesPerSecond int
}

// BoundedWriter is a writer that never blocks its callers and limits the volume of the
// log. Lines wait in a bounded queue for a reader that may be slow. They are dropped and
// counted when the queue is full or the rate limit is exceeded. The rate limit drops
// warnings and errors last.
type BoundedWriter struct {
	w         io.Writer
	queue     chan []byte
	dropped   atomic.Uint64
	done      chan struct{}
	closeOnce sync.Once
	rate      float64

	mu         sync.Mutex
	tokens     float64 // token bucket: the number of lines that may be written now
	lastRefill time.Time
}

// NewBoundedWriter returns a writer that writes to w in a goroutine of its own.
func NewBoundedWriter(w io.Writer, l Limits) *BoundedWriter {
	b := &BoundedWriter{
		w: w, queue: make(chan []byte, l.MaxQueued), done: make(chan struct{}),
		rate: float64(l.LinesPerSecond), tokens: burstSeconds * float64(l.LinesPerSecond), lastRefill: time.Now(),
	}
	go b.writeLoop()
	return b
}

// takeToken reports whether the rate limit allows the line p, and counts it if so. Lines
// other than warnings and errors leave reservedShare of the burst unused.
func (b *BoundedWriter) takeToken(p []byte) bool {
	if b.rate == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now, burst := time.Now(), burstSeconds*b.rate
	b.tokens = min(burst, b.tokens+now.Sub(b.lastRefill).Seconds()*b.rate)
	b.lastRefill = now
	required := 1.0
	if !bytes.Contains(p, warnMarker) && !bytes.Contains(p, errorMarker) {
		required += reservedShare * burst
	}
	if b.tokens < required {
		return false
	}
	b.tokens--
	return true
}

var warnMarker, errorMarker = []byte(" level=warn "), []byte(" level=error ")

// Write implements io.Writer. It always succeeds.
func (b *BoundedWriter) Write(p []byte) (int, error) {
	if !b.takeToken(p) {
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

func (b *BoundedWriter) writeLoop() {
	defer close(b.done)
	reported := uint64(0)
	for line := range b.queue {
		if len(line) == 0 {
			return
		}
		// There is nowhere to report a failure of the log itself.
		_, _ = b.w.Write(line)
		if n := b.dropped.Load(); n != reported {
			reported = n
			_, _ = fmt.Fprintf(b.w, "time=%s level=warn event=%q dropped=%d\n",
				time.Now().Format("2006-01-02T15:04:05.000Z07:00"), "log lines dropped", n)
		}
	}
}

// Close writes the queued lines, for at most closeTimeout.
func (b *BoundedWriter) Close() {
	b.closeOnce.Do(func() {
		timer := time.NewTimer(closeTimeout)
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
