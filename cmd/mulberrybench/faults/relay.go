package faults

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// relayBuffer is the size of a copy buffer in bytes.
const relayBuffer = 32 << 10

// relay passes TCP connections on to one address. While it is cut it keeps all
// connections open and passes nothing on, as a silent partition does.
type relay struct {
	to string
	ln net.Listener

	mu    sync.Mutex
	open  chan struct{} // closed while bytes pass
	conns []net.Conn
	ended bool
}

func newRelay(ctx context.Context, to string) (*relay, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &relay{to: to, ln: ln, open: make(chan struct{})}
	close(r.open)
	go r.serve(ctx)
	return r, nil
}

func (r *relay) addr() string { return r.ln.Addr().String() }

func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open = make(chan struct{})
}

func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.open:
	default:
		close(r.open)
	}
}

// close ends the relay and all its connections.
func (r *relay) close() {
	r.heal()
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// passing returns a channel that is closed while bytes pass.
func (r *relay) passing() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}

func (r *relay) keep(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		_ = c.Close()
		return
	}
	r.conns = append(r.conns, c)
}

func (r *relay) serve(ctx context.Context) {
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.keep(in)
		go r.pass(ctx, in)
	}
}

func (r *relay) pass(ctx context.Context, in net.Conn) {
	<-r.passing()
	var d net.Dialer
	out, err := d.DialContext(ctx, "tcp", r.to)
	if err != nil {
		_ = in.Close()
		return
	}
	r.keep(out)
	go r.copy(in, out)
	r.copy(out, in)
}

func (r *relay) copy(to io.WriteCloser, from io.ReadCloser) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		<-r.passing()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
