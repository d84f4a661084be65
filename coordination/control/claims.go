package control

import (
	"container/heap"
	"strings"
)

//go:generate stringer -type=claimState -linecomment -output=claims_string.go

// claimState is the state of one claim.
type claimState uint8

const (
	claimGranted  claimState = iota // granted
	claimFinished                   // finished
	claimRan                        // ran
	claimReleased                   // released
)

// minDueEntries keeps small heaps from being compacted often.
const minDueEntries = 1_024

// record is one claim.
type record struct {
	ID      string     `cbor:"i"`
	State   claimState `cbor:"s"`
	Print   uint64     `cbor:"p"`
	Holder  string     `cbor:"h"`
	Request string     `cbor:"r"`
	Until   int64      `cbor:"u"`
	// Answer is held only in state finished.
	Answer *Response `cbor:"a,omitempty"`
	// Index is the log index of the finish; the lowest is dropped first.
	Index uint64 `cbor:"x,omitempty"`
}

// claims holds the claims on idempotency keys.
type claims struct {
	records map[string]*record
	// due orders claims by deadline. An entry whose deadline differs from the
	// record's is out of date and skipped.
	due dueHeap
	// held are the records with an answer in the order of Index.
	held     []heldAnswer
	bytes    int
	limit    int
	maxBytes int
}

// heldAnswer refers to a held answer; it is out of date when the record's
// Index differs.
type heldAnswer struct {
	id    string
	index uint64
}

func newClaims(limit, maxBytes int) claims {
	return claims{records: make(map[string]*record), limit: limit, maxBytes: maxBytes}
}

// claimID joins service and key. Service names hold no line break.
func claimID(service, key string) string { return service + "\n" + key }

func (r *record) attempt(holder, request string) bool {
	return r.Holder == holder && r.Request == request
}

func (c *claims) claim(now int64, q *ClaimCommand) Result {
	if q.Deadline <= now || q.Service == "" || strings.Contains(q.Service, "\n") {
		return Result{Code: Refused}
	}
	id := claimID(q.Service, q.Key)
	r, ok := c.records[id]
	switch {
	case !ok && len(c.records) >= c.limit:
		return Result{Code: Refused}
	case !ok:
		return c.grant(id, q)
	case r.State == claimReleased && r.attempt(q.Holder, q.RequestID):
		return Result{Code: Refused}
	case r.State == claimReleased:
		return c.grant(id, q)
	case r.Print != q.Fingerprint:
		return Result{Code: Mismatch, Holder: r.Holder, RequestID: r.Request}
	default:
		return r.repeat(q)
	}
}

// repeat answers a claim on a key that has one with the same fingerprint.
func (r *record) repeat(q *ClaimCommand) Result {
	res := Result{Holder: r.Holder, RequestID: r.Request}
	switch r.State {
	case claimFinished:
		res.Code, res.Response = Finished, r.Answer
	case claimRan:
		res.Code = Ran
	default:
		res.Code = Pending
		if r.attempt(q.Holder, q.RequestID) {
			res.Code = Granted
		}
	}
	return res
}

func (c *claims) grant(id string, q *ClaimCommand) Result {
	c.put(&record{ID: id, State: claimGranted, Print: q.Fingerprint, Holder: q.Holder, Request: q.RequestID, Until: q.Deadline})
	return Result{Code: Granted, Holder: q.Holder, RequestID: q.RequestID}
}

func (c *claims) finish(index uint64, q *FinishCommand) Result {
	r, ok := c.records[claimID(q.Service, q.Key)]
	if !ok || !r.attempt(q.Holder, q.RequestID) || r.State == claimReleased {
		return Result{Code: Ignored}
	}
	if r.State != claimGranted {
		return Result{Code: Recorded} // the first answer stands
	}
	if q.Response == nil || len(q.Response.Body) > MaxResponseBodyBytes || headerBytes(q.Response.Header) > maxHeaderBytes {
		r.State = claimRan
		return Result{Code: Recorded}
	}
	r.State, r.Answer, r.Index = claimFinished, q.Response, index
	c.hold(r)
	c.dropAnswers()
	return Result{Code: Recorded}
}

func (c *claims) release(now int64, q *ReleaseCommand) Result {
	id := claimID(q.Service, q.Key)
	r, ok := c.records[id]
	if ok && (!r.attempt(q.Holder, q.RequestID) || r.State == claimFinished || r.State == claimRan) {
		return Result{Code: Ignored}
	}
	if ok && r.State == claimReleased {
		return Result{Code: Recorded}
	}
	if !ok && (q.Deadline <= now || len(c.records) >= c.limit) {
		return Result{Code: Ignored}
	}
	// A release may overtake its claim; the record then refuses the claim.
	c.put(&record{ID: id, State: claimReleased, Holder: q.Holder, Request: q.RequestID, Until: q.Deadline})
	return Result{Code: Recorded}
}

func (c *claims) put(r *record) {
	c.records[r.ID] = r
	heap.Push(&c.due, dueEntry{until: r.Until, id: r.ID})
	if len(c.due) > 2*len(c.records)+minDueEntries {
		c.compact()
	}
}

// compact drops the deadlines of claims that were replaced, so that claiming
// and releasing one key many times takes no more memory.
func (c *claims) compact() {
	c.due = c.due[:0]
	for _, r := range c.records {
		c.due = append(c.due, dueEntry{until: r.Until, id: r.ID})
	}
	heap.Init(&c.due)
}

// expire removes every claim whose deadline has passed.
func (c *claims) expire(now int64) {
	for len(c.due) > 0 && c.due[0].until <= now {
		e := heap.Pop(&c.due).(dueEntry)
		if r, ok := c.records[e.id]; ok && r.Until == e.until {
			c.forget(r)
		}
	}
}

func (c *claims) forget(r *record) {
	if r.State == claimFinished {
		c.bytes -= r.Answer.size()
	}
	delete(c.records, r.ID)
}

func (c *claims) hold(r *record) {
	c.held = append(c.held, heldAnswer{id: r.ID, index: r.Index})
	c.bytes += r.Answer.size()
}

// dropAnswers drops the oldest answers until the rest fits.
func (c *claims) dropAnswers() {
	for len(c.held) > 0 && (c.bytes > c.maxBytes || c.stale(c.held[0])) {
		r, ok := c.records[c.held[0].id]
		if ok && !c.stale(c.held[0]) {
			c.bytes -= r.Answer.size()
			r.State, r.Answer = claimRan, nil
		}
		c.held = c.held[1:]
	}
}

func (c *claims) stale(h heldAnswer) bool {
	r, ok := c.records[h.id]
	return !ok || r.State != claimFinished || r.Index != h.index
}

func (a *Response) size() int { return len(a.Body) + headerBytes(a.Header) }

func headerBytes(h map[string][]string) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// dueEntry is the deadline of one claim.
type dueEntry struct {
	until int64
	id    string
}

// dueHeap implements heap.Interface.
type dueHeap []dueEntry

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool {
	return h[i].until < h[j].until || h[i].until == h[j].until && h[i].id < h[j].id
}

func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *dueHeap) Push(x any) { *h = append(*h, x.(dueEntry)) }

func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
