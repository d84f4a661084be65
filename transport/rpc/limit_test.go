package rpc

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// hostConn is a connection of a host that is never read.
type hostConn struct {
	net.Conn
	host string
}

func (c hostConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(c.host), Port: 1} }

func (hostConn) Close() error { return nil }

// Guards against bytes of a closed connection that stay reserved while it waits itself, and against a
// host with a large share that takes the bytes for which one with a small share waits.
func TestBudgetGoesToTheSmallestShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLimiter()
		add := func(host string) *limitedConn { return l.add(hostConn{host: host}) }
		reserve := func(c *limitedConn, bytes int) chan error {
			done := make(chan error, 1)
			go func() { done <- l.reserve(c, bytes) }()
			synctest.Wait()
			return done
		}
		const half = maxBufferedBytes / 2
		stopped, waiting := add("10.0.0.1"), add("10.0.0.1")
		is.NoErr(<-reserve(stopped, half))
		is.NoErr(<-reserve(waiting, half-1))
		start := time.Now()
		small := reserve(add("10.0.0.2"), 2) // closes stopped, whose reader has not ended
		large := reserve(waiting, 2)
		other := reserve(add("10.0.0.3"), half+2) // closes waiting
		is.Equal(<-large, errNoBuffer)
		is.Equal(time.Since(start), time.Duration(0))

		is.NoErr(waiting.Close())
		is.NoErr(<-small)
		greedy, modest := add("10.0.0.4"), add("10.0.0.5")
		is.NoErr(<-reserve(greedy, half-10))
		more, few := reserve(greedy, 8), reserve(modest, 6) // a part of the budget is still that of stopped
		is.NoErr(stopped.Close())
		is.NoErr(<-other)
		is.NoErr(<-few)
		is.Equal(<-more, errNoBuffer)
	})
}
