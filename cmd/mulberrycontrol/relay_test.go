package main

import (
	"bytes"
	"net"
	"sync"
	"testing"
	"time"
)

// relay is a proxy for the connections between hosts. In a blocked direction it holds the bytes back
// without closing the connection, as in a network partition that drops packets.
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
	s := &relayConn{relay: r, to: p.name}
	go s.copy(out, in, true)
	s.copy(in, out, false)
}

// relayConn is one connection through the relay. Its dialer is known once a message of the
// replicated log has passed, because each message contains the address of its sender.
type relayConn struct {
	relay *relay
	to    string
	mu    sync.Mutex
	from  string
}

func (s *relayConn) copy(dst, src net.Conn, forward bool) {
	defer src.Close()
	defer dst.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if forward {
			s.identifyDialer(buf[:n])
		}
		blocked := false
		for s.isBlocked(forward) {
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

func (s *relayConn) identifyDialer(data []byte) {
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, name := range s.relay.hostByAddr {
		if s.from == "" && name != s.to && bytes.Contains(data, []byte(addr)) {
			s.from = name
		}
	}
}

func (s *relayConn) isBlocked(forward bool) bool {
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if forward {
		return s.relay.blocked[[2]string{s.from, s.to}]
	}
	return s.relay.blocked[[2]string{s.to, s.from}]
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
