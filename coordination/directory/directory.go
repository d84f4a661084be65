// Package directory holds the records of all nodes of a deployment, as known to one process. It
// is a plain data structure; protocol/feed updates the directories of nodes and control hosts. The
// nodes of cmd/mulberrynode exchange such records by gossip instead, see coordination/membership.
//
// A record replaces another one with the same name if its incarnation is higher. Every change
// gets the next revision, so that a subscriber is sent only the changes that it has not seen.
//
// # Usage
//
//	d := directory.New()
//	d.Put(node, "session-7", now)
//	for _, n := range d.ServiceNodes("archive") { … }
//	changed, revision, next := d.ChangedSince(seen)
package directory

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// goneRetention is how long the record of a node that is gone is kept, so that a late copy of an
// older record does not bring the node back.
const goneRetention = 30 * time.Second

// Limits of a directory, far above those of any deployment. Every process has all records.
const (
	maxEntries     = 8192
	maxRecordBytes = 4 << 10 // of the texts of a record
)

// Entry is the record of a node with its source.
type Entry struct {
	Node mulberrylink.Node
	// Source identifies the peer that delivered the record: a session of the node itself, or
	// another control host.
	Source string
	// UpdatedAt is when this directory stored the record.
	UpdatedAt time.Time

	revision uint64
}

// Directory is a set of node records. It is safe for concurrent use.
type Directory struct {
	mu        sync.Mutex
	entries   map[string]*Entry
	byService map[string][]mulberrylink.Node // index, built on demand
	revision  uint64
	changed   chan struct{}
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[string]*Entry), changed: make(chan struct{})}
}

// Put stores a record if it is newer than the stored one, and reports whether it was. If the same
// record is delivered again, only the source is updated. A record beyond the limits is not stored.
func (d *Directory) Put(n mulberrylink.Node, source string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[n.Name]
	if !ok && len(d.entries) >= maxEntries || len(n.Name)+len(n.Domain)+len(n.Service)+len(n.Release)+len(n.Addr)+len(n.Front) > maxRecordBytes {
		return false
	}
	if ok && !newer(&n, &e.Node) {
		if n == e.Node {
			e.Source = source
		}
		return false
	}
	d.put(n, source, now)
	return true
}

// newer reports whether n replaces the stored record. Incarnations are counted, not taken from a
// clock, so two records can have the same one: a control host marked a node as gone while the node
// announced itself at another host, or a restarted node counted up to the incarnation of its former
// process. A record of a live node then replaces one that is gone; otherwise the order is arbitrary
// but the same in every directory, and the node itself corrects the outcome.
func newer(n, stored *mulberrylink.Node) bool {
	switch {
	case n.Incarnation != stored.Incarnation:
		return n.Incarnation > stored.Incarnation
	case (n.State == mulberrylink.NodeGone) != (stored.State == mulberrylink.NodeGone):
		return stored.State == mulberrylink.NodeGone
	}
	return *n != *stored && fmt.Sprint(*n) > fmt.Sprint(*stored)
}

func (d *Directory) put(n mulberrylink.Node, source string, now time.Time) {
	d.revision++
	d.entries[n.Name] = &Entry{Node: n, Source: source, UpdatedAt: now, revision: d.revision}
	d.byService = nil
	close(d.changed)
	d.changed = make(chan struct{})
	for name, e := range d.entries {
		if e.Node.State == mulberrylink.NodeGone && now.Sub(e.UpdatedAt) > goneRetention {
			delete(d.entries, name)
		}
	}
}

// MarkSourceGone marks every record of a source as gone, under the next incarnation, and returns
// the names of the nodes. A node returns with a record of a higher incarnation.
func (d *Directory) MarkSourceGone(source string, now time.Time) (names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, e := range d.entries {
		if e.Source == source && e.Node.State != mulberrylink.NodeGone {
			names = append(names, name)
		}
	}
	for _, name := range names {
		n := d.entries[name].Node
		n.State = mulberrylink.NodeGone
		n.Incarnation++
		d.put(n, source, now)
	}
	return names
}

// Get returns the entry of a node.
func (d *Directory) Get(name string) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[name]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// ServiceNodes returns the nodes of the upstreams of a service that are not gone, sorted by name.
// The caller must not modify the slice.
func (d *Directory) ServiceNodes(name string) []mulberrylink.Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byService == nil {
		d.byService = make(map[string][]mulberrylink.Node)
		for _, e := range d.entries {
			if e.Node.State != mulberrylink.NodeGone {
				d.byService[e.Node.Service] = append(d.byService[e.Node.Service], e.Node)
			}
		}
		for _, ns := range d.byService {
			sort.Slice(ns, func(i, j int) bool { return ns[i].Name < ns[j].Name })
		}
	}
	return d.byService[name]
}

// ChangedSince returns the entries that changed after the given revision, the current revision,
// and a channel that is closed at the next change.
func (d *Directory) ChangedSince(revision uint64) (changed []Entry, current uint64, next <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision < d.revision {
		for _, e := range d.entries {
			if e.revision > revision {
				changed = append(changed, *e)
			}
		}
	}
	return changed, d.revision, d.changed
}

// Size returns the number of nodes that are not gone.
func (d *Directory) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, e := range d.entries {
		if e.Node.State != mulberrylink.NodeGone {
			n++
		}
	}
	return n
}
