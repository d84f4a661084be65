package gateway

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink/transport/exchange"
)

// failedRunRetention is how long a run without a response counts as one that the upstream may still
// be working on. Some upstreams go on with a request after its connection has closed, and the
// failures of all requests in flight at a crash arrive within some milliseconds.
const failedRunRetention = 300 * time.Millisecond

// upstreamRun is a request that was sent to the upstream beside the node.
type upstreamRun struct {
	requestID   string
	upstreamID  string
	route       string
	fingerprint uint64
	startedAt   time.Time
	failedAt    time.Time // when it ended without a response; zero while it is in flight
}

// String describes the run for the log.
func (r *upstreamRun) String() string {
	return fmt.Sprintf("%s,%s,%016x,%s", r.requestID, r.route, r.fingerprint, time.Since(r.startedAt).Round(time.Millisecond))
}

// runTable holds the requests that the upstream beside the node is running.
type runTable struct {
	mu   sync.Mutex
	runs map[*upstreamRun]struct{}
}

func newRunTable() *runTable { return &runTable{runs: make(map[*upstreamRun]struct{})} }

func (t *runTable) begin(r *upstreamRun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(r.startedAt)
	t.runs[r] = struct{}{}
}

// complete removes a run whose whole response has arrived.
func (t *runTable) complete(r *upstreamRun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs, r)
}

// fail records that a run ended without a response, or with a part of one.
func (t *runTable) fail(r *upstreamRun, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.failedAt = now
}

// takeAll removes the runs of an upstream instance and returns them, the earliest first.
func (t *runTable) takeAll(upstreamID string, now time.Time) []*upstreamRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	runs := make([]*upstreamRun, 0, len(t.runs))
	for r := range t.runs {
		if r.upstreamID == upstreamID {
			runs = append(runs, r)
			delete(t.runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *upstreamRun) int {
		return cmp.Or(a.startedAt.Compare(b.startedAt), cmp.Compare(a.requestID, b.requestID))
	})
	return runs
}

// expire removes the runs that failed more than failedRunRetention ago. The caller holds mu.
func (t *runTable) expire(now time.Time) {
	for r := range t.runs {
		if !r.failedAt.IsZero() && now.Sub(r.failedAt) > failedRunRetention {
			delete(t.runs, r)
		}
	}
}

// trackResponse ends a run with its response, which may still be arriving. onComplete is called
// once the whole response has arrived.
func (t *runTable) trackResponse(r *upstreamRun, resp *exchange.Response, onComplete func()) {
	if resp.Rest == nil {
		t.complete(r)
		onComplete()
		return
	}
	resp.Rest = &runBody{ReadCloser: resp.Rest, table: t, run: r, onComplete: onComplete}
}

// runBody ends a run with the body of its response.
type runBody struct {
	io.ReadCloser
	table      *runTable
	run        *upstreamRun
	onComplete func()
	complete   bool
}

// Read implements io.Reader.
func (b *runBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *runBody) Close() error {
	if b.complete {
		b.table.complete(b.run)
		b.onComplete()
	} else {
		b.table.fail(b.run, time.Now())
	}
	return b.ReadCloser.Close()
}
