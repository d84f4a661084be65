package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/membership"
)

func startNode(ctx context.Context, t *testing.T, name string, seeds []string, handlers Handlers) (*Conn, *membership.Group) {
	t.Helper()
	conn, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := membership.NewGroup(membership.Config{
		Self: mulberrylink.Node{
			Name: name, Addr: conn.Addr(), Service: "registry",
			Incarnation: 1, Upstream: mulberrylink.UpstreamUp,
		},
		Seeds: seeds,
		Rand:  rand.New(rand.NewPCG(uint64(len(name)), 3)),
	}, conn)
	handlers.Name = name
	handlers.Deliver = g.Deliver
	go g.Run(ctx)
	go conn.Serve(handlers)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, g
}

func waitFor(t *testing.T, what string, limit time.Duration, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		if cond() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s: not reached within %s", what, limit)
}

// Guards against faults over real UDP sockets: nodes that do not join the group, an update that does
// not reach all nodes, and a load that does not carry the time at which its probe was sent.
func TestNodesOverUDP(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	firstConn, firstGroup := startNode(ctx, t, "n0", nil, Handlers{
		Load: func() mulberrylink.Load { return mulberrylink.Load{InFlight: 3, Limit: 6} },
	})
	groups := []*membership.Group{firstGroup}
	loads := make(chan mulberrylink.Load, 1)
	var lastConn *Conn
	for i := 1; i < 4; i++ {
		var g *membership.Group
		lastConn, g = startNode(ctx, t, fmt.Sprintf("n%d", i), []string{firstConn.Addr()}, Handlers{
			OnLoad: func(_ string, l mulberrylink.Load) { loads <- l },
		})
		groups = append(groups, g)
	}
	waitFor(t, "join", 5*time.Second, func() bool {
		for _, g := range groups {
			if len(g.Nodes("registry")) != 4 {
				return false
			}
		}
		return true
	})
	firstGroup.Update(func(s *mulberrylink.Node) { s.State = mulberrylink.NodeLeaving })
	waitFor(t, "leaving", 3*time.Second, func() bool {
		for _, n := range groups[3].All() {
			if n.Name == "n0" {
				return n.State == mulberrylink.NodeLeaving
			}
		}
		return false
	})
	sent := time.Now()
	lastConn.Probe(firstConn.Addr())
	select {
	case l := <-loads:
		is.Equal(l.InFlight, 3)
		is.True(!l.At.After(time.Now()) && l.At.After(sent.Add(-50*time.Millisecond)))
	case <-time.After(2 * time.Second):
		t.Fatal("no reply to the load probe")
	}
}

// Guards against panics on malformed datagrams, in decoding and in the membership protocol.
func FuzzDatagram(f *testing.F) {
	f.Add([]byte{1, 0x80})
	f.Add([]byte{2, 0x81, 0x00})
	f.Add([]byte{3})
	f.Fuzz(func(_ *testing.T, data []byte) {
		if len(data) == 0 {
			return
		}
		conn := &Conn{start: time.Now()}
		core := membership.NewCore(membership.Config{
			Self: mulberrylink.Node{Name: "n0", Addr: "127.0.0.1:1"},
			Rand: rand.New(rand.NewPCG(1, 1)),
		})
		h := Handlers{Deliver: func(d membership.Datagram) { core.Receive(time.Now(), d) }}
		_ = conn.handle(h, &net.UDPAddr{}, packetKind(data[0]), data[1:])
		core.Tick(time.Now())
	})
}
