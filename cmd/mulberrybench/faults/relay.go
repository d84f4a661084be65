package faults

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// relayBufferBytes is the size of the copy buffer for each direction of a connection.
const relayBufferBytes = 32 << 10

// relay forwards TCP connections to one address. While it is cut it keeps all connections open and
// forwards nothing, as a network partition that drops all packets does.
type relay struct {
	target string
	ln     net.Listener

	mu     sync.Mutex
	uncut  chan struct{} // closed while the relay forwards
	conns  []net.Conn
	closed bool
}

func newRelay(ctx context.Context, target string) (*relay, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for relay")
	}
	r := &relay{target: target, ln: ln, uncut: make(chan struct{})}
	close(r.uncut)
	go r.serve(ctx)
	return r, nil
}

func (r *relay) addr() string { return r.ln.Addr().String() }

func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.uncut = make(chan struct{})
}

func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.uncut:
	default:
		close(r.uncut)
	}
}

// close stops the relay and closes all its connections.
func (r *relay) close() {
	r.heal()
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// whenUncut returns a channel that is closed while the relay is not cut.
func (r *relay) whenUncut() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.uncut
}

func (r *relay) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
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
		r.track(in)
		go r.forward(ctx, in)
	}
}

func (r *relay) forward(ctx context.Context, in net.Conn) {
	<-r.whenUncut()
	var d net.Dialer
	out, err := d.DialContext(ctx, "tcp", r.target)
	if err != nil {
		_ = in.Close()
		return
	}
	r.track(out)
	go r.copy(in, out)
	r.copy(out, in)
}

func (r *relay) copy(to io.WriteCloser, from io.ReadCloser) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buf)
		<-r.whenUncut()
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
