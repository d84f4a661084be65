package forward

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

func addSeeds(f *testing.F, values ...any) {
	f.Helper()
	for _, v := range values {
		b, err := codec.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
}

// Guards against a frame that passes validation and then breaks the receiver: a
// request with an impossible deadline, body length or path, or a response without
// a final status.
func FuzzFrame(f *testing.F) {
	r := &mulberrylink.Request{
		ID: "a", Service: "s", Method: "GET", Path: "/p?q", Header: http.Header{"A": {"b"}},
		Deadline: time.Now().Add(time.Second),
	}
	addSeeds(f, frame{Kind: frameOpen, Open: newOpenMessage(r, 1, true, time.Now())},
		frame{Kind: frameResponse, Response: &responseHead{Status: 200, Length: -1}, Data: []byte("x")},
		frame{Kind: frameRejected, Outcome: mulberrylink.NotRun, Load: &loadMessage{InFlight: 1}},
		frame{Kind: frameResponseEnd, Last: true}, frame{Kind: frameOpen})
	f.Fuzz(func(t *testing.T, data []byte) {
		var m frame
		if codec.Unmarshal(data, &m) != nil || m.validate() != nil {
			return
		}
		now := time.Now()
		m.Load.toLoad(now)
		if m.Kind == frameOpen {
			req := m.Open.toRequest(now)
			if req.Length < -1 || req.Path[0] != '/' || req.ID == "" || req.Deadline.After(now.Add(maxRemaining)) {
				t.Fatalf("request %+v passed validation", req)
			}
		}
		if m.Kind == frameResponse && m.Response.Status < 200 {
			t.Fatalf("response %+v passed validation", m.Response)
		}
		if _, err := codec.Marshal(m); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a resolve that reports more than the node knows, whatever the
// request contains: only a known exchange may be reported as running, and only a
// request whose age is within the retention time may be fenced.
func FuzzResolve(f *testing.F) {
	addSeeds(f, resolveRequest{ID: "run", Attempt: 1}, resolveRequest{ID: "x", AgeMS: 1000, WaitMS: 1},
		resolveRequest{ID: "x", AgeMS: -1, WaitMS: 1 << 62}, resolveRequest{ID: "x", AgeMS: 1 << 62, WaitMS: -1 << 62})
	f.Fuzz(func(t *testing.T, data []byte) {
		var req resolveRequest
		if codec.Unmarshal(data, &req) != nil {
			return
		}
		now := time.Now()
		table := newExchangeTable(now.Add(-time.Minute))
		if _, reason := table.begin(exchangeKey{"run", 1}, nil, now); reason != mulberrylink.ReasonNone {
			t.Fatal(reason)
		}
		rec, state := table.findOrFence(req, now)
		running := req.ID == "run" && req.Attempt == 1
		if running != (rec != nil) || running != (state == stateRunning) {
			t.Fatalf("%+v: state %d", req, state)
		}
		if state == stateFenced && (req.AgeMS < 0 || req.AgeMS > retentionTime.Milliseconds()) {
			t.Fatalf("%+v: fenced despite its age", req)
		}
	})
}

// Guards against a reply that passes validation without a usable response.
func FuzzResolveReply(f *testing.F) {
	addSeeds(f, resolveReply{State: stateAnswered, Response: &responseHead{Status: 200, Length: 1}, Body: []byte("x")},
		resolveReply{State: stateFailed, Outcome: mulberrylink.Unknown}, resolveReply{State: stateFailed},
		resolveReply{State: stateAnswered})
	f.Fuzz(func(t *testing.T, data []byte) {
		var m resolveReply
		if codec.Unmarshal(data, &m) != nil || m.validate() != nil {
			return
		}
		res := resultOf(&m)
		if (res.Outcome == mulberrylink.Answered) != (res.Answer != nil) {
			t.Fatalf("%+v: outcome %s without its response", m, res.Outcome)
		}
	})
}

// Guards against memory that grows with the number of exchanges: retained responses
// are bounded, expire, and are removed when they are acknowledged; fences expire.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := newExchangeTable(now.Add(-time.Minute))
	body := make([]byte, maxRetainedBytes)
	for i := range 2 * maxRetainedTotal / maxRetainedBytes {
		rec, reason := table.begin(exchangeKey{"a", i}, nil, now)
		is.Equal(reason, mulberrylink.ReasonNone)
		table.recordResult(rec, resolveReply{State: stateAnswered, Response: &responseHead{Status: 200}, Body: body}, now)
		is.True(table.retainedBytes <= maxRetainedTotal)
	}
	_, reason := table.begin(exchangeKey{"a", 1}, nil, now)
	is.Equal(reason, mulberrylink.ReasonFenced) // the same attempt a second time
	_, state := table.findOrFence(resolveRequest{ID: "f"}, now)
	is.Equal(state, stateFenced)
	rec, _ := table.begin(exchangeKey{"k", 0}, nil, now)
	table.recordResult(rec, resolveReply{State: stateFailed}, now)
	table.acknowledge(rec)
	is.Equal(table.records[rec.key], nil)
	later := now.Add(retentionTime + sweepInterval)
	is.Equal(table.pending(later), 0)
	is.Equal(table.retainedBytes, 0)
	is.Equal(len(table.fences), 1)
	table.pending(later.Add(fenceDuration))
	is.Equal(len(table.fences), 0)
}

// Guards against a remaining time of another node that overflows: the request would never expire, or
// its deadline would lie in the past although the caller waits.
func TestRemainingTimeIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	for remaining, want := range map[int64]time.Duration{
		math.MaxInt64: 24 * time.Hour, math.MaxInt64 / 1_000_000: 24 * time.Hour, math.MinInt64: 0, -5: 0, 1500: 1500 * time.Millisecond,
	} {
		m := openMessage{RemainingMS: remaining}
		is.Equal(m.toRequest(now).Deadline.Sub(now), want)
	}
}
