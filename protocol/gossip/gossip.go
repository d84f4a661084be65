// Package gossip sends and receives the datagrams of coordination/membership and the load probes
// between nodes over one UDP socket.
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

// maxDatagramBytes is the size of the receive buffer. Members send at most 1,200 bytes.
const maxDatagramBytes = 2048

// packetKind is the first byte of a datagram.
type packetKind byte

const (
	packetMembership packetKind = iota + 1
	packetProbe
	packetLoad
)

// probePacket asks a node for its load.
type probePacket struct {
	_ struct{} `cbor:",toarray"`
	// Sent is the time on the sender's clock. The reply returns it, so that the sender never compares
	// the clock of another host with its own.
	Sent int64
}

// loadPacket is the reply to a probePacket.
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

// Handlers holds the name of the node and the functions that Serve calls for received datagrams. Any
// of the functions may be nil.
type Handlers struct {
	// Name is the node's own name, sent together with its load.
	Name string
	// Deliver is called with each membership datagram.
	Deliver func(membership.Datagram)
	// Load returns the node's own load, which is sent in reply to a probe.
	Load func() mulberrylink.Load
	// OnLoad is called with the load of another node.
	OnLoad func(node string, load mulberrylink.Load)
}

// Conn is the UDP socket of one node.
type Conn struct {
	udp        *net.UDPConn
	start      time.Time
	sentProbes atomic.Uint64
	sentBytes  atomic.Uint64
	malformed  atomic.Uint64

	mu sync.Mutex
	// resolvedAddrs caches the resolved address of each destination.
	resolvedAddrs map[string]*net.UDPAddr
}

// Listen opens a UDP socket on addr.
func Listen(addr string) (*Conn, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve gossip address %q", addr)
	}
	udp, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for gossip on %q", addr)
	}
	return &Conn{udp: udp, start: time.Now(), resolvedAddrs: make(map[string]*net.UDPAddr)}, nil
}

// Addr returns the socket's address.
func (c *Conn) Addr() string { return c.udp.LocalAddr().String() }

// Close closes the socket and ends Serve.
func (c *Conn) Close() error { return c.udp.Close() }

// Counts returns the number of load probes sent, the number of bytes sent, and the number of
// datagrams that could not be decoded or encoded.
func (c *Conn) Counts() (probes, bytes, malformed uint64) {
	return c.sentProbes.Load(), c.sentBytes.Load(), c.malformed.Load()
}

// Send implements membership.Sender. It sends a membership datagram to addr.
func (c *Conn) Send(addr string, d membership.Datagram) { c.send(addr, packetMembership, d) }

// Probe asks the node at addr for its load, which is passed to Handlers.OnLoad.
func (c *Conn) Probe(addr string) {
	c.sentProbes.Add(1)
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
			continue // a read error affects only one datagram
		}
		if err := c.handle(h, from, packetKind(buf[0]), buf[1:n]); err != nil {
			c.malformed.Add(1)
		}
	}
}

// handle decodes a datagram and calls its handler.
func (c *Conn) handle(h Handlers, from *net.UDPAddr, kind packetKind, body []byte) error {
	switch kind {
	case packetMembership:
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
			c.sendLoad(h, from, p)
		}
	case packetLoad:
		var l loadPacket
		if err := codec.Unmarshal(body, &l); err != nil {
			return err
		}
		if h.OnLoad != nil {
			h.OnLoad(l.Node, c.decodeLoad(l))
		}
	default:
		return errors.Newf("unknown datagram kind %d", kind)
	}
	return nil
}

func (c *Conn) sendLoad(h Handlers, to *net.UDPAddr, p probePacket) {
	l := h.Load()
	c.write(to, packetLoad, loadPacket{
		Node: h.Name, Sent: p.Sent, InFlight: l.InFlight, Limit: l.Limit,
		Queued: l.Queued, Latency: l.Latency, Cold: l.Cold,
	})
}

// decodeLoad returns the load of a packet. Its time is when the probe was sent, the earliest time at
// which the load can have been measured.
func (c *Conn) decodeLoad(l loadPacket) mulberrylink.Load {
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

// write sends one datagram. It ignores write errors, which are equivalent to packet loss for the
// protocol.
func (c *Conn) write(to *net.UDPAddr, kind packetKind, msg any) {
	body, err := codec.Marshal(msg)
	if err != nil {
		c.malformed.Add(1)
		return
	}
	n, err := c.udp.WriteToUDP(append([]byte{byte(kind)}, body...), to)
	if err == nil {
		c.sentBytes.Add(uint64(n))
	}
}

// resolve returns the UDP address of a destination, or nil if it cannot be resolved.
func (c *Conn) resolve(addr string) *net.UDPAddr {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, ok := c.resolvedAddrs[addr]; ok {
		return a
	}
	a, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil
	}
	c.resolvedAddrs[addr] = a
	return a
}
