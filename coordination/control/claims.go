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

// minCompactEntries is the number of surplus heap entries that is always tolerated, so that small
// heaps are not compacted often.
const minCompactEntries = 1_024

// claimRecord is one claim on an idempotency key.
type claimRecord struct {
	ID          string     `cbor:"i"`
	State       claimState `cbor:"s"`
	Fingerprint uint64     `cbor:"p"`
	Holder      string     `cbor:"h"`
	RequestID   string     `cbor:"r"`
	Deadline    int64      `cbor:"u"`
	// Response is set only in state claimFinished.
	Response *Response `cbor:"a,omitempty"`
	// FinishIndex is the log index of the finish. The response with the lowest index is evicted
	// first.
	FinishIndex uint64 `cbor:"x,omitempty"`
}

// claims is the set of claims on idempotency keys.
type claims struct {
	records map[string]*claimRecord
	// deadlines orders the claims by deadline. An entry whose deadline differs from that of its
	// record is stale and skipped.
	deadlines deadlineHeap
	// responses refers to the records with a response, in the order of FinishIndex.
	responses     []responseRef
	responseBytes int
	maxRecords    int
	maxBytes      int
}

// responseRef refers to a stored response. It is stale if the FinishIndex of the record differs.
type responseRef struct {
	id    string
	index uint64
}

func newClaims(maxRecords, maxBytes int) claims {
	return claims{records: make(map[string]*claimRecord), maxRecords: maxRecords, maxBytes: maxBytes}
}

// claimID returns the identifier of the claim on (service, key). It is unambiguous because
// service names contain no line break.
func claimID(service, key string) string { return service + "\n" + key }

// sameAttempt reports whether the claim belongs to the given attempt.
func (r *claimRecord) sameAttempt(holder, requestID string) bool {
	return r.Holder == holder && r.RequestID == requestID
}

func (c *claims) claim(now int64, cmd *ClaimCommand) Result {
	if cmd.Deadline <= now || cmd.Service == "" || strings.Contains(cmd.Service, "\n") {
		return Result{Code: Refused}
	}
	id := claimID(cmd.Service, cmd.Key)
	r, ok := c.records[id]
	switch {
	case !ok && len(c.records) >= c.maxRecords:
		return Result{Code: Refused}
	case !ok:
		return c.grant(id, cmd)
	case r.State == claimReleased && r.sameAttempt(cmd.Holder, cmd.RequestID):
		return Result{Code: Refused}
	case r.State == claimReleased:
		return c.grant(id, cmd)
	case r.Fingerprint != cmd.Fingerprint:
		return Result{Code: Mismatch, Holder: r.Holder, RequestID: r.RequestID}
	default:
		return r.resultFor(cmd)
	}
}

// resultFor returns the result of a claim on a key that is already claimed with the same
// fingerprint.
func (r *claimRecord) resultFor(cmd *ClaimCommand) Result {
	res := Result{Holder: r.Holder, RequestID: r.RequestID}
	switch r.State {
	case claimFinished:
		res.Code, res.Response = Finished, r.Response
	case claimRan:
		res.Code = Ran
	default:
		res.Code = Pending
		if r.sameAttempt(cmd.Holder, cmd.RequestID) {
			res.Code = Granted
		}
	}
	return res
}

func (c *claims) grant(id string, cmd *ClaimCommand) Result {
	c.put(&claimRecord{ID: id, State: claimGranted, Fingerprint: cmd.Fingerprint, Holder: cmd.Holder, RequestID: cmd.RequestID, Deadline: cmd.Deadline})
	return Result{Code: Granted, Holder: cmd.Holder, RequestID: cmd.RequestID}
}

func (c *claims) finish(index uint64, cmd *FinishCommand) Result {
	r, ok := c.records[claimID(cmd.Service, cmd.Key)]
	if !ok || !r.sameAttempt(cmd.Holder, cmd.RequestID) || r.State == claimReleased {
		return Result{Code: Ignored}
	}
	if r.State != claimGranted {
		return Result{Code: Recorded} // the first response is kept
	}
	if cmd.Response == nil || len(cmd.Response.Body) > MaxResponseBodyBytes || headerBytes(cmd.Response.Header) > maxResponseHeaderBytes {
		r.State = claimRan
		return Result{Code: Recorded}
	}
	r.State, r.Response, r.FinishIndex = claimFinished, cmd.Response, index
	c.retainResponse(r)
	c.evictResponses()
	return Result{Code: Recorded}
}

func (c *claims) release(now int64, cmd *ReleaseCommand) Result {
	id := claimID(cmd.Service, cmd.Key)
	r, ok := c.records[id]
	if ok && (!r.sameAttempt(cmd.Holder, cmd.RequestID) || r.State == claimFinished || r.State == claimRan) {
		return Result{Code: Ignored}
	}
	if ok && r.State == claimReleased {
		return Result{Code: Recorded}
	}
	if !ok && (cmd.Deadline <= now || len(c.records) >= c.maxRecords) {
		return Result{Code: Ignored}
	}
	// A release may be applied before its claim. The record then makes claim refuse it.
	c.put(&claimRecord{ID: id, State: claimReleased, Holder: cmd.Holder, RequestID: cmd.RequestID, Deadline: cmd.Deadline})
	return Result{Code: Recorded}
}

func (c *claims) put(r *claimRecord) {
	c.records[r.ID] = r
	heap.Push(&c.deadlines, deadlineEntry{deadline: r.Deadline, id: r.ID})
	if len(c.deadlines) > 2*len(c.records)+minCompactEntries {
		c.compactDeadlines()
	}
}

// compactDeadlines rebuilds the heap without stale entries, so that the memory stays bounded when
// one key is claimed and released many times.
func (c *claims) compactDeadlines() {
	c.deadlines = c.deadlines[:0]
	for _, r := range c.records {
		c.deadlines = append(c.deadlines, deadlineEntry{deadline: r.Deadline, id: r.ID})
	}
	heap.Init(&c.deadlines)
}

// expire removes every claim whose deadline has passed.
func (c *claims) expire(now int64) {
	for len(c.deadlines) > 0 && c.deadlines[0].deadline <= now {
		e := heap.Pop(&c.deadlines).(deadlineEntry)
		if r, ok := c.records[e.id]; ok && r.Deadline == e.deadline {
			c.remove(r)
		}
	}
}

func (c *claims) remove(r *claimRecord) {
	if r.State == claimFinished {
		c.responseBytes -= r.Response.size()
	}
	delete(c.records, r.ID)
}

func (c *claims) retainResponse(r *claimRecord) {
	c.responses = append(c.responses, responseRef{id: r.ID, index: r.FinishIndex})
	c.responseBytes += r.Response.size()
}

// evictResponses evicts the oldest responses until the others fit into maxBytes.
func (c *claims) evictResponses() {
	for len(c.responses) > 0 && (c.responseBytes > c.maxBytes || c.stale(c.responses[0])) {
		r, ok := c.records[c.responses[0].id]
		if ok && !c.stale(c.responses[0]) {
			c.responseBytes -= r.Response.size()
			r.State, r.Response = claimRan, nil
		}
		c.responses = c.responses[1:]
	}
}

func (c *claims) stale(ref responseRef) bool {
	r, ok := c.records[ref.id]
	return !ok || r.State != claimFinished || r.FinishIndex != ref.index
}

func (r *Response) size() int { return len(r.Body) + headerBytes(r.Header) }

func headerBytes(h map[string][]string) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// deadlineEntry is the deadline of one claim.
type deadlineEntry struct {
	deadline int64
	id       string
}

// deadlineHeap implements heap.Interface.
type deadlineHeap []deadlineEntry

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	return h[i].deadline < h[j].deadline || h[i].deadline == h[j].deadline && h[i].id < h[j].id
}

func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(deadlineEntry)) }

func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
