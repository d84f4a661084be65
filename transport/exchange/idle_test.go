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

// Guards against idle connections to addresses that are not used any more, which use up the
// descriptors of the process.
func TestIdleConnectionsToFormerAddressesAreClosed(t *testing.T) {
	is := is.New(t)
	var open atomic.Int64
	h := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	start := func() *httptest.Server {
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
	}
	p := exchange.NewPool(exchange.Config{DialTimeout: time.Second, MaxIdlePerAddr: 4, BufferBytes: 64, IdleTimeout: 100 * time.Millisecond})
	get := func(s *httptest.Server) {
		_, err := p.Do(context.Background(), &exchange.Request{
			Addr: s.Listener.Addr().String(), Method: "GET", Target: "/", Host: "h", Deadline: time.Now().Add(time.Second),
		})
		is.NoErr(err)
	}
	for range 10 {
		get(start())
	}
	is.Equal(open.Load(), int64(10))
	current := start()
	for end := time.Now().Add(2 * time.Second); open.Load() > 1 && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		get(current)
	}
	is.Equal(open.Load(), int64(1))
}
