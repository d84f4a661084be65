package exchange_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/transport/exchange"
)

// newCountedServers returns a function that starts servers, and the number of their open connections.
func newCountedServers(t *testing.T) (start func() *httptest.Server, open *atomic.Int64) {
	open = new(atomic.Int64)
	h := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	return func() *httptest.Server {
		s := httptest.NewUnstartedServer(h)
		s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				open.Add(1)
			case http.StateClosed:
				open.Add(-1)
			default:
			}
		}
		s.Start()
		t.Cleanup(s.Close)
		return s
	}, open
}

// get sends a request to a server.
func get(t *testing.T, p *exchange.Pool, s *httptest.Server) {
	t.Helper()
	_, err := p.Do(context.Background(), &exchange.Request{
		Addr: s.Listener.Addr().String(), Method: "GET", Target: "/", Host: "h", Deadline: time.Now().Add(time.Second),
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against idle connections to addresses that are not used any more, which use up the
// descriptors of the process.
func TestIdleConnectionsToFormerAddressesAreClosed(t *testing.T) {
	is := is.New(t)
	start, open := newCountedServers(t)
	p := exchange.NewPool(exchange.Config{DialTimeout: time.Second, MaxIdlePerAddr: 4, BufferBytes: 64, IdleTimeout: 100 * time.Millisecond})
	for range 10 {
		get(t, p, start())
	}
	is.Equal(open.Load(), int64(10))
	current := start()
	for end := time.Now().Add(2 * time.Second); open.Load() > 1 && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		get(t, p, current)
	}
	is.Equal(open.Load(), int64(1))
}

// Guards against idle connections that stay open because nothing is sent any more.
func TestIdleConnectionsAreClosedWithoutFurtherRequests(t *testing.T) {
	is := is.New(t)
	start, open := newCountedServers(t)
	p := exchange.NewPool(exchange.Config{DialTimeout: time.Second, MaxIdlePerAddr: 4, BufferBytes: 64, IdleTimeout: 100 * time.Millisecond})
	get(t, p, start())
	get(t, p, start())
	is.Equal(open.Load(), int64(2))
	for end := time.Now().Add(2 * time.Second); open.Load() > 0 && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
	}
	is.Equal(open.Load(), int64(0))
	is.Equal(p.IdleSize(), 0)
}

// Guards against a pool that keeps more connections than its limit, and against one that closes
// connections that have been used lately.
func TestLongestIdleConnectionsAreClosedFirst(t *testing.T) {
	is := is.New(t)
	start, open := newCountedServers(t)
	p := exchange.NewPool(exchange.Config{DialTimeout: time.Second, MaxIdlePerAddr: 4, MaxIdle: 5, BufferBytes: 64, IdleTimeout: time.Minute})
	kept := start()
	get(t, p, kept)
	for range 12 {
		get(t, p, start())
		get(t, p, kept)
	}
	is.True(p.IdleSize() <= 5)
	for end := time.Now().Add(2 * time.Second); open.Load() > 5 && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
	}
	is.True(open.Load() <= 5)
	size := p.IdleSize()
	get(t, p, kept)
	is.Equal(p.IdleSize(), size) // its connection was still there
}
