package rpc

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// DialTimeout bounds the time to open one connection.
	DialTimeout time.Duration
	// IdlePerAddr is the maximum number of idle connections per address.
	IdlePerAddr int
}

// Pool is a pool of idle client connections. A connection carries one call at a time. A Pool is safe
// for concurrent use.
type Pool struct {
	cfg     PoolConfig
	limiter *limiter

	mu     sync.Mutex
	idle   map[string][]drpc.Conn
	closed bool
}

// NewPool returns an empty pool.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{cfg: cfg, limiter: newLimiter(), idle: make(map[string][]drpc.Conn)}
}

// Get returns an idle connection to addr, or a new one.
func (p *Pool) Get(ctx context.Context, addr string) (drpc.Conn, error) {
	if conn, ok := p.Idle(addr); ok {
		return conn, nil
	}
	return p.Dial(ctx, addr)
}

// Idle removes an idle connection to addr from the pool and returns it, and reports whether there was
// one. Callers use it if they must know whether a connection is reused.
func (p *Pool) Idle(addr string) (drpc.Conn, bool) {
	conn := p.takeIdle(addr)
	return conn, conn != nil
}

// Dial returns a new connection to addr. Callers use it if idle connections may be unresponsive.
func (p *Pool) Dial(ctx context.Context, addr string) (drpc.Conn, error) {
	d := net.Dialer{Timeout: p.cfg.DialTimeout}
	tr, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", addr)
	}
	return drpcconn.NewWithOptions(p.limiter.add(tr), drpcconn.Options{Manager: managerOptions()}), nil
}

// Put returns conn to the pool for later calls. It must only be called after the last call on conn
// ended cleanly.
func (p *Pool) Put(addr string, conn drpc.Conn) {
	select {
	case <-conn.Closed():
		return
	default:
	}
	p.mu.Lock()
	keep := !p.closed && len(p.idle[addr]) < p.cfg.IdlePerAddr
	if keep {
		p.idle[addr] = append(p.idle[addr], conn)
	}
	p.mu.Unlock()
	if !keep {
		_ = conn.Close()
	}
}

// Drop closes all idle connections to addr. Callers use it after a connection was unresponsive,
// because the others share its network path.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	conns := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	closeAll(conns)
}

// Close closes all idle connections. Connections in use are closed when they are returned to the pool.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	var conns []drpc.Conn
	for _, cs := range p.idle {
		conns = append(conns, cs...)
	}
	p.idle = make(map[string][]drpc.Conn)
	p.mu.Unlock()
	closeAll(conns)
}

func (p *Pool) takeIdle(addr string) drpc.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle[addr]); n > 0; n-- {
		conn := p.idle[addr][n-1]
		p.idle[addr] = p.idle[addr][:n-1]
		select {
		case <-conn.Closed():
		default:
			return conn
		}
	}
	return nil
}

func closeAll(conns []drpc.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}
