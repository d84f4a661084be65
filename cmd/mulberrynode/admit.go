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
	maxRecordedBody = 16 << 10
	// recordTime bounds the recording of a first answer.
	recordTimeout = 2 * time.Second
)

// admitter is the admitting side of the node: it checks whether the node may
// take new work, waits for a place on the upstream and runs the request.
type admitter struct {
	rejectReason func(service string) mulberrylink.Reason
	gate         gate
	backend      *backend.Backend
	recorder     responseRecorder // nil without control hosts
	suspects     *crashSuspects
	stats        *stats
	recordings   sync.WaitGroup // answers being recorded
}

// Load implements forward.Runner.
func (a *admitter) Load() mulberrylink.Load { return a.gate.Load() }

// Run implements forward.Runner.
func (a *admitter) Run(ctx context.Context, r *mulberrylink.Request, alone bool, admitted func()) mulberrylink.Result {
	if reason := a.rejectReason(r.Service); reason != mulberrylink.ReasonNone {
		return a.reject(reason)
	}
	switch a.suspects.list.Verdict(r.Fingerprint) {
	case suspect.Refuse:
		return a.reject(mulberrylink.ReasonCrasher)
	case suspect.Alone:
		alone = true
	case suspect.Normal:
	}
	start := time.Now()
	p, reason := a.gate.Acquire(ctx, r, alone)
	if p == nil {
		return a.reject(reason)
	}
	queueTime := time.Since(start)
	admitted()
	outgoing := *r
	if r.Body == nil {
		p.Sent()
	} else {
		outgoing.Body = &uploadReader{Reader: r.Body, onEOF: p.Sent}
	}
	res := a.backend.Do(ctx, &outgoing)
	if res.Outcome != mulberrylink.Answered {
		p.Done(admission.Completion{Class: attemptClass(res)})
		if res.Outcome == mulberrylink.Unknown && r.Keyed {
			a.record(r, nil)
		}
		return res.Result
	}
	p.Responded()
	upstreamMicros := max((queueTime + res.ServiceTime).Microseconds(), 1)
	res.Answer.Header.Set(front.HeaderUpstreamTime, strconv.FormatInt(upstreamMicros, 10))
	a.trackResponse(ctx, r, res.Answer, func(complete bool) {
		p.Done(admission.Completion{Class: responseClass(res.Answer.Status, complete)})
		if complete {
			a.suspects.recordCompletion(r.Service, r.Fingerprint, alone)
		}
	})
	return res.Result
}

// classOf tells the gate how a request without an answer ended.
func attemptClass(res backend.Result) admission.Class {
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

func responseClass(status int, complete bool) admission.Class {
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
type uploadReader struct {
	io.Reader
	onEOF func()
}

// Read implements io.Reader.
func (r *uploadReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF { //nolint:errorlint // a reader returns io.EOF itself
		r.onEOF()
	}
	return n, err
}

func (a *admitter) reject(reason mulberrylink.Reason) mulberrylink.Result {
	a.stats.rejected(reason)
	return mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: reason, Load: a.gate.Load()}
}

// hold keeps the place on the upstream until the answer was read or the
// request has ended, and records the answer of a claimed request.
func (a *admitter) trackResponse(ctx context.Context, r *mulberrylink.Request, resp *mulberrylink.Answer, done func(complete bool)) {
	var once sync.Once
	finishOnce := func(complete bool) { once.Do(func() { done(complete) }) }
	stop := context.AfterFunc(ctx, func() { finishOnce(false) })
	body := &trackedBody{ReadCloser: resp.Body, finish: func(complete bool) { stop(); finishOnce(complete) }}
	if r.Keyed {
		respCopy := *resp
		body.record = func(data []byte) { a.record(r, recordedResponse(respCopy, data)) }
	}
	resp.Body = body
}

// firstAnswer returns the answer to record, nil when its body was too long or
// was not read to its end.
func recordedResponse(resp mulberrylink.Answer, data []byte) *mulberrylink.Answer {
	if data == nil {
		return nil
	}
	resp.Body = io.NopCloser(bytes.NewReader(data))
	resp.Length = int64(len(data))
	return &resp
}

// record stores the first answer under the claim. A repeat of the key gets it
// from there. With a nil answer a repeat gets a truthful unknown at once.
func (a *admitter) record(r *mulberrylink.Request, resp *mulberrylink.Answer) {
	if a.recorder == nil {
		return
	}
	a.recordings.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		a.recorder.Finish(ctx, r, resp)
	})
}

// heldBody is the body of an answer on the admitting side.
type trackedBody struct {
	io.ReadCloser
	finish  func(complete bool)
	record  func([]byte) // nil when the answer is not recorded, or was already
	buf     []byte
	tooLong bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.record != nil {
		b.buffer(p[:n], err)
	}
	if err != nil {
		b.finish(err == io.EOF) //nolint:errorlint // a reader returns io.EOF itself
	}
	return n, err
}

func (b *trackedBody) buffer(p []byte, err error) {
	b.tooLong = b.tooLong || len(b.buf)+len(p) > maxRecordedBody
	if !b.tooLong {
		b.buf = append(b.buf, p...)
	}
	if err == nil {
		return
	}
	if b.tooLong || err != io.EOF { //nolint:errorlint // a reader returns io.EOF itself
		b.buf = nil
	} else if b.buf == nil {
		b.buf = []byte{}
	}
	b.record(b.buf)
	b.record = nil
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	if b.record != nil {
		b.record(nil)
		b.record = nil
	}
	b.finish(false)
	return err
}
