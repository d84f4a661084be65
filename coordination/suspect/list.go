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

// Clock tells the time.
type Clock interface{ Now() time.Time }

// Defaults of Config.
const (
	DefaultSuspectFor = 10 * time.Minute
	DefaultRefuseFor  = 10 * time.Minute
	DefaultRefuseMax  = 12 * time.Hour // a night without an operator
	DefaultMaxRecords = 4096
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

	mu      sync.Mutex
	records map[uint64]Notice
}

// New returns an empty list.
func New(cfg Config) *List {
	cfg.SuspectFor = cmp.Or(cfg.SuspectFor, DefaultSuspectFor)
	cfg.RefuseFor = cmp.Or(cfg.RefuseFor, DefaultRefuseFor)
	cfg.RefuseMax = cmp.Or(cfg.RefuseMax, DefaultRefuseMax)
	cfg.MaxRecords = cmp.Or(cfg.MaxRecords, DefaultMaxRecords)
	return &List{cfg: cfg, records: make(map[uint64]Notice)}
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
	if l.verdict(fingerprint, now) != Alone {
		return nil
	}
	n := l.records[fingerprint]
	n.Stage = roundOf(n.Stage)*stagesPerRound + stageCleared
	n.Until = now.Add(l.cfg.SuspectFor)
	return []Notice{l.store(n, now)}
}

// Merge adds a notice from another node and reports whether it raised the stage of the
// record or added one. Merging is commutative and idempotent.
func (l *List) Merge(n Notice) bool {
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
			l.records[n.Fingerprint] = n
		}
		return false
	}
	l.store(n, now)
	return true
}

// Notices returns all records that have not expired, for a node that joins.
func (l *List) Notices() []Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	out := make([]Notice, 0, len(l.records))
	for _, n := range l.records {
		if !l.expired(n, now) {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, compareForEviction)
	return out
}

func (l *List) verdict(fingerprint uint64, now time.Time) Verdict {
	n, found := l.records[fingerprint]
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
	n, found := l.records[fingerprint]
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
	n, found := l.records[fingerprint]
	if !found || l.expired(n, now) {
		n = Notice{Fingerprint: fingerprint}
	}
	r := roundOf(n.Stage)
	if n.Stage%stagesPerRound != stageSuspect {
		r++
	}
	n.Stage = r*stagesPerRound + stageCrasher
	n.Until = now.Add(l.refuseFor(r))
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

func (l *List) store(n Notice, now time.Time) Notice {
	l.records[n.Fingerprint] = n
	if len(l.records) > l.cfg.MaxRecords {
		l.evict(now)
	}
	return n
}

// evict drops expired records, and then the first ones in the order of compareForEviction
// until the list has its maximum size.
func (l *List) evict(now time.Time) {
	live := make([]Notice, 0, len(l.records))
	for fingerprint, n := range l.records {
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
