package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// latencySamples and latencyAlpha are the reservoir size and the decay of the latency
// histograms, which cover about 15 minutes and weight the latest requests most.
const (
	latencySamples = 512
	latencyAlpha   = 0.015
)

// stats updates the metrics of the node. A metric is registered with its first event.
type stats struct{ reg metrics.Registry }

func newStats(reg metrics.Registry) *stats { return &stats{reg: reg} }

func (s *stats) count(name string) { metrics.GetOrRegisterCounter(name, s.reg).Inc(1) }

func (s *stats) observeLatency(name string, d time.Duration) {
	metrics.GetOrRegisterHistogram(name, s.reg, metrics.NewExpDecaySample(latencySamples, latencyAlpha)).Update(d.Microseconds())
}
