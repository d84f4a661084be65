package exchange

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readSize  = 4 << 10
	writeSize = 4 << 10
	// defaultKeep is how long an idle connection is kept when the other side
	// does not say how long it keeps it.
	defaultKeep = 4 * time.Second
	// keepShare of an announced idle time is used: the other side counts from an
	// earlier moment.
	keepShare = 0.75
	// deadTime is how long sent bytes may stay without acknowledgement, and
	// probeTime the pause between the probes of a quiet connection. A connection
	// whose path has gone silent shows nothing else.
	deadTime  = 1500 * time.Millisecond
	probeTime = time.Second
)

// Config holds the limits of a Pool.
type Config struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// MaxIdlePerAddr is the number of idle connections kept per address.
	MaxIdlePerAddr int
	// IdleTimeout bounds how long an idle connection is kept.
	IdleTimeout time.Duration
	// BufferBytes is the number of bytes of a response body that Do reads into
	// memory before it returns.
	BufferBytes int
	// OnConnect is called for each new connection. It may be nil.
	OnConnect func()
}

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu   sync.Mutex
	idle map[string][]*conn // the one used last is at the end
}

type conn struct {
	net.Conn
	addr  string
	raw   syscall.RawConn
	br    *bufio.Reader
	bw    *bufio.Writer
	since time.Time // when it became idle
	until time.Time
	used  bool
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool { return &Pool{cfg: cfg, idle: make(map[string][]*conn)} }

// get returns a usable idle connection or a new one.
func (p *Pool) get(ctx context.Context, call *Request) (*conn, error) {
	for !call.NewConn {
		c := p.take(call.Addr, call.MaxIdleTime)
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, call.Addr)
}

func (p *Pool) take(addr string, maxIdle time.Duration) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for n := len(list); n > 0; n = len(list) {
		c := list[n-1]
		if now.Before(c.until) && (maxIdle == 0 || now.Sub(c.since) <= maxIdle) {
			p.idle[addr] = list[:n-1]
			return c
		}
		if now.Before(c.until) {
			break // the others have been idle for longer
		}
		_ = c.Close()
		list = list[:n-1]
		p.idle[addr] = list
	}
	return nil
}

func (p *Pool) put(c *conn) {
	now := time.Now()
	c.since = now
	c.used = true
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	for len(list) > 0 && !now.Before(list[0].until) {
		_ = list[0].Close()
		list = list[1:]
	}
	if len(list) >= p.cfg.MaxIdlePerAddr {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[c.addr] = append(list, c)
}

// CloseIdle closes all idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	d := net.Dialer{
		Timeout:         p.cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeTime, Interval: probeTime, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without the option a write to a dead host hangs for longer; the
				// deadline of the exchange still ends it.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadTime.Milliseconds()))
			})
		},
	}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if p.cfg.OnConnect != nil {
		p.cfg.OnConnect()
	}
	c := &conn{Conn: nc, addr: addr, br: bufio.NewReaderSize(nc, readSize), bw: bufio.NewWriterSize(nc, writeSize)}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // nil without one; the connection is then not checked
	}
	return c, nil
}

// quiet reports whether an idle connection is open and nothing has arrived on
// it: bytes there belong to no request.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN || err == unix.EINTR
		return true
	})
	return err == nil && quiet
}

// keepFor sets how long the connection may be kept after an answer.
func (c *conn) keepFor(header string, limit time.Duration) {
	keep := defaultKeep
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			keep = time.Duration(float64(n) * keepShare * float64(time.Second))
		}
	}
	c.until = time.Now().Add(min(keep, limit))
}
