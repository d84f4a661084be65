package gateway

import (
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink/transport/exchange"
)

// keepRun is how long the outcome of a request that may run at most once is
// kept for an entry node that has lost its connection. It is above the time in
// which the loss shows.
const keepRun = 5 * time.Second

// record is the outcome of one exchange on the admitting node.
type record struct {
	done chan struct{}
	// Set before done is closed.
	ans     *exchange.Answer
	header  string // the value of the hop header
	barred  bool   // it was asked about before it came, and must not run any more
	expires time.Time
}

// runs remembers the exchanges of requests that may run at most once.
type runs struct {
	mu    sync.Mutex
	byID  map[string]*record
	order []string
}

func newRuns() *runs { return &runs{byID: make(map[string]*record)} }

// begin registers an exchange. It returns nil when the exchange was asked about
// before: the entry node has been told that it does not run.
func (r *runs) begin(id string, now time.Time) *record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if r.byID[id] != nil {
		return nil
	}
	x := &record{done: make(chan struct{}), expires: now.Add(keepRun)}
	r.add(id, x)
	return x
}

// resolve returns the record of an exchange. An exchange that has not begun is
// barred.
func (r *runs) resolve(id string, now time.Time) *record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	x := r.byID[id]
	if x == nil {
		x = &record{done: make(chan struct{}), barred: true, expires: now.Add(keepRun)}
		close(x.done)
		r.add(id, x)
	}
	return x
}

// finish stores the outcome.
func (r *runs) finish(x *record, ans *exchange.Answer, header string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.ans, x.header, x.expires = ans, header, now.Add(keepRun)
	close(x.done)
}

func (r *runs) add(id string, x *record) {
	r.byID[id] = x
	r.order = append(r.order, id)
}

func (r *runs) expire(now time.Time) {
	for len(r.order) > 0 {
		x := r.byID[r.order[0]]
		select {
		case <-x.done:
		default:
			return // it runs; what came later is kept a little longer
		}
		if now.Before(x.expires) {
			return
		}
		delete(r.byID, r.order[0])
		r.order = r.order[1:]
	}
}

// epochs holds the process that last answered under the name of each node.
type epochs struct{ m sync.Map }

func (e *epochs) set(node, epoch string) { e.m.Store(node, epoch) }

func (e *epochs) get(node string) string {
	v, _ := e.m.Load(node)
	s, _ := v.(string)
	return s
}
