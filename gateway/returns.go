package gateway

import (
	"sync"
	"time"
)

const (
	// returnSlack is how much earlier than named a caller may return: Retry-After has milliseconds.
	returnSlack = 5 * time.Millisecond
	// returnGrace is how much later than named a caller may return. It covers a new connection and the
	// random part that callers add.
	returnGrace = 500 * time.Millisecond
	// maxReturnDivisor is the part of its remaining time that a caller waits at most to return.
	maxReturnDivisor = 3
	// maxReturns bounds the number of fingerprints with a refusal.
	maxReturns = 1 << 13
)

// returnTable holds the fingerprints of refused requests and the times that the refusals named. Callers
// return to the same node with the same request under a new identifier.
type returnTable struct {
	mu            sync.Mutex
	byFingerprint map[uint64]expectedReturn
}

// expectedReturn is the expected return of the callers of one or more equal requests.
type expectedReturn struct {
	from, until time.Time
	callers     int
	asked       time.Time // when the latest of them first sent the request
}

func newReturnTable() *returnTable {
	return &returnTable{byFingerprint: make(map[uint64]expectedReturn)}
}

// record expects the caller of a refused request to return. A full table forgets another one, which is
// then taken for a new request. asked is when the caller first sent the request.
func (t *returnTable) record(fingerprint uint64, asked time.Time, retryAfter time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now.Add(retryAfter)
	e, found := t.byFingerprint[fingerprint]
	if !found || now.After(e.until) {
		e = expectedReturn{from: at.Add(-returnSlack)}
	}
	if at.Add(-returnSlack).Before(e.from) {
		e.from = at.Add(-returnSlack)
	}
	if until := at.Add(returnGrace); until.After(e.until) {
		e.until = until
	}
	e.callers++
	if asked.After(e.asked) {
		e.asked = asked
	}
	if !found && len(t.byFingerprint) >= maxReturns {
		for other := range t.byFingerprint {
			delete(t.byFingerprint, other)
			break
		}
	}
	t.byFingerprint[fingerprint] = e
}

// take reports whether a request is that of a caller that returns at its time, which it does once for each
// refusal, and when the caller first sent it.
func (t *returnTable) take(fingerprint uint64, now time.Time) (asked time.Time, returning bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, found := t.byFingerprint[fingerprint]
	if !found || now.Before(e.from) || now.After(e.until) {
		return time.Time{}, false
	}
	if e.callers--; e.callers == 0 {
		delete(t.byFingerprint, fingerprint)
	} else {
		t.byFingerprint[fingerprint] = e
	}
	return e.asked, true
}

// prune forgets callers that have not returned.
func (t *returnTable) prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for fingerprint, e := range t.byFingerprint {
		if now.After(e.until) {
			delete(t.byFingerprint, fingerprint)
		}
	}
}

// nameTime records the time to return that an upstream has named, unless it is later than that of another one.
// The first one for which the caller can wait counts, because that upstream promises it to no other
// caller.
func (s *requestState) nameTime(retryAfter time.Duration) {
	if retryAfter > 0 && !s.promised(time.Now()) && (s.retryAfter == 0 || retryAfter < s.retryAfter) {
		s.retryAfter = retryAfter
	}
}

// promised reports whether an upstream has named a time for which the caller can wait.
func (s *requestState) promised(now time.Time) bool {
	return s.retryAfter > 0 && s.retryAfter <= s.req.deadline.Sub(now)/maxReturnDivisor
}
