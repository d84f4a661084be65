package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mulberrylink/mulberrylink/state/memory"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// connBytes is what an open connection takes: its buffers, its timers and what the runtime
	// keeps for it.
	connBytes = readBufferBytes + writeBufferBytes + 2<<10
	// defaultIdleTimeout is how long an idle connection is kept when the upstream
	// doesn't announce its own timeout.
	defaultIdleTimeout = 4 * time.Second
	// keepAliveShare is the share of an announced idle timeout that is used,
	// because the upstream starts its timer earlier than this side.
	keepAliveShare = 0.75
	// tcpUserTimeout is how long sent bytes may stay unacknowledged, and
	// tcpKeepAliveInterval is the interval of the probes on an idle connection. Nothing
	// else detects a connection whose packets are dropped silently.
	tcpUserTimeout       = 1500 * time.Millisecond
	tcpKeepAliveInterval = time.Second
	// maxSweepInterval bounds how often connections that have been idle for too long are closed, also
	// those to addresses that are not used any more.
	maxSweepInterval = 5 * time.Second
	// shedDivisor is the inverse of the share of the idle connections that are closed when there are
	// too many.
	shedDivisor = 16
)

// Config holds the limits of a Pool.
type Config struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// MaxIdlePerAddr is the number of idle connections kept per address. With 0, every
	// connection is closed after its exchange.
	MaxIdlePerAddr int
	// MaxIdle is the number of idle connections kept to all addresses. With 0, only MaxIdlePerAddr
	// applies.
	MaxIdle int
	// IdleTimeout bounds how long an idle connection is kept.
	IdleTimeout time.Duration
	// BufferBytes is the number of bytes of a response body that Do reads into
	// memory before it returns.
	BufferBytes int
	// MaxUndelimitedBytes limits a response body whose head doesn't state its length.
	// A longer one counts as cut off. Zero sets no limit.
	MaxUndelimitedBytes int64
	// OnConnect is called for each new connection. It may be nil.
	OnConnect func()
	// OnExhausted is called when a connection can't be opened because the process has run out of
	// descriptors. It frees some; the connection is then tried once more. It may be nil.
	OnExhausted func()
	// Memory is the budget that connections draw on. It may be nil.
	Memory *memory.Budget
}

// Pool is a pool of idle connections, by address. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu       sync.Mutex
	idle     map[string][]*conn // by address, most recently used last
	idleSize int                // number of idle connections
	sweeping bool               // a call of sweep is scheduled
}

type conn struct {
	net.Conn
	mem           *memory.Account
	addr          string
	raw           syscall.RawConn
	head          *headChecker
	input         io.LimitedReader // reads from head; its limit applies to response heads only
	br            *bufio.Reader
	bw            *bufio.Writer
	idleSince     time.Time
	reusableUntil time.Time // from the Keep-Alive header and the limit of the pool
	used          bool
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool { return &Pool{cfg: cfg, idle: make(map[string][]*conn)} }

// get returns an idle connection that can be reused, or a new one.
func (p *Pool) get(ctx context.Context, req *Request) (*conn, error) {
	for !req.NewConn {
		c := p.takeIdle(req.Addr, req.MaxIdleTime)
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, req.Addr)
}

func (p *Pool) takeIdle(addr string, maxIdle time.Duration) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for n := len(list); n > 0; n = len(list) {
		c := list[n-1]
		if now.Before(c.reusableUntil) && (maxIdle == 0 || now.Sub(c.idleSince) <= maxIdle) {
			p.setIdle(addr, list[:n-1])
			return c
		}
		if now.Before(c.reusableUntil) {
			break // the others have been idle for longer
		}
		_ = c.Close()
		list = list[:n-1]
		p.setIdle(addr, list)
	}
	return nil
}

// setIdle replaces the idle connections of an address. The caller holds mu.
func (p *Pool) setIdle(addr string, list []*conn) {
	p.idleSize += len(list) - len(p.idle[addr])
	if len(list) == 0 {
		delete(p.idle, addr)
		return
	}
	p.idle[addr] = list
}

func (p *Pool) putIdle(c *conn) {
	now := time.Now()
	c.idleSince = now
	c.used = true
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	for len(list) > 0 && !now.Before(list[0].reusableUntil) {
		_ = list[0].Close()
		list = list[1:]
	}
	if p.cfg.MaxIdlePerAddr <= 0 {
		_ = c.Close()
		return
	}
	if len(list) >= p.cfg.MaxIdlePerAddr {
		_ = list[0].Close()
		list = list[1:]
	}
	p.setIdle(c.addr, append(list, c))
	if p.cfg.MaxIdle > 0 && p.idleSize > p.cfg.MaxIdle {
		p.closeLongestIdle()
	}
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(p.sweepInterval(), p.sweep)
	}
}

// sweepInterval returns how often idle connections are checked.
func (p *Pool) sweepInterval() time.Duration { return min(maxSweepInterval, p.cfg.IdleTimeout) }

// sweep closes the idle connections whose time is over, and schedules the next call while others
// are left.
func (p *Pool) sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			if now.Before(c.reusableUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		p.setIdle(addr, kept)
	}
	p.sweeping = len(p.idle) > 0
	if p.sweeping {
		time.AfterFunc(p.sweepInterval(), p.sweep)
	}
}

// CloseIdle closes all idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	p.setIdle(addr, nil)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// RetainIdle closes the idle connections to the addresses for which keep returns false.
func (p *Pool) RetainIdle(keep func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		if keep(addr) {
			continue
		}
		for _, c := range list {
			_ = c.Close()
		}
		p.setIdle(addr, nil)
	}
}

// IdleSize returns the number of idle connections.
func (p *Pool) IdleSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleSize
}

// CloseLongestIdle closes a part of the idle connections, the longest idle ones. It reports whether
// there was one.
func (p *Pool) CloseLongestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closeLongestIdle()
}

// closeLongestIdle implements CloseLongestIdle. The caller holds mu.
func (p *Pool) closeLongestIdle() bool {
	all := make([]*conn, 0, p.idleSize)
	for _, list := range p.idle {
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b *conn) int { return a.idleSince.Compare(b.idleSince) })
	for _, c := range all[:min(len(all), 1+len(all)/shedDivisor)] {
		_ = c.Close()
		p.setIdle(c.addr, slices.DeleteFunc(p.idle[c.addr], func(other *conn) bool { return other == c }))
	}
	return len(all) > 0
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	d := net.Dialer{
		Timeout:         p.cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: tcpKeepAliveInterval, Interval: tcpKeepAliveInterval, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// The error is ignored: without the option a write to a dead host
				// only blocks for longer, up to the deadline of the exchange.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
		},
	}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if isExhausted(err) && p.cfg.OnExhausted != nil {
		p.cfg.OnExhausted()
		nc, err = d.DialContext(ctx, "tcp", addr)
	}
	if err != nil {
		return nil, err
	}
	if p.cfg.OnConnect != nil {
		p.cfg.OnConnect()
	}
	head := &headChecker{r: nc}
	c := &conn{
		Conn: nc, mem: p.cfg.Memory.NewAccount(nil), addr: addr, head: head,
		input: io.LimitedReader{R: head, N: math.MaxInt64}, bw: bufio.NewWriterSize(nc, writeBufferBytes),
	}
	c.mem.Take(memory.Connections, connBytes)
	c.br = bufio.NewReaderSize(&c.input, readBufferBytes)
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // on an error it stays nil and the connection isn't checked
	}
	return c, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mem.Close()
	return c.Conn.Close()
}

// isExhausted reports whether the process or the system has run out of descriptors.
func isExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// usable reports whether an idle connection is open and has no unread bytes, which
// would belong to no request.
func (c *conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	usable := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = err == unix.EAGAIN || err == unix.EINTR
		return true
	})
	return err == nil && usable
}

// setReusableUntil sets how long the connection may be reused after a response, from
// the Keep-Alive header of the response and the limit of the pool.
func (c *conn) setReusableUntil(keepAlive string, limit time.Duration) {
	timeout := defaultIdleTimeout
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			timeout = time.Duration(float64(n) * keepAliveShare * float64(time.Second))
		}
	}
	c.reusableUntil = time.Now().Add(min(timeout, limit))
}
