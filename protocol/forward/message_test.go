package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

func seeds(f *testing.F, values ...any) {
	f.Helper()
	for _, v := range values {
		b, err := codec.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
}

// Guards against a frame that passes its check and then breaks the receiver: a
// request with an impossible deadline, body or path, an answer without status.
func FuzzFrame(f *testing.F) {
	r := &mulberrylink.Request{
		ID: "a", Service: "s", Method: "GET", Path: "/p?q", Header: http.Header{"A": {"b"}},
		Deadline: time.Now().Add(time.Second),
	}
	seeds(f, frame{Kind: frameOpen, Open: newOpen(r, 1, true, time.Now())},
		frame{Kind: frameAnswer, Answer: &answerHead{Status: 200, Length: -1}, Data: []byte("x")},
		frame{Kind: frameRefused, Outcome: mulberrylink.NotRun, Load: &loadMessage{InFlight: 1}},
		frame{Kind: frameEnd, Last: true}, frame{Kind: frameOpen})
	f.Fuzz(func(t *testing.T, data []byte) {
		var m frame
		if codec.Unmarshal(data, &m) != nil || m.check() != nil {
			return
		}
		now := time.Now()
		m.Load.load(now)
		if m.Kind == frameOpen {
			q := m.Open.request(now)
			if q.Length < -1 || q.Path[0] != '/' || q.ID == "" || q.Deadline.After(now.Add(maxLeft)) {
				t.Fatalf("request %+v passed the check", q)
			}
		}
		if m.Kind == frameAnswer && m.Answer.Status < 200 {
			t.Fatalf("answer %+v passed the check", m.Answer)
		}
		if _, err := codec.Marshal(m); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a resolve that says more than the node knows, whatever the
// request holds: only answered and failed exchanges have a result, and a fence
// needs a node that is old enough.
func FuzzResolve(f *testing.F) {
	seeds(f, resolveRequest{ID: "run", Attempt: 1}, resolveRequest{ID: "x", Age: 1000, Wait: 1},
		resolveRequest{ID: "x", Age: -1, Wait: 1 << 62}, resolveRequest{ID: "x", Age: 1 << 62, Wait: -1 << 62})
	f.Fuzz(func(t *testing.T, data []byte) {
		var q resolveRequest
		if codec.Unmarshal(data, &q) != nil {
			return
		}
		now := time.Now()
		tab := newTable(now.Add(-time.Minute))
		if _, reason := tab.begin(exchangeKey{"run", 1}, nil, now); reason != mulberrylink.ReasonNone {
			t.Fatal(reason)
		}
		x, state := tab.find(q, now)
		running := q.ID == "run" && q.Attempt == 1
		if running != (x != nil) || running != (state == stateRunning) {
			t.Fatalf("%+v: state %d", q, state)
		}
		if state == stateFenced && (q.Age < 0 || q.Age > heldTime.Milliseconds()) {
			t.Fatalf("%+v: fenced in spite of its age", q)
		}
	})
}

// Guards against a reply that passes its check without a usable answer.
func FuzzResolveReply(f *testing.F) {
	seeds(f, resolveReply{State: stateAnswered, Answer: &answerHead{Status: 200, Length: 1}, Body: []byte("x")},
		resolveReply{State: stateFailed, Outcome: mulberrylink.Unknown}, resolveReply{State: stateFailed},
		resolveReply{State: stateAnswered})
	f.Fuzz(func(t *testing.T, data []byte) {
		var m resolveReply
		if codec.Unmarshal(data, &m) != nil || m.check() != nil {
			return
		}
		res := result(&m)
		if (res.Outcome == mulberrylink.Answered) != (res.Answer != nil) {
			t.Fatalf("%+v: outcome %s without its answer", m, res.Outcome)
		}
	})
}

// Guards against memory that grows with exchanges: held answers are bounded,
// expire, and go when they are acknowledged; fences expire.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tab := newTable(now.Add(-time.Minute))
	body := make([]byte, heldBytes)
	for i := range 2 * maxHeldTotal / heldBytes {
		x, reason := tab.begin(exchangeKey{"a", i}, nil, now)
		is.Equal(reason, mulberrylink.ReasonNone)
		tab.end(x, resolveReply{State: stateAnswered, Answer: &answerHead{Status: 200}, Body: body}, now)
		is.True(tab.held <= maxHeldTotal)
	}
	_, reason := tab.begin(exchangeKey{"a", 1}, nil, now)
	is.Equal(reason, mulberrylink.ReasonFenced) // the same try a second time
	_, state := tab.find(resolveRequest{ID: "f"}, now)
	is.Equal(state, stateFenced)
	x, _ := tab.begin(exchangeKey{"k", 0}, nil, now)
	tab.end(x, resolveReply{State: stateFailed}, now)
	tab.acknowledge(x)
	is.Equal(tab.open[x.key], nil)
	later := now.Add(heldTime + sweepTime)
	is.Equal(tab.pending(later), 0)
	is.Equal(tab.held, 0)
	is.Equal(len(tab.fences), 1)
	tab.pending(later.Add(fenceTime))
	is.Equal(len(tab.fences), 0)
}
