package main

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/state/codec"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// call is one operation of an operator: a change with all its resends, or a
// confirmed read when id is empty.
type call struct {
	id   string
	from uint64
}

type outcome struct {
	accepted bool
	version  uint64
}

// versions is a register that holds the current version. A change is accepted
// exactly when it was made from that version; a read returns it.
var versions = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		cur, in, out := state.(uint64), input.(call), output.(outcome)
		switch {
		case in.id == "":
			return out.version == cur, cur
		case out.accepted:
			return in.from == cur && out.version == cur+1, cur + 1
		default:
			return in.from != cur && out.version == cur, cur
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v %+v", input, output) },
}

// operatorPause keeps the history of a test below the 1,000 changes that one
// reply holds.
const operatorPause = 10 * time.Millisecond

// recorder collects the operations of several operators.
type recorder struct {
	begin time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
	won   map[uint64][]string // identifiers of accepted changes by version
}

func newRecorder() *recorder { return &recorder{begin: time.Now(), won: map[uint64][]string{}} }

func (r *recorder) record(operator int, in call, begin time.Time, out outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{
		ClientId: operator, Input: in, Call: begin.Sub(r.begin).Nanoseconds(),
		Output: out, Return: time.Since(r.begin).Nanoseconds(),
	})
	if out.accepted {
		r.won[out.version] = append(r.won[out.version], in.id)
	}
}

// operate makes changes, each from the version that the operator last saw,
// until stop is closed.
func (r *recorder) operate(cl *controlplane.Client, operator int, stop <-chan struct{}) error {
	var version uint64
	for n := 0; ; n++ {
		select {
		case <-stop:
			return nil
		default:
		}
		in := call{id: fmt.Sprintf("operator-%d-%d", operator, n), from: version}
		begin := time.Now()
		if n%3 == 0 {
			loseAnswer(cl, change(in.id, in.from), time.Duration(n%10)*time.Millisecond)
		}
		reply, err := applyDecided(cl, change(in.id, in.from))
		if err != nil {
			return err
		}
		r.record(operator, in, begin, outcome{accepted: reply.State == controlplane.ApplyAccepted, version: reply.Version})
		version = reply.Version
		// Both operators read the version again, so that they race from
		// equal versions.
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		begin = time.Now()
		v, _, err := cl.ConfirmedConfig(ctx)
		cancel()
		if err == nil {
			r.record(operator, call{}, begin, outcome{version: v})
			version = v
		}
		time.Sleep(operatorPause)
	}
}

// loseAnswer sends a change and gives up on the answer.
func loseAnswer(cl *controlplane.Client, ch controlplane.Change, after time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	cl.Apply(ctx, ch)
}

// check verifies the history and that each accepted change is in the history
// of the cluster.
func (r *recorder) check(t *testing.T, cl *controlplane.Client) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if res := porcupine.CheckOperationsTimeout(versions, r.ops, waitLimit); res != porcupine.Ok {
		t.Errorf("history of %d operations is %s", len(r.ops), res)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	changes, err := cl.History(ctx, 1000)
	if err != nil {
		t.Fatal(err)
	}
	if len(changes) >= 1000 {
		t.Fatal("the history does not fit one reply")
	}
	kept := map[uint64]string{}
	for _, ch := range changes {
		if ch.Accepted {
			kept[ch.Version] = ch.ID
		}
	}
	for v, ids := range r.won {
		if len(ids) != 1 || kept[v] != ids[0] {
			t.Errorf("version %d: winners %v, kept %q", v, ids, kept[v])
		}
	}
	t.Logf("operations=%d accepted=%d", len(r.ops), len(r.won))
}

// watch follows the raw watch stream of one host, as a node does, and reports
// each version that is not above the one before. The client would drop it.
func watch(ctx context.Context, p *process, seen func(version uint64)) (problem error) {
	var last uint64
	pool := rpc.NewPool(rpc.PoolConfig{DialTimeout: linkDialTimeout})
	defer pool.Close()
	for ctx.Err() == nil {
		if problem = watchOnce(ctx, pool, p, &last, seen); problem != nil {
			return problem
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

func watchOnce(ctx context.Context, pool *rpc.Pool, p *process, last *uint64, seen func(uint64)) error {
	conn, err := pool.Dial(ctx, p.addr)
	if err != nil {
		return nil
	}
	defer conn.Close()
	st, err := conn.NewStream(ctx, "control/watch", codec.Encoding{})
	if err != nil {
		return nil
	}
	in := struct {
		Have uint64 `cbor:"v"`
	}{*last}
	if err := st.MsgSend(&in, codec.Encoding{}); err != nil {
		return nil
	}
	for {
		var frame struct {
			Version uint64 `cbor:"v"`
		}
		if err := st.MsgRecv(&frame, codec.Encoding{}); err != nil {
			return nil
		}
		if frame.Version == 0 {
			continue // keep-alive
		}
		if frame.Version <= *last {
			return fmt.Errorf("%s sent version %d after %d", p.name, frame.Version, *last)
		}
		*last = frame.Version
		seen(frame.Version)
	}
}
