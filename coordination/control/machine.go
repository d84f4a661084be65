package control

import (
	"sync"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

// Limits of the state. They bound the size of a snapshot.
const (
	// maxChanges is the number of stored change records: one week at 580 changes per day.
	maxChanges = 4_096
	// maxSourceVersions is the number of versions whose source files are stored.
	maxSourceVersions = 32
	// maxClaims is the number of claims: three per second for 24 h.
	maxClaims = 262_144
	// maxResponseBytes limits the total size of the stored responses. Above it the oldest
	// responses are evicted and their claims become Ran.
	maxResponseBytes = 32 << 20
	// MaxResponseBodyBytes is the size of the largest response body that is stored.
	MaxResponseBodyBytes = 16 << 10
	// maxResponseHeaderBytes is the size of the largest response header that is stored.
	maxResponseHeaderBytes = 8 << 10
)

// Machine is the state machine. It implements quorum.Machine. Apply, Snapshot and Restore are
// called by one goroutine; the other methods may be called concurrently.
type Machine struct {
	mu      sync.RWMutex
	now     int64
	configs configStore
	claims  claims
	changed chan struct{}
}

// CurrentConfig is the configuration in force.
type CurrentConfig struct {
	// Version is 0 before the first change.
	Version uint64
	// EncodedConfig is the input of overlay.Decode.
	EncodedConfig []byte
}

// NewMachine returns a machine without a configuration or claims.
func NewMachine() *Machine {
	return &Machine{
		configs: newConfigStore(),
		claims:  newClaims(maxClaims, maxResponseBytes),
		changed: make(chan struct{}),
	}
}

// Apply applies one command and returns its encoded Result.
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

// Current returns the configuration in force and a channel that is closed when a newer one is
// accepted or restored from a snapshot.
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

// SourceFiles returns the source files of an accepted version, starting with the base file. It
// returns nil if they are no longer stored.
func (m *Machine) SourceFiles(version uint64) []File {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.configs.filesOf(version)
}

// Time returns the time of the latest command in microseconds since the Unix epoch, or 0 before
// the first command.
func (m *Machine) Time() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.now
}

// ClaimCount returns the number of stored claims.
func (m *Machine) ClaimCount() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.claims.records)
}

// notify wakes all goroutines that wait for a newer configuration.
func (m *Machine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}
