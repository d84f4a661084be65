package controlplane

import "context"

//go:generate stringer -type=MemberState,MemberReason -linecomment -output=members_string.go

// MemberState is the progress of a membership change.
type MemberState uint8

// States of membership changes.
const (
	// MemberDone means that the change is durable at a quorum. An added member has synced all
	// committed entries and is a voter.
	MemberDone MemberState = iota // done
	// MemberWaiting means that the change is in progress. Repeating the call continues it.
	MemberWaiting // waiting
	// MemberRefused means that nothing was changed.
	MemberRefused // refused
)

// MemberReason is why a membership change is waiting or was refused.
type MemberReason uint8

// Reasons for waiting or refused membership changes.
const (
	// MemberNoReason is the reason if the state is MemberDone.
	MemberNoReason MemberReason = iota // none
	// MemberBusy means that another membership change is in progress.
	MemberBusy // busy
	// MemberCatchup means that the new member has not yet synced all committed entries.
	MemberCatchup // catchup
	// MemberUnresponsive means that a voter does not respond, so that the group would depend on the
	// new member. The unresponsive voter has to be removed first.
	MemberUnresponsive // silent
	// MemberQuorum means that the responsive voters that remain would not form a quorum.
	MemberQuorum // quorum
	// MemberInUse means that the identity or the address belongs to a member.
	MemberInUse // used
	// MemberFull means that the group has its maximum size.
	MemberFull // full
	// MemberMissing means that no member has this identity.
	MemberMissing // missing
	// MemberNotBlank means that the data directory of the host holds the state of another member.
	MemberNotBlank // notblank
	// MemberNameMismatch means that the host has another name or identity than the operator gave.
	MemberNameMismatch // name
	// MemberUnreachable means that the host to add does not respond.
	MemberUnreachable // unreachable
	// MemberUnsupported means that the log of this host does not support membership changes.
	MemberUnsupported // unsupported
)

// MemberResult is the outcome of a membership change.
type MemberResult struct {
	State  MemberState  `cbor:"s"`
	Reason MemberReason `cbor:"r,omitempty"`
	// UnresponsiveVoter is the voter to remove first when Reason is MemberUnresponsive.
	UnresponsiveVoter uint64 `cbor:"i,omitempty"`
	Text              string `cbor:"t,omitempty"`
}

// Identity describes the data directory of a control host.
type Identity struct {
	Host string
	ID   uint64
	// Blank is true while the host knows no group that it belongs to.
	Blank bool
	// Formed is true if the group of the host is known to have committed an entry.
	Formed bool
	// Voting is true if the host takes part in elections.
	Voting bool
}

// Group changes the members of a replicated log. Add and Remove may be repeated. They return
// MemberWaiting if ctx ends before the change is done, and StatusNotLeader if this host is not the
// leader.
type Group interface {
	Identity() Identity
	Add(ctx context.Context, id uint64, addr string) (MemberResult, Status)
	Remove(ctx context.Context, id uint64) (MemberResult, Status)
}
