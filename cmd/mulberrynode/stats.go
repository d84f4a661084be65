package main

import (
	"fmt"
	"io"
	"sort"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/transport/front"
)

// Range and precision of the latency histogram. 3 significant digits keep the error below 0.1%.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// stats holds the metrics of the node.
type stats struct {
	registry metrics.Registry

	mu sync.Mutex
	// addedLatency is the time in microseconds that a request spends in the nodes, without its time at
	// the upstream.
	addedLatency *hdrhistogram.Histogram
}

func newStats() *stats {
	return &stats{
		registry:     metrics.NewRegistry(),
		addedLatency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
	}
}

func (s *stats) count(name string) {
	metrics.GetOrRegisterCounter(name, s.registry).Inc(1)
}

func (s *stats) gauge(name string, read func() int64) {
	_ = s.registry.Register(name, metrics.NewFunctionalGauge(read))
}

// requestDone records a finished request of a caller.
func (s *stats) requestDone(ev front.Event) {
	s.count("front_requests")
	s.count("front_" + ev.Outcome.String())
	if ev.Outcome != mulberrylink.Answered {
		s.count("front_" + ev.Outcome.String() + "_" + ev.Reason.String())
	}
	if ev.Outcome != mulberrylink.Answered || ev.UpstreamTime == 0 {
		return
	}
	addedMicros := max((ev.TimeToFirstByte - ev.UpstreamTime).Microseconds(), minLatencyMicros)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.addedLatency.RecordValue(min(addedMicros, maxLatencyMicros))
}

// rejected counts a request that this node rejected as the admitting node.
func (s *stats) rejected(reason mulberrylink.Reason) { s.count("admit_refused_" + reason.String()) }

// exchangeResolved counts an exchange whose outcome was resolved over a new connection.
func (s *stats) exchangeResolved(outcome mulberrylink.Outcome, _ mulberrylink.Reason) {
	s.count("forward_resolved_" + outcome.String())
}

// write writes one line per metric, sorted by name.
func (s *stats) write(w io.Writer) {
	lines := make([]string, 0, 64)
	s.registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		}
	})
	s.mu.Lock()
	lines = append(lines,
		fmt.Sprintf("added_count %d", s.addedLatency.TotalCount()),
		fmt.Sprintf("added_p50_us %d", s.addedLatency.ValueAtQuantile(50)),
		fmt.Sprintf("added_p99_us %d", s.addedLatency.ValueAtQuantile(99)),
	)
	s.mu.Unlock()
	sort.Strings(lines)
	for _, l := range lines {
		_, _ = fmt.Fprintln(w, l)
	}
}
