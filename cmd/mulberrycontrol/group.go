package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/coordination/quorum"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
)

// quorumGroup implements controlplane.Group with a quorum.Host.
type quorumGroup struct{ host *quorum.Host }

func (g quorumGroup) Identity() controlplane.Identity {
	st := g.host.Status()
	return controlplane.Identity{
		ID: st.ID, Blank: len(st.Members) == 0, Formed: st.Commit > 0 || st.Leader != 0, Voting: st.Voting,
	}
}

// memberRetryInterval is the delay before a refused change is retried within one call. A new leader
// considers a voter unresponsive until it receives the first response from it.
const memberRetryInterval = 20 * time.Millisecond

// retryWhileUnresponsive retries a change that is refused with MemberUnresponsive or MemberQuorum
// until ctx ends. It returns the result of the last attempt.
func retryWhileUnresponsive(ctx context.Context, change func() (controlplane.MemberResult, controlplane.Status)) (controlplane.MemberResult, controlplane.Status) {
	for {
		res, status := change()
		retryable := res.Reason == controlplane.MemberUnresponsive || res.Reason == controlplane.MemberQuorum
		if res.State != controlplane.MemberRefused || !retryable {
			return res, status
		}
		select {
		case <-ctx.Done():
			return res, status
		case <-time.After(memberRetryInterval):
		}
	}
}

// Add refuses a change that the log would start but not complete: a learner that is not promoted
// until an unresponsive voter has been removed.
func (g quorumGroup) Add(ctx context.Context, id uint64, addr string) (controlplane.MemberResult, controlplane.Status) {
	return retryWhileUnresponsive(ctx, func() (controlplane.MemberResult, controlplane.Status) { return g.add(ctx, id, addr) })
}

func (g quorumGroup) add(ctx context.Context, id uint64, addr string) (controlplane.MemberResult, controlplane.Status) {
	st := g.host.Status()
	if st.Role != quorum.Leader {
		return controlplane.MemberResult{}, controlplane.StatusNotLeader
	}
	if res := checkAdd(&st, id, addr); res.State == controlplane.MemberRefused {
		return res, controlplane.StatusCommitted
	}
	err := g.host.AddMember(ctx, quorum.Member{ID: id, Addr: addr})
	res, status := memberResult(err, controlplane.MemberCatchup)
	if unresponsive := g.host.Status().UnresponsiveVoter; res.State == controlplane.MemberWaiting && unresponsive != 0 {
		res.Reason, res.UnresponsiveVoter = controlplane.MemberUnresponsive, unresponsive
	}
	return res, status
}

// checkAdd returns a refusal if the member cannot be added, and an empty result if it can or if it is
// already a member.
func checkAdd(st *quorum.MemberStatus, id uint64, addr string) controlplane.MemberResult {
	for _, m := range st.Members {
		switch {
		case m.ID == id && m.Addr == addr:
			return controlplane.MemberResult{} // a repeated call continues the change
		case m.ID == id || m.Addr == addr:
			return refusedResult(controlplane.MemberInUse, "member %016x at %s has this identity or address; remove it first", m.ID, m.Addr)
		case m.Learner:
			return refusedResult(controlplane.MemberBusy, "member %016x at %s is being added", m.ID, m.Addr)
		}
	}
	if len(st.Members) >= maxMembers {
		return refusedResult(controlplane.MemberFull, "the group has %d members", len(st.Members))
	}
	if st.UnresponsiveVoter != 0 {
		res := refusedResult(controlplane.MemberUnresponsive, "member %016x does not answer; remove it first", st.UnresponsiveVoter)
		res.UnresponsiveVoter = st.UnresponsiveVoter
		return res
	}
	return controlplane.MemberResult{}
}

// Remove also succeeds if no member has the identity, because the call may be a repetition after a
// lost response.
func (g quorumGroup) Remove(ctx context.Context, id uint64) (controlplane.MemberResult, controlplane.Status) {
	return retryWhileUnresponsive(ctx, func() (controlplane.MemberResult, controlplane.Status) { return g.remove(ctx, id) })
}

func (g quorumGroup) remove(ctx context.Context, id uint64) (controlplane.MemberResult, controlplane.Status) {
	st := g.host.Status()
	if st.Role != quorum.Leader {
		return controlplane.MemberResult{}, controlplane.StatusNotLeader
	}
	return memberResult(g.host.RemoveMember(ctx, id), controlplane.MemberBusy)
}

// memberResult converts the error of a change to a result. waitReason is the reason reported while
// the change is still in progress.
func memberResult(err error, waitReason controlplane.MemberReason) (controlplane.MemberResult, controlplane.Status) {
	var res controlplane.MemberResult
	switch {
	case err == nil:
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) || errors.Is(err, quorum.ErrIndeterminate):
		res = controlplane.MemberResult{State: controlplane.MemberWaiting, Reason: waitReason, Text: err.Error()}
	case errors.Is(err, quorum.ErrNotLeader), errors.Is(err, quorum.ErrStopped):
		return res, controlplane.StatusNotLeader
	case errors.Is(err, quorum.ErrBusy):
		res = refusedResult(controlplane.MemberBusy, "%s", err)
	default:
		res = refusedResult(controlplane.MemberQuorum, "%s", err)
	}
	return res, controlplane.StatusCommitted
}

func refusedResult(reason controlplane.MemberReason, format string, args ...any) controlplane.MemberResult {
	return controlplane.MemberResult{State: controlplane.MemberRefused, Reason: reason, Text: fmt.Sprintf(format, args...)}
}
