package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/roster"
)

// Guards against a lost leader that is replaced late, because its successor counts from the election
// on, and against a member that is taken for lost before it has been unresponsive for long.
func TestWatch(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	var w roster.Watch
	unresponsiveSince := func(now time.Time, unresponsive ...uint64) (since [3]time.Time) {
		members := []roster.Member{{ID: 1}, {ID: 2}, {ID: 3}}
		w.Lead(members, unresponsive, now)
		for i, m := range members {
			since[i] = m.UnresponsiveSince
		}
		return since
	}
	w.Follow(2, at(1))
	w.Follow(1, at(2))
	w.Follow(0, at(3))
	is.Equal(unresponsiveSince(at(4), 1, 2), [3]time.Time{at(2), at(4), {}})
	is.Equal(unresponsiveSince(at(5), 1), [3]time.Time{at(2), {}, {}})
	is.Equal(unresponsiveSince(at(6), 2), [3]time.Time{{}, at(6), {}})
	is.Equal(unresponsiveSince(at(7), 1, 2), [3]time.Time{at(7), at(6), {}}) // the former leader was back meanwhile
	w.Follow(3, at(8))
	is.Equal(unresponsiveSince(at(9), 1, 3), [3]time.Time{at(9), {}, at(8)})
}
