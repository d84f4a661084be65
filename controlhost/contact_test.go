package controlhost

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a removed host that does not ask whether it is a member, because messages that the
// leader sent before the removal arrive late, one in each two seconds.
func TestLateMessagesAreNoLeader(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	contact := leaderContact{steadyAt: start}
	for at := joinInterval; at < 10*time.Second; at += joinInterval {
		contact.observe(at%(2*time.Second) < 800*time.Millisecond, start.Add(at)) // followed for an election timeout
		is.Equal(contact.isMissing(start.Add(at)), at >= noLeaderTimeout)
	}
	for at := 10 * time.Second; at <= 10*time.Second+steadyLeaderTime; at += joinInterval {
		contact.observe(true, start.Add(at))
	}
	is.True(!contact.isMissing(start.Add(10*time.Second + steadyLeaderTime)))
}
