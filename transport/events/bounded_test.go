package events_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/transport/events"
)

// stalledWriter is a writer that blocks until it is released.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Guards against a stalled reader of the log that blocks the requests of a process, and
// against dropped lines that are not reported.
func TestStalledReaderBlocksNobody(t *testing.T) {
	is := is.New(t)
	s := &stalledWriter{release: make(chan struct{})}
	b := events.NewBoundedWriter(s, events.Limits{MaxQueued: 10})
	l := events.New(b, "info", "node", "n1")
	start := time.Now()
	for range 1000 {
		l.Info().Msg("request refused")
	}
	is.True(time.Since(start) < time.Second)
	is.True(b.Dropped() >= 980)
	close(s.release)
	l.Info().Msg("last")
	b.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	is.True(strings.Contains(s.buf.String(), `event="log lines dropped" dropped=`))
}

// Guards against a large number of rejections that fills the disk with log lines or
// displaces the warnings about the failure behind them.
func TestStormStaysWithinTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var buf bytes.Buffer
		const rate, seconds = 20, 30
		b := events.NewBoundedWriter(&buf, events.Limits{MaxQueued: 10_000, LinesPerSecond: rate})
		l := events.New(b, "info", "node", "n1")
		for range seconds {
			for range 1000 {
				l.Info().Msg("request refused")
			}
			l.Warn().Msg("upstream failed")
			time.Sleep(time.Second)
		}
		l.Info().Msg("last")
		b.Close()
		lines := strings.Count(buf.String(), "\n")
		reports := strings.Count(buf.String(), "log lines dropped")
		if maxLines := rate*seconds + 5*rate + 1; lines-reports > maxLines {
			t.Errorf("%d lines in %d s, at most %d may be written", lines-reports, seconds, maxLines)
		}
		is.Equal(strings.Count(buf.String(), "upstream failed"), seconds)
		is.True(b.Dropped() > 29_000)
		is.True(reports > 0)
	})
}
