package quorum

import (
	"context"

	"github.com/cockroachdb/errors"
)

// MemberStatus is a member's view of itself and of its group.
type MemberStatus struct {
	ID      uint64
	Term    uint64
	Role    Role
	Leader  uint64
	Commit  uint64
	Applied uint64
	Members []Member
	// LearnerMatch holds the index of the highest synced entry of each learner. Only the leader fills
	// it in.
	LearnerMatch map[uint64]uint64
	// Voting tells whether this member takes part in elections. It is false
	// for a learner, after a disk error and during a sync that takes longer than
	// an election timeout.
	Voting bool
	// UnresponsiveVoter is a voter that has to be removed before another one is promoted, or 0. Only
	// the leader fills it in.
	UnresponsiveVoter uint64
	// Unresponsive lists the members that have not responded to the leader within an election
	// timeout. Only the leader fills it in.
	Unresponsive []uint64
	// Err is why it stopped taking part: a disk error or Stop.
	Err error
}

// Status returns the status as of the last step of the control goroutine.
func (h *Host) Status() MemberStatus { return *h.status.Load() }

func (h *Host) publish() {
	c := h.core
	st := &MemberStatus{
		ID: c.id, Term: c.term(), Role: c.role, Leader: c.leader,
		Commit: c.commit, Applied: h.applied, Members: c.members(),
		Voting: h.failure == nil && c.isVoter(c.id) && !c.syncStalled(), Err: h.failure,
	}
	if c.role == Leader {
		st.UnresponsiveVoter = c.unresponsiveVoter()
		for _, m := range st.Members {
			if !c.recentlyActive(m.ID) {
				st.Unresponsive = append(st.Unresponsive, m.ID)
			}
		}
	}
	for _, m := range st.Members {
		if p := c.peers[m.ID]; m.Learner && p != nil {
			if st.LearnerMatch == nil {
				st.LearnerMatch = map[uint64]uint64{}
			}
			st.LearnerMatch[m.ID] = p.match
		}
	}
	h.status.Store(st)
}

// AddMember adds a member and returns when it has its vote. When ctx ends
// earlier, a member that was added still gets its vote later. The call may be
// repeated. A lost member must be removed first: while a voter is silent and
// the group would depend on the new one, the new one gets no vote.
func (h *Host) AddMember(ctx context.Context, m Member) error {
	add := func() error {
		if existing, ok := h.core.member(m.ID); ok && existing.Addr == m.Addr {
			return nil
		}
		return h.core.addMember(m)
	}
	return h.changeMembership(ctx, add, func() bool { return h.core.isVoter(m.ID) })
}

// RemoveMember removes a member and returns when that is committed. The call
// may be repeated.
func (h *Host) RemoveMember(ctx context.Context, id uint64) error {
	remove := func() error {
		if _, ok := h.core.member(id); !ok {
			return nil
		}
		return h.core.removeMember(id)
	}
	return h.changeMembership(ctx, remove, func() bool { _, ok := h.core.member(id); return !ok })
}

// change runs start in the control goroutine until it succeeds and then waits
// until reached holds for a committed membership.
func (h *Host) changeMembership(ctx context.Context, propose func() error, inForce func() bool) error {
	started := false
	for {
		var err error
		var done, isLeader bool
		var unresponsive uint64
		callErr := h.call(ctx, func() {
			if isLeader = h.failure == nil && h.core.role == Leader; isLeader && !started {
				err = propose()
			}
			committed := h.core.memberships[len(h.core.memberships)-1].index <= h.core.commit
			done = err == nil && committed && inForce()
			unresponsive = h.core.unresponsiveVoter()
		})
		switch {
		case callErr != nil:
			return callErr
		case done:
			return nil
		case !isLeader && started:
			return ErrIndeterminate
		case !isLeader:
			return ErrNotLeader
		case err != nil && !errors.Is(err, errBusy):
			return err
		}
		started = started || err == nil
		if !sleep(ctx, changePollInterval) {
			return errors.Wrapf(ctx.Err(), "change of the membership (silent voter %016x)", unresponsive)
		}
	}
}
