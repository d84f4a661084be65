package controlplane

import "context"

//go:generate stringer -type=MemberState,MemberReason -linecomment -output=members_string.go

// MemberState is how far a change of the members has come.
type MemberState uint8

// States of a change of the members.
const (
	// MemberDone means that the change is durable at a quorum; an added member
	// is caught up, synced and has its vote.
	MemberDone MemberState = iota // done
	// MemberWaiting means that the change is under way. Asking again goes on
	// with it.
	MemberWaiting // waiting
	// MemberRefused means that nothing was changed.
	MemberRefused // refused
)

// MemberReason says in one word why a change of the members waits or was
// refused.
type MemberReason uint8

// Reasons of a change of the members.
const (
	// MemberNoReason belongs to MemberDone.
	MemberNoReason MemberReason = iota // none
	// MemberBusy means that another change is under way.
	MemberBusy // busy
	// MemberCatchup means that the new member is not yet caught up and synced.
	MemberCatchup // catchup
	// MemberUnresponsive means that a voter does not respond, so that the group would depend on the
	// new member. The unresponsive voter has to be removed first.
	MemberUnresponsive // silent
	// MemberQuorum means that too few voters would be left that answer.
	MemberQuorum // quorum
	// MemberInUse means that the identity or the address belongs to a member.
	MemberInUse // used
	// MemberFull means that the group has its largest size.
	MemberFull // full
	// MemberMissing means that no member has this identity.
	MemberMissing // missing
	// MemberNotBlank means that the host holds the state of another member.
	MemberNotBlank // notblank
	// MemberNameMismatch means that the host has another name than the operator gave.
	MemberNameMismatch // name
	// MemberUnreachable means that the host to add does not answer.
	MemberUnreachable // unreachable
	// MemberUnsupported means that the log of this host has no group.
	MemberUnsupported // unsupported
)

// MemberResult is the outcome of a change of the members.
type MemberResult struct {
	State  MemberState  `cbor:"s"`
	Reason MemberReason `cbor:"r,omitempty"`
	// UnresponsiveVoter is the voter to remove first when Reason is MemberUnresponsive.
	UnresponsiveVoter uint64 `cbor:"i,omitempty"`
	Text              string `cbor:"t,omitempty"`
}

// Identity is what a control host says about its data directory.
type Identity struct {
	Host string
	ID   uint64
	// Blank is true while the host knows no group.
	Blank bool
	// Formed is true when the host knows that its group has committed something.
	Formed bool
	// Voting is true when the host takes part in elections.
	Voting bool
}

// Group changes the members of a replicated log. Add and Remove may be
// repeated; they return MemberWaiting when ctx ends before the change is done,
// and StatusNotLeader on a host that does not lead.
type Group interface {
	Identity() Identity
	Add(ctx context.Context, id uint64, addr string) (MemberResult, Status)
	Remove(ctx context.Context, id uint64) (MemberResult, Status)
}
