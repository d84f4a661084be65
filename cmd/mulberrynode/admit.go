package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/admission"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
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
	refuse   func(service string) mulberrylink.Reason
	gate     gate
	backend  *backend.Backend
	claims   answerRecorder // nil without control hosts
	suspects *suspects
	stats    *stats
	busy     sync.WaitGroup // answers being recorded
}

// Load implements forward.Runner.
func (a *admitter) Load() mulberrylink.Load { return a.gate.Load() }

// Run implements forward.Runner.
func (a *admitter) Run(ctx context.Context, r *mulberrylink.Request, alone bool, admitted func()) mulberrylink.Result {
	if reason := a.refuse(r.Service); reason != mulberrylink.ReasonNone {
		return a.refused(reason)
	}
	switch a.suspects.list.Verdict(r.Fingerprint) {
	case suspect.Refuse:
		return a.refused(mulberrylink.ReasonCrasher)
	case suspect.Alone:
		alone = true
	case suspect.Normal:
	}
	start := time.Now()
	t, reason := a.gate.Acquire(ctx, r, alone)
	if t == nil {
		return a.refused(reason)
	}
	waited := time.Since(start)
	admitted()
	sent := *r
	if r.Body == nil {
		t.Sent()
	} else {
		sent.Body = &sentReader{Reader: r.Body, sent: t.Sent}
	}
	res := a.backend.Do(ctx, &sent)
	if res.Outcome != mulberrylink.Answered {
		t.Done(admission.Completion{Class: classOf(res)})
		if res.Outcome == mulberrylink.Unknown && r.Keyed {
			a.record(r, nil)
		}
		return res.Result
	}
	t.Responded()
	us := max((waited + res.ServiceTime).Microseconds(), 1)
	res.Answer.Header.Set(front.HeaderUpstreamTime, strconv.FormatInt(us, 10))
	a.hold(ctx, r, res.Answer, func(complete bool) {
		t.Done(admission.Completion{Class: answerClass(res.Answer.Status, complete)})
		if complete {
			a.suspects.completed(r.Service, r.Fingerprint, alone)
		}
	})
	return res.Result
}

// classOf tells the gate how a request without an answer ended.
func classOf(res backend.Result) admission.Class {
	switch {
	case res.ConnectionRefused:
		return admission.ConnectionRefused
	case res.Crashed:
		return admission.UpstreamDied
	case res.Reason == mulberrylink.ReasonShed:
		return admission.Shed
	case res.Reason == mulberrylink.ReasonCanceled || res.Reason == mulberrylink.ReasonDeadline:
		return admission.Canceled
	default:
		return admission.Failure
	}
}

func answerClass(status int, complete bool) admission.Class {
	switch {
	case !complete:
		return admission.Canceled
	case status >= http.StatusInternalServerError:
		return admission.Failure
	default:
		return admission.Success
	}
}

// sentReader tells when the whole body has been read for the upstream.
type sentReader struct {
	io.Reader
	sent func()
}

// Read implements io.Reader.
func (s *sentReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err == io.EOF { //nolint:errorlint // a reader returns io.EOF itself
		s.sent()
	}
	return n, err
}

func (a *admitter) refused(reason mulberrylink.Reason) mulberrylink.Result {
	a.stats.refused(reason)
	return mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: reason, Load: a.gate.Load()}
}

// hold keeps the place on the upstream until the answer was read or the
// request has ended, and records the answer of a claimed request.
func (a *admitter) hold(ctx context.Context, r *mulberrylink.Request, ans *mulberrylink.Answer, done func(complete bool)) {
	var once sync.Once
	leave := func(complete bool) { once.Do(func() { done(complete) }) }
	stop := context.AfterFunc(ctx, func() { leave(false) })
	body := &heldBody{ReadCloser: ans.Body, leave: func(complete bool) { stop(); leave(complete) }}
	if r.Keyed {
		head := *ans
		body.record = func(data []byte) { a.record(r, firstAnswer(head, data)) }
	}
	ans.Body = body
}

// firstAnswer returns the answer to record, nil when its body was too long or
// was not read to its end.
func firstAnswer(head mulberrylink.Answer, data []byte) *mulberrylink.Answer {
	if data == nil {
		return nil
	}
	head.Body = io.NopCloser(bytes.NewReader(data))
	head.Length = int64(len(data))
	return &head
}

// record stores the first answer under the claim. A repeat of the key gets it
// from there. With a nil answer a repeat gets a truthful unknown at once.
func (a *admitter) record(r *mulberrylink.Request, ans *mulberrylink.Answer) {
	if a.claims == nil {
		return
	}
	a.busy.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTime)
		defer cancel()
		a.claims.Finish(ctx, r, ans)
	})
}

// heldBody is the body of an answer on the admitting side.
type heldBody struct {
	io.ReadCloser
	leave  func(complete bool)
	record func([]byte) // nil when the answer is not recorded, or was already
	kept   []byte
	long   bool
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.record != nil {
		b.keep(p[:n], err)
	}
	if err != nil {
		b.leave(err == io.EOF) //nolint:errorlint // a reader returns io.EOF itself
	}
	return n, err
}

func (b *heldBody) keep(p []byte, err error) {
	b.long = b.long || len(b.kept)+len(p) > recordedBytes
	if !b.long {
		b.kept = append(b.kept, p...)
	}
	if err == nil {
		return
	}
	if b.long || err != io.EOF { //nolint:errorlint // a reader returns io.EOF itself
		b.kept = nil
	} else if b.kept == nil {
		b.kept = []byte{}
	}
	b.record(b.kept)
	b.record = nil
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	err := b.ReadCloser.Close()
	if b.record != nil {
		b.record(nil)
		b.record = nil
	}
	b.leave(false)
	return err
}
