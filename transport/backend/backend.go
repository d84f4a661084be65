// Package backend sends admitted requests to the local upstream over HTTP and
// reports whether the upstream may have started to run them. It serves the older
// data path of cmd/mulberrynode; package gateway uses package exchange instead.
//
// A request is not run when no byte of it was written to a connection, or when the
// upstream reports that it shed the request. Once a byte was written, any other
// outcome is a response or unknown. Each call of Do sends the request at most once:
// the request is built so that net/http never repeats it on another connection.
//
// The package also detects crashes of the upstream, from the requests whose
// connections are cut and from the incarnations that the upstream announces, and
// reports the requests that may have caused them.
//
// # Usage
//
//	b := backend.New(backend.Config{OnCrash: report})
//	b.SetTarget(backend.Target{Addr: "127.0.0.1:8080", MaxConnections: 200})
//	res := b.Do(ctx, req)
//	if res.Outcome == mulberrylink.Answered {
//		defer res.Answer.Body.Close()
//	}
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

// Names of the headers that are sent with a request, and of the header with which an
// upstream marks a 503 response to a request that it shed before it ran it.
const (
	HeaderTimeout = "Mulberry-Timeout"
	HeaderTries   = "Mulberry-Tries"
	HeaderDepth   = "Mulberry-Depth"
	HeaderShed    = "Upstream-Shed"
)

const (
	// serviceName is the name of the upstream in go-zero's HTTP client.
	serviceName = "upstream"
	// dialTimeout bounds the opening of a connection on the same host.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection is kept. If the upstream closes
	// idle connections earlier, a request that is sent on one of them at that moment
	// ends with an unknown outcome.
	idleTimeout = 20 * time.Second
	// maxHeaderBytes bounds the header of a response, with its interim responses. Parsed,
	// a header of many short lines takes about 16 times its size.
	maxHeaderBytes = 64 << 10
	// maxUndelimitedBytes bounds a response body without a stated length. Callers may
	// stream bodies of at least 64 MiB.
	maxUndelimitedBytes = 64 << 20
	// maxStatus is the largest status of a response in HTTP.
	maxStatus   = 599
	bufferBytes = 32 << 10
)

// Target describes the upstream, as it announces itself.
type Target struct {
	Addr string
	// MaxConnections limits the number of connections, 0 for no limit.
	MaxConnections int
	// Incarnation changes with each start of the upstream. It is 0 when the upstream
	// doesn't announce one.
	Incarnation uint64
}

// Config holds the callbacks of a Backend.
type Config struct {
	// OnCrash is called when the upstream crashed, with the fingerprints of the
	// requests in flight and before any of their callers gets its result. SetTarget
	// may call it, too. It may be nil and must not call the Backend.
	OnCrash func(fingerprints []uint64)
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
	cfg     Config
	client  atomic.Pointer[client]
	crashes crashDetector
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
	b.crashes.init()
	return b
}

// SetTarget makes t the target of later requests. Requests in flight continue on
// the previous target. A new incarnation shows that the previous one crashed or
// stopped.
func (b *Backend) SetTarget(t Target) {
	b.crashes.setIncarnation(t.Incarnation, b.cfg.OnCrash)
	old := b.client.Load()
	if old != nil && old.target == t {
		return
	}
	b.client.Store(newClient(t))
	if old != nil {
		old.transport.CloseIdleConnections()
	}
}

// ClearTarget removes the target: later requests are not run.
func (b *Backend) ClearTarget() {
	if old := b.client.Swap(nil); old != nil {
		old.transport.CloseIdleConnections()
	}
}

// Addr returns the address of the target, empty when there is none.
func (b *Backend) Addr() string {
	if c := b.client.Load(); c != nil {
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
			return &countingConn{Conn: conn}, nil
		},
		MaxConnsPerHost:        t.MaxConnections,
		MaxIdleConnsPerHost:    max(t.MaxConnections, 2),
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
		WriteBufferSize:        bufferBytes,
		ReadBufferSize:         bufferBytes,
	}
	cli := &http.Client{
		Transport: tr,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse // a redirect is passed on to the caller
		},
	}
	return &client{target: t, transport: tr, service: httpc.NewServiceWithClient(serviceName, cli)}
}

// countingConn counts the bytes given to Write. It counts them before they are
// written, so that an unchanged count proves that none were sent.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}
