package controlhost

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/quorum"
)

var (
	errNoGroup      = errors.New("this host has not joined a group yet")
	errNoLeader     = errors.New("no leader is known")
	errNotConfirmed = errors.New("the leader and a majority have not confirmed the read in time")
	errNotCommitted = errors.New("a majority has not stored the change in time, or the leader has changed")
	// errLeaderChanged is the cause if this host has become the leader after the log refused a change.
	errLeaderChanged = errors.New("the leader has changed")
	errNotAccepted   = errors.New("the leader takes no further changes now")
)

//go:generate ../bin/tools/stringer -type=Status -linecomment -output=status_string.go

// callTimeout bounds one operator request or join request. It is shorter than the 1 s after which
// operators try another host.
const callTimeout = 800 * time.Millisecond

// Status is the status of an operator request.
type Status uint8

// Statuses of a request.
const (
	// Done means that the change is in force and durable on a majority of the members.
	Done Status = iota // done
	// Conflict means that the base version of the change is not the current version.
	Conflict // conflict
	// Invalid means that the change was rejected for the reason in Result.Err.
	Invalid // invalid
	// NotLeader means that the request must be sent to the leader at Result.Leader.
	NotLeader // elsewhere
	// Unavailable means that no leader or no majority is reachable, or that it is unknown whether
	// the change will be committed. The request may be repeated.
	Unavailable // unavailable
)

// Result is the result of an operator request.
type Result struct {
	Status Status
	// Leader is the address at which other control hosts reach the leader. It is set for NotLeader.
	Leader string
	// Err is the reason of Invalid and of Unavailable.
	Err error
}

// replicatedLog is a replica of the log. quorum.Host implements it.
type replicatedLog interface {
	Propose(ctx context.Context, data []byte) (result []byte, status quorum.Status)
	Leader() (id uint64, addr string, self bool)
	Status() quorum.MemberStatus
}

// ApplyChange applies a change to the document. The same change may be sent again: if it has
// been accepted before, the result is Done.
func (h *Host) ApplyChange(ctx context.Context, c *document.Change) Result {
	res := h.applyChange(ctx, c)
	if res.Status == Unavailable {
		metrics.GetOrRegisterCounter("control.refused_changes", h.cfg.Registry).Inc(1)
	}
	return res
}

func (h *Host) applyChange(ctx context.Context, c *document.Change) Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := h.replica.Load()
	if r.machine.HasAccepted(c) {
		return Result{Status: Done}
	}
	if res, ok := isLeader(r.quorumHost); !ok {
		return res
	}
	state, _ := r.machine.Current()
	invalid := h.cfg.Validate(state, c)
	if c.BaseVersion != state.Version || c.Version <= state.Version || invalid != nil {
		return h.applyAfterReadBarrier(ctx, r, c)
	}
	return propose(ctx, r.quorumHost, document.Command{Change: c})
}

// applyAfterReadBarrier checks a change again after a read barrier and proposes it if it is valid.
// Without the barrier, a host that has lost its leadership without having noticed would reject the
// change on the basis of an outdated state.
func (h *Host) applyAfterReadBarrier(ctx context.Context, r *replica, c *document.Change) Result {
	if !r.quorumHost.ReadBarrier(ctx) {
		return Result{Status: Unavailable, Err: refusal(r.quorumHost, errNotConfirmed)}
	}
	state, _ := r.machine.Current()
	switch {
	case r.machine.HasAccepted(c):
		return Result{Status: Done}
	case c.BaseVersion != state.Version:
		return Result{Status: Conflict}
	case c.Version <= state.Version:
		return Result{Status: Invalid, Err: errStale}
	}
	if err := h.cfg.Validate(state, c); err != nil {
		return Result{Status: Invalid, Err: err}
	}
	return propose(ctx, r.quorumHost, document.Command{Change: c})
}

// SetDomainOut takes a failure domain out of service, or puts it back into service.
func (h *Host) SetDomainOut(ctx context.Context, name string, out bool) Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := h.replica.Load()
	if res, ok := isLeader(r.quorumHost); !ok {
		return res
	}
	return propose(ctx, r.quorumHost, document.Command{Domain: name, DomainOut: out})
}

// ReadState performs a linearizable read of the document and the failure domains. It returns an error
// if no majority confirms the read in time.
func (h *Host) ReadState(ctx context.Context) (*document.State, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := h.replica.Load()
	if len(r.quorumHost.Status().Members) == 0 || !r.quorumHost.ReadBarrier(ctx) {
		metrics.GetOrRegisterCounter("control.refused_reads", h.cfg.Registry).Inc(1)
		return nil, refusal(r.quorumHost, errNotConfirmed)
	}
	state, _ := r.machine.Current()
	return state, nil
}

// MemberCount returns the number of members of the group as this host knows it.
func (h *Host) MemberCount() int { return len(h.replica.Load().quorumHost.Status().Members) }

// IsLeader reports whether this host is the leader. If it is not, the result is NotLeader with the
// address of the leader, or Unavailable if no leader is known.
func (h *Host) IsLeader() (Result, bool) { return isLeader(h.replica.Load().quorumHost) }

// isLeader implements Host.IsLeader for one replica.
func isLeader(l replicatedLog) (Result, bool) {
	_, addr, self := l.Leader()
	switch {
	case self:
		return Result{}, true
	case addr != "":
		return Result{Status: NotLeader, Leader: addr}, false
	}
	return Result{Status: Unavailable, Err: refusal(l, errNoLeader)}, false
}

// refusal returns why a host can't serve a request now. The error otherwise is returned if the host
// takes part in the group and knows its leader.
func refusal(l replicatedLog, otherwise error) error {
	status := l.Status()
	switch {
	case status.Err != nil:
		return errors.Wrap(status.Err, "this host takes no part in the group")
	case len(status.Members) == 0:
		return errNoGroup
	case status.Leader == 0:
		return errNoLeader
	}
	return otherwise
}

// propose commits a command and translates its outcome.
func propose(ctx context.Context, l replicatedLog, c document.Command) Result {
	data, status := l.Propose(ctx, document.Encode(c))
	switch status {
	case quorum.Committed:
	case quorum.NotLeader:
		if res, leadsNow := isLeader(l); !leadsNow {
			return res
		}
		return Result{Status: Unavailable, Err: errLeaderChanged}
	case quorum.Indeterminate:
		return Result{Status: Unavailable, Err: refusal(l, errNotCommitted)}
	default:
		return Result{Status: Unavailable, Err: refusal(l, errNotAccepted)}
	}
	switch outcome := document.DecodeOutcome(data); outcome {
	case document.Accepted:
		return Result{Status: Done}
	case document.Conflict:
		return Result{Status: Conflict}
	case document.Stale:
		return Result{Status: Invalid, Err: errStale}
	default:
		return Result{Status: Invalid, Err: errMalformed}
	}
}
