package roster

import (
	"slices"
	"time"
)

// Watch records since when members have been unresponsive, as one host sees it.
type Watch struct {
	since    map[uint64]time.Time // while the host leads; by identity
	leader   uint64               // the last leader that the host followed
	leaderAt time.Time            // when the host last knew it as the leader
}

// Follow records that the host follows a leader, or knows none if leader is 0.
func (w *Watch) Follow(leader uint64, now time.Time) {
	w.since = nil
	if leader != 0 {
		w.leader, w.leaderAt = leader, now
	}
}

// Lead sets UnresponsiveSince of each member while the host leads. unresponsive holds the identities of
// the members that do not respond. A former leader that does not respond to its successor has been
// unresponsive since the successor followed it: the election took place because it was lost.
func (w *Watch) Lead(members []Member, unresponsive []uint64, now time.Time) {
	elected := w.since == nil
	if elected {
		w.since = make(map[uint64]time.Time)
	}
	for i, m := range members {
		if !slices.Contains(unresponsive, m.ID) {
			delete(w.since, m.ID)
			continue
		}
		if _, known := w.since[m.ID]; !known {
			w.since[m.ID] = now
			if elected && m.ID == w.leader {
				w.since[m.ID] = w.leaderAt
			}
		}
		members[i].UnresponsiveSince = w.since[m.ID]
	}
}
