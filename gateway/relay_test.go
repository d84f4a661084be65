package gateway_test

import (
	"net"
	"sync"
	"testing"
)

// relay passes connections on until they are silenced. New connections after
// that work.
type relay struct {
	lis    net.Listener
	mu     sync.Mutex
	target string
	old    []chan struct{}
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
			go r.pass(c)
		}
	}()
	return r
}

func (r *relay) pass(c net.Conn) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	out, err := net.Dial("tcp", target)
	if err != nil {
		_ = c.Close()
		return
	}
	silent := make(chan struct{})
	r.mu.Lock()
	r.old = append(r.old, silent)
	r.mu.Unlock()
	pump := func(to, from net.Conn) {
		buf := make([]byte, 4096)
		for {
			n, err := from.Read(buf)
			select {
			case <-silent:
				continueReading(from)
				return // neither bytes nor the end are passed on
			default:
			}
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
	go pump(out, c)
	pump(c, out)
}

// continueReading takes bytes until the other side closes, as a path that drops
// everything does.
func continueReading(c net.Conn) {
	buf := make([]byte, 4096)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

// silence drops everything on the connections that are open now.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.old {
		close(c)
	}
	r.old = nil
}
