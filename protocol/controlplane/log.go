package controlplane

import "context"

//go:generate stringer -type=Status -linecomment -output=log_string.go

// Status is the outcome of a call to a control host.
type Status uint8

// Outcomes of calls.
const (
	// StatusCommitted means that the command is durable at a quorum and applied, or that a call
	// without a command succeeded.
	StatusCommitted Status = iota // committed
	// StatusNotLeader means that this host is not the leader. The call had no effect.
	StatusNotLeader // notleader
	// StatusUnavailable means that the command is not in the log and never will be, or that the host
	// could not serve a read.
	StatusUnavailable // unavailable
	// StatusIndeterminate means that the command may be in the log.
	StatusIndeterminate // indeterminate
)

// Log is the replicated log that a Server proposes commands to.
type Log interface {
	// Propose replicates data. The result of applying it is valid if status is StatusCommitted.
	Propose(ctx context.Context, data []byte) (result []byte, status Status)
	// ReadBarrier waits until the applied state includes every command that was committed before the
	// call, and reports whether a quorum confirmed that.
	ReadBarrier(ctx context.Context) bool
	// Leader returns the identity and address of the known leader and whether it is this host. The
	// address is empty if no leader is known.
	Leader() (id uint64, addr string, self bool)
	// Members returns the control hosts as this host knows them.
	Members() []Member
}

// Member is one control host.
type Member struct {
	ID   uint64 `cbor:"i"`
	Addr string `cbor:"a"`
	// Leader is true for the leader known to the responding host.
	Leader bool `cbor:"l,omitempty"`
	// Learner is true for a member without a vote.
	Learner bool `cbor:"n,omitempty"`
	// Self is true for the responding host.
	Self bool `cbor:"s,omitempty"`
}
