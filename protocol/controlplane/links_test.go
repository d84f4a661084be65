package controlplane_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/quorum"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

func newLinks(t *testing.T) *controlplane.Links {
	t.Helper()
	l := controlplane.NewLinks(rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second}))
	t.Cleanup(l.Close)
	return l
}

// Guards against messages that are delivered out of order or changed.
func TestLinksDeliverInOrder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	received := make(chan quorum.Message, 100)
	method, h := controlplane.StepMethod(func(m quorum.Message) { received <- m })
	srv := rpc.NewServer(nil)
	srv.Handle(method, h)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = srv.Serve(ctx, lis) }()
	l := newLinks(t)
	for i := uint64(1); i <= 100; i++ {
		l.Send(quorum.Message{Kind: quorum.AppendRequest, Term: i, ToAddr: lis.Addr().String()})
	}
	for i := uint64(1); i <= 100; i++ {
		is.Equal((<-received).Term, i)
	}
}

// Guards against a sender that blocks on, or keeps, a connection to a peer that reads the bytes but
// never acknowledges them. The peer counts connections.
func TestLinksLeaveSilentConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer lis.Close()
	conns := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
			conns <- c
		}
	}()
	l := newLinks(t)
	start := time.Now()
	for len(conns) < 2 && time.Since(start) < 5*time.Second {
		sendStart := time.Now()
		l.Send(quorum.Message{Kind: quorum.AppendRequest, Data: make([]byte, 1<<20), ToAddr: lis.Addr().String()})
		is.True(time.Since(sendStart) < 500*time.Millisecond) // Send must not block
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(len(conns), 2)
	is.True(time.Since(start) < 3*time.Second)
}
