// Package ingress is the HTTP/1.1 server of package gateway. It accepts requests
// of callers and of other nodes. cmd/mulberrynode uses transport/front instead,
// an older entry point on go-zero.
//
// Requests are parsed by net/http, but the server loop is implemented here,
// because net/http runs the pipelined requests of a connection one after the
// other, so that a short request waits for the ones before it. This server runs
// pipelined requests concurrently when their methods are safe and they have no
// body, and sends the responses in the order of the requests. It keeps reading a
// connection while requests run and cancels them when the caller disconnects;
// net/http notices a disconnect only when no further request has been sent.
//
// The response of an upstream is sent as it is. The server adds only the headers
// that concern the connection or the framing of the body.
//
// A graceful shutdown interrupts no request: while the server drains, it keeps
// reading persistent connections, responds to the requests that arrive, and closes
// each connection after its last response.
//
// # Usage
//
//	s := ingress.New(ingress.Config{Addr: addr, Handler: h, Log: log})
//	go s.Serve(ctx)
//	s.Drain()
//	s.Close(ctx) // after InFlight has reached 0
package ingress

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink/state/memory"
)

const (
	// maxHeaderBytes limits the header of a request. Parsed, a header of many short lines
	// takes about 16 times its size, and a node has less than 200 MB for all connections.
	maxHeaderBytes    = 64 << 10
	headerReadTimeout = 10 * time.Second
	// idleTimeout is longer than the idle timeout in the configuration, because
	// callers reuse a connection for most of that time.
	idleTimeout = 90 * time.Second
	// writeTimeout limits one write, so that a caller that doesn't read its response
	// can't keep it in memory forever.
	writeTimeout = 30 * time.Second
	// lingerTimeout is how long a connection is still read after the last response.
	// Closing it while the caller sends would reset the connection, and the caller
	// might lose the response.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes limits what is read and discarded after the last request of a connection.
	maxLingerBytes = 4 << 20
	// lingerBufferBytes is how much may come after the last response before the buffer of the
	// connection is limited to it.
	lingerBufferBytes = 64 << 10
	// maxDiscardedBytes limits how much of an unread request body is discarded to keep
	// the connection usable. net/http has the same limit.
	maxDiscardedBytes = 256 << 10
	// maxPipelined limits the concurrent requests of one connection.
	maxPipelined = 16
	// acceptRetryDelay is the delay after a failed accept, which usually means that
	// the process is out of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
	// acceptFailureLogInterval is the minimum time between two log lines about failed accepts.
	acceptFailureLogInterval = time.Second
	// shedDivisor is the inverse of the share of the connections that are closed when there are too
	// many.
	shedDivisor = 16
)

// Config configures a Server.
type Config struct {
	// Addr is the listen address.
	Addr    string
	Handler http.HandlerFunc
	// MaxConns is the number of open connections above which the longest idle ones are closed.
	// With 0, none is closed for that reason. Connections with requests in flight stay open.
	MaxConns int
	// OnExhausted is called when a connection can't be accepted because the process has run out of
	// descriptors. It frees some. It may be nil.
	OnExhausted func()
	// Memory is the budget that connections and the heads of requests draw on. It may be nil.
	Memory *memory.Budget
	Log    *log.Logger
}

// Server is an HTTP/1.1 server that listens on one address.
type Server struct {
	cfg      Config
	draining atomic.Bool
	closing  atomic.Bool // idle connections are closed
	inFlight atomic.Int64
	// acceptFailedAt is the time of the last failed accept.
	acceptFailedAt atomic.Pointer[time.Time]

	mu        sync.Mutex
	lis       net.Listener
	conns     map[*conn]struct{}
	closed    bool
	allClosed chan struct{} // closed when the server is closed and no connection is left
}

// New returns a server that doesn't listen yet.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, conns: make(map[*conn]struct{}), allClosed: make(chan struct{})}
}

// Serve accepts connections until ctx ends or Close is called.
func (s *Server) Serve(ctx context.Context) error {
	var lc net.ListenConfig
	lis, err := lc.Listen(ctx, "tcp", s.cfg.Addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.cfg.Addr)
	}
	s.mu.Lock()
	s.lis = lis
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return lis.Close()
	}
	defer context.AfterFunc(ctx, func() {
		if err := s.Close(ctx); err != nil {
			s.cfg.Log.Info().Str("addr", s.cfg.Addr).Err(err).Msg("server closed with requests in flight")
		}
	})()
	for {
		nc, err := lis.Accept()
		switch {
		case err == nil:
			c := newConn(s, nc)
			if !s.add(c) {
				c.mem.Close()
				_ = nc.Close() // the server was closed in the meantime
				return nil
			}
			go c.serve(ctx)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			s.handleAcceptError(err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// handleAcceptError frees descriptors when the process has run out of them.
func (s *Server) handleAcceptError(err error) {
	now := time.Now()
	if last := s.acceptFailedAt.Swap(&now); last == nil || now.Sub(*last) > acceptFailureLogInterval {
		s.cfg.Log.Warn().Str("addr", s.cfg.Addr).Err(err).Msg("failed to accept a connection; retrying")
	}
	if s.cfg.OnExhausted != nil && (errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)) {
		s.cfg.OnExhausted()
	}
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	if s.cfg.MaxConns > 0 && len(s.conns) > s.cfg.MaxConns {
		s.closeLongestIdle(0)
	}
	return true
}

// CloseLongestIdle closes a part of the connections, those that have been idle for the longest time,
// and for at least minIdle. It reports whether there was one.
func (s *Server) CloseLongestIdle(minIdle time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeLongestIdle(minIdle)
}

// closeLongestIdle implements CloseLongestIdle. The caller holds mu.
func (s *Server) closeLongestIdle(minIdle time.Duration) bool {
	type idleConn struct {
		*conn
		since time.Time
	}
	var idle []idleConn
	now := time.Now()
	for c := range s.conns {
		if since, ok := c.idleSince(); ok && now.Sub(since) >= minIdle {
			idle = append(idle, idleConn{c, since})
		}
	}
	slices.SortFunc(idle, func(a, b idleConn) int { return a.since.Compare(b.since) })
	for _, c := range idle[:min(len(idle), 1+len(s.conns)/shedDivisor)] {
		c.closeIfIdle()
	}
	return len(idle) > 0
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.closed && len(s.conns) == 0 {
		close(s.allClosed)
	}
}

// Listening reports whether the server accepts connections.
func (s *Server) Listening() bool {
	if at := s.acceptFailedAt.Load(); at != nil && time.Since(*at) < 2*acceptRetryDelay {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lis != nil && !s.closed
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain makes the server close each connection after its last response.
func (s *Server) Drain() { s.draining.Store(true) }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Close closes the listener and idle connections, waits for requests in flight
// until ctx ends, and then closes the remaining connections. It returns an error when
// that interrupts requests.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	lis := s.lis
	conns := s.openConns()
	if len(conns) == 0 {
		close(s.allClosed)
	}
	s.mu.Unlock()
	s.draining.Store(true)
	s.closing.Store(true)
	var err error
	if lis != nil {
		err = lis.Close()
	}
	for _, c := range conns {
		c.refreshReadDeadline()
	}
	select {
	case <-s.allClosed:
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	conns = s.openConns()
	s.mu.Unlock()
	inFlight := s.InFlight()
	for _, c := range conns {
		c.abort()
	}
	if inFlight == 0 {
		return err // callers had not closed their side of these connections yet
	}
	return errors.CombineErrors(err, errors.Wrapf(ctx.Err(), "%d requests were in flight", inFlight))
}

// openConns returns the open connections. s.mu must be held.
func (s *Server) openConns() []*conn {
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}
