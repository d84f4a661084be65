package quorum

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

// Guards against a member that discards its disk because of a removal that the next leader undoes.
func TestMemberStaysUntilRemovalIsCommitted(t *testing.T) {
	is := is.New(t)
	c := newTestLeader(t, faultInjection{})
	isMember := func(id uint64) bool {
		h := &Host{core: c}
		h.publishStatus()
		st := h.Status()
		return st.IsMember(id)
	}
	ack(c, 3)
	is.NoErr(c.removeMember(5))
	is.True(isMember(5))
	c.takeBatch()
	c.batchSynced()
	ack(c, 4)
	is.True(!isMember(5))
	is.True(isMember(4))
}

// Guards against a new leader that takes a lost voter for a live one, because the last contact of its
// peers starts at the election, and that changes the membership so that the group depends on the lost
// voter.
func TestUnansweredVoterIsNotAlive(t *testing.T) {
	is := is.New(t)
	c := newTestLeader(t, faultInjection{})
	ack(c, 3)
	for id, p := range c.peers {
		is.Equal(c.recentlyActive(id), p.responded)
	}
	inactive := 0
	for id := range c.peers {
		if !c.recentlyActive(id) {
			inactive++
		}
	}
	is.True(inactive > 0)
	faulty := newTestLeader(t, faultInjection{unsafeMemberChanges: true})
	for id := range faulty.peers {
		is.True(faulty.recentlyActive(id)) // without the rule
	}
	for _, p := range c.peers {
		p.responded = false
	}
	is.True(errors.Is(c.removeMember(5), ErrQuorum))
	is.True(c.unresponsiveVoter() != 0)
}

// Guards against a lost member that is replaced late, because a new leader counts from its election on,
// and against one that is taken for lost before it could respond to the new leader.
func TestSilenceBeforeElectionCounts(t *testing.T) {
	is := is.New(t)
	c := newTestLeader(t, faultInjection{})
	start := c.now
	c.step(Message{Kind: AppendRequest, From: 2, To: 1, Term: 5, Index: 3, LogTerm: 4})
	c.tick(start.Add(time.Second))
	for _, kind := range []MessageKind{PreVoteResponse, VoteResponse} {
		for _, id := range []uint64{3, 4} {
			c.step(Message{Kind: kind, From: id, To: 1, Term: 6})
		}
		c.takeBatch()
		c.batchSynced()
	}
	is.Equal(c.role, Leader)
	elected := c.now
	is.Equal(c.unresponsiveSince(2), elected)
	c.setTime(elected.Add(defaultElectionTimeoutMin))
	is.Equal(c.unresponsiveSince(2), start)   // the former leader: since its last heartbeat
	is.Equal(c.unresponsiveSince(5), elected) // since the first request for a vote
	is.Equal(c.unresponsiveSince(3), elected) // since its vote
	responded := c.now
	c.step(Message{Kind: AppendResponse, From: 2, To: 1, Term: 6, Index: 3})
	is.True(c.recentlyActive(2))
	c.setTime(responded.Add(time.Second))
	is.Equal(c.unresponsiveSince(2), responded)
	c.step(Message{Kind: AppendRequest, From: 3, To: 1, Term: 7, Index: 3, LogTerm: 4})
	is.Equal(len(c.unanswered), 0) // what it knew before it followed another leader no longer counts
}

// Guards against a member of a version that knows of no replacements, which takes the voters of both
// sets for one set.
func TestFormerVersionsRefuseReplacements(t *testing.T) {
	is := is.New(t)
	members := []Member{{ID: 1}, {ID: 2}, {ID: 3, Leaving: true}, {ID: 4, Joining: true}}
	encoded, err := encodeMembers(members)
	is.NoErr(err)
	decoded, err := decodeMembers(encoded)
	is.NoErr(err)
	is.Equal(decoded, members)
	var former []Member
	is.True(codec.Unmarshal(encoded, &former) != nil)
	encoded, err = encodeMembers(members[:2])
	is.NoErr(err)
	is.NoErr(codec.Unmarshal(encoded, &former))
	is.Equal(former, members[:2])
}

// Guards against a replacement that stays open after a change of leader or during a transfer of
// leadership, in which no other member could be changed, and against one that needs the voter that is away.
func TestReplacementIsCompleted(t *testing.T) {
	is := is.New(t)
	c := newTestLeader(t, faultInjection{})
	ack(c, 3)
	is.NoErr(c.addMember(Member{ID: 6}))
	sync := func(ids ...uint64) {
		if c.takeBatch() != nil {
			c.batchSynced()
		}
		for _, id := range ids {
			c.step(Message{Kind: AppendResponse, From: id, To: 1, Term: c.term(), Index: c.log.last()})
		}
	}
	is.True(errors.Is(c.replaceMember(5, 6), errBusy))
	sync(2, 3)
	is.True(errors.Is(c.replaceMember(5, 6), ErrNotCaughtUp))
	is.True(c.replaceMember(6, 5) != nil) // the wrong way round
	c.peers[6].match = c.log.last()
	is.NoErr(c.replaceMember(5, 6))
	is.True(errors.Is(c.removeMember(4), errBusy))
	sync(6)
	is.True(inReplacement(c.members())) // two of five and two of five
	c.transferTarget, c.transferDeadline = 2, c.now.Add(time.Minute)
	sync(2, 3)
	is.True(inReplacement(c.members())) // a transfer of leadership is in progress
	c.becomeFollower(c.term(), 0)
	c.startElection(false)
	sync()
	vote := func(id uint64) { c.step(Message{Kind: VoteResponse, From: id, To: 1, Term: c.term()}) }
	vote(2)
	vote(6)
	is.True(c.role != Leader) // three of the new set, two of the old one
	vote(3)
	is.Equal(c.role, Leader)
	is.True(inReplacement(c.members())) // until the first entry of the term is committed
	c.transferTarget, c.transferDeadline = 2, c.now.Add(time.Millisecond)
	sync(2, 3)
	is.True(inReplacement(c.members()))
	c.tick(c.now.Add(defaultHeartbeatInterval)) // the transfer has ended
	is.True(!inReplacement(c.members()))
	is.True(!c.isVoter(5))
	is.True(c.isVoter(6))
}
