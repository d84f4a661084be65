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
type operatorCall struct {
	id   string
	from uint64
}

type callOutcome struct {
	accepted bool
	version  uint64
}

// versions is a register that holds the current version. A change is accepted
// exactly when it was made from that version; a read returns it.
var versionRegister = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		cur, in, out := state.(uint64), input.(operatorCall), output.(callOutcome)
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
	begin       time.Time
	mu          sync.Mutex
	ops         []porcupine.Operation
	acceptedIDs map[uint64][]string // identifiers of accepted changes by version
}

func newRecorder() *recorder { return &recorder{begin: time.Now(), acceptedIDs: map[uint64][]string{}} }

func (r *recorder) record(operator int, call operatorCall, begin time.Time, out callOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{
		ClientId: operator, Input: call, Call: begin.Sub(r.begin).Nanoseconds(),
		Output: out, Return: time.Since(r.begin).Nanoseconds(),
	})
	if out.accepted {
		r.acceptedIDs[out.version] = append(r.acceptedIDs[out.version], call.id)
	}
}

// operate makes changes, each from the version that the operator last saw,
// until stop is closed.
func (r *recorder) makeChanges(client *controlplane.Client, operator int, stop <-chan struct{}) error {
	var version uint64
	for n := 0; ; n++ {
		select {
		case <-stop:
			return nil
		default:
		}
		call := operatorCall{id: fmt.Sprintf("operator-%d-%d", operator, n), from: version}
		begin := time.Now()
		if n%3 == 0 {
			applyAndAbandon(client, newChange(call.id, call.from), time.Duration(n%10)*time.Millisecond)
		}
		reply, err := applyDecided(client, newChange(call.id, call.from))
		if err != nil {
			return err
		}
		r.record(operator, call, begin, callOutcome{accepted: reply.State == controlplane.ApplyAccepted, version: reply.Version})
		version = reply.Version
		// Both operators read the version again, so that they race from
		// equal versions.
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		begin = time.Now()
		v, _, err := client.ConfirmedConfig(ctx)
		cancel()
		if err == nil {
			r.record(operator, operatorCall{}, begin, callOutcome{version: v})
			version = v
		}
		time.Sleep(operatorPause)
	}
}

// loseAnswer sends a change and gives up on the answer.
func applyAndAbandon(client *controlplane.Client, change controlplane.Change, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	client.Apply(ctx, change)
}

// check verifies the history and that each accepted change is in the history
// of the cluster.
func (r *recorder) check(t *testing.T, client *controlplane.Client) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if res := porcupine.CheckOperationsTimeout(versionRegister, r.ops, waitTimeout); res != porcupine.Ok {
		t.Errorf("history of %d operations is %s", len(r.ops), res)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	changes, err := client.History(ctx, 1000)
	if err != nil {
		t.Fatal(err)
	}
	if len(changes) >= 1000 {
		t.Fatal("the history does not fit one reply")
	}
	stored := map[uint64]string{}
	for _, change := range changes {
		if change.Accepted {
			stored[change.Version] = change.ID
		}
	}
	for v, ids := range r.acceptedIDs {
		if len(ids) != 1 || stored[v] != ids[0] {
			t.Errorf("version %d: winners %v, kept %q", v, ids, stored[v])
		}
	}
	t.Logf("operations=%d accepted=%d", len(r.ops), len(r.acceptedIDs))
}

// watch follows the raw watch stream of one host, as a node does, and reports
// each version that is not above the one before. The client would drop it.
func watchVersions(ctx context.Context, p *process, onVersion func(version uint64)) (err error) {
	var last uint64
	pool := rpc.NewPool(rpc.PoolConfig{DialTimeout: linkDialTimeout})
	defer pool.Close()
	for ctx.Err() == nil {
		if err = watchOneStream(ctx, pool, p, &last, onVersion); err != nil {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

func watchOneStream(ctx context.Context, pool *rpc.Pool, p *process, last *uint64, onVersion func(uint64)) error {
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
		onVersion(frame.Version)
	}
}
