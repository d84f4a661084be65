package rpc

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcwire"
)

const (
	// maxFrameBytes bounds one frame. drpc splits messages into frames of this size, and keeps the
	// bytes of an incomplete frame beside those of its message.
	maxFrameBytes = 64 << 10
	// maxFrameHeaderBytes bounds the control byte and the three varints before the data of a frame.
	maxFrameHeaderBytes = 1 + 3*10
	// unreservedBytes is the size up to which messages take nothing from the budget, so that
	// heartbeats and votes pass when it is spent.
	unreservedBytes = maxFrameBytes
	// minPartBytes is the minimum size of a frame that is not the last one of its message.
	minPartBytes = 4 << 10
	// maxBufferedBytes is the budget for larger messages on all connections of a Server or a Pool. A
	// message that is being received takes up to twice its size.
	maxBufferedBytes = 32 << 20
	// smallMessages is the number of consecutive small messages after which drpc frees the buffer of
	// a large one, with one to spare.
	smallMessages = 12
	// reserveTimeout bounds the wait for the bytes of connections that are closed.
	reserveTimeout = time.Second
)

var (
	errFrameTooLarge = errors.New("frame, or message other than of data, is too large")
	errFrameTooSmall = errors.New("part of a message is too small")
	errNoBuffer      = errors.New("too many bytes are buffered")
)

// limiter bounds the bytes that the connections of a Server or a Pool buffer, and their number.
type limiter struct {
	limits Limits

	mu       sync.Mutex
	conns    map[*limitedConn]struct{}
	reserved int
	waiting  map[*limitedConn]int // bytes for which connections wait
	messages uint64               // complete messages and new connections so far
	changed  chan struct{}        // closed and replaced when a wait may have ended
}

func newLimiter() *limiter {
	return &limiter{conns: make(map[*limitedConn]struct{}), waiting: make(map[*limitedConn]int), changed: make(chan struct{})}
}

// add registers a connection. Above the limit, it closes one of the host with the most.
func (l *limiter) add(nc net.Conn) *limitedConn {
	host, _, _ := net.SplitHostPort(nc.RemoteAddr().String()) // all others share one entry
	c := &limitedConn{Conn: nc, limiter: l, host: host}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	l.markCurrent(c)
	if l.limits.Conns > 0 && len(l.conns) > l.limits.Conns {
		l.closeOne(func(*limitedConn) int { return 1 })
	}
	return c
}

// reserve takes bytes from the budget for c. When the budget is spent, it closes connections of the host
// with the largest share, possibly c itself, and waits until they have freed their buffers. A message
// that is being received is newer than one that has stopped halfway. Of the connections that wait, those
// of the host with the smallest share go first.
func (l *limiter) reserve(c *limitedConn, n int) error {
	timer := time.NewTimer(reserveTimeout)
	defer timer.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	defer delete(l.waiting, c)
	for l.reserved+n+l.awaitedBefore(c) > maxBufferedBytes {
		l.waiting[c] = n
		if l.heldByOpen()+n > maxBufferedBytes {
			l.closeOne(func(c *limitedConn) int { return c.reserved })
		}
		if _, open := l.conns[c]; !open {
			return errNoBuffer
		}
		changed := l.changed
		l.mu.Unlock()
		timedOut := false
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		}
		l.mu.Lock()
		if timedOut {
			return errNoBuffer
		}
	}
	if _, open := l.conns[c]; !open {
		return errNoBuffer
	}
	c.reserved += n
	l.reserved += n
	return nil
}

// awaitedBefore returns the bytes for which connections of hosts with a smaller share than that of c wait.
// The caller holds mu.
func (l *limiter) awaitedBefore(c *limitedConn) (n int) {
	if len(l.waiting) == 0 {
		return 0
	}
	shares := l.shares(func(c *limitedConn) int { return c.reserved })
	for other, bytes := range l.waiting {
		if _, open := l.conns[other]; open && shares[other.host] < shares[c.host] {
			n += bytes
		}
	}
	return n
}

// shares returns the sums of the weights of the open connections by host. The caller holds mu.
func (l *limiter) shares(weight func(*limitedConn) int) map[string]int {
	sums := make(map[string]int)
	for c := range l.conns {
		sums[c.host] += weight(c)
	}
	return sums
}

// wakeWaiting makes the connections that wait check again. The caller holds mu.
func (l *limiter) wakeWaiting() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// markCurrent records a complete message of c. The caller holds mu.
func (l *limiter) markCurrent(c *limitedConn) {
	l.messages++
	c.lastMessage = l.messages
}

// heldByOpen returns the bytes of the connections that are not being closed. The caller holds mu.
func (l *limiter) heldByOpen() (n int) {
	for c := range l.conns {
		n += c.reserved
	}
	return n
}

// closeOne closes a connection of the host with the largest sum of weights: one that has never received
// a complete message, or else the one that has been without for the longest time. Its bytes are
// returned once its reader has ended. The caller holds mu.
func (l *limiter) closeOne(weight func(*limitedConn) int) {
	sums := l.shares(weight)
	var victim *limitedConn
	for c := range l.conns {
		if weight(c) > 0 && (victim == nil || c.yieldsBefore(victim, sums)) {
			victim = c
		}
	}
	if victim == nil {
		return
	}
	delete(l.conns, victim)
	_ = victim.Conn.Close() // its peer finds the connection closed
	l.wakeWaiting()         // the victim may wait itself, and frees its bytes only after that
}

// yieldsBefore reports whether c is closed before other.
func (c *limitedConn) yieldsBefore(other *limitedConn, sums map[string]int) bool {
	switch {
	case sums[c.host] != sums[other.host]:
		return sums[c.host] > sums[other.host]
	case c.received != other.received:
		return !c.received
	}
	return c.lastMessage < other.lastMessage
}

// release returns the share of c to the budget. The caller holds mu.
func (l *limiter) release(c *limitedConn) {
	if c.reserved == 0 {
		return
	}
	l.reserved -= c.reserved
	c.reserved = 0
	l.wakeWaiting()
}

// limitedConn follows the frames that it receives, to count the bytes that drpc buffers. Only one
// goroutine reads.
type limitedConn struct {
	net.Conn
	limiter *limiter
	host    string // of the peer

	// Guarded by limiter.mu.
	lastMessage uint64 // position in the order of messages
	received    bool   // a complete message
	reserved    int

	// Used by the reading goroutine only.
	header       []byte
	frameLeft    int // bytes of the current frame that have not been read yet
	message      drpcwire.ID
	messageBytes int
	peakBytes    int // of the messages since the buffer was last freed
	smallRun     int
	err          error
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if c.err = c.follow(p[:n]); c.err != nil {
		_ = c.Conn.Close() // the error of the frames is returned
		return 0, c.err
	}
	return n, err
}

// Write implements net.Conn.
func (c *limitedConn) Write(p []byte) (int, error) {
	if d := c.limiter.limits.WriteTimeout; d > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(d)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.limiter.mu.Lock()
	delete(c.limiter.conns, c)
	c.limiter.release(c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// follow counts the frames in received bytes.
func (c *limitedConn) follow(p []byte) error {
	for len(p) > 0 {
		if c.frameLeft > 0 {
			n := min(c.frameLeft, len(p))
			c.frameLeft -= n
			p = p[n:]
			continue
		}
		c.header = append(c.header, p[0])
		p = p[1:]
		done, err := c.parseHeader()
		if err != nil {
			return err
		}
		if done {
			c.header = c.header[:0]
		}
	}
	return nil
}

// parseHeader begins a frame if its header is complete.
func (c *limitedConn) parseHeader() (done bool, err error) {
	if len(c.header) > maxFrameHeaderBytes {
		return false, errFrameTooLarge
	}
	var values [3]uint64 // stream, message and length
	rem := c.header[1:]
	var ok bool
	for i := range values {
		if rem, values[i], ok, err = drpcwire.ReadVarint(rem); err != nil || !ok {
			return false, errors.Wrap(err, "parse frame")
		}
	}
	last, kind := c.header[0]&1 != 0, drpcwire.Kind(c.header[0]&0x7e>>1)
	id := drpcwire.ID{Stream: values[0], Message: values[1]}
	if values[2] > maxFrameBytes {
		return false, errFrameTooLarge
	}
	c.frameLeft = int(values[2]) //nolint:gosec // at most maxFrameBytes
	if id != c.message {
		c.message, c.messageBytes = id, 0
	}
	c.messageBytes += c.frameLeft
	if kind != drpcwire.KindMessage && c.messageBytes > unreservedBytes {
		return false, errFrameTooLarge
	}
	if !last && c.frameLeft < minPartBytes {
		return false, errFrameTooSmall
	}
	return true, c.countMessage(last)
}

// countMessage reserves what the current message needs beyond the buffer of earlier ones.
func (c *limitedConn) countMessage(last bool) error {
	if have := max(c.peakBytes, unreservedBytes); c.messageBytes > have {
		if err := c.limiter.reserve(c, c.messageBytes-have); err != nil {
			return err
		}
	}
	c.peakBytes = max(c.peakBytes, c.messageBytes)
	if !last {
		return nil
	}
	if c.messageBytes < c.peakBytes/4 {
		c.smallRun++
	} else {
		c.smallRun = 0
	}
	c.messageBytes = 0
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.markCurrent(c)
	c.received = true
	if c.smallRun > smallMessages {
		c.peakBytes, c.smallRun = 0, 0
		c.limiter.release(c)
	}
	return nil
}

// limitedListener limits the connections that it accepts.
type limitedListener struct {
	net.Listener
	limiter *limiter
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.limiter.add(nc), nil
}
