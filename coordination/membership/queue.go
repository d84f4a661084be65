package membership

import (
	"math/bits"
	"sort"
)

// transmitExtra plus the binary logarithm of the group size is how often a node
// sends one update before it drops it from the queue. Each member then receives
// an update about that many times and misses it with a probability below 1/500;
// the synchronisation repairs that. Three times as many sends made 100 nodes
// that start at once need 22 s to learn of one another, because the queues were
// limited by the byte rate.
const extraTransmissions = 2

// update is a record or a note that is still being spread.
type update struct {
	name          string // node name of a record, empty for a note
	note          Note
	transmissions int
	urgent        bool
}

// queue holds the updates that a node still spreads. A newer update of the
// same node replaces the older one.
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

// urgent reports whether an update waits to be pushed at once.
func (q *updateQueue) hasUrgent() bool {
	for _, u := range q.items {
		if u.urgent {
			return true
		}
	}
	return false
}

// clearUrgent marks the pushed updates as sent; they go on riding on other
// datagrams.
func (q *updateQueue) clearUrgent(pushed []*update) {
	for _, u := range pushed {
		u.urgent = false
	}
}

// fill adds to d the updates that were sent least often, as many as fit, and
// returns them. Updates that were sent often enough leave the queue.
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

// drop removes the records that known reports to be known to the others.
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
