package gateway_test

import (
	"net"
	"sync"
	"testing"
	"time"
)

// relay is a TCP proxy to one target. After a call of blackhole it drops all bytes of the
// connections that were open then; new connections work. While it is cut, new ones get nothing
// either.
type relay struct {
	lis    net.Listener
	mu     sync.Mutex
	target string
	isCut  bool
	drops  []chan struct{} // one for each open connection, closed by blackhole
	gate   sync.RWMutex    // held by pause; connections forward nothing meanwhile
}

func newRelay(t *testing.T) *relay {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{lis: lis}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go r.forward(c)
		}
	}()
	return r
}

func (r *relay) forward(client net.Conn) {
	r.mu.Lock()
	target, isCut := r.target, r.isCut
	r.mu.Unlock()
	if isCut {
		discard(client)
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	drop := make(chan struct{})
	r.mu.Lock()
	r.drops = append(r.drops, drop)
	r.mu.Unlock()
	copyUntilDropped := func(to, from net.Conn) {
		buf := make([]byte, 4096)
		for {
			n, err := from.Read(buf)
			select {
			case <-drop:
				discard(from)
				return // forwards neither the bytes nor the end of the connection
			default:
			}
			r.gate.RLock()
			r.gate.RUnlock() //nolint:staticcheck // waits for the end of a pause
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				_ = to.Close()
				return
			}
		}
	}
	go copyUntilDropped(server, client)
	copyUntilDropped(client, server)
}

// discard reads until the other side closes the connection, as a network path that drops
// all packets does.
func discard(c net.Conn) {
	buf := make([]byte, 4096)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

// blackhole drops all further bytes of the open connections.
func (r *relay) blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.drops {
		close(c)
	}
	r.drops = nil
}

// pause holds all bytes back for d, as a node that is short of processor time does.
func (r *relay) pause(d time.Duration) {
	r.gate.Lock()
	time.AfterFunc(d, r.gate.Unlock)
}

// cut drops all bytes of open and new connections until heal is called.
func (r *relay) cut() {
	r.mu.Lock()
	r.isCut = true
	r.mu.Unlock()
	r.blackhole()
}

// heal makes new connections work again.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = false
}
