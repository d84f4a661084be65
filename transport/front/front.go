// Package front is the HTTP entry for callers. It turns each HTTP request into
// a request of the load balancer and its result into an HTTP answer that says
// truthfully whether the request was run.
//
// The Host header names the service. Answers that the system itself makes
// carry Mulberry-Outcome and Mulberry-Reason.
//
// go-zero's rest serves every path through a router of this package, because
// its own router has no catch-all route. None of its middlewares is on this
// path: limits of time and size are those of the routes' configuration.
//
// # Answers without an outcome
//
// A request that this package sees gets an answer with an outcome, also one on
// a connection above the limit (503, reason busy) and one whose headers are up
// to 8 times as large as allowed (431, reason toolarge). The server library
// answers or closes by itself, without Mulberry-Outcome, when
//
//   - the headers are larger than that: 431;
//   - the request is not valid HTTP/1.1: 400, 501 or 505;
//   - the header does not arrive within 10 s: the connection is closed;
//   - the connections exceed the limit by more than an eighth: closed at once.
//
// None of these requests was run: nothing is dispatched before the whole header
// has been read and checked.
//
// # Usage
//
//	f, err := front.New(front.Config{
//		Addr: "127.0.0.1:8000", Dispatch: d.Do, ActiveConfig: activeConfig,
//	})
//	go f.Serve()
//	<-f.Ready()
//	…
//	f.Drain(ctx) // returns when no request is in flight
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
	// signalTime replaces the time after which go-zero ends a process that
	// got SIGTERM: the process ends itself when its requests are done.
	// The library reads its other time, WrapUpTime, without a lock, so that
	// setting it here would be a data race.
	signalTime = 100 * 365 * 24 * time.Hour
	// headerTime bounds the reading of a request's header, so that slow
	// senders cannot hold connections for ever.
	headerTime = 10 * time.Second
	// headerSlack is how far above the limit the server still reads a header.
	headerSlack = 8
	// answeredShare and answeredExtra say how many connections above the limit
	// are still answered: an eighth of the limit and 16.
	answeredShare = 8
	answeredExtra = 16
	// idleTime bounds how long a caller's unused connection is kept.
	idleTime = 2 * time.Minute
)

// Config configures a Server.
type Config struct {
	// Name starts the identifiers of the requests that enter here.
	Name string
	// Addr is the address to listen on.
	Addr string
	// Dispatch runs a request somewhere.
	Dispatch func(ctx context.Context, r *mulberrylink.Request) mulberrylink.Result
	// ActiveConfig returns the configuration in force, nil when there is none.
	ActiveConfig func() *overlay.Config
	// RejectReason returns why new requests are rejected, ReasonNone while they are accepted. It may
	// be nil.
	RejectReason func() mulberrylink.Reason
	// OnDone is called once for each request when it has ended. It may be nil.
	OnDone func(Event)

	MaxHeaderBytes    int
	MaxKeyedBodyBytes int64
	MaxConns          int
	MaxDepth          int
}

// Event describes one finished request.
type Event struct {
	Service string
	Outcome mulberrylink.Outcome
	Reason  mulberrylink.Reason
	Status  int
	// TimeToFirstByte is the time from the header of the request to the header of
	// the answer as this program sees them. The reading of the one and the
	// last flush of the other are the server library's and not included.
	TimeToFirstByte time.Duration
	// UpstreamTime is the part of TimeToFirstByte that was spent at the upstream or
	// waiting for a place there.
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

	inFlight atomic.Int64
	idle     sync.Cond
	idleMu   sync.Mutex
}

// New returns a front that does not listen yet.
func New(cfg Config) (*Server, error) {
	host, portText, err := net.SplitHostPort(cfg.Addr)
	if err != nil {
		return nil, errors.Wrapf(err, "front address %q", cfg.Addr)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, errors.Wrapf(err, "front address %q", cfg.Addr)
	}
	f := &Server{cfg: cfg, ready: make(chan struct{})}
	f.idle.L = &f.idleMu
	f.rest, err = rest.NewServer(RestConfig("front", host, port), rest.WithRouter(&catchAll{serve: f.serve}))
	if err != nil {
		return nil, errors.Wrap(err, "set up front")
	}
	return f, nil
}

// RestConfig returns a configuration of the library with every limit off and
// its handling of signals without effect.
func RestConfig(name, host string, port int) rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name: name,
			// The library logs every call; the program logs its own events.
			Log:       logx.LogConf{Mode: "console", Encoding: "plain", Level: "severe"},
			Mode:      service.ProMode,
			Telemetry: trace.Config{Disabled: true},
			Shutdown:  proc.ShutdownConf{WaitTime: signalTime},
		},
		Host: host, Port: port,
		MaxConns: 0, MaxBytes: 0, Timeout: 0, CpuThreshold: 0,
		Middlewares: rest.MiddlewaresConf{},
	}
}

// Serve listens until the process ends or the address cannot be used.
func (f *Server) Serve() (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Newf("serve front: %v", p) // the library panics on a used address
		}
	}()
	f.rest.StartWithOpts(f.configure)
	return nil
}

func (f *Server) configure(srv *http.Server) {
	f.http = srv
	// The server's own refusal lacks the outcome, so that it only stops what
	// is far above the limit; read checks the limit itself.
	srv.MaxHeaderBytes = headerSlack * f.cfg.MaxHeaderBytes
	srv.DisableGeneralOptionsHandler = true // it would answer "OPTIONS *" without an outcome
	srv.ReadHeaderTimeout = headerTime
	srv.IdleTimeout = idleTime
	srv.ReadTimeout = 0
	srv.WriteTimeout = 0
	srv.ConnState = f.connState
	srv.ConnContext = f.connContext
	srv.ErrorLog = nil
	srv.BaseContext = func(lis net.Listener) context.Context {
		f.addr = lis.Addr().String()
		close(f.ready)
		return context.Background()
	}
}

// overLimit marks the context of a connection above the limit.
type overLimit struct{}

// connContext counts the callers' connections and marks those above the limit,
// whose first request is refused. The server calls it before connState.
func (f *Server) connContext(ctx context.Context, _ net.Conn) context.Context {
	if n := f.conns.Add(1); f.cfg.MaxConns > 0 && n > int64(f.cfg.MaxConns) {
		return context.WithValue(ctx, overLimit{}, true)
	}
	return ctx
}

// connState closes connections far above the limit at once, so that callers who
// never send a request cannot use up the files of the process.
func (f *Server) connState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		limit := int64(f.cfg.MaxConns)
		if limit > 0 && f.conns.Load() > limit+limit/answeredShare+answeredExtra {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		f.conns.Add(-1)
	default:
	}
}

// Ready is closed when the front listens.
func (f *Server) Ready() <-chan struct{} { return f.ready }

// Addr returns the address in use, once Ready is closed.
func (f *Server) Addr() string { return f.addr }

// InFlight returns the number of requests in flight.
func (f *Server) InFlight() int { return int(f.inFlight.Load()) }

// Drain waits until no request is in flight. New ones are still answered, with
// a refusal.
func (f *Server) Drain(ctx context.Context) {
	stop := context.AfterFunc(ctx, f.idle.Broadcast)
	defer stop()
	f.idleMu.Lock()
	defer f.idleMu.Unlock()
	for f.inFlight.Load() > 0 && ctx.Err() == nil {
		f.idle.Wait()
	}
}

// Shutdown closes the listener and waits until every answer was written.
func (f *Server) Shutdown(ctx context.Context) error {
	select {
	case <-f.ready:
	default:
		return nil
	}
	return errors.Wrap(f.http.Shutdown(ctx), "shut down front")
}

func (f *Server) enter() { f.inFlight.Add(1) }

func (f *Server) leave() {
	if f.inFlight.Add(-1) > 0 {
		return
	}
	f.idleMu.Lock()
	f.idle.Broadcast()
	f.idleMu.Unlock()
}

// catchAll is a router that gives every request to one handler.
type catchAll struct{ serve http.HandlerFunc }

var _ httpx.Router = (*catchAll)(nil)

// ServeHTTP implements http.Handler.
func (c *catchAll) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.serve(w, r) }

// Handle implements httpx.Router. The front has no routes of its own.
func (c *catchAll) Handle(method, path string, _ http.Handler) error {
	return errors.Newf("front has no route %s %s", method, path)
}

// SetNotFoundHandler implements httpx.Router.
func (c *catchAll) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router.
func (c *catchAll) SetNotAllowedHandler(http.Handler) {}

// Close closes the listener and every connection at once.
func (f *Server) Close() error {
	select {
	case <-f.ready:
		return errors.Wrap(f.http.Close(), "close front")
	default:
		return nil
	}
}
