package gateway

import (
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink/state/memory"
	"github.com/mulberrylink/mulberrylink/transport/exchange"
)

// outcomeRetention is how long the outcome of a non-idempotent request is kept for an entry
// node that has lost its connection. It is longer than an entry node needs to notice the
// loss.
const outcomeRetention = 5 * time.Second

// expiryRetention is how long the last expired exchange of a process is remembered. Requests end
// long before, also those of an entry node that was suspended.
const expiryRetention = 10 * time.Minute

// outcomeBytes is the memory of a record without a response, and headerEntryBytes that of an entry
// of a header besides its text.
const (
	outcomeBytes     = 512
	headerEntryBytes = 64
)

// outcomeRecord is the outcome of one exchange on the admitting node.
type outcomeRecord struct {
	done chan struct{}
	mem  *memory.Account
	// The following fields are set before done is closed.
	resp       *exchange.Response
	hopHeader  string
	mustNotRun bool // the outcome was requested before the exchange arrived; it must not run any more
	expires    time.Time
}

// outcomeStore holds the recent exchanges of non-idempotent requests on the admitting node.
type outcomeStore struct {
	budget *memory.Budget

	mu    sync.Mutex
	byID  map[string]*outcomeRecord
	order []string // identifiers, the oldest first
	// expired holds, for each process of an entry node, the last exchange whose record has expired.
	expired map[process]expiry
	// nextPrune is when old entries of expired are dropped.
	nextPrune time.Time
}

func newOutcomeStore() *outcomeStore {
	return &outcomeStore{byID: make(map[string]*outcomeRecord), expired: make(map[process]expiry)}
}

// process identifies a process of an entry node.
type process struct{ node, epoch string }

// exchangeID identifies an exchange.
type exchangeID struct {
	process
	seq uint64 // ascending within the process
}

// expiry is the last exchange of a process whose record has expired.
type expiry struct {
	seq uint64
	at  time.Time
}

// String returns the text that nodes send.
func (id exchangeID) String() string {
	return id.node + "-" + id.epoch + "-" + strconv.FormatUint(id.seq, 10)
}

// parseExchangeID parses the text of an identifier. The name of the node may contain the separator.
func parseExchangeID(text string) (id exchangeID, ok bool) {
	sender, number, ok := cutLast(text)
	if !ok {
		return exchangeID{}, false
	}
	id.node, id.epoch, ok = cutLast(sender)
	seq, err := strconv.ParseUint(number, 10, 64)
	id.seq = seq
	return id, ok && err == nil
}

// cutLast splits text at its last separator.
func cutLast(text string) (before, after string, ok bool) {
	i := strings.LastIndexByte(text, '-')
	if i < 0 {
		return "", "", false
	}
	return text[:i], text[i+1:], true
}

// mayHaveExpired reports whether there may have been a record of the exchange that has expired. The
// caller holds mu.
func (s *outcomeStore) mayHaveExpired(text string) bool {
	id, ok := parseExchangeID(text)
	last, expired := s.expired[id.process]
	return ok && expired && id.seq <= last.seq
}

// recordExpired remembers that the record of an exchange has expired. The caller holds mu.
func (s *outcomeStore) recordExpired(text string, now time.Time) {
	id, ok := parseExchangeID(text)
	if !ok {
		return
	}
	s.expired[id.process] = expiry{seq: max(id.seq, s.expired[id.process].seq), at: now}
	if now.After(s.nextPrune) {
		maps.DeleteFunc(s.expired, func(_ process, e expiry) bool { return now.Sub(e.at) > expiryRetention })
		s.nextPrune = now.Add(expiryRetention / 10)
	}
}

// begin registers an exchange. It returns nil when the outcome of the exchange has been
// requested before, or may have been, because the entry node has then been told that it doesn't run.
func (s *outcomeStore) begin(id string, now time.Time) *outcomeRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if s.byID[id] != nil || s.mayHaveExpired(id) {
		return nil
	}
	rec := &outcomeRecord{done: make(chan struct{}), mem: s.budget.NewAccount(nil), expires: now.Add(outcomeRetention)}
	s.add(id, rec)
	return rec
}

// resolve returns the record of an exchange. An exchange that hasn't begun is marked, so
// that begin rejects it when it arrives later. It returns nil when the record may have expired: the
// outcome is then unknown.
func (s *outcomeStore) resolve(id string, now time.Time) *outcomeRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	rec := s.byID[id]
	if rec == nil && s.mayHaveExpired(id) {
		return nil
	}
	if rec == nil {
		rec = &outcomeRecord{done: make(chan struct{}), mem: s.budget.NewAccount(nil), mustNotRun: true, expires: now.Add(outcomeRetention)}
		close(rec.done)
		s.add(id, rec)
	}
	return rec
}

// finish stores the outcome of an exchange. The response is kept only if there is memory for it;
// otherwise the outcome is unknown.
func (s *outcomeStore) finish(rec *outcomeRecord, resp *exchange.Response, hopHeader string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if resp != nil && !rec.mem.Acquire(memory.Outcomes, int64(cap(resp.Body)+headerBytes(resp.Header)), memory.ShortLevel) {
		resp = nil
	}
	rec.resp, rec.hopHeader, rec.expires = resp, hopHeader, now.Add(outcomeRetention)
	close(rec.done)
}

func (s *outcomeStore) add(id string, rec *outcomeRecord) {
	rec.mem.Take(memory.Outcomes, outcomeBytes)
	s.byID[id] = rec
	s.order = append(s.order, id)
}

// prune removes old records.
func (s *outcomeStore) prune(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
}

// headerBytes estimates the memory of a header.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		n += headerEntryBytes + len(name)
		for _, v := range values {
			n += headerEntryBytes + len(v)
		}
	}
	return n
}

// expire removes old records from the front of order. The caller holds mu.
func (s *outcomeStore) expire(now time.Time) {
	for len(s.order) > 0 {
		rec := s.byID[s.order[0]]
		select {
		case <-rec.done:
		default:
			return // it is still running; later ones are kept until it has finished
		}
		if now.Before(rec.expires) {
			return
		}
		rec.mem.Close()
		s.recordExpired(s.order[0], now)
		delete(s.byID, s.order[0])
		s.order = s.order[1:]
	}
}

// peerEpochs holds, for each node, the epoch of the process that responded last.
type peerEpochs struct{ byNode sync.Map }

func (e *peerEpochs) set(node, epoch string) { e.byNode.Store(node, epoch) }

// retain drops the nodes for which keep returns false.
func (e *peerEpochs) retain(keep func(node string) bool) {
	e.byNode.Range(func(k, _ any) bool {
		if node, ok := k.(string); ok && !keep(node) {
			e.byNode.Delete(k)
		}
		return true
	})
}

func (e *peerEpochs) get(node string) string {
	v, _ := e.byNode.Load(node)
	s, _ := v.(string)
	return s
}
