package document

import (
	"bytes"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

//go:generate ../../bin/tools/stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome is the outcome of a command.
type Outcome uint8

// Outcomes of a command.
const (
	// Accepted means that the command was applied, now or when it was first sent.
	Accepted Outcome = iota // accepted
	// Conflict means that the base version of the change is not the current version, or that another
	// rollout of the service runs.
	Conflict // conflict
	// Stale means that the version of the change is not higher than the current version.
	Stale // stale
	// Malformed means that the command could not be decoded.
	Malformed // malformed
)

// Command is one log entry. It is either a change of the document, takes a failure domain out of
// service or back, starts a rollout, or is a step of one.
type Command struct {
	Change    *Change  `cbor:"c,omitempty"`
	Domain    string   `cbor:"d,omitempty"`
	DomainOut bool     `cbor:"o,omitempty"`
	Start     *Rollout `cbor:"r,omitempty"`
	Step      *Rollout `cbor:"p,omitempty"`
}

// Encode encodes a command for the replicated log.
func Encode(c Command) []byte {
	data, err := codec.Marshal(c)
	if err != nil {
		panic(err) // plain data always encodes
	}
	return data
}

// DecodeOutcome decodes the bytes that Machine.Apply returned.
func DecodeOutcome(data []byte) Outcome {
	if len(data) != 1 {
		return Malformed
	}
	return Outcome(data[0])
}

// acceptedChange identifies one accepted change.
type acceptedChange struct {
	Version uint64 `cbor:"v"`
	Digest  []byte `cbor:"d"`
}

const (
	// maxAccepted is the number of accepted changes that are recognized when they are sent again. The
	// decoder of snapshots refuses lists of more than 131,072 elements.
	maxAccepted = 16_384
	// maxDomainsOut and maxDomainBytes bound the failure domains that are out of service, which are sent
	// to every node.
	maxDomainsOut  = 1024
	maxDomainBytes = 1 << 10
)

// Machine implements quorum.Machine. Current may be called from any goroutine.
type Machine struct {
	mu       sync.Mutex
	state    *State
	accepted []acceptedChange // sorted by version
	changed  chan struct{}
}

// NewMachine returns a machine with an empty document at version 0.
func NewMachine() *Machine {
	return &Machine{state: &State{}, changed: make(chan struct{})}
}

// Current returns the state and a channel that is closed when it changes.
func (m *Machine) Current() (*State, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state, m.changed
}

// HasAccepted reports whether exactly this change, compared by digest, has been accepted.
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
	switch {
	case c.Change != nil:
		return []byte{byte(m.applyChange(c.Change))}
	case c.Start != nil:
		return []byte{byte(m.startRollout(c.Start))}
	case c.Step != nil:
		return []byte{byte(m.stepRollout(c.Step))}
	}
	return []byte{byte(m.setDomainOut(c.Domain, c.DomainOut))}
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
	if n := len(m.accepted) - maxAccepted; n > 0 {
		m.accepted = slices.Delete(m.accepted, 0, n)
	}
	m.publish(m.state.Apply(c))
	return Accepted
}

func (m *Machine) setDomainOut(name string, out bool) Outcome {
	i, found := slices.BinarySearch(m.state.DomainsOut, name)
	switch {
	case found == out:
		return Accepted
	case out && (len(m.state.DomainsOut) >= maxDomainsOut || len(name) > maxDomainBytes):
		return Malformed
	}
	next := *m.state
	next.Revision++
	if out {
		next.DomainsOut = slices.Insert(slices.Clone(m.state.DomainsOut), i, name)
	} else {
		next.DomainsOut = slices.Delete(slices.Clone(m.state.DomainsOut), i, i+1)
	}
	m.publish(&next)
	return Accepted
}

func (m *Machine) publish(s *State) {
	m.state = s
	close(m.changed)
	m.changed = make(chan struct{})
}

// snapshot is the encoded form of the state of a Machine.
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
		return errors.Wrap(err, "decode document snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted = s.Accepted
	m.publish(&s.State)
	return nil
}
