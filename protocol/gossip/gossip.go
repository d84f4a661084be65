// Package gossip carries the datagrams of the node group and the load probes
// between nodes over UDP.
//
// # Usage
//
//	conn, err := gossip.Listen("127.0.0.1:9201")
//	g := membership.NewGroup(cfg, conn)
//	go g.Run(ctx)
//	go conn.Serve(gossip.Handlers{
//		Deliver: g.Deliver,
//		Load:    func() mulberrylink.Load { return gate.Load() },
//		OnLoad:  func(node string, l mulberrylink.Load) { … },
//	})
//	conn.Probe("127.0.0.1:9202")
package gossip

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/membership"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

// maxDatagramBytes is the largest datagram that is read. Members send at most
// 1,200 bytes.
const maxDatagramBytes = 2048

// packetKind is the first byte of a datagram.
type packetKind byte

const (
	packetMember packetKind = iota + 1
	packetProbe
	packetLoad
)

// probePacket asks a node for its load.
type probePacket struct {
	_ struct{} `cbor:",toarray"`
	// Sent is the sender's clock; the reply returns it, so that no clock of
	// another host is compared with the own one.
	Sent int64
}

// loadPacket answers a probe.
type loadPacket struct {
	_        struct{} `cbor:",toarray"`
	Node     string
	Sent     int64
	InFlight int
	Limit    int
	Queued   int
	Latency  float64
	Cold     bool
}

// Handlers are called by Serve for what arrives. Fields may be nil.
type Handlers struct {
	// Name is the node's own name, returned with its load.
	Name string
	// Deliver gets the datagrams of the node group.
	Deliver func(membership.Datagram)
	// Load returns the node's own load.
	Load func() mulberrylink.Load
	// OnLoad gets the load of another node.
	OnLoad func(node string, load mulberrylink.Load)
}

// Conn is a UDP socket of one node.
type Conn struct {
	udp    *net.UDPConn
	start  time.Time
	probes atomic.Uint64
	bytes  atomic.Uint64
	bad    atomic.Uint64

	mu    sync.Mutex
	addrs map[string]*net.UDPAddr
}

// Listen opens the socket.
func Listen(addr string) (*Conn, error) {
	ua, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "gossip address %q", addr)
	}
	udp, err := net.ListenUDP("udp", ua)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for gossip on %q", addr)
	}
	return &Conn{udp: udp, start: time.Now(), addrs: make(map[string]*net.UDPAddr)}, nil
}

// Addr returns the socket's address.
func (c *Conn) Addr() string { return c.udp.LocalAddr().String() }

// Close closes the socket and ends Serve.
func (c *Conn) Close() error { return c.udp.Close() }

// Counts returns the number of load probes sent, the bytes sent, and the
// number of datagrams that could not be decoded.
func (c *Conn) Counts() (probes, bytes, bad uint64) {
	return c.probes.Load(), c.bytes.Load(), c.bad.Load()
}

// Send implements membership.Sender.
func (c *Conn) Send(addr string, d membership.Datagram) { c.send(addr, packetMember, d) }

// Probe asks the node at addr for its load.
func (c *Conn) Probe(addr string) {
	c.probes.Add(1)
	c.send(addr, packetProbe, probePacket{Sent: int64(time.Since(c.start))})
}

// Serve reads datagrams until the socket is closed.
func (c *Conn) Serve(h Handlers) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := c.udp.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n < 1 {
			continue // a UDP read error concerns one datagram only
		}
		if err := c.handle(h, from, packetKind(buf[0]), buf[1:n]); err != nil {
			c.bad.Add(1)
		}
	}
}

func (c *Conn) handle(h Handlers, from *net.UDPAddr, kind packetKind, body []byte) error {
	switch kind {
	case packetMember:
		var d membership.Datagram
		if err := codec.Unmarshal(body, &d); err != nil {
			return err
		}
		if h.Deliver != nil {
			h.Deliver(d)
		}
	case packetProbe:
		var p probePacket
		if err := codec.Unmarshal(body, &p); err != nil {
			return err
		}
		if h.Load != nil {
			c.reply(h, from, p)
		}
	case packetLoad:
		var l loadPacket
		if err := codec.Unmarshal(body, &l); err != nil {
			return err
		}
		if h.OnLoad != nil {
			h.OnLoad(l.Node, c.loadOf(l))
		}
	default:
		return errors.Newf("unknown datagram kind %d", kind)
	}
	return nil
}

func (c *Conn) reply(h Handlers, to *net.UDPAddr, p probePacket) {
	l := h.Load()
	c.write(to, packetLoad, loadPacket{
		Node: h.Name, Sent: p.Sent, InFlight: l.InFlight, Limit: l.Limit,
		Queued: l.Queued, Latency: l.Latency, Cold: l.Cold,
	})
}

// loadOf dates the load at the sending of the probe, the earliest moment it
// can have been measured.
func (c *Conn) loadOf(l loadPacket) mulberrylink.Load {
	return mulberrylink.Load{
		InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued,
		Latency: l.Latency, Cold: l.Cold, At: c.start.Add(time.Duration(l.Sent)),
	}
}

func (c *Conn) send(addr string, kind packetKind, msg any) {
	if to := c.resolve(addr); to != nil {
		c.write(to, kind, msg)
	}
}

// write sends one datagram. Errors are dropped: the protocol treats them as
// loss.
func (c *Conn) write(to *net.UDPAddr, kind packetKind, msg any) {
	body, err := codec.Marshal(msg)
	if err != nil {
		c.bad.Add(1)
		return
	}
	n, err := c.udp.WriteToUDP(append([]byte{byte(kind)}, body...), to)
	if err == nil {
		c.bytes.Add(uint64(n))
	}
}

func (c *Conn) resolve(addr string) *net.UDPAddr {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, ok := c.addrs[addr]; ok {
		return a
	}
	a, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil
	}
	c.addrs[addr] = a
	return a
}
