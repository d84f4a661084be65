package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

//go:generate stringer -type=Verdict -linecomment -output=verdict_string.go

// Verdict says how a request with a given fingerprint may run.
type Verdict uint8

// Verdicts, from harmless to refused.
const (
	Normal Verdict = iota // normal
	Alone                 // alone
	Refuse                // refuse
)

// Stages repeat in rounds of three. A record only moves to a higher stage, so
// the highest stage wins a merge in any order of arrival.
const (
	stageSuspect = iota
	stageCrasher
	stageCleared
	stagesPerRound
)

// Notice is one record about a fingerprint. Nodes send it to each other.
type Notice struct {
	// Fingerprint is the fingerprint of the request.
	Fingerprint uint64
	// Stage grows with every event that concerns the fingerprint.
	Stage uint32
	// Until is when the record changes by itself: a crasher is then run alone
	// again, any other record is dropped. Senders put the time left on the
	// wire, because the clocks of hosts differ.
	Until time.Time
}

// Clock tells the time.
type Clock interface{ Now() time.Time }

// Defaults of Config.
const (
	DefaultSuspectFor = 10 * time.Minute
	DefaultRefuseFor  = 10 * time.Minute
	DefaultRefuseMax  = 12 * time.Hour // one night without an operator
	DefaultMaxRecords = 4096
)

// Config holds the settings of a List. Zero values select the defaults.
type Config struct {
	Clock Clock
	// SuspectFor is how long a suspect that nobody sends again is remembered.
	SuspectFor time.Duration
	// RefuseFor is how long the first conviction refuses a request. It doubles
	// with each further conviction of the same fingerprint up to RefuseMax.
	RefuseFor time.Duration
	RefuseMax time.Duration
	// MaxRecords is the largest number of records kept.
	MaxRecords int
}

// List holds the fingerprints that were in flight when an upstream died. It is
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

// RecordCrash records the death of an upstream while the requests with the given
// fingerprints were in flight on it. The notices must be on their way to the
// other nodes before any of the callers is answered. A suspect that was alone
// in flight becomes a crasher.
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

// ConfirmCrasher records that one request crashed two upstreams, as the entry node
// sees when both tries of a hedged request end that way.
func (l *List) ConfirmCrasher(fingerprint uint64) []Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	if l.verdict(fingerprint, now) == Refuse {
		return nil
	}
	return []Notice{l.store(l.asCrasher(fingerprint, now), now)}
}

// RecordCompletion records that a request with the fingerprint ran to its end. Only a
// run alone clears a suspect: with company, the other requests cannot be told
// apart from it.
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

// Merge adds a notice of another node and reports whether it was news. Merging
// is commutative and idempotent.
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
		// Every hop rounds the time left up, so the earliest value is the
		// exact one. The latest would let records live for ever.
		if n.Until.Before(old.Until) {
			l.records[n.Fingerprint] = n
		}
		return false
	}
	l.store(n, now)
	return true
}

// Notices returns all records that are still in force, for a node that joins.
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

// suspected returns the record of a fingerprint after a death in company.
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

// convicted returns the record of a fingerprint that is now known to crash
// upstreams.
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

// gone reports whether the record no longer has any effect. A crasher is
// remembered twice as long as it is refused, so that it is run alone first.
func (l *List) expired(n Notice, now time.Time) bool {
	until := n.Until
	if n.Stage%stagesPerRound == stageCrasher {
		until = until.Add(l.refuseFor(roundOf(n.Stage)))
	}
	return !now.Before(until)
}

func (l *List) lifetime(stage uint32) time.Duration {
	if stage%stagesPerRound == stageCrasher {
		return l.refuseFor(roundOf(stage))
	}
	return l.cfg.SuspectFor
}

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

// shrink drops records that have no effect, then the lowest ones.
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

// compare orders records by how much harm their loss does, so that every node
// drops the same ones: cleared, suspect, crasher, each by deadline.
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
