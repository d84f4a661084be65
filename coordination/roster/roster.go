// Package roster decides which control hosts are members of the group that holds the replicated
// log, so that a lost host or disk is replaced without an operator.
//
// The leader calls Next with the state of the group. Next makes one change at a time, and only
// if the change increases the number of failures that the group tolerates: a host that was cut
// off by a network partition must not be removed without need.
//
//   - A host that asks to join with the address of a member but another identity has lost its
//     disk. The former identity never comes back and is removed at once.
//   - A host that asks to join with a new address is added as a learner.
//   - A learner that responds replaces a voter that has been unresponsive for voterTimeout, if the group
//     has its target size or the log would not promote the learner beside that voter. The voter counts
//     until its successor has caught up: it may only be away, and its disk may be needed if others are
//     lost meanwhile.
//   - If the group is above its target size, a voter that has been unresponsive for voterTimeout
//     is removed: its host was replaced by one that joined before it left.
//   - A voter whose host stops is removed at once if the group is above its target size: its successor
//     has joined. MayLeave reports this; Next is not involved.
//
// An unresponsive voter is not removed without a replacement: that would lower the majority, and
// the next loss could then lose accepted entries.
//
// # Usage
//
//	action := roster.Next(members, joiners, size, now)
//	switch action.Kind {
//	case roster.Add: host.AddMember(ctx, …)
//	case roster.Remove: host.RemoveMember(ctx, action.ID)
//	case roster.Replace: host.ReplaceMember(ctx, action.ID, action.Successor)
//	}
package roster

import "time"

//go:generate ../../bin/tools/stringer -type=Kind,Cause,Leave -linecomment -output=roster_string.go

const (
	// voterTimeout is how long a voter must be unresponsive before it may be replaced. It is longer than the
	// restart of a killed process, so that a restart does not remove a member.
	voterTimeout = 2500 * time.Millisecond
	// connectedVoterTimeout replaces voterTimeout for a voter whose host runs. Its disk is not lost and is
	// needed if others are lost meanwhile.
	connectedVoterTimeout = 10 * time.Second
	// learnerTimeout is how long a learner must be unresponsive before it is removed.
	learnerTimeout = time.Second
	// MaxMembers is the maximum number of members that the replicated log supports.
	MaxMembers = 7
)

// Member is one member of the group, as seen by the leader.
type Member struct {
	ID      uint64
	Addr    string
	Learner bool
	// UnresponsiveSince is the time since which the member has been unresponsive. It is zero while
	// the member responds.
	UnresponsiveSince time.Time
	// Connected reports whether the host of the member is known to run although the log gets no response
	// from it, for example because its disk hangs or refuses writes.
	Connected bool
}

// Joiner is a host with an empty data directory that asks to join the group.
type Joiner struct {
	ID   uint64
	Addr string
}

// Kind is the kind of an Action.
type Kind uint8

// Kinds of actions.
const (
	None    Kind = iota // none
	Add                 // add
	Remove              // remove
	Replace             // replace
)

// Cause is the reason for an Action.
type Cause uint8

// Causes of actions.
const (
	// NoCause is the cause of the action None.
	NoCause Cause = iota // none
	// LostDisk means that the host of the member asks to join with a new identity.
	LostDisk // lostdisk
	// Replaced means that another host asks to join in place of the unresponsive voter.
	Replaced // replaced
	// Surplus means that the group is above its target size and the voter is unresponsive.
	Surplus // surplus
	// LearnerUnresponsive means that the learner was unresponsive for learnerTimeout.
	LearnerUnresponsive // gaveup
	// JoinRequested means that the host asked to join.
	JoinRequested // joins
	// Stopped means that the host of the voter stops and the group is above its target size.
	Stopped // stopped
)

// Leave is what a voter does whose host stops.
type Leave uint8

// Decisions about a voter whose host stops.
const (
	Stay     Leave = iota // stay
	Wait                  // wait
	LeaveNow              // leave
)

// Action is one change of the group's membership.
type Action struct {
	Kind  Kind
	Cause Cause
	ID    uint64
	Addr  string
	// Successor is the learner that replaces the voter. Only Replace has it.
	Successor uint64
}

// Next returns the next change of a group whose target size is size voters.
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
	voters, responsive := 0, 0
	var learner Member
	for _, m := range members {
		switch {
		case !m.Learner:
			voters++
			if m.UnresponsiveSince.IsZero() {
				responsive++
			}
		case unresponsiveFor(m, learnerTimeout, now):
			return Action{Kind: Remove, Cause: LearnerUnresponsive, ID: m.ID, Addr: m.Addr}
		default:
			learner = m
		}
	}
	unresponsiveVoter := longestUnresponsiveVoter(members, now)
	switch {
	case learner.ID != 0 && unresponsiveVoter.ID != 0 && (voters >= size || responsive <= (voters+1)/2):
		// With so few voters that respond, the log does not promote the learner beside the voter.
		return Action{Kind: Replace, Cause: Replaced, ID: unresponsiveVoter.ID, Addr: unresponsiveVoter.Addr, Successor: learner.ID}
	case learner.ID != 0:
		return Action{} // the log itself promotes the learner to a voter
	case voters > size && unresponsiveVoter.ID != 0:
		return Action{Kind: Remove, Cause: Surplus, ID: unresponsiveVoter.ID, Addr: unresponsiveVoter.Addr}
	case len(newJoiners) == 0:
		return Action{}
	case len(members) < MaxMembers || voters == MaxMembers && unresponsiveVoter.ID != 0:
		// A full group has one more member while the successor of a silent voter learns.
		return Action{Kind: Add, Cause: JoinRequested, ID: newJoiners[0].ID, Addr: newJoiners[0].Addr}
	}
	return Action{}
}

// unresponsiveFor reports whether the member has been unresponsive for at least limit.
func unresponsiveFor(m Member, limit time.Duration, now time.Time) bool {
	return !m.UnresponsiveSince.IsZero() && now.Sub(m.UnresponsiveSince) >= limit
}

// longestUnresponsiveVoter returns the voter that has been unresponsive for the longest time, or a
// zero Member if no voter has been unresponsive for its limit.
func longestUnresponsiveVoter(members []Member, now time.Time) Member {
	var longest Member
	for _, m := range members {
		limit := voterTimeout
		if m.Connected {
			limit = connectedVoterTimeout
		}
		if m.Learner || !unresponsiveFor(m, limit, now) {
			continue
		}
		if longest.ID == 0 || m.UnresponsiveSince.Before(longest.UnresponsiveSince) {
			longest = m
		}
	}
	return longest
}

// MayLeave decides about a voter whose host stops. If the group is above its size, a successor has joined,
// and the voter would count towards the majority although it is gone.
func MayLeave(members []Member, id uint64, size int) Leave {
	voters, isVoter, learns := 0, false, false
	for _, m := range members {
		if m.Learner {
			learns = true
			continue
		}
		voters++
		isVoter = isVoter || m.ID == id
	}
	switch {
	case isVoter && voters > size:
		return LeaveNow
	case isVoter && voters == size && learns:
		return Wait // for the vote of the successor
	}
	return Stay
}
