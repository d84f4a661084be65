package controlplane

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxReports bounds the number of nodes. It is more than twice the design capacity of 1,400.
	maxReports = 4_096
	// maxReportTTL bounds the remaining time of a report.
	maxReportTTL = 5 * time.Minute
)

// reportTable holds the latest report of each node until the report expires.
type reportTable struct {
	mu    sync.Mutex
	nodes map[string]timedReport
}

type timedReport struct {
	report    reportRequest
	expiresAt time.Time
}

func newReportTable() *reportTable {
	return &reportTable{nodes: make(map[string]timedReport)}
}

func (r *reportTable) put(report reportRequest, now, expiresAt time.Time) {
	if limit := now.Add(maxReportTTL); expiresAt.After(limit) {
		expiresAt = limit
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.nodes[report.Name]; !known && len(r.nodes) >= maxReports {
		r.expire(now)
		if len(r.nodes) >= maxReports {
			return
		}
	}
	r.nodes[report.Name] = timedReport{report: report, expiresAt: expiresAt}
}

// list returns the reports sorted by node name, with RemainingMillis updated to the time until they
// expire.
func (r *reportTable) list(now time.Time) []reportRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	all := make([]reportRequest, 0, len(r.nodes))
	for _, n := range r.nodes {
		n.report.RemainingMillis = n.expiresAt.Sub(now).Milliseconds()
		all = append(all, n.report)
	}
	slices.SortFunc(all, func(a, b reportRequest) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func (r *reportTable) expire(now time.Time) {
	for name, n := range r.nodes {
		if !n.expiresAt.After(now) {
			delete(r.nodes, name)
		}
	}
}
