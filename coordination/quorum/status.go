package quorum

import (
	"context"
	"slices"
	"time"

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
	Members []Member // in force, possibly before they are committed
	// CommittedMembers differ from Members while a change of the members is not committed.
	CommittedMembers []Member
	// LearnerMatch holds the index of the highest synced entry of each learner. Only the leader fills
	// it in.
	LearnerMatch map[uint64]uint64
	// Voting reports whether this member takes part in elections. It is false for a learner, while the
	// disk refuses writes and during a sync that takes longer than an election timeout.
	Voting bool
	// UnresponsiveVoter is a voter that has to be removed before a learner is promoted, or 0. Only the
	// leader fills it in.
	UnresponsiveVoter uint64
	// Unresponsive holds the members that have not responded to the leader within the minimum election
	// timeout, and since when they have not answered. Only the leader fills it in.
	Unresponsive map[uint64]time.Time
	// LastHeard holds when the last message of any kind came from the members in Unresponsive, if one has.
	LastHeard map[uint64]time.Time
	// SyncingSince is when the sync in flight began, zero if there is none. Until it ends, the member
	// applies no later entry.
	SyncingSince time.Time
	// Err is the reason why the member does not take part in the group, such as ErrStopped or a disk
	// error. It is nil while the member takes part, and again once a write that the disk refused has
	// succeeded.
	Err error
}

// IsMember reports whether id belongs to the group or a change that removes it may still be undone:
// the next leader may not hold an entry that is not committed.
func (s *MemberStatus) IsMember(id uint64) bool {
	hasID := func(m Member) bool { return m.ID == id }
	return slices.ContainsFunc(s.Members, hasID) || slices.ContainsFunc(s.CommittedMembers, hasID)
}

// Status returns the status that the control goroutine published last.
func (h *Host) Status() MemberStatus { return *h.status.Load() }

func (h *Host) publishStatus() {
	c := h.core
	st := &MemberStatus{
		ID: c.id, Term: c.term(), Role: c.role, Leader: c.leader,
		Commit: c.commit, Applied: h.applied, Members: c.members(), CommittedMembers: c.membersAt(c.commit),
		Voting: h.failure == nil && c.isVoter(c.id) && !c.syncStalled(), Err: h.failure,
	}
	if c.inFlight != nil {
		st.SyncingSince = c.inFlightSince
	}
	if c.role == Leader {
		st.UnresponsiveVoter = c.unresponsiveVoter()
		for _, m := range st.Members {
			if !c.recentlyActive(m.ID) {
				st.markUnresponsive(m.ID, c.unresponsiveSince(m.ID), c.heard[m.ID])
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

func (s *MemberStatus) markUnresponsive(id uint64, since, heard time.Time) {
	if s.Unresponsive == nil {
		s.Unresponsive, s.LastHeard = map[uint64]time.Time{}, map[uint64]time.Time{}
	}
	s.Unresponsive[id] = since
	if !heard.IsZero() {
		s.LastHeard[id] = heard
	}
}

// AddLearner adds a member as a learner and returns when the addition is committed. The learner becomes
// a voter by itself, as described for AddMember. The call may be repeated.
func (h *Host) AddLearner(ctx context.Context, m Member) error {
	return h.changeMembership(ctx, h.proposeMember(m), func() bool { _, ok := h.core.member(m.ID); return ok })
}

// AddMember adds a member as a learner and returns when it has become a voter. If ctx ends earlier,
// a member that was added still becomes a voter later. The call may be repeated. A lost member must
// be removed first: a learner is not promoted while a voter is unresponsive and the group's quorum
// would depend on the learner.
func (h *Host) AddMember(ctx context.Context, m Member) error {
	return h.changeMembership(ctx, h.proposeMember(m), func() bool { return h.core.isVoter(m.ID) })
}

func (h *Host) proposeMember(m Member) func() error {
	return func() error {
		if existing, ok := h.core.member(m.ID); ok && existing.Addr == m.Addr {
			return nil
		}
		return h.core.addMember(m)
	}
}

// RemoveMember removes a member and returns when the change is committed. The call may be repeated.
func (h *Host) RemoveMember(ctx context.Context, id uint64) error {
	propose := func() error {
		if _, ok := h.core.member(id); !ok {
			return nil
		}
		return h.core.removeMember(id)
	}
	return h.changeMembership(ctx, propose, func() bool { _, ok := h.core.member(id); return !ok })
}

// ReplaceMember replaces a voter by a learner and returns when the change is committed. The error is
// ErrNotCaughtUp while the learner lacks committed entries. The call may be repeated.
func (h *Host) ReplaceMember(ctx context.Context, voter, learner uint64) error {
	inForce := func() bool {
		_, found := h.core.member(voter)
		return !found && h.core.isVoter(learner)
	}
	propose := func() error {
		if inForce() || h.core.inReplacementOf(voter, learner) {
			return nil
		}
		return h.core.replaceMember(voter, learner)
	}
	return h.changeMembership(ctx, propose, inForce)
}

// changeMembership calls propose in the control goroutine until it succeeds, and then waits until
// inForce holds for a committed membership.
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
			return errors.Wrapf(ctx.Err(), "membership change (unresponsive voter %016x)", unresponsive)
		}
	}
}
