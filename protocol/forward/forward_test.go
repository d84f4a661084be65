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

// scriptedRunner runs each request with a function of the test.
type scriptedRunner struct {
	runs atomic.Int64
	run  func(ctx context.Context, r *mulberrylink.Request, admitted func()) mulberrylink.Result
}

func (r *scriptedRunner) Run(ctx context.Context, req *mulberrylink.Request, _ bool, admitted func()) mulberrylink.Result {
	r.runs.Add(1)
	return r.run(ctx, req, admitted)
}

func (r *scriptedRunner) Load() mulberrylink.Load { return mulberrylink.Load{InFlight: 1, Limit: 6} }

// harness is an entry node's client that is connected to an admitting node's server through a
// relay.
type harness struct {
	client *forward.Client
	server *forward.Server
	relay  *relay
	node   mulberrylink.Node
	runner *scriptedRunner
}

func newHarness(t *testing.T, run func(ctx context.Context, r *mulberrylink.Request, admitted func()) mulberrylink.Result) *harness {
	t.Helper()
	h := &harness{runner: &scriptedRunner{run: run}}
	h.server = forward.NewServer(forward.ServerConfig{Runner: h.runner})
	s := rpc.NewServer(nil)
	h.server.Register(func(m string, handler forward.Handler) { s.Handle(m, rpc.Handler(handler)) })
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Serve(ctx, lis)
	h.relay = newRelay(t, lis.Addr().String())
	h.node = mulberrylink.Node{Name: "n", Addr: h.relay.lis.Addr().String()}
	pool := rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second, IdlePerAddr: 8})
	t.Cleanup(pool.Close)
	h.client = forward.NewClient(forward.ClientConfig{Pool: pool})
	return h
}

var lastID atomic.Int64

func request(body io.Reader, length int64, timeout time.Duration) *mulberrylink.Request {
	return &mulberrylink.Request{
		ID: fmt.Sprint("r", lastID.Add(1)), Service: "s", Method: "PUT", Path: "/p",
		Header: http.Header{"X": {"y"}}, Body: body, Length: length,
		Deadline: time.Now().Add(timeout),
	}
}

func respond(body io.Reader, length int64) mulberrylink.Result {
	return mulberrylink.Result{Answer: &mulberrylink.Answer{
		Status: 200, Header: http.Header{"A": {"b"}}, Body: io.NopCloser(body), Length: length,
	}}
}

func echo(_ context.Context, r *mulberrylink.Request, admitted func()) mulberrylink.Result {
	admitted()
	if r.Body == nil {
		return respond(bytes.NewReader(nil), 0)
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: mulberrylink.ReasonLost}
	}
	return respond(bytes.NewReader(data), int64(len(data)))
}

func (h *harness) forward(t *testing.T, r *mulberrylink.Request) (mulberrylink.Result, []byte, error) {
	t.Helper()
	res := h.client.Forward(context.Background(), h.node, r, 0, false)
	if res.Outcome != mulberrylink.Answered {
		return res, nil, nil
	}
	data, err := io.ReadAll(res.Answer.Body)
	res.Answer.Body.Close()
	return res, data, err
}

// Guards against responses that are lost, mixed up or truncated, with sizes around
// the chunk size and on reused connections.
func TestBodiesOfAllSizesComeBack(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, echo)
	for _, size := range []int{0, 1, 32<<10 - 1, 32 << 10, 32<<10 + 1, 300 << 10} {
		for _, length := range []int64{int64(size), -1} {
			want := bytes.Repeat([]byte{byte(size), 7}, size)[:size]
			res, got, err := h.forward(t, request(bytes.NewReader(want), length, 5*time.Second))
			is.NoErr(err)
			is.Equal(res.Outcome, mulberrylink.Answered)
			is.True(bytes.Equal(got, want))
		}
	}
	time.Sleep(50 * time.Millisecond)
	is.Equal(h.server.Pending(), 0) // every result was acknowledged
}

// Guards against running a request twice whose connection fails before its open
// frame arrives: the node must report that it was not run, and must not run it
// when the frame arrives late.
func TestSilentIdleConnectionIsFencedAndLateArrivalRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, echo)
	time.Sleep(2100 * time.Millisecond) // the node must have been running for longer than the exchange
	_, _, err := h.forward(t, request(nil, 0, time.Second))
	is.NoErr(err)
	is.Equal(h.runner.runs.Load(), int64(1))
	time.Sleep(20 * time.Millisecond)
	h.relay.cut()
	start := time.Now()
	res, _, _ := h.forward(t, request(nil, 0, 5*time.Second))
	is.Equal(res.Outcome, mulberrylink.NotRun)
	is.Equal(res.Reason, mulberrylink.ReasonFenced)
	is.True(time.Since(start) < 1300*time.Millisecond) // 1 s plus one round trip
	close(h.relay.release)
	time.Sleep(200 * time.Millisecond)
	is.Equal(h.runner.runs.Load(), int64(1)) // the delayed open frame arrived and was rejected
	res, _, _ = h.forward(t, request(nil, 0, time.Second))
	is.Equal(res.Outcome, mulberrylink.Answered)
}

// Guards against a node that has just started and reports that an exchange was not
// run, although the previous process of the node may have run it.
func TestYoungNodeCannotProveNotRun(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, echo)
	_, _, err := h.forward(t, request(nil, 0, time.Second))
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	h.relay.cut()
	res, _, _ := h.forward(t, request(nil, 0, 5*time.Second))
	is.Equal(res.Outcome, mulberrylink.Unknown)
}

// Guards against losing the response to a request whose connection fails while the
// request runs: the response must be fetched over a new connection, and the request
// must not run again.
func TestAnswerIsFetchedAfterSilence(t *testing.T) {
	is := is.New(t)
	var h *harness
	h = newHarness(t, func(_ context.Context, _ *mulberrylink.Request, admitted func()) mulberrylink.Result {
		admitted()
		time.Sleep(50 * time.Millisecond)
		h.relay.cut()
		time.Sleep(1500 * time.Millisecond)
		return respond(bytes.NewReader([]byte("kept")), 4)
	})
	res, got, err := h.forward(t, request(nil, 0, 10*time.Second))
	is.NoErr(err)
	is.Equal(res.Outcome, mulberrylink.Answered)
	is.Equal(string(got), "kept")
	is.Equal(h.runner.runs.Load(), int64(1))
}

// partsReader returns its data part by part and then err. It calls between after
// the first part.
type partsReader struct {
	parts   [][]byte
	between func()
	err     error
}

func (s *partsReader) Read(p []byte) (int, error) {
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

// Guards against losing the rest of a response whose connection fails after the
// first part, and against delivering a part twice.
func TestRestOfAnswerIsFetchedAfterSilence(t *testing.T) {
	is := is.New(t)
	var h *harness
	h = newHarness(t, func(_ context.Context, _ *mulberrylink.Request, admitted func()) mulberrylink.Result {
		admitted()
		r := &partsReader{parts: [][]byte{[]byte("first "), []byte("second "), []byte("third")}, err: io.EOF}
		r.between = nil
		body := io.MultiReader(io.LimitReader(r, 6), readFunc(func(p []byte) (int, error) {
			time.Sleep(100 * time.Millisecond)
			h.relay.cut()
			return 0, io.EOF
		}), r)
		return respond(body, -1)
	})
	res, got, err := h.forward(t, request(nil, 0, 10*time.Second))
	is.NoErr(err)
	is.Equal(res.Outcome, mulberrylink.Answered)
	is.Equal(string(got), "first second third")
}

type readFunc func([]byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against a truncated response that looks complete.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	cases := map[string]func() mulberrylink.Result{
		"error after first part": func() mulberrylink.Result {
			return respond(&partsReader{parts: [][]byte{[]byte("abc")}, err: io.ErrUnexpectedEOF}, -1)
		},
		"shorter than its length": func() mulberrylink.Result {
			return respond(bytes.NewReader(make([]byte, 100<<10)), 200<<10)
		},
		"longer than its length": func() mulberrylink.Result {
			return respond(bytes.NewReader(make([]byte, 100<<10)), 50<<10)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, func(_ context.Context, _ *mulberrylink.Request, admitted func()) mulberrylink.Result {
				admitted()
				return run()
			})
			res, _, err := h.forward(t, request(nil, 0, 3*time.Second))
			is.True(err != nil || res.Outcome == mulberrylink.Unknown)
		})
	}
}

// Guards against a truncated request body that looks complete to the upstream.
func TestCutRequestBodyIsAnError(t *testing.T) {
	is := is.New(t)
	var readErr error
	h := newHarness(t, func(_ context.Context, r *mulberrylink.Request, admitted func()) mulberrylink.Result {
		admitted()
		_, readErr = io.Copy(io.Discard, r.Body)
		return mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: mulberrylink.ReasonLost}
	})
	body := &partsReader{parts: [][]byte{make([]byte, 1000)}, err: io.ErrUnexpectedEOF}
	res, _, _ := h.forward(t, request(body, -1, 3*time.Second))
	is.Equal(res.Outcome, mulberrylink.Unknown)
	is.True(readErr != nil)
}

// Guards against an upstream that continues to work for a caller that no longer
// waits.
func TestCancelReachesTheUpstream(t *testing.T) {
	is := is.New(t)
	canceled := make(chan struct{})
	h := newHarness(t, func(ctx context.Context, _ *mulberrylink.Request, admitted func()) mulberrylink.Result {
		admitted()
		<-ctx.Done()
		close(canceled)
		return mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: mulberrylink.ReasonCanceled}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	ctx, stop := context.WithCancel(ctx)
	defer cancel()
	time.AfterFunc(50*time.Millisecond, stop)
	res := h.client.Forward(ctx, h.node, request(nil, 0, 20*time.Second), 0, false)
	is.Equal(res.Outcome, mulberrylink.Unknown)
	select {
	case <-canceled:
	case <-time.After(time.Second):
		t.Fatal("upstream was not canceled")
	}
}

// Guards against a rejection that reads the body, which couldn't be sent again.
func TestRefusalLeavesTheBodyUnread(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(context.Context, *mulberrylink.Request, func()) mulberrylink.Result {
		return mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: mulberrylink.ReasonBusy}
	})
	read := false
	body := readFunc(func([]byte) (int, error) { read = true; return 0, io.EOF })
	res, _, _ := h.forward(t, request(body, -1, time.Second))
	is.Equal(res.Outcome, mulberrylink.NotRun)
	is.Equal(res.Reason, mulberrylink.ReasonBusy)
	is.Equal(res.Load.Limit, 6)
	is.True(!read)
}

// patternReader is an endless reader that needs no memory.
type patternReader struct{ n int64 }

func (p *patternReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(p.n >> 3)
		p.n++
	}
	return len(b), nil
}

// Guards against bodies that accumulate in memory when the reader is slower than
// the writer, in both directions, or that are retained although they are too long.
func TestLargeBodiesNeedBoundedMemory(t *testing.T) {
	const size = 64 << 20
	is := is.New(t)
	checkHeap := func() {
		t.Helper()
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		is.True(m.HeapAlloc < size/2)
	}
	var uploaded int64
	h := newHarness(t, func(_ context.Context, r *mulberrylink.Request, admitted func()) mulberrylink.Result {
		admitted()
		time.Sleep(300 * time.Millisecond)
		checkHeap() // the upstream does not read yet
		uploaded, _ = io.Copy(io.Discard, r.Body)
		return respond(io.LimitReader(&patternReader{}, size), size)
	})
	res := h.client.Forward(context.Background(), h.node, request(io.LimitReader(&patternReader{}, size), size, time.Minute), 0, false)
	is.Equal(res.Outcome, mulberrylink.Answered)
	is.Equal(uploaded, int64(size))
	time.Sleep(300 * time.Millisecond)
	checkHeap() // the caller does not read yet
	first, err := io.CopyN(io.Discard, res.Answer.Body, size*3/4)
	is.NoErr(err)
	checkHeap() // no bytes that were read are retained
	rest, err := io.Copy(io.Discard, res.Answer.Body)
	is.NoErr(err)
	is.Equal(first+rest, int64(size))
	is.NoErr(res.Answer.Body.Close())
}

// Guards against an upload whose connection fails and that keeps its slot on the
// upstream or is reported as not run.
func TestSilentUploadIsCutAndUnknown(t *testing.T) {
	is := is.New(t)
	var h *harness
	readErr := make(chan error, 1)
	h = newHarness(t, func(_ context.Context, r *mulberrylink.Request, admitted func()) mulberrylink.Result {
		admitted()
		_, err := io.Copy(io.Discard, r.Body)
		readErr <- err
		return mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: mulberrylink.ReasonLost}
	})
	sent := 0
	body := readFunc(func(p []byte) (int, error) {
		if sent++; sent == 20 {
			h.relay.cut()
		}
		time.Sleep(5 * time.Millisecond)
		return len(p), nil
	})
	start := time.Now()
	res, _, _ := h.forward(t, request(body, -1, 20*time.Second))
	is.Equal(res.Outcome, mulberrylink.Unknown)
	is.True(time.Since(start) < 2*time.Second)
	is.True((<-readErr) != nil)
}

// Guards against a slot on the upstream that stays taken by the request of an entry
// node that has crashed without closing its connection.
func TestDeadEntryNodeFreesTheUpstream(t *testing.T) {
	is := is.New(t)
	var h *harness
	canceled := make(chan time.Duration, 1)
	h = newHarness(t, func(ctx context.Context, _ *mulberrylink.Request, admitted func()) mulberrylink.Result {
		admitted()
		h.relay.cut()
		h.relay.lis.Close() // the entry node can't resolve the exchange, either
		start := time.Now()
		<-ctx.Done()
		canceled <- time.Since(start)
		return mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: mulberrylink.ReasonCanceled}
	})
	res, _, _ := h.forward(t, request(nil, 0, 20*time.Second))
	is.Equal(res.Outcome, mulberrylink.Unknown)
	is.True((<-canceled) < 5*time.Second) // two timeouts of 2 s and a margin
}
