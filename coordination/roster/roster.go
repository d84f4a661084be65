// Package roster decides which control hosts belong to the group that holds the
// replicated log, so that a lost host or disk is replaced without an operator.
//
// The leader calls Next with what it knows. It changes one member at a time,
// and only when the change raises what may be lost next: a cut host that comes
// back must not find itself removed for nothing.
//
//   - A host that asks to join from the address of a member has lost its disk.
//     Its former identity never comes back and is removed at once.
//   - A host that asks to join at a new address is added. When the group already
//     has its size, a member that has been silent for deadTime is removed first.
//   - A group above its size loses a member that has been silent for deadTime:
//     its host was replaced by one that joined before it left.
//
// Without a host to take its place no silent member is removed: that would lower
// the majority, and the next loss could then lose what was accepted.
//
// # Usage
//
//	action := roster.Next(members, joiners, size, now)
//	switch action.Kind {
//	case roster.Add: host.AddMember(ctx, …)
//	case roster.Remove: host.RemoveMember(ctx, action.ID)
//	}
package roster

import "time"

//go:generate ../../bin/tools/stringer -type=Kind,Cause -linecomment -output=roster_string.go

const (
	// deadTime is the silence after which a member may be replaced. It is
	// above the time that a killed process needs to be back, so that a restart
	// does not cost a member its place.
	voterTimeout = 2500 * time.Millisecond
	// learnTime is the silence after which a learner is given up.
	learnerTimeout = time.Second
	// MaxMembers is the largest group; the log takes no more.
	MaxMembers = 7
)

// Member is one member of the group as the leader sees it.
type Member struct {
	ID      uint64
	Addr    string
	Learner bool
	// SilentSince is when the member was last heard from, zero while it answers.
	SilentSince time.Time
}

// Joiner is a host with an empty directory that asks to join.
type Joiner struct {
	ID   uint64
	Addr string
}

// Kind is what to do next.
type Kind uint8

// Kinds of actions.
const (
	None   Kind = iota // none
	Add                // add
	Remove             // remove
)

// Cause is why.
type Cause uint8

// Causes of actions.
const (
	NoCause       Cause = iota // none
	LostDisk                   // lostdisk
	Replaced                   // replaced
	Surplus                    // surplus
	LearnerSilent              // gaveup
	JoinRequested              // joins
)

// Action is one change of the group.
type Action struct {
	Kind  Kind
	Cause Cause
	ID    uint64
	Addr  string
}

// Next returns the next change of a group that should have size voters.
func Next(members []Member, joiners []Joiner, size int, now time.Time) Action {
	var newJoiners []Joiner
	for _, j := range joiners {
		isMember := false
		for _, m := range members {
			if m.Addr == j.Addr && m.ID != j.ID {
				return Action{Kind: Remove, Cause: LostDisk, ID: m.ID, Addr: m.Addr}
			}
			isMember = isMember || m.ID == j.ID
		}
		if !isMember {
			newJoiners = append(newJoiners, j)
		}
	}
	voters := 0
	for _, m := range members {
		switch {
		case !m.Learner:
			voters++
		case silentFor(m, learnerTimeout, now):
			return Action{Kind: Remove, Cause: LearnerSilent, ID: m.ID, Addr: m.Addr}
		default:
			// Its vote comes from the log itself; asking again goes on with it.
			return Action{Kind: Add, Cause: JoinRequested, ID: m.ID, Addr: m.Addr}
		}
	}
	silentVoter := longestSilentVoter(members, now)
	switch {
	case voters > size && silentVoter.ID != 0:
		return Action{Kind: Remove, Cause: Surplus, ID: silentVoter.ID, Addr: silentVoter.Addr}
	case len(newJoiners) == 0:
		return Action{}
	case voters >= size && silentVoter.ID != 0:
		return Action{Kind: Remove, Cause: Replaced, ID: silentVoter.ID, Addr: silentVoter.Addr}
	case len(members) < MaxMembers:
		return Action{Kind: Add, Cause: JoinRequested, ID: newJoiners[0].ID, Addr: newJoiners[0].Addr}
	}
	return Action{}
}

func silentFor(m Member, limit time.Duration, now time.Time) bool {
	return !m.SilentSince.IsZero() && now.Sub(m.SilentSince) >= limit
}

// longestSilent returns the voter that has been silent for longest, if for
// deadTime.
func longestSilentVoter(members []Member, now time.Time) Member {
	var longest Member
	for _, m := range members {
		if m.Learner || !silentFor(m, voterTimeout, now) {
			continue
		}
		if longest.ID == 0 || m.SilentSince.Before(longest.SilentSince) {
			longest = m
		}
	}
	return longest
}
