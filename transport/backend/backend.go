// Package backend sends admitted requests to the local upstream over HTTP and
// tells truthfully whether the upstream can have started them.
//
// A request is not run when no byte of it was written to a connection, or when
// the upstream itself says that it shed the request. Everything after the first
// byte is an answer or unknown. Nothing is sent twice behind the caller's back:
// the request is built so that net/http never repeats it on another connection.
//
// # Usage
//
//	b := backend.New(backend.Config{OnCrash: report})
//	b.SetTarget(backend.Target{Addr: "127.0.0.1:8080", MaxConnections: 200})
//	res := b.Do(ctx, req)
//	defer res.Answer.Body.Close()
package backend

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/mulberrylink/mulberrylink"
)

// Names of the headers that travel with a request, and of the header with
// which an upstream marks a 503 answer as shed before it started.
const (
	HeaderTimeout = "Mulberry-Timeout"
	HeaderTries   = "Mulberry-Tries"
	HeaderDepth   = "Mulberry-Depth"
	HeaderShed    = "Upstream-Shed"
)

const (
	// serviceName names the upstream in the client library.
	serviceName = "upstream"
	// dialTimeout bounds the opening of a connection on the same host.
	dialTimeout = time.Second
	// idleTime is how long an unused connection is kept. An upstream that
	// closes idle connections earlier makes requests end as unknown.
	idleTime = 20 * time.Second
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 1 << 20
	bufferBytes    = 32 << 10
)

// Target is the announced upstream.
type Target struct {
	Addr string
	// MaxConnections limits the number of connections, 0 for no limit.
	MaxConnections int
	// Incarnation differs after each start of the upstream, 0 when it is not
	// announced.
	Incarnation uint64
}

// Config sets up a Backend.
type Config struct {
	// OnCrash is called when the upstream crashed, with the fingerprints of the
	// requests in flight and before any of their callers gets its result. SetTarget
	// may call it, too. It may be nil and must not call the Backend.
	OnCrash func(prints []uint64)
	// OnDown is called when the target refuses connections or has crashed. It may
	// be nil.
	OnDown func(t Target)
}

// Result is the result of one request, with its service time at the upstream.
type Result struct {
	mulberrylink.Result
	// ServiceTime is the time from the last byte of the request, or of its header
	// when the body is streamed, to the first byte of the response. Without a
	// response it is the time since the start of Do.
	ServiceTime time.Duration
	// ConnectionRefused reports whether the upstream refused the connection.
	ConnectionRefused bool
	// Crashed reports whether the upstream crashed while the request was in flight.
	Crashed bool
}

// Backend is the client of the local upstream.
type Backend struct {
	cfg    Config
	target atomic.Pointer[client]
	deaths deaths
}

// client is the connection pool for one target.
type client struct {
	target    Target
	transport *http.Transport
	service   httpc.Service
}

// New returns a backend without a target.
func New(cfg Config) *Backend {
	breaker.NoBreakerFor(serviceName)
	b := &Backend{cfg: cfg}
	b.deaths.init()
	return b
}

// SetTarget makes t the target of later requests. Requests in flight continue on
// the previous target. A new incarnation shows that the previous one crashed or
// stopped.
func (b *Backend) SetTarget(t Target) {
	b.deaths.begin(t.Incarnation, b.cfg.OnCrash)
	old := b.target.Load()
	if old != nil && old.target == t {
		return
	}
	b.target.Store(newClient(t))
	if old != nil {
		old.transport.CloseIdleConnections()
	}
}

// ClearTarget removes the target: later requests are not run.
func (b *Backend) ClearTarget() {
	if old := b.target.Swap(nil); old != nil {
		old.transport.CloseIdleConnections()
	}
}

// Addr returns the address of the target, empty when there is none.
func (b *Backend) Addr() string {
	if c := b.target.Load(); c != nil {
		return c.target.Addr
	}
	return ""
}

func newClient(t Target) *client {
	d := net.Dialer{Timeout: dialTimeout}
	tr := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		MaxConnsPerHost:        t.MaxConnections,
		MaxIdleConnsPerHost:    max(t.MaxConnections, 2),
		IdleConnTimeout:        idleTime,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
		WriteBufferSize:        bufferBytes,
		ReadBufferSize:         bufferBytes,
	}
	cli := &http.Client{
		Transport: tr,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse // a redirect is an answer
		},
	}
	return &client{target: t, transport: tr, service: httpc.NewServiceWithClient(serviceName, cli)}
}

// countedConn counts the bytes given to Write, before they are written, so
// that a count of 0 proves that none left.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}
