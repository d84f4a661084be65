package quorum

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/codec"
	"github.com/mulberrylink/mulberrylink/state/storage"
)

// view is the membership from one index on.
type membership struct {
	index   uint64
	members []Member
}

func encodeMembers(members []Member) ([]byte, error) { return codec.Marshal(members) }

func decodeMembers(b []byte) ([]Member, error) {
	if len(b) == 0 {
		return nil, nil
	}
	var members []Member
	return members, codec.Unmarshal(b, &members)
}

// loadMembers finds the membership in the snapshot, or the initial one, and in
// the log.
func (c *core) loadMembers() error {
	base := c.hard.Initial
	if c.snapshot.Index > 0 {
		base = c.snapshot.Members
	}
	members, err := decodeMembers(base)
	if err != nil {
		return errors.Wrap(err, "members")
	}
	c.memberships = []membership{{index: c.log.base, members: members}}
	for _, e := range c.log.entries {
		if _, err := decodeEntryMembers(e); err != nil {
			return errors.Wrapf(err, "members in entry %d", e.Index)
		}
		c.recordMembership(e)
	}
	return nil
}

// decodeEntryMembers returns the members that an entry holds, if it holds any.
func decodeEntryMembers(e storage.Entry) ([]Member, error) {
	if e.Kind != entryMembers {
		return nil, nil
	}
	return decodeMembers(e.Data)
}

// noteMembers puts an entry with members in force. That happens when it is
// appended, not when it is committed. The entry was decoded before.
func (c *core) recordMembership(e storage.Entry) {
	if members, err := decodeEntryMembers(e); err == nil && e.Kind == entryMembers {
		c.memberships = append(c.memberships, membership{index: e.Index, members: members})
	}
}

// cutMembers forgets memberships from index on.
func (c *core) truncateMemberships(from uint64) {
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= from {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

func (c *core) members() []Member { return c.memberships[len(c.memberships)-1].members }

// membersAt returns the membership in force at index.
func (c *core) membersAt(index uint64) []Member {
	members := c.memberships[0].members
	for _, v := range c.memberships {
		if v.index <= index {
			members = v.members
		}
	}
	return members
}

func (c *core) member(id uint64) (Member, bool) {
	i := slices.IndexFunc(c.members(), func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return c.members()[i], true
}

func (c *core) isVoter(id uint64) bool {
	m, ok := c.member(id)
	return ok && !m.Learner
}

func (c *core) addr(id uint64) string {
	m, _ := c.member(id)
	return m.Addr
}

func (c *core) voters() int {
	n := 0
	for _, m := range c.members() {
		if !m.Learner {
			n++
		}
	}
	return n
}

func (c *core) quorum() int { return c.voters()/2 + 1 }

// quorumValue returns the highest value that a majority of the voters reaches.
func (c *core) quorumValue(valueOf func(id uint64) uint64) uint64 {
	var values []uint64
	for _, m := range c.members() {
		if !m.Learner {
			values = append(values, valueOf(m.ID))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-c.quorum()]
}

// changeMembers appends a new membership. Only one change is under way at a
// time, and the leader first commits an entry of its own term: otherwise two
// leaders could use memberships without a common majority.
func (c *core) changeMembers(members []Member) error {
	if err := c.checkChangeAllowed(); err != nil {
		return err
	}
	if !slices.ContainsFunc(members, func(m Member) bool { return !m.Learner }) {
		return errors.New("a group needs at least one voting member")
	}
	data, err := encodeMembers(members)
	if err != nil {
		return err
	}
	c.appendEntry(storage.Entry{Kind: entryMembers, Data: data})
	return nil
}

// mayChange returns why no change of the membership may start now, or nil.
func (c *core) checkChangeAllowed() error {
	switch {
	case c.role != Leader:
		return errNotLeader
	case c.transferTarget != 0:
		return errBusy
	case c.faults.unsafeMemberChanges:
		return nil
	case c.commit < c.termStart || c.memberships[len(c.memberships)-1].index > c.commit:
		return errBusy
	}
	return nil
}

// addMember adds a learner.
func (c *core) addMember(m Member) error {
	if m.ID == 0 {
		return errors.New("a member needs an identity")
	}
	if _, ok := c.member(m.ID); ok {
		return errors.Newf("member %016x already exists", m.ID)
	}
	m.Learner = true
	return c.changeMembers(append(slices.Clone(c.members()), m))
}

// removeMember removes a voter or a learner.
func (c *core) removeMember(id uint64) error {
	if _, ok := c.member(id); !ok {
		return errors.Newf("member %016x does not exist", id)
	}
	if err := c.checkChangeAllowed(); err != nil {
		return err
	}
	keep := slices.DeleteFunc(slices.Clone(c.members()), func(m Member) bool { return m.ID == id })
	if active, voters := c.activeVoters(keep); active <= voters/2 {
		return errors.Wrapf(ErrQuorum, "without member %016x only %d of %d voters would answer", id, active, voters)
	}
	return c.changeMembers(keep)
}

// promoteReady gives a vote to the first learner that has synced everything
// that is committed. Its acknowledgements are sent only after a sync.
func (c *core) promoteLearner() {
	for i, m := range c.members() {
		p := c.peers[m.ID]
		if !m.Learner || p == nil || p.match < c.commit || p.match < c.termStart || c.unresponsiveVoter() != 0 {
			continue
		}
		next := slices.Clone(c.members())
		next[i].Learner = false
		_ = c.changeMembers(next) // retried with the next acknowledgement
		return
	}
}

// silentVoter returns a voter that has to be removed before another one is
// added, or 0. With three voters of which one is lost, a fourth would raise
// the majority to three: the group would then depend on the new member, and
// its loss right after the repair would block the group for good.
func (c *core) unresponsiveVoter() uint64 {
	if active, voters := c.activeVoters(c.members()); active > (voters+1)/2 {
		return 0
	}
	for _, m := range c.members() {
		if !m.Learner && !c.recentlyActive(m.ID) {
			return m.ID
		}
	}
	return 0
}

// aliveVoters counts the voters among members and those of them that answer.
func (c *core) activeVoters(members []Member) (active, voters int) {
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		if c.recentlyActive(m.ID) {
			active++
		}
	}
	return active, voters
}

// alive reports whether a member answered the leader recently. The grace that a
// new leader gives its peers does not count: a change of the members within it
// would take a lost voter for a live one.
func (c *core) recentlyActive(id uint64) bool {
	p := c.peers[id]
	return id == c.id || p != nil && (p.responded || c.faults.unsafeMemberChanges) && c.now.Sub(p.lastContact) < c.timing.electionTimeoutMin
}

// membersCommitted acts on a committed change: a leader that is no longer a
// member steps down after its followers have learned of the commit.
func (c *core) stepDownIfRemoved() {
	if _, ok := c.member(c.id); !ok && c.memberships[len(c.memberships)-1].index <= c.commit {
		c.broadcastAppend(true)
		c.becomeFollower(c.term(), 0)
	}
}
