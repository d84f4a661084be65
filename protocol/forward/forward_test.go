package forward_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/protocol/forward"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// runner is a scripted upstream.
type runner struct {
	runs atomic.Int64
	run  func(ctx context.Context, r *mulberrylink.Request, admitted func()) mulberrylink.Result
}

func (r *runner) Run(ctx context.Context, q *mulberrylink.Request, _ bool, admitted func()) mulberrylink.Result {
	r.runs.Add(1)
	return r.run(ctx, q, admitted)
}

func (r *runner) Load() mulberrylink.Load { return mulberrylink.Load{InFlight: 1, Limit: 6} }

type rig struct {
	client *forward.Client
	server *forward.Server
	relay  *relay
	node   mulberrylink.Node
	runner *runner
}

func newRig(t *testing.T, run func(ctx context.Context, r *mulberrylink.Request, admitted func()) mulberrylink.Result) *rig {
	t.Helper()
	g := &rig{runner: &runner{run: run}}
	g.server = forward.NewServer(forward.ServerConfig{Runner: g.runner})
	s := rpc.NewServer(nil)
	g.server.Register(func(m string, h forward.Handler) { s.Handle(m, rpc.Handler(h)) })
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Serve(ctx, lis)
	g.relay = newRelay(t, lis.Addr().String())
	g.node = mulberrylink.Node{Name: "n", Addr: g.relay.lis.Addr().String()}
	pool := rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second, IdlePerAddr: 8})
	t.Cleanup(pool.Close)
	g.client = forward.NewClient(forward.ClientConfig{Pool: pool})
	return g
}

var lastID atomic.Int64

func request(body io.Reader, length int64, timeout time.Duration) *mulberrylink.Request {
	return &mulberrylink.Request{
		ID: fmt.Sprint("r", lastID.Add(1)), Service: "s", Method: "PUT", Path: "/p",
		Header: http.Header{"X": {"y"}}, Body: body, Length: length,
		Deadline: time.Now().Add(timeout),
	}
}

func answer(body io.Reader, length int64) mulberrylink.Result {
	return mulberrylink.Result{Answer: &mulberrylink.Answer{
		Status: 200, Header: http.Header{"A": {"b"}}, Body: io.NopCloser(body), Length: length,
	}}
}

func echo(_ context.Context, r *mulberrylink.Request, admitted func()) mulberrylink.Result {
	admitted()
	if r.Body == nil {
		return answer(bytes.NewReader(nil), 0)
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: mulberrylink.ReasonLost}
	}
	return answer(bytes.NewReader(data), int64(len(data)))
}

func (g *rig) forward(t *testing.T, r *mulberrylink.Request) (mulberrylink.Result, []byte, error) {
	t.Helper()
	res := g.client.Forward(context.Background(), g.node, r, 0, false)
	if res.Outcome != mulberrylink.Answered {
		return res, nil, nil
	}
	data, err := io.ReadAll(res.Answer.Body)
	res.Answer.Body.Close()
	return res, data, err
}

// Guards against answers that are lost, mixed up or cut: sizes around the
// chunk size, on reused connections.
func TestBodiesOfAllSizesComeBack(t *testing.T) {
	is := is.New(t)
	g := newRig(t, echo)
	for _, size := range []int{0, 1, 32<<10 - 1, 32 << 10, 32<<10 + 1, 300 << 10} {
		for _, length := range []int64{int64(size), -1} {
			want := bytes.Repeat([]byte{byte(size), 7}, size)[:size]
			res, got, err := g.forward(t, request(bytes.NewReader(want), length, 5*time.Second))
			is.NoErr(err)
			is.Equal(res.Outcome, mulberrylink.Answered)
			is.True(bytes.Equal(got, want))
		}
	}
	time.Sleep(50 * time.Millisecond)
	is.Equal(g.server.Pending(), 0) // every end was acknowledged
}

// Guards against an exchange that goes silent before it reaches the admitting
// node: it must be proven not run, and a late arrival must not run.
func TestSilentIdleConnectionIsFencedAndLateArrivalRefused(t *testing.T) {
	is := is.New(t)
	g := newRig(t, echo)
	time.Sleep(2100 * time.Millisecond) // the node must be older than the exchange
	_, _, err := g.forward(t, request(nil, 0, time.Second))
	is.NoErr(err)
	is.Equal(g.runner.runs.Load(), int64(1))
	time.Sleep(20 * time.Millisecond)
	g.relay.cut()
	start := time.Now()
	res, _, _ := g.forward(t, request(nil, 0, 5*time.Second))
	is.Equal(res.Outcome, mulberrylink.NotRun)
	is.Equal(res.Reason, mulberrylink.ReasonFenced)
	is.True(time.Since(start) < 1300*time.Millisecond) // 1 s plus one round trip
	close(g.relay.release)
	time.Sleep(200 * time.Millisecond)
	is.Equal(g.runner.runs.Load(), int64(1)) // the held bytes arrived and were refused
	res, _, _ = g.forward(t, request(nil, 0, time.Second))
	is.Equal(res.Outcome, mulberrylink.Answered)
}

// Guards against a node that has just started and claims that an exchange was
// never run, although its predecessor may have run it.
func TestYoungNodeCannotProveNotRun(t *testing.T) {
	is := is.New(t)
	g := newRig(t, echo)
	_, _, err := g.forward(t, request(nil, 0, time.Second))
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	g.relay.cut()
	res, _, _ := g.forward(t, request(nil, 0, 5*time.Second))
	is.Equal(res.Outcome, mulberrylink.Unknown)
}

// Guards against losing the answer of a request that runs while its connection
// goes silent: it is fetched over a new connection and not run again.
func TestAnswerIsFetchedAfterSilence(t *testing.T) {
	is := is.New(t)
	var g *rig
	g = newRig(t, func(_ context.Context, _ *mulberrylink.Request, admitted func()) mulberrylink.Result {
		admitted()
		time.Sleep(50 * time.Millisecond)
		g.relay.cut()
		time.Sleep(1500 * time.Millisecond)
		return answer(bytes.NewReader([]byte("kept")), 4)
	})
	res, got, err := g.forward(t, request(nil, 0, 10*time.Second))
	is.NoErr(err)
	is.Equal(res.Outcome, mulberrylink.Answered)
	is.Equal(string(got), "kept")
	is.Equal(g.runner.runs.Load(), int64(1))
}

// slowReader returns its data in two parts with a call in between.
type slowReader struct {
	parts   [][]byte
	between func()
	err     error
}

func (s *slowReader) Read(p []byte) (int, error) {
	if len(s.parts) == 0 {
		return 0, s.err
	}
	n := copy(p, s.parts[0])
	s.parts = s.parts[1:]
	if s.between != nil {
		s.between()
		s.between = nil
	}
	return n, nil
}

// Guards against a body whose connection goes silent after its first part: the
// rest is fetched and nothing is delivered twice.
func TestRestOfAnswerIsFetchedAfterSilence(t *testing.T) {
	is := is.New(t)
	var g *rig
	g = newRig(t, func(_ context.Context, _ *mulberrylink.Request, admitted func()) mulberrylink.Result {
		admitted()
		r := &slowReader{parts: [][]byte{[]byte("first "), []byte("second "), []byte("third")}, err: io.EOF}
		r.between = nil
		body := io.MultiReader(io.LimitReader(r, 6), readFunc(func(p []byte) (int, error) {
			time.Sleep(100 * time.Millisecond)
			g.relay.cut()
			return 0, io.EOF
		}), r)
		return answer(body, -1)
	})
	res, got, err := g.forward(t, request(nil, 0, 10*time.Second))
	is.NoErr(err)
	is.Equal(res.Outcome, mulberrylink.Answered)
	is.Equal(string(got), "first second third")
}

type readFunc func([]byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against a truncated answer that looks complete.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	cases := map[string]func() mulberrylink.Result{
		"error after first part": func() mulberrylink.Result {
			return answer(&slowReader{parts: [][]byte{[]byte("abc")}, err: io.ErrUnexpectedEOF}, -1)
		},
		"shorter than its length": func() mulberrylink.Result {
			return answer(bytes.NewReader(make([]byte, 100<<10)), 200<<10)
		},
		"longer than its length": func() mulberrylink.Result {
			return answer(bytes.NewReader(make([]byte, 100<<10)), 50<<10)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newRig(t, func(_ context.Context, _ *mulberrylink.Request, admitted func()) mulberrylink.Result {
				admitted()
				return run()
			})
			res, _, err := g.forward(t, request(nil, 0, 3*time.Second))
			is.True(err != nil || res.Outcome == mulberrylink.Unknown)
		})
	}
}

// Guards against a request body whose rest does not come and that the upstream
// sees as complete.
func TestCutRequestBodyIsAnError(t *testing.T) {
	is := is.New(t)
	var readErr error
	g := newRig(t, func(_ context.Context, r *mulberrylink.Request, admitted func()) mulberrylink.Result {
		admitted()
		_, readErr = io.Copy(io.Discard, r.Body)
		return mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: mulberrylink.ReasonLost}
	})
	body := &slowReader{parts: [][]byte{make([]byte, 1000)}, err: io.ErrUnexpectedEOF}
	res, _, _ := g.forward(t, request(body, -1, 3*time.Second))
	is.Equal(res.Outcome, mulberrylink.Unknown)
	is.True(readErr != nil)
}

// Guards against an upstream that keeps working for a caller that has gone.
func TestCancelReachesTheUpstream(t *testing.T) {
	is := is.New(t)
	canceled := make(chan struct{})
	g := newRig(t, func(ctx context.Context, _ *mulberrylink.Request, admitted func()) mulberrylink.Result {
		admitted()
		<-ctx.Done()
		close(canceled)
		return mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: mulberrylink.ReasonCanceled}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	ctx, stop := context.WithCancel(ctx)
	defer cancel()
	time.AfterFunc(50*time.Millisecond, stop)
	res := g.client.Forward(ctx, g.node, request(nil, 0, 20*time.Second), 0, false)
	is.Equal(res.Outcome, mulberrylink.Unknown)
	select {
	case <-canceled:
	case <-time.After(time.Second):
		t.Fatal("upstream was not canceled")
	}
}

// Guards against a refusal that reads the body, which could not be sent again.
func TestRefusalLeavesTheBodyUnread(t *testing.T) {
	is := is.New(t)
	g := newRig(t, func(context.Context, *mulberrylink.Request, func()) mulberrylink.Result {
		return mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: mulberrylink.ReasonBusy}
	})
	read := false
	body := readFunc(func([]byte) (int, error) { read = true; return 0, io.EOF })
	res, _, _ := g.forward(t, request(body, -1, time.Second))
	is.Equal(res.Outcome, mulberrylink.NotRun)
	is.Equal(res.Reason, mulberrylink.ReasonBusy)
	is.Equal(res.Load.Limit, 6)
	is.True(!read)
}

// pattern is an endless reader that costs no memory.
type pattern struct{ n int64 }

func (p *pattern) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(p.n >> 3)
		p.n++
	}
	return len(b), nil
}

// Guards against bodies that pile up in memory when the reader is slower than
// the writer, in both directions, or that are kept once they are too long.
func TestLargeBodiesNeedBoundedMemory(t *testing.T) {
	const size = 64 << 20
	is := is.New(t)
	bounded := func() {
		t.Helper()
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		is.True(m.HeapAlloc < size/2)
	}
	var up int64
	g := newRig(t, func(_ context.Context, r *mulberrylink.Request, admitted func()) mulberrylink.Result {
		admitted()
		time.Sleep(300 * time.Millisecond)
		bounded() // the upstream does not read yet
		up, _ = io.Copy(io.Discard, r.Body)
		return answer(io.LimitReader(&pattern{}, size), size)
	})
	res := g.client.Forward(context.Background(), g.node, request(io.LimitReader(&pattern{}, size), size, time.Minute), 0, false)
	is.Equal(res.Outcome, mulberrylink.Answered)
	is.Equal(up, int64(size))
	time.Sleep(300 * time.Millisecond)
	bounded() // the caller does not read yet
	n, err := io.CopyN(io.Discard, res.Answer.Body, size*3/4)
	is.NoErr(err)
	bounded() // nothing that was read is kept
	last, err := io.Copy(io.Discard, res.Answer.Body)
	is.NoErr(err)
	is.Equal(n+last, int64(size))
	is.NoErr(res.Answer.Body.Close())
}

// Guards against an upload whose connection goes silent and that holds its
// place on the upstream, or is reported as not run.
func TestSilentUploadIsCutAndUnknown(t *testing.T) {
	is := is.New(t)
	var g *rig
	cut := make(chan error, 1)
	g = newRig(t, func(_ context.Context, r *mulberrylink.Request, admitted func()) mulberrylink.Result {
		admitted()
		_, err := io.Copy(io.Discard, r.Body)
		cut <- err
		return mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: mulberrylink.ReasonLost}
	})
	sent := 0
	body := readFunc(func(p []byte) (int, error) {
		if sent++; sent == 20 {
			g.relay.cut()
		}
		time.Sleep(5 * time.Millisecond)
		return len(p), nil
	})
	start := time.Now()
	res, _, _ := g.forward(t, request(body, -1, 20*time.Second))
	is.Equal(res.Outcome, mulberrylink.Unknown)
	is.True(time.Since(start) < 2*time.Second)
	is.True((<-cut) != nil)
}

// Guards against a place on the upstream that is held for an entry node which
// has died without a word.
func TestDeadEntryNodeFreesTheUpstream(t *testing.T) {
	is := is.New(t)
	var g *rig
	canceled := make(chan time.Duration, 1)
	g = newRig(t, func(ctx context.Context, _ *mulberrylink.Request, admitted func()) mulberrylink.Result {
		admitted()
		g.relay.cut()
		g.relay.lis.Close() // nor can it resolve
		start := time.Now()
		<-ctx.Done()
		canceled <- time.Since(start)
		return mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: mulberrylink.ReasonCanceled}
	})
	res, _, _ := g.forward(t, request(nil, 0, 20*time.Second))
	is.Equal(res.Outcome, mulberrylink.Unknown)
	is.True((<-canceled) < 5*time.Second) // two silences of 2 s and a margin
}
