package document

import "slices"

//go:generate ../../bin/tools/stringer -type=RolloutState -linecomment -output=rolloutstate_string.go

// RolloutState is the state of a rollout.
type RolloutState uint8

// States of a rollout.
const (
	RolloutRunning    RolloutState = iota // running
	RolloutCompleted                      // completed
	RolloutRolledBack                     // rolledback
)

// FullShare is the share of all requests, in permille.
const FullShare = 1000

const (
	// maxRollouts bounds the rollouts that are kept, one for each service. They are sent to every node.
	maxRollouts = 4096
	// maxRolloutBytes bounds the names of a service and of a software version.
	maxRolloutBytes = 1 << 10
)

// Rollout is the last rollout of a service.
type Rollout struct {
	Service string `cbor:"n"`
	// To is the software version that the requests move to.
	To string `cbor:"t"`
	// Duration is that of the order, in milliseconds. An order that is sent again has the same one.
	Duration int64 `cbor:"d"`
	// Number identifies the rollout. It is the revision of the state that started it.
	Number uint64 `cbor:"i"`
	// Left is the time until the rollout has to be complete when the leader proposed this entry, in
	// milliseconds, and ChangedLeft the same at the last change of Share. The clocks of hosts differ and
	// jump, so each host adds Left to its own steady clock when the entry is applied.
	Left        int64        `cbor:"e"`
	ChangedLeft int64        `cbor:"c"`
	State       RolloutState `cbor:"s"`
	// Share is the share of the requests that go to the new version, in permille.
	Share int `cbor:"p"`
	// Revision is the revision of the state that changed the rollout last.
	Revision uint64 `cbor:"r"`
}

// SameOrder reports whether two rollouts have the same order.
func (r *Rollout) SameOrder(other *Rollout) bool {
	return r.Service == other.Service && r.To == other.To && r.Duration == other.Duration
}

// Rollout returns the last rollout of a service, nil if it never had one.
func (s *State) Rollout(service string) *Rollout {
	if i, found := findRollout(s.Rollouts, service); found {
		return &s.Rollouts[i]
	}
	return nil
}

// RolloutsSince returns the rollouts that have changed after a revision.
func (s *State) RolloutsSince(revision uint64) []Rollout {
	var changed []Rollout
	for _, r := range s.Rollouts {
		if r.Revision > revision {
			changed = append(changed, r)
		}
	}
	return changed
}

// MergeRollouts returns the rollouts in list with those in changed added or replaced by service. It does
// not modify list.
func MergeRollouts(list, changed []Rollout) []Rollout {
	if len(changed) == 0 {
		return list
	}
	list = slices.Clone(list)
	for _, r := range changed {
		if i, found := findRollout(list, r.Service); found {
			list[i] = r
		} else {
			list = slices.Insert(list, i, r)
		}
	}
	return list
}

func findRollout(list []Rollout, service string) (int, bool) {
	return slices.BinarySearchFunc(list, service, func(r Rollout, name string) int {
		switch {
		case r.Service < name:
			return -1
		case r.Service > name:
			return 1
		}
		return 0
	})
}

// startRollout applies an order. An order that is sent again changes nothing.
func (m *Machine) startRollout(r *Rollout) Outcome {
	current := m.state.Rollout(r.Service)
	switch {
	case r.Service == "" || r.To == "" || r.Duration <= 0 || len(r.Service)+len(r.To) > maxRolloutBytes:
		return Malformed
	case current == nil && len(m.state.Rollouts) >= maxRollouts:
		return Malformed
	case current != nil && current.SameOrder(r):
		return Accepted
	case current != nil && current.State == RolloutRunning:
		return Conflict
	}
	next := *r
	next.State, next.Share, next.Number = RolloutRunning, 0, m.state.Revision+1
	next.Left, next.ChangedLeft = r.Duration, r.Duration
	m.setRollout(next)
	return Accepted
}

// stepRollout applies a step of a running rollout. A step of another rollout, or one that arrives after
// the end, is a conflict.
func (m *Machine) stepRollout(r *Rollout) Outcome {
	current := m.state.Rollout(r.Service)
	switch {
	case current == nil || !current.SameOrder(r) || current.Number != r.Number || current.State != RolloutRunning:
		return Conflict
	case r.Share < 0 || r.Share > FullShare || r.State > RolloutRolledBack:
		return Malformed
	case r.Share == current.Share && r.State == current.State:
		// Only the time left has changed, which nodes do not use: they are not sent the entry.
		next := *m.state
		progress := *current
		progress.Left = r.Left
		next.Rollouts = MergeRollouts(m.state.Rollouts, []Rollout{progress})
		m.publish(&next)
		return Accepted
	}
	m.setRollout(*r)
	return Accepted
}

func (m *Machine) setRollout(r Rollout) {
	next := *m.state
	next.Revision++
	r.Revision = next.Revision
	next.Rollouts = MergeRollouts(m.state.Rollouts, []Rollout{r})
	m.publish(&next)
}
