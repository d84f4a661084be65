package document

import (
	"bytes"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

//go:generate ../../bin/tools/stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome is what became of a command.
type Outcome uint8

// Outcomes of a command.
const (
	// Accepted means that the command is in force, now or since it was first
	// sent.
	Accepted Outcome = iota // accepted
	// Conflict means that the change builds on another version than the current
	// one.
	Conflict // conflict
	// Stale means that the version of the change is not above the current one.
	Stale // stale
	// Malformed means that the command could not be decoded.
	Malformed // malformed
)

// Command is one entry of the log: either a change, or a failure domain that
// is taken out or back.
type Command struct {
	Change    *Change `cbor:"c,omitempty"`
	Domain    string  `cbor:"d,omitempty"`
	DomainOut bool    `cbor:"o,omitempty"`
}

// Encode returns the form in which a command is proposed.
func Encode(c Command) []byte {
	data, err := codec.Marshal(c)
	if err != nil {
		panic(err) // plain data always encodes
	}
	return data
}

// DecodeOutcome reads the result of applying a command.
func DecodeOutcome(data []byte) Outcome {
	if len(data) != 1 {
		return Malformed
	}
	return Outcome(data[0])
}

// accepted remembers one accepted change.
type acceptedChange struct {
	Version uint64 `cbor:"v"`
	Digest  []byte `cbor:"d"`
}

// Machine implements quorum.Machine. Current may be called from any goroutine.
type Machine struct {
	mu       sync.Mutex
	state    *State
	accepted []acceptedChange // by version
	changed  chan struct{}
}

// NewMachine returns a machine with an empty document of version 0.
func NewMachine() *Machine {
	return &Machine{state: &State{}, changed: make(chan struct{})}
}

// Current returns the state and a channel that is closed when it changes.
func (m *Machine) Current() (*State, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state, m.changed
}

// Known reports whether exactly this change has been accepted before.
func (m *Machine) HasAccepted(c *Change) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasAccepted(c)
}

func (m *Machine) hasAccepted(c *Change) bool {
	i, found := slices.BinarySearchFunc(m.accepted, c.Version, func(a acceptedChange, v uint64) int {
		switch {
		case a.Version < v:
			return -1
		case a.Version > v:
			return 1
		}
		return 0
	})
	return found && bytes.Equal(m.accepted[i].Digest, c.Digest())
}

// Apply implements quorum.Machine.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	var c Command
	if err := codec.Unmarshal(data, &c); err != nil {
		return []byte{byte(Malformed)}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Change != nil {
		return []byte{byte(m.applyChange(c.Change))}
	}
	m.setDomainOut(c.Domain, c.DomainOut)
	return []byte{byte(Accepted)}
}

func (m *Machine) applyChange(c *Change) Outcome {
	switch {
	case m.hasAccepted(c):
		return Accepted
	case c.BaseVersion != m.state.Version:
		return Conflict
	case c.Version <= m.state.Version:
		return Stale
	}
	m.accepted = append(m.accepted, acceptedChange{Version: c.Version, Digest: c.Digest()})
	m.publish(m.state.Apply(c))
	return Accepted
}

func (m *Machine) setDomainOut(name string, out bool) {
	i, found := slices.BinarySearch(m.state.DomainsOut, name)
	if found == out {
		return
	}
	next := *m.state
	next.Revision++
	if out {
		next.DomainsOut = slices.Insert(slices.Clone(m.state.DomainsOut), i, name)
	} else {
		next.DomainsOut = slices.Delete(slices.Clone(m.state.DomainsOut), i, i+1)
	}
	m.publish(&next)
}

func (m *Machine) publish(s *State) {
	m.state = s
	close(m.changed)
	m.changed = make(chan struct{})
}

// snapshot is the durable form of a machine.
type snapshot struct {
	State    State            `cbor:"s"`
	Accepted []acceptedChange `cbor:"a"`
}

// Snapshot implements quorum.Machine.
func (m *Machine) Snapshot() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := codec.Marshal(snapshot{State: *m.state, Accepted: m.accepted})
	if err != nil {
		panic(err) // plain data always encodes
	}
	return data
}

// Restore implements quorum.Machine.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := codec.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "snapshot of the document")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted = s.Accepted
	m.publish(&s.State)
	return nil
}
