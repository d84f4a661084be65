// Package front is the HTTP entry point of cmd/mulberrynode for callers, built on
// go-zero. It converts each HTTP request into a request of the load balancer, and
// the result into an HTTP response that states whether the request was run. Package
// gateway doesn't use it; its HTTP server is transport/ingress.
//
// The Host header names the service. Responses that the load balancer itself
// generates carry the headers Mulberry-Outcome and Mulberry-Reason.
//
// go-zero's rest server passes every path to a router of this package, because its
// own router has no catch-all route. Its middlewares are all disabled. Limits on
// time and size come from the configuration of the routes.
//
// # Responses without an outcome
//
// Every request that reaches this package gets a response with an outcome, including
// requests on a connection above the limit (503, reason busy) and requests whose
// headers are up to 8 times as large as allowed (431, reason toolarge). net/http
// responds or closes the connection without Mulberry-Outcome when
//
//   - the headers are larger than that: 431;
//   - the request is not valid HTTP/1.1: 400, 501 or 505;
//   - the header doesn't arrive within 10 s: the connection is closed;
//   - the number of connections exceeds the limit by more than an eighth plus 16:
//     new connections are closed at once.
//
// None of these requests is run, because a request is dispatched only after its
// complete header has been read and validated.
//
// # Usage
//
//	srv, err := front.New(front.Config{
//		Addr: "127.0.0.1:8000", Dispatch: d.Do, ActiveConfig: activeConfig,
//	})
//	go srv.Serve()
//	<-srv.Ready()
//	…
//	srv.Drain(ctx) // returns when no request is in flight
package front

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/core/trace"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/state/overlay"
)

const (
	// shutdownWaitTime is the time after which go-zero ends a process that has received
	// SIGTERM. It is so long that it never applies: the process exits by itself when its
	// requests are complete. WrapUpTime isn't set, because go-zero reads it without a
	// lock and setting it here would be a data race.
	shutdownWaitTime = 100 * 365 * 24 * time.Hour
	// headerReadTimeout limits the reading of a request header, so that slow senders
	// can't keep connections forever.
	headerReadTimeout = 10 * time.Second
	// headerLimitFactor is the limit of net/http on header size relative to
	// Config.MaxHeaderBytes. Headers between the two limits get a response with an outcome.
	headerLimitFactor = 8
	// Above Config.MaxConns, MaxConns/excessConnsDivisor + excessConnsBase further
	// connections are accepted, to respond to their first request with a rejection.
	excessConnsDivisor = 8
	excessConnsBase    = 16
	// idleTimeout limits how long an idle connection of a caller is kept.
	idleTimeout = 2 * time.Minute
)

// Config configures a Server.
type Config struct {
	// Name is the prefix of the request identifiers that this server assigns.
	Name string
	// Addr is the listen address.
	Addr string
	// Dispatch sends a request to an upstream and returns the result.
	Dispatch func(ctx context.Context, r *mulberrylink.Request) mulberrylink.Result
	// ActiveConfig returns the configuration in force, nil when there is none.
	ActiveConfig func() *overlay.Config
	// RejectReason returns why new requests are rejected, ReasonNone while they are accepted. It may
	// be nil.
	RejectReason func() mulberrylink.Reason
	// OnDone is called once for each request when it has ended. It may be nil.
	OnDone func(Event)

	// MaxHeaderBytes limits the request line and the headers, 0 for no limit.
	MaxHeaderBytes int
	// MaxKeyedBodyBytes limits the body of a request with an idempotency key on a keyed route.
	MaxKeyedBodyBytes int64
	// MaxConns limits the connections of callers, 0 for no limit.
	MaxConns int
	// MaxDepth limits the depth of nested calls, 0 for no limit.
	MaxDepth int
}

// Event describes a request that has ended.
type Event struct {
	Service string
	Outcome mulberrylink.Outcome
	Reason  mulberrylink.Reason
	Status  int
	// TimeToFirstByte is the time from the header of the request to the header of the
	// response. It doesn't include the reading of the request header and the last flush
	// of the response, which net/http does.
	TimeToFirstByte time.Duration
	// UpstreamTime is the part of TimeToFirstByte that the request took at its upstream,
	// including the wait for admission there.
	UpstreamTime time.Duration
}

// Server is the HTTP entry point for callers.
type Server struct {
	cfg   Config
	rest  *rest.Server
	http  *http.Server
	ready chan struct{}
	addr  string
	conns atomic.Int64

	inFlight  atomic.Int64
	allDone   sync.Cond // signaled when inFlight reaches 0
	allDoneMu sync.Mutex
}

// New returns a server that doesn't listen yet.
func New(cfg Config) (*Server, error) {
	host, portText, err := net.SplitHostPort(cfg.Addr)
	if err != nil {
		return nil, errors.Wrapf(err, "parse front address %q", cfg.Addr)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, errors.Wrapf(err, "parse port of front address %q", cfg.Addr)
	}
	s := &Server{cfg: cfg, ready: make(chan struct{})}
	s.allDone.L = &s.allDoneMu
	s.rest, err = rest.NewServer(RestConfig("front", host, port), rest.WithRouter(&catchAllRouter{handler: s.handle}))
	if err != nil {
		return nil, errors.Wrap(err, "set up front server")
	}
	return s, nil
}

// RestConfig returns a go-zero configuration without limits and without effective
// signal handling.
func RestConfig(name, host string, port int) rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name: name,
			// go-zero logs every call. The program logs its own events instead.
			Log:       logx.LogConf{Mode: "console", Encoding: "plain", Level: "severe"},
			Mode:      service.ProMode,
			Telemetry: trace.Config{Disabled: true},
			Shutdown:  proc.ShutdownConf{WaitTime: shutdownWaitTime},
		},
		Host: host, Port: port,
		MaxConns: 0, MaxBytes: 0, Timeout: 0, CpuThreshold: 0,
		Middlewares: rest.MiddlewaresConf{},
	}
}

// Serve serves requests until the process ends. It returns an error when it can't listen
// on the address.
func (s *Server) Serve() (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Newf("run front server: %v", p) // go-zero panics when it can't listen
		}
	}()
	s.rest.StartWithOpts(s.configure)
	return nil
}

func (s *Server) configure(srv *http.Server) {
	s.http = srv
	// net/http rejects longer headers without an outcome. Its limit is therefore higher, and
	// parseRequest enforces Config.MaxHeaderBytes.
	srv.MaxHeaderBytes = headerLimitFactor * s.cfg.MaxHeaderBytes
	srv.DisableGeneralOptionsHandler = true // it would respond to "OPTIONS *" without an outcome
	srv.ReadHeaderTimeout = headerReadTimeout
	srv.IdleTimeout = idleTimeout
	srv.ReadTimeout = 0
	srv.WriteTimeout = 0
	srv.ConnState = s.onConnState
	srv.ConnContext = s.connContext
	srv.ErrorLog = nil
	srv.BaseContext = func(lis net.Listener) context.Context {
		s.addr = lis.Addr().String()
		close(s.ready)
		return context.Background()
	}
}

// overLimitKey is the context key that marks a connection above the limit.
type overLimitKey struct{}

// connContext counts the connections of callers and marks those above the limit, whose first
// request is rejected. net/http calls it before onConnState.
func (s *Server) connContext(ctx context.Context, _ net.Conn) context.Context {
	if n := s.conns.Add(1); s.cfg.MaxConns > 0 && n > int64(s.cfg.MaxConns) {
		return context.WithValue(ctx, overLimitKey{}, true)
	}
	return ctx
}

// onConnState closes connections far above the limit at once, so that callers that never send
// a request can't exhaust the file descriptors of the process.
func (s *Server) onConnState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		limit := int64(s.cfg.MaxConns)
		if limit > 0 && s.conns.Load() > limit+limit/excessConnsDivisor+excessConnsBase {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	default:
	}
}

// Ready returns a channel that is closed when the server listens.
func (s *Server) Ready() <-chan struct{} { return s.ready }

// Addr returns the listen address. It is valid once the channel of Ready is closed.
func (s *Server) Addr() string { return s.addr }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Drain waits until no request is in flight or ctx ends. New requests still get a response;
// Config.RejectReason decides whether they are rejected.
func (s *Server) Drain(ctx context.Context) {
	stop := context.AfterFunc(ctx, s.allDone.Broadcast)
	defer stop()
	s.allDoneMu.Lock()
	defer s.allDoneMu.Unlock()
	for s.inFlight.Load() > 0 && ctx.Err() == nil {
		s.allDone.Wait()
	}
}

// Shutdown closes the listener and waits until every response has been written.
func (s *Server) Shutdown(ctx context.Context) error {
	select {
	case <-s.ready:
	default:
		return nil
	}
	return errors.Wrap(s.http.Shutdown(ctx), "shut down front server")
}

func (s *Server) beginRequest() { s.inFlight.Add(1) }

func (s *Server) endRequest() {
	if s.inFlight.Add(-1) > 0 {
		return
	}
	s.allDoneMu.Lock()
	s.allDone.Broadcast()
	s.allDoneMu.Unlock()
}

// catchAllRouter is a router that passes every request to one handler.
type catchAllRouter struct{ handler http.HandlerFunc }

var _ httpx.Router = (*catchAllRouter)(nil)

// ServeHTTP implements http.Handler.
func (c *catchAllRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.handler(w, r) }

// Handle implements httpx.Router. It fails, because the server has no other routes.
func (c *catchAllRouter) Handle(method, path string, _ http.Handler) error {
	return errors.Newf("add route %s %s: the front server has no routes of its own", method, path)
}

// SetNotFoundHandler implements httpx.Router.
func (c *catchAllRouter) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router.
func (c *catchAllRouter) SetNotAllowedHandler(http.Handler) {}

// Close closes the listener and every connection at once.
func (s *Server) Close() error {
	select {
	case <-s.ready:
		return errors.Wrap(s.http.Close(), "close front server")
	default:
		return nil
	}
}
