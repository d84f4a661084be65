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

// relay forwards TCP until it is cut: then it swallows everything on the
// connections it has, without closing them, and forwards new ones.
type relay struct {
	lis  net.Listener
	to   string
	mu   sync.Mutex
	cuts []*atomic.Bool
	// holdBack makes the cut connections keep what they swallow and deliver it
	// when release is closed.
	release chan struct{}
	// full makes the relay take no more data.
	full atomic.Bool
}

func newRelay(t *testing.T, to string) *relay {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{lis: lis, to: to, release: make(chan struct{})}
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			in, err := lis.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", r.to)
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
	var held []byte
	for {
		n, err := from.Read(buf)
		for r.full.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		if cut.Load() {
			held = append(held, buf[:n]...)
			if err != nil && deliver {
				<-r.release
				to.Write(held)
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

// cut makes every present connection silent.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.cuts {
		c.Store(true)
	}
}

// Guards against a goroutine of the admitting node that waits for ever to write
// to an entry node that takes no more data and never closes the connection.
func TestWriteToFullConnectionEnds(t *testing.T) {
	is := is.New(t)
	ended := make(chan time.Time, 1)
	g := newRig(t, func(_ context.Context, _ *mulberrylink.Request, admitted func()) mulberrylink.Result {
		admitted()
		zeros := readFunc(func(p []byte) (int, error) { return len(p), nil })
		res := answer(zeros, -1)
		res.Answer.Body = &closeNote{Reader: zeros, closed: ended}
		return res
	})
	defer g.relay.full.Store(false)
	time.AfterFunc(100*time.Millisecond, func() { g.relay.full.Store(true) })
	start := time.Now()
	go func() {
		res := g.client.Forward(context.Background(), g.node, request(nil, 0, 20*time.Second), 0, false)
		if res.Answer != nil {
			io.Copy(io.Discard, res.Answer.Body)
			res.Answer.Body.Close()
		}
	}()
	select {
	case <-ended:
		is.True(time.Since(start) < 5*time.Second) // 2 s of silence and a margin
	case <-time.After(10 * time.Second):
		t.Fatal("the admitting node still writes")
	}
}

type closeNote struct {
	io.Reader
	closed chan time.Time
}

// Close implements io.Closer.
func (c *closeNote) Close() error {
	c.closed <- time.Now()
	return nil
}
