package membership

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// tickInterval is the interval at which a Group advances its Core. It bounds the delay of an
// urgent update.
const tickInterval = 50 * time.Millisecond

// inboxSize is the number of datagrams and of commands that can be queued for the goroutine of
// the group. Further datagrams are dropped, which the protocol tolerates like packet loss; further
// commands wait.
const inboxSize = 1024

// Sender sends datagrams. It must not block.
type Sender interface {
	Send(addr string, d Datagram)
}

// Group runs a Core on one goroutine.
type Group struct {
	core     *Core
	sender   Sender
	inbox    chan Datagram
	commands chan func(now time.Time)
	done     chan struct{}

	view       atomic.Pointer[view]
	lastHeard  atomic.Pointer[time.Time]
	maxVersion atomic.Pointer[peerVersion]
	sentBytes  atomic.Uint64
}

// view is an immutable snapshot of the records that are not gone.
type view struct {
	all       []mulberrylink.Node
	byService map[string][]mulberrylink.Node
}

// peerVersion is the highest configuration version reported by another member.
type peerVersion struct {
	version uint64
	addr    string
}

// NewGroup returns a group. It takes part in the protocol once Run is called.
func NewGroup(cfg Config, s Sender) *Group {
	g := &Group{
		core:     NewCore(cfg),
		sender:   s,
		inbox:    make(chan Datagram, inboxSize),
		commands: make(chan func(time.Time), inboxSize),
		done:     make(chan struct{}),
	}
	g.maxVersion.Store(&peerVersion{})
	g.publish()
	return g
}

// Run runs the protocol until ctx is done.
func (g *Group) Run(ctx context.Context) {
	defer close(g.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.send(g.core.Tick(now))
		case d := <-g.inbox:
			g.send(g.core.Receive(time.Now(), d))
		case cmd := <-g.commands:
			cmd(time.Now())
		}
		g.publish()
	}
}

// Deliver queues a received datagram. It drops the datagram if the queue is full.
func (g *Group) Deliver(d Datagram) {
	select {
	case g.inbox <- d:
	default:
	}
}

// Nodes returns the nodes of a service that are not gone. The caller must not modify the slice.
func (g *Group) Nodes(service string) []mulberrylink.Node {
	return g.view.Load().byService[service]
}

// All returns all nodes that are not gone, including this one. The caller must not modify the
// slice.
func (g *Group) All() []mulberrylink.Node { return g.view.Load().all }

// Update changes this node's record with f and disseminates it at once.
func (g *Group) Update(f func(self *mulberrylink.Node)) {
	g.submit(func(time.Time) {
		g.core.Update(f)
		g.send(g.core.takeOutgoing())
	})
}

// Broadcast disseminates a note to all members.
func (g *Group) Broadcast(kind uint8, data []byte) {
	g.submit(func(now time.Time) {
		g.core.Broadcast(now, kind, data)
		g.send(g.core.takeOutgoing())
	})
}

// BroadcastService sends a note directly to the nodes of a service and disseminates it to all
// members. It returns when the direct datagrams have been sent or the group has stopped.
func (g *Group) BroadcastService(service string, kind uint8, data []byte) {
	sent := make(chan struct{})
	g.submit(func(now time.Time) {
		g.core.BroadcastService(now, service, kind, data)
		g.send(g.core.takeOutgoing())
		close(sent)
	})
	select {
	case <-sent:
	case <-g.done:
	}
}

// MaxVersion returns the highest configuration version reported by another member, and the
// address of that member.
func (g *Group) MaxVersion() (version uint64, addr string) {
	v := g.maxVersion.Load()
	return v.version, v.addr
}

// LastHeard returns when the last datagram from another member arrived.
func (g *Group) LastHeard() time.Time {
	if at := g.lastHeard.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// SentBytes returns the estimated number of bytes sent so far, including UDP and IP headers.
func (g *Group) SentBytes() uint64 { return g.sentBytes.Load() }

// submit queues a command for the goroutine of the group.
func (g *Group) submit(cmd func(now time.Time)) {
	select {
	case g.commands <- cmd:
	case <-g.done:
	}
}

func (g *Group) send(packets []Packet) {
	for _, p := range packets {
		g.sender.Send(p.To, p.Datagram)
	}
}

// publish makes the state of the core available to other goroutines.
func (g *Group) publish() {
	if heard := g.core.LastHeard(); !heard.IsZero() {
		g.lastHeard.Store(&heard)
	}
	g.sentBytes.Store(g.core.SentBytes())
	if v, addr := g.core.MaxVersion(); v != g.maxVersion.Load().version {
		g.maxVersion.Store(&peerVersion{version: v, addr: addr})
	}
	if !g.core.takeRecordsChanged() {
		return
	}
	v := &view{all: g.core.All(), byService: make(map[string][]mulberrylink.Node)}
	for _, n := range v.all {
		if n.Service != "" {
			v.byService[n.Service] = append(v.byService[n.Service], n)
		}
	}
	g.view.Store(v)
}
