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

func startNode(ctx context.Context, t *testing.T, name string, seeds []string, h Handlers) (*Conn, *membership.Group) {
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
	h.Name = name
	h.Deliver = g.Deliver
	go g.Run(ctx)
	go conn.Serve(h)
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
	t.Fatalf("%s: not reached in %s", what, limit)
}

// Guards the path over real sockets: joining, spreading an update, and load
// probes that are dated at their sending.
func TestNodesOverUDP(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first, g0 := startNode(ctx, t, "n0", nil, Handlers{
		Load: func() mulberrylink.Load { return mulberrylink.Load{InFlight: 3, Limit: 6} },
	})
	groups := []*membership.Group{g0}
	loads := make(chan mulberrylink.Load, 1)
	var last *Conn
	for i := 1; i < 4; i++ {
		var g *membership.Group
		last, g = startNode(ctx, t, fmt.Sprintf("n%d", i), []string{first.Addr()}, Handlers{
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
	g0.Update(func(s *mulberrylink.Node) { s.State = mulberrylink.NodeLeaving })
	waitFor(t, "leaving", 3*time.Second, func() bool {
		for _, n := range groups[3].All() {
			if n.Name == "n0" {
				return n.State == mulberrylink.NodeLeaving
			}
		}
		return false
	})
	sent := time.Now()
	last.Probe(first.Addr())
	select {
	case l := <-loads:
		is.Equal(l.InFlight, 3)
		is.True(!l.At.After(time.Now()) && l.At.After(sent.Add(-50*time.Millisecond)))
	case <-time.After(2 * time.Second):
		t.Fatal("no reply to the load probe")
	}
}

// Guards against datagrams that crash or confuse a node.
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
