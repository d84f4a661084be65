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

// Guards against a client that keeps watching a host that sends no frames.
func TestWatchLeavesSilentHost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer lis.Close() // the kernel accepts connections, and nothing responds
	start := time.Now()
	is.True(newClient(t, lis.Addr().String()).Watch(context.Background(), 0, nil) != nil)
	elapsed := time.Since(start)
	is.True(elapsed >= 3*time.Second)
	is.True(elapsed < 4*time.Second)
}

// Guards against missing keep-alives, without which a watch with no new versions would time out.
func TestWatchStaysOnQuietHost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	is.True(newClient(t, serve(t, localLog)).Watch(ctx, 0, nil) != nil)
	is.Equal(ctx.Err(), context.DeadlineExceeded) // the watch must last until the deadline
}

// Guards against a partitioned host that keeps its watchers on an old version.
func TestWatchLeavesHostWithoutLeader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var clockOffset atomic.Int64 // nanoseconds by which the clock of the server is ahead
	m := control.NewMachine()
	s := controlplane.NewServer(controlplane.ServerConfig{
		Name: "c1", Machine: m,
		Log: &fakeLog{LocalLog: controlplane.NewLocalLog("", m)},
		Now: func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) },
	})
	addr := serveMethods(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	time.AfterFunc(500*time.Millisecond, func() { clockOffset.Store(int64(3 * time.Second)) })
	is.True(newClient(t, addr).Watch(ctx, 0, nil) != nil)
	is.NoErr(ctx.Err()) // the host must end the stream before the deadline
}

// Guards against a watch that delivers a version that is not above the known one.
func TestWatchNeverGoesBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newClient(t, serve(t, localLog))
	is.Equal(c.Apply(context.Background(), newChange("a", 0, "")).Version, uint64(1))
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_ = c.Watch(ctx, 1, func(v uint64, _ []byte) { t.Errorf("got version %d", v) })
}

// Guards against a Drain that returns while a call is in progress or waits for watch streams.
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
	c := newClient(t, serveMethods(t, s))
	watchEnded := make(chan error, 1)
	go func() { watchEnded <- c.Watch(context.Background(), 0, func(uint64, []byte) {}) }()
	replies := make(chan controlplane.ClaimReply, 1)
	go func() { replies <- c.Claim(context.Background(), newClaim("r1")) }()
	<-entered
	drained := make(chan struct{})
	go func() { s.Drain(context.Background()); close(drained) }()
	is.True(<-watchEnded != nil)
	select {
	case <-drained:
		t.Error("Drain returned while a call was in progress")
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	is.Equal((<-replies).State, controlplane.Granted)
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

// Guards against a time of the last frame that a jump of the time of day makes older or younger: the
// node would reject requests as isolated, or go on with an outdated configuration.
func TestLastHeardIsSteady(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newClient(t, serve(t, localLog))
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	is.True(c.Watch(ctx, 0, func(uint64, []byte) {}) != nil)
	heard := c.LastHeard()
	is.True(!heard.IsZero())
	is.True(heard != heard.Round(0)) // Round(0) removes the steady reading
}
