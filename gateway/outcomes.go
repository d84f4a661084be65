package gateway

import (
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink/transport/exchange"
)

// keepRun is how long the outcome of a request that may run at most once is
// kept for an entry node that has lost its connection. It is above the time in
// which the loss shows.
const outcomeRetention = 5 * time.Second

// record is the outcome of one exchange on the admitting node.
type outcomeRecord struct {
	done chan struct{}
	// Set before done is closed.
	resp       *exchange.Answer
	hopHeader  string // the value of the hop header
	mustNotRun bool   // it was asked about before it came, and must not run any more
	expires    time.Time
}

// runs remembers the exchanges of requests that may run at most once.
type outcomeStore struct {
	mu    sync.Mutex
	byID  map[string]*outcomeRecord
	order []string
}

func newOutcomeStore() *outcomeStore { return &outcomeStore{byID: make(map[string]*outcomeRecord)} }

// begin registers an exchange. It returns nil when the exchange was asked about
// before: the entry node has been told that it does not run.
func (r *outcomeStore) begin(id string, now time.Time) *outcomeRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if r.byID[id] != nil {
		return nil
	}
	rec := &outcomeRecord{done: make(chan struct{}), expires: now.Add(outcomeRetention)}
	r.add(id, rec)
	return rec
}

// resolve returns the record of an exchange. An exchange that has not begun is
// barred.
func (r *outcomeStore) resolve(id string, now time.Time) *outcomeRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	rec := r.byID[id]
	if rec == nil {
		rec = &outcomeRecord{done: make(chan struct{}), mustNotRun: true, expires: now.Add(outcomeRetention)}
		close(rec.done)
		r.add(id, rec)
	}
	return rec
}

// finish stores the outcome.
func (r *outcomeStore) finish(rec *outcomeRecord, resp *exchange.Answer, hopHeader string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.resp, rec.hopHeader, rec.expires = resp, hopHeader, now.Add(outcomeRetention)
	close(rec.done)
}

func (r *outcomeStore) add(id string, rec *outcomeRecord) {
	r.byID[id] = rec
	r.order = append(r.order, id)
}

func (r *outcomeStore) expire(now time.Time) {
	for len(r.order) > 0 {
		rec := r.byID[r.order[0]]
		select {
		case <-rec.done:
		default:
			return // it runs; what came later is kept a little longer
		}
		if now.Before(rec.expires) {
			return
		}
		delete(r.byID, r.order[0])
		r.order = r.order[1:]
	}
}

// epochs holds the process that last answered under the name of each node.
type peerEpochs struct{ byNode sync.Map }

func (e *peerEpochs) set(node, epoch string) { e.byNode.Store(node, epoch) }

func (e *peerEpochs) get(node string) string {
	v, _ := e.byNode.Load(node)
	s, _ := v.(string)
	return s
}
