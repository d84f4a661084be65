package main

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/transport/backend"
	"github.com/mulberrylink/mulberrylink/transport/front"
)

const (
	// recordedBytes is the largest body of a first answer that is recorded.
	recordedBytes = 16 << 10
	// recordTime bounds the recording of a first answer.
	recordTime = 2 * time.Second
)

// admitter is the admitting side of the node: it checks whether the node may
// take new work, waits for a place on the upstream and runs the request.
type admitter struct {
	refuse  func() mulberrylink.Reason
	gate    gate
	backend *backend.Backend
	claims  answerRecorder // nil without control hosts
	stats   *stats
	busy    sync.WaitGroup // answers being recorded
}

// Load implements forward.Runner.
func (a *admitter) Load() mulberrylink.Load { return a.gate.Load() }

// Run implements forward.Runner.
func (a *admitter) Run(ctx context.Context, r *mulberrylink.Request, alone bool, admitted func()) mulberrylink.Result {
	if reason := a.refuse(); reason != mulberrylink.ReasonNone {
		return a.refused(reason)
	}
	start := time.Now()
	t, reason := a.gate.Enter(ctx, r, alone)
	if t == nil {
		return a.refused(reason)
	}
	admitted()
	res := a.backend.Do(ctx, r)
	done := completion{
		Took: res.Took, Outcome: res.Outcome, Reason: res.Reason,
		Refused: res.Refused, Died: res.Died,
	}
	if res.Outcome != mulberrylink.Answered {
		t.Done(done)
		return res.Result
	}
	done.Status = res.Answer.Status
	us := time.Since(start).Microseconds()
	res.Answer.Header.Set(front.HeaderTook, strconv.FormatInt(us, 10))
	a.hold(ctx, r, res.Answer, func() { t.Done(done) })
	return res.Result
}

func (a *admitter) refused(reason mulberrylink.Reason) mulberrylink.Result {
	a.stats.refused(reason)
	return mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: reason, Load: a.gate.Load()}
}

// hold keeps the place on the upstream until the answer was read or the
// request has ended, and records the answer of a claimed request.
func (a *admitter) hold(ctx context.Context, r *mulberrylink.Request, ans *mulberrylink.Answer, done func()) {
	var once sync.Once
	leave := func() { once.Do(done) }
	stop := context.AfterFunc(ctx, leave)
	body := &heldBody{ReadCloser: ans.Body, leave: func() { stop(); leave() }}
	if r.Keyed && a.claims != nil {
		body.record = func(data []byte) { a.record(r, *ans, data) }
	}
	ans.Body = body
}

// record stores the first answer under the claim. A repeat of the key gets it
// from there.
func (a *admitter) record(r *mulberrylink.Request, ans mulberrylink.Answer, data []byte) {
	ans.Body = io.NopCloser(bytes.NewReader(data))
	ans.Length = int64(len(data))
	a.busy.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTime)
		defer cancel()
		a.claims.Finish(ctx, r, ans)
	})
}

// heldBody is the body of an answer on the admitting side.
type heldBody struct {
	io.ReadCloser
	leave  func()
	record func([]byte) // nil when the answer is not recorded
	kept   []byte
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.record != nil {
		b.keep(p[:n], err)
	}
	if err != nil {
		b.leave()
	}
	return n, err
}

func (b *heldBody) keep(p []byte, err error) {
	if len(b.kept)+len(p) > recordedBytes {
		b.record = nil
		b.kept = nil
		return
	}
	b.kept = append(b.kept, p...)
	if err == io.EOF { //nolint:errorlint // a reader returns io.EOF itself
		b.record(b.kept)
		b.record = nil
	}
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	err := b.ReadCloser.Close()
	b.leave()
	return err
}
