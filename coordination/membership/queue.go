package membership

import (
	"math/bits"
	"sort"
)

// extraTransmissions plus the binary logarithm of the group size is the number of times that a
// node sends an update before it drops it from the queue. Each member then receives an update
// about that many times and misses it with a probability below 1/500; the synchronisation repairs
// that. With three times as many transmissions, 100 nodes that started at once needed 22 s to
// learn of one another, because the byte rate limited the queues.
const extraTransmissions = 2

// update is a record or a note that is being disseminated.
type update struct {
	name          string // name of the node of a record, empty for a note
	note          Note
	transmissions int
	urgent        bool
}

// updateQueue holds the updates that a node still disseminates. A newer update for the same node
// replaces the older one.
type updateQueue struct {
	items []*update
}

func (q *updateQueue) addRecord(name string, urgent bool) {
	for _, u := range q.items {
		if u.name == name {
			u.transmissions = 0
			u.urgent = u.urgent || urgent
			return
		}
	}
	q.items = append(q.items, &update{name: name, urgent: urgent})
}

func (q *updateQueue) addNote(n Note) {
	q.items = append(q.items, &update{note: n, urgent: true})
}

// hasUrgent reports whether an update must be pushed at once.
func (q *updateQueue) hasUrgent() bool {
	for _, u := range q.items {
		if u.urgent {
			return true
		}
	}
	return false
}

// clearUrgent marks the pushed updates as no longer urgent. They are still piggybacked on other
// datagrams.
func (q *updateQueue) clearUrgent(pushed []*update) {
	for _, u := range pushed {
		u.urgent = false
	}
}

// fill adds to d as many updates as fit, those with the fewest transmissions first, and returns
// them. Updates that have reached the limit of transmissions are removed from the queue.
func (q *updateQueue) fill(d *Datagram, members int, record func(name string) (Record, bool)) []*update {
	sort.SliceStable(q.items, func(i, j int) bool { return q.items[i].transmissions < q.items[j].transmissions })
	room := maxDatagramBytes - d.size()
	var added []*update
	for _, u := range q.items {
		if room < recordOverheadBytes {
			break
		}
		size, ok := u.appendTo(d, room, record)
		if !ok {
			continue
		}
		room -= size
		u.transmissions++
		added = append(added, u)
	}
	q.dropTransmitted(extraTransmissions + bits.Len(uint(members)))
	return added
}

// appendTo adds the update to d if it fits into room bytes, and returns its size.
func (u *update) appendTo(d *Datagram, room int, record func(name string) (Record, bool)) (int, bool) {
	if u.name == "" {
		if u.note.size() > room {
			return 0, false
		}
		d.Notes = append(d.Notes, u.note)
		return u.note.size(), true
	}
	r, ok := record(u.name)
	if !ok || r.size() > room {
		return 0, false
	}
	d.Records = append(d.Records, r)
	return r.size(), true
}

func (q *updateQueue) dropTransmitted(limit int) {
	q.retain(func(u *update) bool { return u.transmissions < limit })
}

// dropRecords removes the records for which known reports that the other members hold them.
// Urgent records stay.
func (q *updateQueue) dropRecords(known func(name string) bool) {
	q.retain(func(u *update) bool { return u.name == "" || u.urgent || !known(u.name) })
}

func (q *updateQueue) retain(wanted func(u *update) bool) {
	kept := q.items[:0]
	for _, u := range q.items {
		if wanted(u) {
			kept = append(kept, u)
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
}
