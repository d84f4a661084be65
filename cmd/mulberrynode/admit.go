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
	// maxRecordedBodyBytes is the maximum body size of a response that is recorded under a claim.
	maxRecordedBodyBytes = 16 << 10
	// recordTimeout is the timeout for recording a response.
	recordTimeout = 2 * time.Second
)

// admitter runs requests on the local upstream when this node is the admitting node: it rejects
// requests that the node may not accept, waits for a permit and sends the request. It implements
// forward.Runner.
type admitter struct {
	rejectReason func(service string) mulberrylink.Reason
	gate         gate
	backend      *backend.Backend
	recorder     responseRecorder // nil without control hosts
	suspects     *crashSuspects
	stats        *stats
	recordings   sync.WaitGroup // responses being recorded
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

// attemptClass returns the completion class of a request that got no response.
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

// responseClass returns the completion class of a request that got a response, which is complete when
// its body was read to the end.
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

// uploadReader calls onEOF when the whole request body has been read for the upstream.
type uploadReader struct {
	io.Reader
	onEOF func()
}

// Read implements io.Reader.
func (r *uploadReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF { //nolint:errorlint // readers return io.EOF unwrapped
		r.onEOF()
	}
	return n, err
}

// reject counts a rejection and returns its result.
func (a *admitter) reject(reason mulberrylink.Reason) mulberrylink.Result {
	a.stats.rejected(reason)
	return mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: reason, Load: a.gate.Load()}
}

// trackResponse calls done once, when the response body has been read or closed or ctx has ended;
// complete is true only when the body was read to the end. It also records the response to a request
// with an idempotency key.
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

// recordedResponse returns the response to record, nil when its body was too long or wasn't read to
// the end.
func recordedResponse(resp mulberrylink.Answer, data []byte) *mulberrylink.Answer {
	if data == nil {
		return nil
	}
	resp.Body = io.NopCloser(bytes.NewReader(data))
	resp.Length = int64(len(data))
	return &resp
}

// record stores the response under the claim, so that a later request with the same key gets the
// same response. When resp is nil, such a request is answered with outcome unknown at once.
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

// trackedBody is a response body on the admitting node. It reports its end and buffers the response
// that is recorded.
type trackedBody struct {
	io.ReadCloser
	finish  func(complete bool)
	record  func([]byte) // nil when the response isn't recorded or already has been
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
		b.finish(err == io.EOF) //nolint:errorlint // readers return io.EOF unwrapped
	}
	return n, err
}

// buffer appends p to the response to record, and records it when err ends the body.
func (b *trackedBody) buffer(p []byte, err error) {
	b.tooLong = b.tooLong || len(b.buf)+len(p) > maxRecordedBodyBytes
	if !b.tooLong {
		b.buf = append(b.buf, p...)
	}
	if err == nil {
		return
	}
	if b.tooLong || err != io.EOF { //nolint:errorlint // readers return io.EOF unwrapped
		b.buf = nil
	} else if b.buf == nil {
		b.buf = []byte{}
	}
	b.record(b.buf)
	b.record = nil
}

// Close implements io.Closer. When the body wasn't read to the end, it records only that the request
// may have run.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	if b.record != nil {
		b.record(nil)
		b.record = nil
	}
	b.finish(false)
	return err
}
