package main

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against a peer that stops reading and thereby blocks a write to its stream forever.
func TestWriteToSilentPeerEnds(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer lis.Close()
	peer, err := net.Dial("tcp", lis.Addr().String()) // never reads
	is.NoErr(err)
	defer peer.Close()
	conn, err := writeTimeoutListener{Listener: lis, timeout: 200 * time.Millisecond}.Accept()
	is.NoErr(err)
	defer conn.Close()
	writeErr := make(chan error, 1)
	go func() {
		for buf := make([]byte, 1<<20); ; {
			if _, err := conn.Write(buf); err != nil {
				writeErr <- err
				return
			}
		}
	}()
	select {
	case err := <-writeErr:
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
	case <-time.After(waitTimeout):
		t.Fatal("the write did not end")
	}
}
