package events_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/transport/events"
)

// stalled is a reader that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Guards against a reader of the log that stalls the requests of a process, and
// against lines that are dropped without a trace.
func TestStalledReaderBlocksNobody(t *testing.T) {
	is := is.New(t)
	s := &stalled{release: make(chan struct{})}
	b := events.NewBounded(s, 10)
	l := events.New(b, "info", "node", "n1")
	began := time.Now()
	for range 1000 {
		l.Info().Msg("request refused")
	}
	is.True(time.Since(began) < time.Second)
	is.True(b.Dropped() >= 980)
	close(s.release)
	l.Info().Msg("last")
	b.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	is.True(strings.Contains(s.buf.String(), `event="log lines dropped" dropped=`))
}
