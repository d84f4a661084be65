package controlplane

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxReports is more than twice the design capacity of 1,400 nodes.
	maxReports = 4_096
	// maxReportAge bounds the deadline that a node may ask for.
	maxReportAge = 5 * time.Minute
)

// reports holds the latest report of each node until its deadline.
type reports struct {
	mu    sync.Mutex
	nodes map[string]timedReport
}

type timedReport struct {
	report reportRequest
	until  time.Time
}

func newReports() *reports {
	return &reports{nodes: make(map[string]timedReport)}
}

func (r *reports) put(in reportRequest, now, until time.Time) {
	if limit := now.Add(maxReportAge); until.After(limit) {
		until = limit
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.nodes[in.Name]; !known && len(r.nodes) >= maxReports {
		r.expire(now)
		if len(r.nodes) >= maxReports {
			return
		}
	}
	r.nodes[in.Name] = timedReport{report: in, until: until}
}

// list returns the reports sorted by name. Left becomes the time to their
// deadline.
func (r *reports) list(now time.Time) []reportRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	all := make([]reportRequest, 0, len(r.nodes))
	for _, n := range r.nodes {
		n.report.Left = n.until.Sub(now).Milliseconds()
		all = append(all, n.report)
	}
	slices.SortFunc(all, func(a, b reportRequest) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func (r *reports) expire(now time.Time) {
	for name, n := range r.nodes {
		if !n.until.After(now) {
			delete(r.nodes, name)
		}
	}
}
