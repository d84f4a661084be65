package control

import (
	"sync"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

// Limits of the state that is kept. They bound the size of a snapshot.
const (
	// maxChanges is the number of remembered change identifiers: a week at 580
	// changes a day.
	maxChanges = 4_096
	// maxSources is the number of versions whose source files are kept.
	maxSourceVersions = 32
	// maxClaims is the number of claims: three a second for 24 h.
	maxClaims = 262_144
	// maxAnswerBytes bounds all held answers together. Above it the oldest
	// answers are dropped and their claims become Ran.
	maxResponseBytes = 32 << 20
	// MaxBodyBytes is the largest answer body that is held.
	MaxResponseBodyBytes = 16 << 10
	// maxHeaderBytes is the largest answer header that is held.
	maxResponseHeaderBytes = 8 << 10
)

// Machine is the state machine. Apply, Snapshot and Restore are called by one
// goroutine; all methods are safe beside it.
type Machine struct {
	mu      sync.RWMutex
	now     int64
	configs configStore
	claims  claims
	changed chan struct{}
}

// Current is the configuration in force.
type CurrentConfig struct {
	// Version is 0 before the first change.
	Version uint64
	// Raw is what overlay.Decode reads.
	EncodedConfig []byte
}

// NewMachine returns an empty machine.
func NewMachine() *Machine {
	return &Machine{
		configs: newConfigs(),
		claims:  newClaims(maxClaims, maxResponseBytes),
		changed: make(chan struct{}),
	}
}

// Apply runs one command and returns its encoded Result.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	var c Command
	if err := codec.Unmarshal(data, &c); err != nil {
		return mustEncode(Result{Code: BadCommand})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = max(m.now, c.Now)
	m.claims.expire(m.now)
	return mustEncode(m.applyCommand(index, c))
}

func (m *Machine) applyCommand(index uint64, c Command) Result {
	switch {
	case c.Change != nil:
		res, isNew := m.configs.applyChange(c.Change)
		if isNew && res.Code == Accepted {
			m.notify()
		}
		return res
	case c.Claim != nil:
		return m.claims.claim(m.now, c.Claim)
	case c.Finish != nil:
		return m.claims.finish(index, c.Finish)
	case c.Release != nil:
		return m.claims.release(m.now, c.Release)
	default:
		return Result{Code: BadCommand}
	}
}

// Current returns the configuration in force and a channel that is closed when
// a newer one is accepted.
func (m *Machine) Current() (CurrentConfig, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.configs.current, m.changed
}

// History returns up to limit of the latest changes, newest first.
func (m *Machine) History(limit int) []ChangeRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.configs.history(limit)
}

// Sources returns the source files of an accepted version, base first. It
// returns nil when they are no longer kept.
func (m *Machine) SourceFiles(version uint64) []File {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.configs.filesOf(version)
}

// Time returns the time of the latest command in microseconds since 1970, 0
// before the first.
func (m *Machine) Time() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.now
}

// Claims returns the number of claims that are kept.
func (m *Machine) ClaimCount() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.claims.records)
}

// notify wakes everyone who waits for a newer configuration.
func (m *Machine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}
