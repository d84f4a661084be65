package controlplane

import "context"

//go:generate stringer -type=Status -linecomment -output=log_string.go

// Status is the outcome of a call that changes replicated state.
type Status uint8

// Outcomes of a call.
const (
	// StatusCommitted means that the command is durable at a quorum and applied.
	StatusCommitted Status = iota // committed
	// StatusNotLeader means that this host does not lead; nothing was done.
	StatusNotLeader // notleader
	// StatusUnavailable means that the command is not in the log and never
	// will be.
	StatusUnavailable // unavailable
	// StatusIndeterminate means that the command may be in the log.
	StatusIndeterminate // indeterminate
)

// Log is the replicated log under a Server.
type Log interface {
	// Propose replicates data and returns the result of applying it.
	Propose(ctx context.Context, data []byte) (result []byte, status Status)
	// ReadBarrier waits until the applied state includes every command that was committed before the
	// call, and reports whether a quorum confirmed that.
	ReadBarrier(ctx context.Context) bool
	// Leader returns the known leader. The address is empty when there is none.
	Leader() (id uint64, addr string, self bool)
	// Members returns the control hosts as this host knows them.
	Members() []Member
}

// Member is one control host.
type Member struct {
	ID   uint64 `cbor:"i"`
	Addr string `cbor:"a"`
	// Leader is true for the leader that the answering host knows.
	Leader bool `cbor:"l,omitempty"`
	// Learner is true for a member without a vote.
	Learner bool `cbor:"n,omitempty"`
	// Self is true for the answering host.
	Self bool `cbor:"s,omitempty"`
}
