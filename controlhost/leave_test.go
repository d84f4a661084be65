package controlhost

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/quorum"
	"github.com/mulberrylink/mulberrylink/coordination/roster"
)

// Guards against a group that shrinks below its size because a host that stops during a replacement
// counts both the old and the new voter.
func TestLeaveDuringReplacement(t *testing.T) {
	is := is.New(t)
	status := quorum.MemberStatus{Members: []quorum.Member{{ID: 1}, {ID: 2}, {ID: 3, Leaving: true}, {ID: 4, Joining: true}}}
	is.Equal(roster.MayLeave(rosterMembers(&status), 2, 3), roster.Wait)
	status.Members = []quorum.Member{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}}
	is.Equal(roster.MayLeave(rosterMembers(&status), 2, 3), roster.LeaveNow)
}

// Guards against the removal of a voter that has been silent for as long as a learner may be, because its
// replacement of another one was still open when the leader looked.
func TestNewVoterIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	silent := now.Add(-3 * time.Second)
	status := quorum.MemberStatus{
		Members:      []quorum.Member{{ID: 1}, {ID: 2}, {ID: 3, Leaving: true}, {ID: 4, Joining: true}},
		Unresponsive: map[uint64]time.Time{3: silent, 4: silent},
	}
	is.Equal(roster.Next(rosterMembers(&status), nil, 3, now).Kind, roster.Replace) // which is completed
}
