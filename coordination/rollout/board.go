package rollout

import (
	"sync"
	"time"
)

const (
	// maxReports bounds the nodes of which a report is kept.
	maxReports = 8192
	// reportRetention is how long the report of a node is kept without a newer one. It must outlast a
	// move of the node to another control host.
	reportRetention = time.Minute
)

// Received is a report with the time at which it was stored.
type Received struct {
	Report *Report
	At     time.Time
}

type boardEntry struct {
	Received
	source   string
	revision uint64
}

// Board holds the newest report of each node. It is safe for concurrent use.
type Board struct {
	mu       sync.Mutex
	byNode   map[string]*boardEntry
	revision uint64
	changed  chan struct{}
}

// NewBoard returns an empty Board.
func NewBoard() *Board {
	return &Board{byNode: make(map[string]*boardEntry), changed: make(chan struct{})}
}

// Put stores a report if it is newer than the stored one of the node, and reports whether it was. The
// source is the peer that delivered it.
func (b *Board) Put(r *Report, source string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	stored := b.byNode[r.Node]
	switch {
	case len(r.Counts) > maxCounts || stored != nil && !r.newerThan(stored.Report):
		return false
	case stored == nil && len(b.byNode) >= maxReports:
		return false
	}
	for i := range r.Counts {
		if len(r.Counts[i].Times) > bucketCount {
			return false
		}
	}
	b.revision++
	b.byNode[r.Node] = &boardEntry{Received: Received{Report: r, At: now}, source: source, revision: b.revision}
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}

// ChangedSince returns the reports that were stored after a revision and whose source is selected, the
// current revision, and a channel that is closed at the next change.
func (b *Board) ChangedSince(revision uint64, selected func(source string) bool) ([]*Report, uint64, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var reports []*Report
	for _, e := range b.byNode {
		if e.revision > revision && selected(e.source) {
			reports = append(reports, e.Report)
		}
	}
	return reports, b.revision, b.changed
}

// Reports returns the reports of a rollout, and drops those that have not been renewed for
// reportRetention.
func (b *Board) Reports(service string, number uint64, now time.Time) []Received {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Received
	for name, e := range b.byNode {
		switch {
		case now.Sub(e.At) > reportRetention:
			delete(b.byNode, name)
		case e.Report.Service == service && e.Report.Number == number:
			list = append(list, e.Received)
		}
	}
	return list
}
