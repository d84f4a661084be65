package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

//go:generate stringer -type=Verdict -linecomment -output=verdict_string.go

// Verdict says whether and how a request with a given fingerprint may run.
type Verdict uint8

// Verdicts, by increasing severity. Normal requests run without restriction, those with the
// verdict Alone only while no other request is in flight on their upstream.
const (
	Normal Verdict = iota // normal
	Alone                 // alone
	Refuse                // refuse
)

// The stages of a record repeat in rounds of three. A record only moves to a higher stage, so
// that the highest stage wins a merge in any order of arrival.
const (
	stageSuspect = iota
	stageCrasher
	stageCleared
	stagesPerRound
)

// Notice is the record of one fingerprint. Nodes send it to each other.
type Notice struct {
	// Fingerprint identifies the request.
	Fingerprint uint64
	// Stage is three times the round plus the stage within the round. It never decreases.
	Stage uint32
	// Until is when the record changes without an event: a crasher is then allowed to
	// run alone again, any other record expires. Senders put the remaining time on the
	// wire, because the clocks of hosts differ.
	Until time.Time
}

// RemainingMillis returns the time until Until for the wire, rounded up, because of two values of
// one record the earlier counts.
func (n Notice) RemainingMillis(now time.Time) int64 {
	return max(1, (n.Until.Sub(now) + time.Millisecond - 1).Milliseconds())
}

// Clock tells the time.
type Clock interface{ Now() time.Time }

// Defaults of Config.
const (
	DefaultSuspectFor = 10 * time.Minute
	DefaultRefuseFor  = 10 * time.Minute
	DefaultRefuseMax  = 12 * time.Hour // a night without an operator
	DefaultMaxRecords = 4096
)

const (
	// completionPeriod is half of the longest time for which a completion counts. A release may
	// change whether a request crashes its upstream, so it must be short.
	completionPeriod = time.Second
	// maxCompletions bounds the completions that are kept for one period.
	maxCompletions = 4096
)

// Config holds the settings of a List. Zero values select the defaults.
type Config struct {
	Clock Clock
	// SuspectFor is how long the record of a suspect that is not sent again is kept.
	SuspectFor time.Duration
	// RefuseFor is how long a crasher is refused for the first time. The time doubles
	// each further time that the same request crashes an upstream, up to RefuseMax.
	RefuseFor time.Duration
	RefuseMax time.Duration
	// MaxRecords is the largest number of records kept.
	MaxRecords int
}

// List holds the records of the requests that were in flight when an upstream crashed. It is
// safe for concurrent use.
type List struct {
	cfg Config

	mu       sync.Mutex
	records  map[uint64]record
	revision uint64
	changed  chan struct{} // closed and replaced at each new revision
	// completed and completedBefore hold the fingerprints that completed on this process in the
	// current period of completionPeriod and in the one before.
	completed, completedBefore map[uint64]struct{}
	periodEnd                  time.Time
}

// record is a notice with the peer that sent it, empty for this process, and the revision of the
// list that it was stored under.
type record struct {
	Notice
	source   string
	revision uint64
}

// Change is a record that was added or whose stage rose.
type Change struct {
	Notice
	// Source is the peer that sent the notice, empty if this process made it.
	Source string
}

// New returns an empty list.
func New(cfg Config) *List {
	cfg.SuspectFor = cmp.Or(cfg.SuspectFor, DefaultSuspectFor)
	cfg.RefuseFor = cmp.Or(cfg.RefuseFor, DefaultRefuseFor)
	cfg.RefuseMax = cmp.Or(cfg.RefuseMax, DefaultRefuseMax)
	cfg.MaxRecords = cmp.Or(cfg.MaxRecords, DefaultMaxRecords)
	return &List{cfg: cfg, records: make(map[uint64]record), changed: make(chan struct{}), completed: make(map[uint64]struct{})}
}

// Verdict says how a request with the fingerprint may run now.
func (l *List) Verdict(fingerprint uint64) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) == 0 {
		return Normal
	}
	return l.verdict(fingerprint, l.cfg.Clock.Now())
}

// RecordCrash records that an upstream crashed while the requests with the given fingerprints
// were in flight on it. The returned notices must be sent to the other nodes before any of the
// callers gets its response. A suspect that was in flight alone becomes a crasher.
func (l *List) RecordCrash(fingerprints []uint64) []Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	out := make([]Notice, 0, len(fingerprints))
	distinct := slices.Compact(slices.Sorted(slices.Values(fingerprints)))
	for _, fingerprint := range distinct {
		if len(fingerprints) == 1 && l.verdict(fingerprint, now) == Alone {
			out = append(out, l.store(l.asCrasher(fingerprint, now), now))
			continue
		}
		out = append(out, l.store(l.asSuspect(fingerprint, now), now))
	}
	return out
}

// RecordCrashBesideOthers is RecordCrash for nodes that run a suspect beside requests that are no
// suspects, but never two suspects at a time. A fingerprint that is the only suspect among those in
// flight becomes a crasher. Fingerprints that completed a short time ago do not become suspects:
// a popular request is in flight at every crash.
func (l *List) RecordCrashBesideOthers(fingerprints []uint64) []Notice {
	var known, others []uint64
	for _, fingerprint := range fingerprints {
		switch {
		case l.completedRecently(fingerprint):
		case l.Verdict(fingerprint) == Alone:
			known = append(known, fingerprint)
		default:
			others = append(others, fingerprint)
		}
	}
	if len(slices.Compact(slices.Sorted(slices.Values(known)))) != 1 {
		return l.RecordCrash(append(known, others...))
	}
	out := l.ConfirmCrasher(known[0])
	if len(others) > 0 {
		out = append(out, l.RecordCrash(others)...)
	}
	return out
}

// ConfirmCrasher records that one request crashed two upstreams, which its entry node sees
// when both attempts of a hedged request end that way.
func (l *List) ConfirmCrasher(fingerprint uint64) []Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	if l.verdict(fingerprint, now) == Refuse {
		return nil
	}
	return []Notice{l.store(l.asCrasher(fingerprint, now), now)}
}

// RecordCompletion records that a request with the fingerprint completed. Only a run alone
// clears a suspect: with other requests in flight it cannot be told apart from them.
func (l *List) RecordCompletion(fingerprint uint64, alone bool) []Notice {
	if !alone {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	l.startPeriod(now)
	if len(l.completed) < maxCompletions {
		l.completed[fingerprint] = struct{}{}
	}
	if l.verdict(fingerprint, now) != Alone {
		return nil
	}
	n := l.records[fingerprint].Notice
	n.Stage = roundOf(n.Stage)*stagesPerRound + stageCleared
	n.Until = now.Add(l.cfg.SuspectFor)
	return []Notice{l.store(n, now)}
}

// completedRecently reports whether a request with the fingerprint completed within the last one or
// two periods.
func (l *List) completedRecently(fingerprint uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startPeriod(l.cfg.Clock.Now())
	_, current := l.completed[fingerprint]
	_, before := l.completedBefore[fingerprint]
	return current || before
}

// startPeriod starts a new period of completions if the current one has ended. The caller holds mu.
func (l *List) startPeriod(now time.Time) {
	if now.Before(l.periodEnd) {
		return
	}
	l.completedBefore, l.completed = l.completed, make(map[uint64]struct{})
	if now.Sub(l.periodEnd) >= completionPeriod {
		l.completedBefore = nil // nothing completed in the period before
	}
	l.periodEnd = now.Add(completionPeriod)
}

// Merge is MergeFrom for a notice whose sender does not matter.
func (l *List) Merge(n Notice) bool { return l.MergeFrom("", n) }

// MergeFrom adds a notice from another node and reports whether it raised the stage of the
// record or added one. Merging is commutative and idempotent.
func (l *List) MergeFrom(source string, n Notice) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	if limit := now.Add(l.lifetime(n.Stage)); n.Until.After(limit) {
		n.Until = limit
	}
	old, found := l.records[n.Fingerprint]
	if l.expired(n, now) || found && old.Stage > n.Stage {
		return false
	}
	if found && old.Stage == n.Stage {
		// Every hop rounds the remaining time up, so the earliest value is the most
		// exact one. With the latest value, records would never expire.
		if n.Until.Before(old.Until) {
			old.Notice = n
			l.records[n.Fingerprint] = old
		}
		return false
	}
	l.storeFrom(source, n, now)
	return true
}

// Notices returns all records that have not expired, for a node that joins.
func (l *List) Notices() []Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	out := make([]Notice, 0, len(l.records))
	for _, n := range l.records {
		if !l.expired(n.Notice, now) {
			out = append(out, n.Notice)
		}
	}
	slices.SortFunc(out, compareForEviction)
	return out
}

// Get returns the record of a fingerprint, if it has one that has not expired.
func (l *List) Get(fingerprint uint64) (Notice, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, found := l.records[fingerprint]
	return r.Notice, found && !l.expired(r.Notice, l.cfg.Clock.Now())
}

// ChangedSince returns the changes after the given revision, the current revision, and a channel
// that is closed at the next change.
func (l *List) ChangedSince(revision uint64) (changes []Change, current uint64, next <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision >= l.revision {
		return nil, l.revision, l.changed
	}
	now := l.cfg.Clock.Now()
	for _, r := range l.records {
		if r.revision > revision && !l.expired(r.Notice, now) {
			changes = append(changes, Change{Notice: r.Notice, Source: r.source})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return compareForEviction(a.Notice, b.Notice) })
	return changes, l.revision, l.changed
}

func (l *List) verdict(fingerprint uint64, now time.Time) Verdict {
	r, found := l.records[fingerprint]
	n := r.Notice
	if !found || l.expired(n, now) {
		return Normal
	}
	switch n.Stage % stagesPerRound {
	case stageSuspect:
		return Alone
	case stageCrasher:
		if now.Before(n.Until) {
			return Refuse
		}
		return Alone
	default:
		return Normal
	}
}

// asSuspect returns the record of a fingerprint after a crash with other requests in flight.
func (l *List) asSuspect(fingerprint uint64, now time.Time) Notice {
	r, found := l.records[fingerprint]
	n := r.Notice
	if !found || l.expired(n, now) {
		return Notice{Fingerprint: fingerprint, Until: now.Add(l.cfg.SuspectFor)}
	}
	switch n.Stage % stagesPerRound {
	case stageCleared:
		n.Stage = (roundOf(n.Stage) + 1) * stagesPerRound
		n.Until = now.Add(l.cfg.SuspectFor)
	case stageSuspect:
		n.Until = now.Add(l.cfg.SuspectFor)
	}
	return n
}

// asCrasher returns the record of a fingerprint that is now known to crash upstreams.
func (l *List) asCrasher(fingerprint uint64, now time.Time) Notice {
	r, found := l.records[fingerprint]
	n := r.Notice
	if !found || l.expired(n, now) {
		n = Notice{Fingerprint: fingerprint}
	}
	round := roundOf(n.Stage)
	if n.Stage%stagesPerRound != stageSuspect {
		round++
	}
	n.Stage = round*stagesPerRound + stageCrasher
	n.Until = now.Add(l.refuseFor(round))
	return n
}

// expired reports whether a record has no effect any more. The record of a crasher is kept
// twice as long as the crasher is refused, so that its next run is alone.
func (l *List) expired(n Notice, now time.Time) bool {
	until := n.Until
	if n.Stage%stagesPerRound == stageCrasher {
		until = until.Add(l.refuseFor(roundOf(n.Stage)))
	}
	return !now.Before(until)
}

// lifetime returns the longest time until the Until of a record in the given stage.
func (l *List) lifetime(stage uint32) time.Duration {
	if stage%stagesPerRound == stageCrasher {
		return l.refuseFor(roundOf(stage))
	}
	return l.cfg.SuspectFor
}

// refuseFor returns for how long a crasher is refused in the given round.
func (l *List) refuseFor(round uint32) time.Duration {
	d := l.cfg.RefuseFor
	for ; round > 0 && d < l.cfg.RefuseMax; round-- {
		d *= 2
	}
	return min(d, l.cfg.RefuseMax)
}

func (l *List) store(n Notice, now time.Time) Notice { return l.storeFrom("", n, now) }

func (l *List) storeFrom(source string, n Notice, now time.Time) Notice {
	l.revision++
	l.records[n.Fingerprint] = record{Notice: n, source: source, revision: l.revision}
	close(l.changed)
	l.changed = make(chan struct{})
	if len(l.records) > l.cfg.MaxRecords {
		l.evict(now)
	}
	return n
}

// evict drops expired records, and then the first ones in the order of compareForEviction
// until the list has its maximum size.
func (l *List) evict(now time.Time) {
	live := make([]Notice, 0, len(l.records))
	for fingerprint, r := range l.records {
		n := r.Notice
		if l.expired(n, now) {
			delete(l.records, fingerprint)
			continue
		}
		live = append(live, n)
	}
	if len(live) <= l.cfg.MaxRecords {
		return
	}
	slices.SortFunc(live, compareForEviction)
	for _, n := range live[:len(live)-l.cfg.MaxRecords] {
		delete(l.records, n.Fingerprint)
	}
}

// compareForEviction orders records by the harm that their loss does: cleared, suspect,
// crasher, each by Until. The order is total, so that all nodes evict the same records.
func compareForEviction(a, b Notice) int {
	return cmp.Or(
		cmp.Compare(evictionRank(a), evictionRank(b)),
		a.Until.Compare(b.Until),
		cmp.Compare(a.Fingerprint, b.Fingerprint),
	)
}

func evictionRank(n Notice) int {
	switch n.Stage % stagesPerRound {
	case stageCleared:
		return 0
	case stageSuspect:
		return 1
	default:
		return 2
	}
}

func roundOf(stage uint32) uint32 { return stage / stagesPerRound }
