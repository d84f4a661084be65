package controlplane

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/quorum"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// Guards against queues, goroutines and connections that are kept for control hosts that were
// replaced, and against a host that gets no messages after a pause.
func TestIdleLinksAreClosed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	received := make(chan quorum.Message, 10)
	method, h := StepMethod(func(m quorum.Message) { received <- m })
	srv := rpc.NewServer(nil)
	srv.Handle(method, h)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = srv.Serve(t.Context(), lis) }()
	l := NewLinks(rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second}))
	defer l.Close()
	l.idleTimeout = 50 * time.Millisecond
	for term := uint64(1); term <= 2; term++ {
		l.Send(quorum.Message{Kind: quorum.AppendRequest, Term: term, ToAddr: lis.Addr().String()})
		is.Equal((<-received).Term, term)
		hosts := func() int {
			l.mu.Lock()
			defer l.mu.Unlock()
			return len(l.queues)
		}
		for end := time.Now().Add(2 * time.Second); hosts() > 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		}
		is.Equal(hosts(), 0)
	}
}
