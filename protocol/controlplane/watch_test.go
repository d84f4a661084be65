package controlplane_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/control"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// Guards against a watcher that stays on a connection that has gone silent.
func TestWatchLeavesSilentHost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer lis.Close() // accepts in the kernel and never answers
	began := time.Now()
	is.True(client(t, lis.Addr().String()).Watch(context.Background(), 0, nil) != nil)
	took := time.Since(began)
	is.True(took >= 3*time.Second)
	is.True(took < 4*time.Second)
}

// Guards against a keep-alive that is missing, so that a quiet watch is taken
// for a silent one.
func TestWatchStaysOnQuietHost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	is.True(client(t, serve(t, local)).Watch(ctx, 0, nil) != nil)
	is.Equal(ctx.Err(), context.DeadlineExceeded) // the watch lasted to the end
}

// Guards against a host cut off from the others that keeps its watchers on an
// old version.
func TestWatchLeavesHostWithoutLeader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var lost atomic.Int64 // nanoseconds since the start by which the clock is ahead
	m := control.NewMachine()
	s := controlplane.NewServer(controlplane.ServerConfig{
		Name: "c1", Machine: m,
		Log: &fakeLog{LocalLog: controlplane.NewLocalLog("", m)},
		Now: func() time.Time { return time.Now().Add(time.Duration(lost.Load())) },
	})
	addr := serveMethods(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	time.AfterFunc(500*time.Millisecond, func() { lost.Store(int64(3 * time.Second)) })
	is.True(client(t, addr).Watch(ctx, 0, nil) != nil)
	is.NoErr(ctx.Err()) // the host ended the stream
}

// Guards against a watcher that goes back to a lower version, and against one
// that is told the version that it has.
func TestWatchNeverGoesBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := client(t, serve(t, local))
	is.Equal(c.Apply(context.Background(), change("a", 0, "")).Version, uint64(1))
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_ = c.Watch(ctx, 1, func(v uint64, _ []byte) { t.Errorf("got version %d", v) })
}

// Guards against a host that exits in the middle of a call, or waits for its
// watchers when it stops.
func TestDrain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := control.NewMachine()
	entered, release := make(chan struct{}), make(chan struct{})
	log := &fakeLog{LocalLog: controlplane.NewLocalLog("", m), self: true}
	log.propose = func(data []byte) ([]byte, controlplane.Status) {
		close(entered)
		<-release
		return log.LocalLog.Propose(context.Background(), data)
	}
	s := controlplane.NewServer(controlplane.ServerConfig{Name: "c1", Machine: m, Log: log, Now: time.Now})
	c := client(t, serveMethods(t, s))
	watched := make(chan error, 1)
	go func() { watched <- c.Watch(context.Background(), 0, func(uint64, []byte) {}) }()
	replied := make(chan controlplane.ClaimReply, 1)
	go func() { replied <- c.Claim(context.Background(), claim("r1")) }()
	<-entered
	drained := make(chan struct{})
	go func() { s.Drain(context.Background()); close(drained) }()
	is.True(<-watched != nil)
	select {
	case <-drained:
		t.Error("Drain returned while a call was in progress")
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	is.Equal((<-replied).State, controlplane.Granted)
	<-drained
}

func serveMethods(t *testing.T, s *controlplane.Server) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := rpc.NewServer(nil)
	for method, h := range s.Methods() {
		srv.Handle(method, h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx, lis) }()
	t.Cleanup(func() { cancel(); <-done })
	return lis.Addr().String()
}
