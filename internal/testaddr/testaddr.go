// Package testaddr provides addresses for the servers of tests that must know their address before
// they listen.
//
// # Usage
//
//	addr := testaddr.Free(t)
//	server.Listen(addr)
package testaddr

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// used holds the addresses that Free has returned. The kernel may pick one of them again before
// anything listens there.
var used sync.Map

// processIP is a loopback address of this process, so that tests of several packages that run at
// the same time do not take each other's ports.
func processIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}

// Free returns an address on which nothing listens, for TCP or UDP, a different one each time.
func Free(t testing.TB) string {
	t.Helper()
	var lc net.ListenConfig
	for {
		lis, err := lc.Listen(t.Context(), "tcp", processIP()+":0")
		if err != nil {
			t.Fatal(err)
		}
		addr := lis.Addr().String()
		conn, udpErr := lc.ListenPacket(t.Context(), "udp", addr)
		if udpErr == nil {
			udpErr = conn.Close()
		}
		if err := lis.Close(); err != nil {
			t.Fatal(err)
		}
		if _, known := used.LoadOrStore(addr, true); !known && udpErr == nil {
			return addr
		}
	}
}
