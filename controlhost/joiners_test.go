package controlhost

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/roster"
)

// Guards against join requests that a host that never leads keeps for ever.
func TestJoinRequestsExpireOnFollowers(t *testing.T) {
	is := is.New(t)
	var j joiners
	now := time.Now()
	for id := range uint64(100) {
		now = now.Add(time.Second)
		j.add(roster.Joiner{ID: id, Addr: "a"}, now, now.Add(joinRequestTTL))
	}
	is.True(len(j.expiry) <= 2)
}
