package forward

import (
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Limits of the exchange table.
const (
	// maxExchanges bounds the exchanges that run or whose end was not
	// acknowledged.
	maxExchanges = 65_536
	// maxFences bounds the exchanges refused in advance.
	maxFences = 65_536
	// maxHeldTotal bounds the memory of all held answers.
	maxHeldTotal = 32 << 20
	// fenceTime is how long a fence is kept. A message on a path that lost
	// its connection state can be delivered until TCP gives up on it.
	fenceTime = 20 * time.Minute
	sweepTime = time.Second
)

type exchangeKey struct {
	id      string
	attempt int
}

// exchange is one exchange on the admitting node.
type exchange struct {
	key  exchangeKey
	done chan struct{} // closed when reply is set

	// The fields below are guarded by the table's mutex.
	reply    resolveReply
	ended    bool
	expires  time.Time // set when ended
	resolved time.Time // last time an entry node asked
	cut      func()    // aborts a body that is still arriving; nil when complete
}

// table holds the exchanges of the admitting node.
type table struct {
	mu      sync.Mutex
	started time.Time
	open    map[exchangeKey]*exchange
	fences  map[exchangeKey]time.Time // value: when the fence ends
	held    int
	swept   time.Time
}

func newTable(now time.Time) *table {
	return &table{
		started: now,
		open:    make(map[exchangeKey]*exchange),
		fences:  make(map[exchangeKey]time.Time),
	}
}

// begin enters an exchange. It is refused when it was fenced, is already known
// or when the table is full.
func (t *table) begin(key exchangeKey, cut func(), now time.Time) (*exchange, mulberrylink.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if _, ok := t.fences[key]; ok {
		return nil, mulberrylink.ReasonFenced
	}
	if _, ok := t.open[key]; ok {
		return nil, mulberrylink.ReasonFenced
	}
	if len(t.open) >= maxExchanges {
		return nil, mulberrylink.ReasonBusy
	}
	x := &exchange{key: key, done: make(chan struct{}), cut: cut}
	t.open[key] = x
	return x, mulberrylink.ReasonNone
}

// bodyDone notes that the whole body has arrived.
func (t *table) bodyDone(x *exchange) {
	t.mu.Lock()
	x.cut = nil
	t.mu.Unlock()
}

// end records what became of the exchange. Only the first call counts.
func (t *table) end(x *exchange, reply resolveReply, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x.ended {
		return
	}
	if t.held+len(reply.Body) > maxHeldTotal {
		reply = resolveReply{
			State: stateFailed, Outcome: mulberrylink.Unknown,
			Reason: mulberrylink.ReasonLost, Load: reply.Load,
		}
	}
	t.held += len(reply.Body)
	x.reply = reply
	x.ended = true
	x.expires = now.Add(heldTime)
	close(x.done)
}

// acknowledge forgets an exchange whose entry node has the whole result.
func (t *table) acknowledge(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x.ended {
		t.remove(x)
	}
}

// find returns the exchange, or fences the key when it was never seen.
func (t *table) find(q resolveRequest, now time.Time) (*exchange, exchangeState) {
	key := exchangeKey{id: q.ID, attempt: q.Attempt}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if x, ok := t.open[key]; ok {
		x.resolved = now
		if !q.Peek && x.cut != nil {
			x.cut()
		}
		return x, stateRunning
	}
	if q.Age < 0 || q.Age > heldTime.Milliseconds() {
		return nil, stateLost // it may have ended and been forgotten
	}
	if now.Sub(t.started) < time.Duration(q.Age)*time.Millisecond+startMargin {
		return nil, stateLost // a process before this one may have run it
	}
	if _, ok := t.fences[key]; !ok && len(t.fences) >= maxFences {
		return nil, stateLost
	}
	t.fences[key] = now.Add(fenceTime)
	return nil, stateFenced
}

// startMargin covers the travel time of a resolve request, which is not part
// of the age it carries.
const startMargin = 2 * time.Second

// asked reports whether an entry node has asked for x recently.
func (t *table) asked(x *exchange, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !x.resolved.IsZero() && now.Sub(x.resolved) < callerSilence
}

func (t *table) result(x *exchange) resolveReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return x.reply
}

// pending returns the number of exchanges that run or whose end was not
// acknowledged.
func (t *table) pending(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	return len(t.open)
}

func (t *table) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepTime {
		return
	}
	t.swept = now
	for _, x := range t.open {
		if x.ended && now.After(x.expires) {
			t.remove(x)
		}
	}
	for key, ends := range t.fences {
		if now.After(ends) {
			delete(t.fences, key)
		}
	}
}

func (t *table) remove(x *exchange) {
	if t.open[x.key] != x {
		return
	}
	t.held -= len(x.reply.Body)
	x.reply.Body = nil
	delete(t.open, x.key)
}
