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

// operatorCall is one operation of an operator: a change with all its attempts, or a confirmed read
// if id is empty.
type operatorCall struct {
	id          string
	baseVersion uint64
}

type callOutcome struct {
	accepted bool
	version  uint64
}

// versionRegister models a register that holds the current version. A change is accepted if and only
// if its base version is the current version; a read returns the current version.
var versionRegister = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		cur, in, out := state.(uint64), input.(operatorCall), output.(callOutcome)
		switch {
		case in.id == "":
			return out.version == cur, cur
		case out.accepted:
			return in.baseVersion == cur && out.version == cur+1, cur + 1
		default:
			return in.baseVersion != cur && out.version == cur, cur
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v %+v", input, output) },
}

// operatorPause keeps the history of a test below the 1,000 changes that fit in one response.
const operatorPause = 10 * time.Millisecond

// recorder records the operations of several operators.
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

// makeChanges makes changes until stop is closed. The base version of each change is the version that
// the operator received last. Every third change is first sent with a timeout of less than 10 ms, so
// that its response may be lost.
func (r *recorder) makeChanges(client *controlplane.Client, operator int, stop <-chan struct{}) error {
	var version uint64
	for n := 0; ; n++ {
		select {
		case <-stop:
			return nil
		default:
		}
		call := operatorCall{id: fmt.Sprintf("operator-%d-%d", operator, n), baseVersion: version}
		begin := time.Now()
		if n%3 == 0 {
			applyAndAbandon(client, newChange(call.id, call.baseVersion), time.Duration(n%10)*time.Millisecond)
		}
		reply, err := applyUntilDecided(client, newChange(call.id, call.baseVersion))
		if err != nil {
			return err
		}
		r.record(operator, call, begin, callOutcome{accepted: reply.State == controlplane.ApplyAccepted, version: reply.Version})
		version = reply.Version
		// Both operators read the version again, so that their changes compete for the same
		// base version.
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

// applyAndAbandon sends a change and ignores its outcome, for which it waits for at most timeout.
func applyAndAbandon(client *controlplane.Client, change controlplane.Change, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	client.Apply(ctx, change)
}

// check verifies that the recorded operations are linearizable and that the history of the cluster
// contains each accepted change.
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
		t.Fatal("the history does not fit in one response")
	}
	stored := map[uint64]string{}
	for _, change := range changes {
		if change.Accepted {
			stored[change.Version] = change.ID
		}
	}
	for v, ids := range r.acceptedIDs {
		if len(ids) != 1 || stored[v] != ids[0] {
			t.Errorf("version %d: accepted changes %v, change in the history %q", v, ids, stored[v])
		}
	}
	t.Logf("operations=%d accepted=%d", len(r.ops), len(r.acceptedIDs))
}

// watchVersions reads the watch stream of one host, as a node does, and reconnects until ctx ends. It
// returns an error for a version that is not higher than the one before. It doesn't use
// controlplane.Client, which would drop such a version.
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
