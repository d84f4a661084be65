package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// latencySamples is the size of the reservoir of a histogram; 15 minutes of
// requests are weighted towards the last ones.
const (
	latencySamples = 512
	latencyAlpha   = 0.015
)

// stats counts what the node does. Counters appear with their first event.
type stats struct{ reg metrics.Registry }

func newStats(reg metrics.Registry) *stats { return &stats{reg: reg} }

func (s *stats) count(name string) { metrics.GetOrRegisterCounter(name, s.reg).Inc(1) }

func (s *stats) observeLatency(name string, d time.Duration) {
	metrics.GetOrRegisterHistogram(name, s.reg, metrics.NewExpDecaySample(latencySamples, latencyAlpha)).Update(d.Microseconds())
}
