// Package rpc carries drpc between the system's own processes over TCP.
//
// # Usage
//
// A server is a table of methods; each method gets the stream of one call:
//
//	s := rpc.NewServer(logf)
//	s.Handle("forward/exchange", func(st drpc.Stream) error { … })
//	go s.Serve(ctx, lis)
//
// A client keeps idle connections per address and dials under a deadline:
//
//	p := rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second, IdlePerAddr: 64})
//	conn, err := p.Get(ctx, addr)
//	err = conn.Invoke(ctx, "control/status", codec.Encoding{}, &in, &out)
//	p.Put(addr, conn) // only after a call that ended cleanly
package rpc

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
)

// maxMessageBytes bounds one drpc message on either side.
const maxMessageBytes = 8 << 20

// Handler serves one call. The call ends when it returns.
type Handler func(st drpc.Stream) error

// Server dispatches calls to handlers by method name.
type Server struct {
	handlers map[string]Handler
	srv      *drpcserver.Server
}

// NewServer returns a server without methods. The function logf is called for
// connection errors that belong to no call.
func NewServer(logf func(error)) *Server {
	s := &Server{handlers: make(map[string]Handler)}
	s.srv = drpcserver.NewWithOptions(s, drpcserver.Options{
		Manager: managerOptions(),
		Log:     logf,
	})
	return s
}

// Handle registers a method. It must not be called after Serve.
func (s *Server) Handle(method string, h Handler) {
	s.handlers[method] = h
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(st drpc.Stream, method string) error {
	h, ok := s.handlers[method]
	if !ok {
		return errors.Newf("method %q does not exist", method)
	}
	return h(st)
}

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	err := s.srv.Serve(ctx, lis)
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
