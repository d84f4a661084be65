// Package rpc provides drpc servers and connection pools for the calls between nodes and control
// hosts over TCP.
//
// # Usage
//
// A server dispatches calls to handlers by method name. A handler receives the stream of one call:
//
//	s := rpc.NewServer(logf)
//	s.Handle("forward/exchange", func(st drpc.Stream) error { … })
//	go s.Serve(ctx, lis)
//
// A client pool keeps idle connections per address and dials new ones with a timeout:
//
//	p := rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second, IdlePerAddr: 64})
//	conn, err := p.Get(ctx, addr)
//	err = conn.Invoke(ctx, "control/status", codec.Encoding{}, &in, &out)
//	p.Put(addr, conn) // only after a call that ended cleanly
package rpc

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
)

// maxMessageBytes bounds one drpc message, sent or received.
const maxMessageBytes = 8 << 20

// Handler handles one call. The call ends when the handler returns.
type Handler func(st drpc.Stream) error

// Server dispatches calls to handlers by method name.
type Server struct {
	handlers map[string]Handler
	srv      *drpcserver.Server
	limiter  *limiter
}

// NewServer returns a server without methods. The function logf, which may be nil, is called with
// connection errors that belong to no call.
func NewServer(logf func(error)) *Server {
	s := &Server{handlers: make(map[string]Handler), limiter: newLimiter()}
	s.srv = drpcserver.NewWithOptions(s, drpcserver.Options{
		Manager: managerOptions(),
		Log:     logf,
	})
	return s
}

// Handle registers the handler of a method. It must not be called after Serve.
func (s *Server) Handle(method string, h Handler) {
	s.handlers[method] = h
}

// Limits bound what the peers of a Server may hold. Zero values are no limits.
type Limits struct {
	// Conns is the number of open connections above which one of the host with the most is closed: one
	// that has never received a complete message, or else the one without for the longest time.
	Conns int
	// WriteTimeout bounds one write. A connection whose peer does not read is closed after it.
	WriteTimeout time.Duration
}

// SetLimits sets the limits. It must not be called after Serve.
func (s *Server) SetLimits(l Limits) { s.limiter.limits = l }

// HandleRPC calls the handler of the method. It implements drpc.Handler.
func (s *Server) HandleRPC(st drpc.Stream, method string) error {
	h, ok := s.handlers[method]
	if !ok {
		return errors.Newf("method %q does not exist", method)
	}
	return h(st)
}

// Serve accepts connections from lis until ctx ends, and then returns nil.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	err := s.srv.Serve(ctx, limitedListener{lis, s.limiter})
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve rpc")
}

func managerOptions() drpcmanager.Options {
	var opts drpcmanager.Options
	opts.SoftCancel = true
	opts.Reader.MaximumBufferSize = maxMessageBytes
	opts.Stream = drpcstream.Options{MaximumBufferSize: maxMessageBytes}
	return opts
}
