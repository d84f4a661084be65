package rollout

import (
	"math"
	"sync"
	"time"
)

const (
	// bucketsPerOctave is the resolution of service times. A bucket spans a factor of 1.41.
	bucketsPerOctave = 2
	// bucketCount covers service times of 1 ms to 16 s.
	bucketCount = 29
	// maxCounts bounds the pairs of version and route in a report.
	maxCounts = 64
)

// Counts are the results of one version on one route. They only increase.
type Counts struct {
	Release string `cbor:"r"`
	Route   string `cbor:"p"`
	// Failed is the number of failed results, and Times the number of others by service time.
	Failed uint32   `cbor:"f,omitempty"`
	Times  []uint32 `cbor:"t,omitempty"`
}

// Report holds the results of the upstream beside a node since the start of a rollout. It is cumulative:
// the newest one replaces all others, and repeated or lost ones do no harm.
type Report struct {
	Node string `cbor:"n"`
	// Epoch identifies the process, and Seq orders its reports.
	Epoch string `cbor:"e"`
	Seq   uint64 `cbor:"q"`
	// Service and Number identify the rollout, see document.Rollout.
	Service string   `cbor:"s"`
	Number  uint64   `cbor:"o"`
	Counts  []Counts `cbor:"c,omitempty"`
}

// newerThan reports whether r replaces a stored report of the same node. The processes of a node have no
// order: a late report of the former one is replaced by the next report of the other.
func (r *Report) newerThan(stored *Report) bool { return r.Epoch != stored.Epoch || r.Seq > stored.Seq }

// bucket returns the index of a service time in Counts.Times.
func bucket(took time.Duration) int {
	ms := float64(took) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(bucketCount-1, int(bucketsPerOctave*math.Log2(ms)))
}

// Result is the result of one request on the upstream beside a node.
type Result struct {
	Release, Route string
	Took           time.Duration
	Failed         bool
}

// Recorder counts the results of the upstream beside a node. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	report Report
}

// NewRecorder returns a Recorder that counts nothing until Track is called.
func NewRecorder(node, epoch string) *Recorder {
	return &Recorder{report: Report{Node: node, Epoch: epoch}}
}

// Track starts counting for a rollout, from zero if it is another one than before. An empty service
// ends the counting.
func (r *Recorder) Track(service string, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.report.Service != service || r.report.Number != number {
		r.report.Service, r.report.Number, r.report.Counts = service, number, nil
	}
}

// Record counts a result.
func (r *Recorder) Record(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.report.Service == "" {
		return
	}
	c := r.counts(res.Release, res.Route)
	switch {
	case c == nil:
	case res.Failed:
		c.Failed++
	default:
		i := bucket(res.Took)
		for len(c.Times) <= i {
			c.Times = append(c.Times, 0)
		}
		c.Times[i]++
	}
}

func (r *Recorder) counts(release, route string) *Counts {
	for i := range r.report.Counts {
		if c := &r.report.Counts[i]; c.Release == release && c.Route == route {
			return c
		}
	}
	if len(r.report.Counts) >= maxCounts {
		return nil
	}
	r.report.Counts = append(r.report.Counts, Counts{Release: release, Route: route})
	return &r.report.Counts[len(r.report.Counts)-1]
}

// Report returns a copy of the counts under the next sequence number, nil if nothing is tracked.
func (r *Recorder) Report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.report.Service == "" {
		return nil
	}
	r.report.Seq++
	next := r.report
	next.Counts = make([]Counts, len(r.report.Counts))
	for i, c := range r.report.Counts {
		c.Times = append([]uint32(nil), c.Times...)
		next.Counts[i] = c
	}
	return &next
}
