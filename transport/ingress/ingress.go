// Package ingress accepts HTTP/1.1 requests of callers and of other nodes. It is
// net/http set up so that an answer leaves as the upstream gave it, and so that a
// planned stop cuts off no request: while the server drains it goes on reading
// kept connections, answers what arrives and closes each connection behind its
// answer.
//
// # Usage
//
//	s := ingress.New(ingress.Config{Addr: addr, Handler: h})
//	go s.Serve(ctx)
//	s.Drain()
//	s.Close(ctx) // after Active has reached 0
package ingress

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
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
)

// Config is what a Server is made from.
type Config struct {
	Addr    string
	Handler http.HandlerFunc
}

// Server serves one address.
type Server struct {
	cfg      Config
	srv      *http.Server
	draining atomic.Bool
	active   atomic.Int64
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.srv = &http.Server{
		Handler: http.HandlerFunc(s.handle), MaxHeaderBytes: headerBytes,
		ReadHeaderTimeout: headerTime, IdleTimeout: idleTime,
		DisableGeneralOptionsHandler: true,
	}
	return s
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	h := w.Header()
	h["Date"] = nil // nothing is added to the answer of an upstream
	if s.draining.Load() {
		h.Set("Connection", "close")
	}
	s.cfg.Handler(w, r)
}

// Serve listens until Close.
func (s *Server) Serve(ctx context.Context) error {
	var lc net.ListenConfig
	lis, err := lc.Listen(ctx, "tcp", s.cfg.Addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.cfg.Addr)
	}
	if err := s.srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain closes each connection behind its next answer from now on.
func (s *Server) Drain() { s.draining.Store(true) }

// Active returns the number of requests that are being served.
func (s *Server) Active() int64 { return s.active.Load() }

// Close ends the listener, waits for requests until ctx ends, and closes all
// connections.
func (s *Server) Close(ctx context.Context) error {
	if err := s.srv.Shutdown(ctx); err != nil {
		return errors.CombineErrors(err, s.srv.Close())
	}
	return nil
}
