package forward_test

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink"
)

// relay forwards TCP connections until it is cut. Then it withholds the data of the
// connections it has, without closing them, and forwards new ones.
type relay struct {
	lis    net.Listener
	target string
	mu     sync.Mutex
	cuts   []*atomic.Bool
	// release, when closed, delivers the withheld data of each cut connection to the
	// admitting node, once the entry node has closed its side.
	release chan struct{}
	// blocked makes the relay read no more data.
	blocked atomic.Bool
}

func newRelay(t *testing.T, target string) *relay {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{lis: lis, target: target, release: make(chan struct{})}
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			in, err := lis.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", r.target)
			if err != nil {
				in.Close()
				continue
			}
			cut := new(atomic.Bool)
			r.mu.Lock()
			r.cuts = append(r.cuts, cut)
			r.mu.Unlock()
			go r.pipe(in, out, cut, true)
			go r.pipe(out, in, cut, false)
		}
	}()
	return r
}

func (r *relay) pipe(from, to net.Conn, cut *atomic.Bool, deliver bool) {
	buf := make([]byte, 64<<10)
	var withheld []byte
	for {
		n, err := from.Read(buf)
		for r.blocked.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		if cut.Load() {
			withheld = append(withheld, buf[:n]...)
			if err != nil && deliver {
				<-r.release
				to.Write(withheld)
				to.Close()
			}
			if err != nil {
				return
			}
			continue
		}
		to.Write(buf[:n])
		if err != nil {
			to.Close()
			return
		}
	}
}

// cut stops the data of all present connections.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.cuts {
		c.Store(true)
	}
}

// Guards against a goroutine of the admitting node that blocks forever in a write to
// an entry node that reads nothing and never closes the connection.
func TestWriteToFullConnectionEnds(t *testing.T) {
	is := is.New(t)
	ended := make(chan time.Time, 1)
	h := newHarness(t, func(_ context.Context, _ *mulberrylink.Request, admitted func()) mulberrylink.Result {
		admitted()
		zeros := readFunc(func(p []byte) (int, error) { return len(p), nil })
		res := respond(zeros, -1)
		res.Answer.Body = &closeRecorder{Reader: zeros, closed: ended}
		return res
	})
	defer h.relay.blocked.Store(false)
	time.AfterFunc(100*time.Millisecond, func() { h.relay.blocked.Store(true) })
	start := time.Now()
	go func() {
		res := h.client.Forward(context.Background(), h.node, request(nil, 0, 20*time.Second), 0, false)
		if res.Answer != nil {
			io.Copy(io.Discard, res.Answer.Body)
			res.Answer.Body.Close()
		}
	}()
	select {
	case <-ended:
		is.True(time.Since(start) < 5*time.Second) // a timeout of 2 s and a margin
	case <-time.After(10 * time.Second):
		t.Fatal("the write of the admitting node has not ended")
	}
}

// closeRecorder records when it is closed.
type closeRecorder struct {
	io.Reader
	closed chan time.Time
}

// Close implements io.Closer.
func (c *closeRecorder) Close() error {
	c.closed <- time.Now()
	return nil
}
