package controlhost

import (
	"context"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/quorum"
)

//go:generate ../bin/tools/stringer -type=Status -linecomment -output=status_string.go

// callTime bounds one call. Operators ask another host after a second.
const callTime = 800 * time.Millisecond

// Status is what became of a call of an operator.
type Status uint8

// Outcomes of a call.
const (
	// Done means that the call is in force and durable at a majority.
	Done Status = iota // done
	// Conflict means that another version is the current one.
	Conflict // conflict
	// Invalid means that the change may not be made; Result.Err says why.
	Invalid // invalid
	// NotLeader means that the request must be sent to the leader at Result.Leader.
	NotLeader // elsewhere
	// Unavailable means that there is no majority in reach, or that it is not
	// known whether the call will be in force. It may be repeated.
	Unavailable // unavailable
)

// Result is the outcome of a call.
type Result struct {
	Status Status
	// Leader is the address of the leader as control hosts know it.
	Leader string
	Err    error
}

// ApplyChange applies a change to the document. The same change may be sent again: if it has
// been accepted before, the result is Done.
func (h *Host) ApplyChange(ctx context.Context, c *document.Change) Result {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	s := h.store.Load()
	if s.machine.HasAccepted(c) {
		return Result{Status: Done}
	}
	if res, ok := leads(s.host); !ok {
		return res
	}
	state, _ := s.machine.Current()
	invalid := h.cfg.Validate(state, c)
	if c.BaseVersion != state.Version || c.Version <= state.Version || invalid != nil {
		return h.refuse(ctx, s, c)
	}
	return h.propose(ctx, s, document.Command{Change: c})
}

// refuse tells why a change is refused, on the newest state: this host may have
// lost its leadership without having noticed.
func (h *Host) refuse(ctx context.Context, s *store, c *document.Change) Result {
	if !s.host.ReadBarrier(ctx) {
		return Result{Status: Unavailable}
	}
	state, _ := s.machine.Current()
	switch {
	case s.machine.HasAccepted(c):
		return Result{Status: Done}
	case c.BaseVersion != state.Version:
		return Result{Status: Conflict}
	case c.Version <= state.Version:
		return Result{Status: Invalid, Err: errStale}
	}
	if err := h.cfg.Validate(state, c); err != nil {
		return Result{Status: Invalid, Err: err}
	}
	return h.propose(ctx, s, document.Command{Change: c})
}

// SetDomainOut takes a failure domain out of service, or puts it back into service.
func (h *Host) SetDomainOut(ctx context.Context, name string, out bool) Result {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	s := h.store.Load()
	if res, ok := leads(s.host); !ok {
		return res
	}
	return h.propose(ctx, s, document.Command{Domain: name, DomainOut: out})
}

// ReadState performs a linearizable read of the document and the failure domains. It returns false
// if no majority confirms the read in time.
func (h *Host) ReadState(ctx context.Context) (*document.State, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	s := h.store.Load()
	if len(s.host.Status().Members) == 0 || !s.host.ReadBarrier(ctx) {
		return nil, false
	}
	state, _ := s.machine.Current()
	return state, true
}

// MemberCount returns the number of members of the group as this host knows it.
func (h *Host) MemberCount() int { return len(h.store.Load().host.Status().Members) }

// IsLeader reports whether this host is the leader. If it is not, the result is NotLeader with the
// address of the leader, or Unavailable if no leader is known.
func (h *Host) IsLeader() (Result, bool) { return leads(h.store.Load().host) }

func leads(host *quorum.Host) (Result, bool) {
	_, addr, self := host.Leader()
	switch {
	case self:
		return Result{}, true
	case addr != "":
		return Result{Status: NotLeader, Leader: addr}, false
	}
	return Result{Status: Unavailable}, false
}

func (h *Host) propose(ctx context.Context, s *store, c document.Command) Result {
	data, status := s.host.Propose(ctx, document.Encode(c))
	switch status {
	case quorum.Committed:
	case quorum.NotLeader:
		res, _ := leads(s.host)
		return res
	default:
		return Result{Status: Unavailable}
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
