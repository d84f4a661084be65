package main

import (
	"net"
	"time"
)

// writeTimeout bounds one write to a node, an operator or another control host. Without it, a peer
// that has become unreachable would hold its watch stream and a goroutine until the kernel gives up
// on the connection after about 15 minutes.
const writeTimeout = 5 * time.Second

// writeTimeoutListener accepts connections on which each write has a timeout.
type writeTimeoutListener struct {
	net.Listener
	timeout time.Duration
}

// Accept implements net.Listener.
func (l writeTimeoutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return writeTimeoutConn{Conn: conn, timeout: l.timeout}, nil
}

type writeTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Write implements net.Conn.
func (c writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
