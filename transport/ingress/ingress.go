// Package ingress accepts HTTP/1.1 requests of callers and of other nodes.
//
// Requests that a caller sends without waiting for answers run at the same time
// when their method is safe, and are answered in the order in which they were
// sent; net/http would run one after the other, so that a short request waits
// for the work of those before it. A connection is read while its requests run:
// a caller that leaves ends them, whatever it has sent.
//
// An answer leaves as the upstream gave it; no header is added. A planned stop
// cuts off no request: while the server drains it goes on reading kept
// connections, answers what arrives, and closes each connection behind the last
// answer.
//
// Requests are parsed by net/http.
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
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
)

const (
	// headerBytes bounds the header of a request; the configuration may demand
	// less.
	headerBytes = 256 << 10
	// headerTime bounds the arrival of a header, idleTime an unused connection.
	// Callers reuse connections for most of the idle time that the
	// configuration names, so this one is longer.
	headerTime = 10 * time.Second
	idleTime   = 90 * time.Second
	// writeTime bounds one write: a caller that does not read its answer must
	// not keep it in memory for ever.
	writeTime = 30 * time.Second
	// lingerTime is how long a connection is read after the last answer, so
	// that bytes still on their way do not reset it before the answer is read.
	lingerTime = 500 * time.Millisecond
	// skippedBytes is the largest rest of a body that is read only to keep the
	// connection; it is net/http's own bound.
	skippedBytes = 256 << 10
	// pipelined bounds the requests of one connection that run at the same
	// time.
	pipelined = 16
	// acceptPause follows an accept that failed, for want of descriptors mostly.
	acceptPause = 20 * time.Millisecond
)

// Config is what a Server is made from.
type Config struct {
	Addr    string
	Handler http.HandlerFunc
	Log     *log.Logger
}

// Server serves one address.
type Server struct {
	cfg      Config
	draining atomic.Bool
	closing  atomic.Bool // unused connections are closed
	active   atomic.Int64

	mu     sync.Mutex
	lis    net.Listener
	conns  map[*conn]struct{}
	closed bool
	gone   chan struct{} // closed when the server is closed and no connection is left
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, conns: make(map[*conn]struct{}), gone: make(chan struct{})}
}

// Serve listens until Close.
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
			s.cfg.Log.Info().Str("addr", s.cfg.Addr).Err(err).Msg("requests were open when the server ended")
		}
	})()
	for {
		nc, err := lis.Accept()
		switch {
		case err == nil:
			c := newConn(s, nc)
			if !s.add(c) {
				_ = nc.Close() // the server has been closed meanwhile
				return nil
			}
			go c.serve(ctx)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			s.cfg.Log.Warn().Str("addr", s.cfg.Addr).Err(err).Msg("connection not accepted")
			time.Sleep(acceptPause)
		}
	}
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.closed && len(s.conns) == 0 {
		close(s.gone)
	}
}

// Drain closes each connection behind its last answer from now on.
func (s *Server) Drain() { s.draining.Store(true) }

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int64 { return s.active.Load() }

// Close ends the listener and unused connections, waits for requests until ctx
// ends, and closes all connections.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	lis := s.lis
	open := s.open()
	if len(open) == 0 {
		close(s.gone)
	}
	s.mu.Unlock()
	s.draining.Store(true)
	s.closing.Store(true)
	var err error
	if lis != nil {
		err = lis.Close()
	}
	for _, c := range open {
		c.closeUnused()
	}
	select {
	case <-s.gone:
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	open = s.open()
	s.mu.Unlock()
	for _, c := range open {
		c.abort()
	}
	return errors.CombineErrors(err, errors.Wrapf(ctx.Err(), "%d connections had open requests", len(open)))
}

// open returns the connections; s.mu is held.
func (s *Server) open() []*conn {
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}
