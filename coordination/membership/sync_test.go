package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink"
)

// Guards against a datagram that ends the process: a page of records that says that more records
// follow, but has none.
func TestEmptyPage(t *testing.T) {
	is := is.New(t)
	c := NewCore(Config{Self: mulberrylink.Node{Name: "a", Addr: "a"}, Rand: rand.New(rand.NewPCG(1, 1))})
	now := time.Now()
	c.Tick(now)
	c.Receive(now, Datagram{Kind: KindSyncReply, From: "b", Addr: "b"})
	is.Equal(c.syncCursor, "")
}

// Guards against a time of the last datagram that a jump of the time of day makes older or younger:
// the node would reject requests as isolated, or go on with an outdated configuration.
func TestLastHeardIsSteady(t *testing.T) {
	is := is.New(t)
	g := NewGroup(Config{Self: mulberrylink.Node{Name: "a", Addr: "a"}}, nil)
	g.core.lastHeard = time.Now()
	g.publish()
	is.True(g.LastHeard() != g.LastHeard().Round(0)) // Round(0) removes the steady reading
}
