package main

import (
	"bytes"
	"net"
	"sync"
	"testing"
	"time"
)

// relay is a proxy for the connections between hosts. While a direction is blocked, it holds the bytes
// back without closing the connection, as in a network partition that drops packets.
type relay struct {
	t          *testing.T
	mu         sync.Mutex
	hostByAddr map[string]string  // name of the host by the address of its listener
	blocked    map[[2]string]bool // by the names of the sender and the receiver
}

func newRelay(t *testing.T) *relay {
	r := &relay{t: t, hostByAddr: map[string]string{}, blocked: map[[2]string]bool{}}
	t.Cleanup(r.heal)
	return r
}

// listenFor opens a listener that forwards to p and returns its address, which the other hosts use
// for p.
func (r *relay) listenFor(p *process) string {
	r.t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { lis.Close() })
	r.mu.Lock()
	r.hostByAddr[lis.Addr().String()] = p.name
	r.mu.Unlock()
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go r.proxy(conn, p)
		}
	}()
	return lis.Addr().String()
}

func (r *relay) proxy(in net.Conn, p *process) {
	out, err := net.DialTimeout("tcp", p.addr, linkDialTimeout)
	if err != nil {
		in.Close()
		return
	}
	c := &relayConn{relay: r, to: p.name}
	go c.copy(out, in, true)
	c.copy(in, out, false)
}

// relayConn is one connection through the relay. Its dialer is known once a message of the
// replicated log has passed, because each message contains the address of its sender.
type relayConn struct {
	relay *relay
	to    string
	mu    sync.Mutex
	from  string
}

// copy copies src to dst until either fails or bytes have been held back, and closes both. fromDialer
// is true if src is the connection from the dialer.
func (c *relayConn) copy(dst, src net.Conn, fromDialer bool) {
	defer src.Close()
	defer dst.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if fromDialer {
			c.identifyDialer(buf[:n])
		}
		blocked := false
		for c.isBlocked(fromDialer) {
			blocked = true
			time.Sleep(5 * time.Millisecond)
		}
		if blocked {
			return // the bytes held back are lost with the connection
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (c *relayConn) identifyDialer(data []byte) {
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, name := range c.relay.hostByAddr {
		if c.from == "" && name != c.to && bytes.Contains(data, []byte(addr)) {
			c.from = name
		}
	}
}

func (c *relayConn) isBlocked(fromDialer bool) bool {
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if fromDialer {
		return c.relay.blocked[[2]string{c.from, c.to}]
	}
	return c.relay.blocked[[2]string{c.to, c.from}]
}

// block holds back everything that from sends to the hosts in to.
func (r *relay) block(from *process, to ...*process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range to {
		r.blocked[[2]string{from.name, p.name}] = true
	}
}

// heal unblocks all directions.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.blocked)
}
