package main

import (
	"net"
	"time"
)

// writeTimeout bounds one write to a node, an operator or another host. A peer
// whose path has gone silent otherwise holds its watch stream and a goroutine
// until the kernel gives up, after about a quarter of an hour.
const writeTimeout = 5 * time.Second

// boundedListener gives each connection a deadline for each write.
type boundedListener struct {
	net.Listener
	limit time.Duration
}

// Accept implements net.Listener.
func (l boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return boundedConn{Conn: conn, limit: l.limit}, nil
}

type boundedConn struct {
	net.Conn
	limit time.Duration
}

// Write implements net.Conn.
func (c boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
