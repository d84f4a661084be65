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
//	b := backend.New(backend.Config{Died: report})
//	b.Use(backend.Target{Addr: "127.0.0.1:8080", Connections: 200})
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
	// Connections is the largest number of connections, 0 for no limit.
	Connections int
	// Incarnation differs after each start of the upstream, 0 when it is not
	// announced.
	Incarnation uint64
}

// Config sets up a Backend.
type Config struct {
	// Died is called with the fingerprints in flight when the upstream died,
	// before any of their callers gets its result. Use can call it. It may be
	// nil and must not call the Backend.
	Died func(prints []uint64)
	// Down is called when the target refuses connections or died. It may be
	// nil.
	Down func(t Target)
}

// Result is what became of one request and how long the upstream took.
type Result struct {
	mulberrylink.Result
	// Took is the time from the last byte of the request, or of its header
	// when the body is streamed, to the first byte of the answer.
	Took time.Duration
	// Refused is true when the upstream refused the connection.
	Refused bool
	// Died is true when the upstream died while the request was in flight.
	Died bool
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

// Use makes t the target of later requests. Requests in flight are not
// disturbed. A new incarnation shows that the one before died or stopped.
func (b *Backend) Use(t Target) {
	b.deaths.begin(t.Incarnation, b.cfg.Died)
	old := b.target.Load()
	if old != nil && old.target == t {
		return
	}
	b.target.Store(newClient(t))
	if old != nil {
		old.transport.CloseIdleConnections()
	}
}

// Clear removes the target.
func (b *Backend) Clear() {
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
		MaxConnsPerHost:        t.Connections,
		MaxIdleConnsPerHost:    max(t.Connections, 2),
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
