package controlhost

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink/coordination/quorum"
	"github.com/mulberrylink/mulberrylink/coordination/roster"
	"github.com/mulberrylink/mulberrylink/state/codec"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

const (
	methodLeave = "roster/leave"

	// leaveTimeout bounds how long a stop waits for the removal from the group, and leaveRetryDelay is
	// the pause before the next try, for example while a new leader is elected.
	leaveTimeout    = time.Second
	leaveRetryDelay = 20 * time.Millisecond
	// handoverDelay is the time that a host which leads again gives others to leave.
	handoverDelay = 200 * time.Millisecond
)

// leaveRequest asks the leader to remove a voter whose host stops.
type leaveRequest struct {
	ID uint64 `cbor:"i"`
}

// leaveReply is the reply to a leaveRequest. Done is true if the identity is not a member any more or stays
// one; otherwise the request may be repeated.
type leaveReply struct {
	Done bool `cbor:"d,omitempty"`
}

// leaveGroup removes this host from a group that is above its target size: its successor has joined
// before it stops. A voter that is gone for good would count towards the majority until the leader
// has noticed, and the group would bear fewer losses meanwhile.
func (h *Host) leaveGroup(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	r := h.replica.Load()
	for transferred := false; ctx.Err() == nil; transferred = true {
		status := r.quorumHost.Status()
		if status.Err != nil || len(status.Members) <= 1 {
			return
		}
		if transferred && status.Role == quorum.Leader {
			// The host that took over stops as well. It is removed before this one hands over again.
			sleep(ctx, handoverDelay)
		}
		r.quorumHost.TransferLeadership(ctx)
		if _, addr, self := r.quorumHost.Leader(); addr != "" && !self {
			done, err := h.sendLeaveRequest(ctx, addr, status.ID)
			if done {
				return
			}
			h.cfg.Log.Debug().Str("host", addr).Err(err).Msg("leave request failed")
		}
		sleep(ctx, leaveRetryDelay)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (h *Host) sendLeaveRequest(ctx context.Context, addr string, id uint64) (done bool, err error) {
	conn, err := h.pool.Dial(ctx, addr)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	var reply leaveReply
	err = conn.Invoke(ctx, methodLeave, codec.Encoding{}, &leaveRequest{ID: id}, &reply)
	return reply.Done, err
}

func (h *Host) leaveMethod() (string, rpc.Handler) {
	return methodLeave, func(stream drpc.Stream) error {
		var req leaveRequest
		if err := stream.MsgRecv(&req, codec.Encoding{}); err != nil {
			return err
		}
		return stream.MsgSend(&leaveReply{Done: h.handleLeave(stream.Context(), req.ID)}, codec.Encoding{})
	}
}

// handleLeave removes a voter that stops if this host leads and the group is above its target size.
// Requests are handled one at a time, so that hosts that stop together do not leave too few voters.
func (h *Host) handleLeave(ctx context.Context, id uint64) (done bool) {
	if !h.changeMu.TryLock() {
		return false
	}
	defer h.changeMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := h.replica.Load()
	status := r.quorumHost.Status()
	if status.Role != quorum.Leader || !r.quorumHost.ReadBarrier(ctx) {
		return false
	}
	status = r.quorumHost.Status()
	switch roster.MayLeave(rosterMembers(&status), id, h.cfg.GroupSize) {
	case roster.Stay:
		return true
	case roster.Wait:
		return false
	case roster.LeaveNow:
	}
	h.joiners.forget(id)
	err := r.quorumHost.RemoveMember(ctx, id)
	h.cfg.Log.Info().Str("action", roster.Remove.String()).Str("cause", roster.Stopped.String()).
		Uint64("identity", id).Err(err).Msg("group of control hosts changed")
	return err == nil
}

// rosterMembers returns the members of the group for package roster. The new voter of a replacement in
// progress counts as a learner until the old one has left, but is not given up: the removal would take
// place after the replacement, when it is a voter.
func rosterMembers(status *quorum.MemberStatus) []roster.Member {
	members := make([]roster.Member, len(status.Members))
	for i, m := range status.Members {
		members[i] = roster.Member{ID: m.ID, Addr: m.Addr, Learner: m.Learner || m.Joining}
		if !m.Joining {
			members[i].UnresponsiveSince = status.Unresponsive[m.ID]
		}
	}
	return members
}
