package forward

import (
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Limits of the exchange table.
const (
	// maxExchanges bounds the exchanges that run or whose result was not
	// acknowledged.
	maxExchanges = 65_536
	// maxFences bounds the exchanges that are fenced before they arrive.
	maxFences = 65_536
	// maxRetainedTotal bounds the memory of all retained response bodies.
	maxRetainedTotal = 32 << 20
	// fenceDuration is how long a fence is kept. When the connection state on the
	// path is lost, TCP can still deliver the open frame until it stops
	// retransmitting.
	fenceDuration = 20 * time.Minute
	sweepInterval = time.Second
)

type exchangeKey struct {
	id      string
	attempt int
}

// exchangeRecord is the record of an exchange on the admitting node. It outlives the
// stream of the exchange until the result is acknowledged or expires.
type exchangeRecord struct {
	key  exchangeKey
	done chan struct{} // closed when reply is set

	// The fields below are guarded by the table's mutex.
	reply       resolveReply
	ended       bool
	expires     time.Time // set when ended
	lastResolve time.Time // when the last resolve request arrived
	abortBody   func()    // aborts a request body that is still arriving; nil when it is complete
}

// exchangeTable holds the records of the exchanges on the admitting node.
type exchangeTable struct {
	mu            sync.Mutex
	started       time.Time
	records       map[exchangeKey]*exchangeRecord
	fences        map[exchangeKey]time.Time // by exchange, when the fence expires
	retainedBytes int
	lastSweep     time.Time
}

func newExchangeTable(now time.Time) *exchangeTable {
	return &exchangeTable{
		started: now,
		records: make(map[exchangeKey]*exchangeRecord),
		fences:  make(map[exchangeKey]time.Time),
	}
}

// begin adds an exchange. It returns nil and a reason when the exchange was fenced
// or is already known, or when the table is full.
func (t *exchangeTable) begin(key exchangeKey, abortBody func(), now time.Time) (*exchangeRecord, mulberrylink.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if _, ok := t.fences[key]; ok {
		return nil, mulberrylink.ReasonFenced
	}
	if _, ok := t.records[key]; ok {
		return nil, mulberrylink.ReasonFenced
	}
	if len(t.records) >= maxExchanges {
		return nil, mulberrylink.ReasonBusy
	}
	rec := &exchangeRecord{key: key, done: make(chan struct{}), abortBody: abortBody}
	t.records[key] = rec
	return rec, mulberrylink.ReasonNone
}

// setBodyComplete records that the whole request body has arrived.
func (t *exchangeTable) setBodyComplete(rec *exchangeRecord) {
	t.mu.Lock()
	rec.abortBody = nil
	t.mu.Unlock()
}

// recordResult records the result of the exchange for a resolve. Only the first
// call has an effect. A response that exceeds the memory for retained bodies is
// recorded as lost.
func (t *exchangeTable) recordResult(rec *exchangeRecord, reply resolveReply, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rec.ended {
		return
	}
	if t.retainedBytes+len(reply.Body) > maxRetainedTotal {
		reply = resolveReply{
			State: stateFailed, Outcome: mulberrylink.Unknown,
			Reason: mulberrylink.ReasonLost, Load: reply.Load,
		}
	}
	t.retainedBytes += len(reply.Body)
	rec.reply = reply
	rec.ended = true
	rec.expires = now.Add(retentionTime)
	close(rec.done)
}

// acknowledge removes an exchange whose entry node has the whole result.
func (t *exchangeTable) acknowledge(rec *exchangeRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rec.ended {
		t.remove(rec)
	}
}

// findOrFence returns the exchange of a resolve request, or fences it if it was
// provably never seen. Otherwise the state is unknown.
func (t *exchangeTable) findOrFence(req resolveRequest, now time.Time) (*exchangeRecord, exchangeState) {
	key := exchangeKey{id: req.ID, attempt: req.Attempt}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if rec, ok := t.records[key]; ok {
		rec.lastResolve = now
		if !req.Peek && rec.abortBody != nil {
			rec.abortBody()
		}
		return rec, stateRunning
	}
	if req.AgeMS < 0 || req.AgeMS > retentionTime.Milliseconds() {
		return nil, stateUnknown // it may have ended and its record expired
	}
	if now.Sub(t.started) < time.Duration(req.AgeMS)*time.Millisecond+startMargin {
		return nil, stateUnknown // a previous process of this node may have run it
	}
	if _, ok := t.fences[key]; !ok && len(t.fences) >= maxFences {
		return nil, stateUnknown
	}
	t.fences[key] = now.Add(fenceDuration)
	return nil, stateFenced
}

// startMargin covers the network delay of a resolve request, which is not part of
// the age in the request.
const startMargin = 2 * time.Second

// recentlyResolved reports whether a resolve request for rec arrived recently.
func (t *exchangeTable) recentlyResolved(rec *exchangeRecord, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !rec.lastResolve.IsZero() && now.Sub(rec.lastResolve) < entryNodeTimeout
}

func (t *exchangeTable) result(rec *exchangeRecord) resolveReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return rec.reply
}

// pending returns the number of exchanges that run or whose result was not
// acknowledged.
func (t *exchangeTable) pending(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	return len(t.records)
}

func (t *exchangeTable) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for _, rec := range t.records {
		if rec.ended && now.After(rec.expires) {
			t.remove(rec)
		}
	}
	for key, expiresAt := range t.fences {
		if now.After(expiresAt) {
			delete(t.fences, key)
		}
	}
}

func (t *exchangeTable) remove(rec *exchangeRecord) {
	if t.records[rec.key] != rec {
		return
	}
	t.retainedBytes -= len(rec.reply.Body)
	rec.reply.Body = nil
	delete(t.records, rec.key)
}
