package quorum

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/codec"
	"github.com/mulberrylink/mulberrylink/state/storage"
)

// membership holds the members of the group from a log index on.
type membership struct {
	index   uint64
	members []Member
}

// jointMembers is the encoded form of a membership with a replacement in progress. Versions that know
// of no replacements can't decode it: they neither accept the entry nor open a log that holds it.
type jointMembers struct {
	Joint []Member `cbor:"j"`
}

func encodeMembers(members []Member) ([]byte, error) {
	if inReplacement(members) {
		return codec.Marshal(jointMembers{Joint: members})
	}
	return codec.Marshal(members)
}

func decodeMembers(b []byte) ([]Member, error) {
	if len(b) == 0 {
		return nil, nil
	}
	var joint jointMembers
	if codec.Unmarshal(b, &joint) == nil {
		return joint.Joint, nil
	}
	var members []Member
	return members, codec.Unmarshal(b, &members)
}

// loadMemberships loads the memberships of the snapshot, or the initial one without a snapshot, and
// of the log entries.
func (c *core) loadMemberships() error {
	encoded := c.hard.Initial
	if c.snapshot.Index > 0 {
		encoded = c.snapshot.Members
	}
	members, err := decodeMembers(encoded)
	if err != nil {
		return errors.Wrap(err, "decode members")
	}
	c.memberships = []membership{{index: c.log.base, members: members}}
	for _, e := range c.log.entries {
		if _, err := decodeEntryMembers(e); err != nil {
			return errors.Wrapf(err, "decode members in entry %d", e.Index)
		}
		c.recordMembership(e)
	}
	return nil
}

// decodeEntryMembers returns the members of a membership entry, and nil for other kinds.
func decodeEntryMembers(e storage.Entry) ([]Member, error) {
	if e.Kind != entryMembers {
		return nil, nil
	}
	return decodeMembers(e.Data)
}

// recordMembership puts the membership of a membership entry in force. A membership is in force as
// soon as it is appended, not when it is committed. Callers have checked that the entry decodes.
func (c *core) recordMembership(e storage.Entry) {
	if members, err := decodeEntryMembers(e); err == nil && e.Kind == entryMembers {
		c.memberships = append(c.memberships, membership{index: e.Index, members: members})
	}
}

// truncateMemberships drops the memberships from an index on, except for the oldest one.
func (c *core) truncateMemberships(from uint64) {
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= from {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

// members returns the membership in force.
func (c *core) members() []Member { return c.memberships[len(c.memberships)-1].members }

// membersAt returns the membership that is in force at index.
func (c *core) membersAt(index uint64) []Member {
	members := c.memberships[0].members
	for _, ms := range c.memberships {
		if ms.index <= index {
			members = ms.members
		}
	}
	return members
}

func (c *core) member(id uint64) (Member, bool) {
	i := c.memberPosition(id)
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

func (c *core) voterCount() int {
	n := 0
	for _, m := range c.members() {
		if !m.Learner {
			n++
		}
	}
	return n
}

// inReplacement reports whether members hold a replacement in progress.
func inReplacement(members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Leaving || m.Joining })
}

// voterSets returns the sets of voters of which a majority each must agree: one, or the old and the
// new one while a replacement is in progress.
func (c *core) voterSets(members []Member) [][]uint64 {
	var former, next []uint64
	for _, m := range members {
		if !m.Learner && !m.Joining {
			former = append(former, m.ID)
		}
		if !m.Learner && !m.Leaving {
			next = append(next, m.ID)
		}
	}
	if !inReplacement(members) || c.faults.newVotersOnly {
		return [][]uint64{next}
	}
	return [][]uint64{former, next}
}

// haveMajority reports whether a majority of each set of voters fulfills holds.
func (c *core) haveMajority(members []Member, holds func(id uint64) bool) bool {
	for _, set := range c.voterSets(members) {
		count := 0
		for _, id := range set {
			if holds(id) {
				count++
			}
		}
		if count <= len(set)/2 {
			return false
		}
	}
	return true
}

// quorumValue returns the highest value that a majority of each set of voters has reached.
func (c *core) quorumValue(valueOf func(id uint64) uint64) uint64 {
	var lowest uint64
	for i, set := range c.voterSets(c.members()) {
		values := make([]uint64, len(set))
		for j, id := range set {
			values[j] = valueOf(id)
		}
		if len(values) == 0 {
			return 0
		}
		slices.Sort(values)
		if reached := values[(len(values)-1)/2]; i == 0 || reached < lowest {
			lowest = reached
		}
	}
	return lowest
}

// changeMembers appends a new membership. Only one change may be in progress at a time, and the
// leader must have committed an entry of its own term: otherwise two leaders could use memberships
// whose majorities don't overlap.
func (c *core) changeMembers(members []Member) error {
	if err := c.checkChangeAllowed(); err != nil {
		return err
	}
	if !slices.ContainsFunc(members, func(m Member) bool { return !m.Learner }) {
		return errors.New("a group needs at least one voting member")
	}
	return c.appendMembers(members)
}

func (c *core) appendMembers(members []Member) error {
	data, err := encodeMembers(members)
	if err != nil {
		return err
	}
	c.appendEntry(storage.Entry{Kind: entryMembers, Data: data})
	return nil
}

// checkChangeAllowed returns an error if no membership change may start now.
func (c *core) checkChangeAllowed() error {
	switch {
	case c.role != Leader:
		return errNotLeader
	case c.transferTarget != 0:
		return errBusy
	case c.faults.unsafeMemberChanges:
		return nil
	case !c.lastChangeCommitted() || inReplacement(c.members()):
		return errBusy
	}
	return nil
}

// lastChangeCommitted reports whether this leader has committed an entry of its own term and the
// membership in force.
func (c *core) lastChangeCommitted() bool {
	return c.commit >= c.termStart && c.memberships[len(c.memberships)-1].index <= c.commit
}

// replaceMember begins the replacement of a voter by a learner. From now on a majority of the old set
// of voters and one of the new set decide together (joint consensus, section 6 of the Raft paper), so
// that neither of the two members is needed while the others are a majority of both. The replacement
// ends with finishReplacement.
func (c *core) replaceMember(voter, learner uint64) error {
	if err := c.checkChangeAllowed(); err != nil {
		return err
	}
	leaving, joining := c.memberPosition(voter), c.memberPosition(learner)
	if leaving < 0 || joining < 0 || c.members()[leaving].Learner || !c.members()[joining].Learner {
		return errors.Newf("member %016x is no voter that learner %016x could replace", voter, learner)
	}
	if p := c.peers[learner]; p == nil || !c.hasCaughtUp(p) {
		return ErrNotCaughtUp
	}
	next := slices.Clone(c.members())
	next[leaving].Leaving = true
	next[joining].Learner, next[joining].Joining = false, true
	if !c.haveMajority(next, c.recentlyActive) {
		return errors.Wrapf(ErrQuorum, "too few voters are responsive to replace %016x by %016x", voter, learner)
	}
	return c.appendMembers(next)
}

// finishReplacement ends a committed replacement with the new set of voters. Each leader that finds one
// completes it, also if the voter that leaves has come back: the new one has all committed entries.
func (c *core) finishReplacement() {
	if c.role != Leader || c.transferTarget != 0 || !inReplacement(c.members()) || !c.lastChangeCommitted() {
		return
	}
	var next []Member
	for _, m := range c.members() {
		if !m.Leaving {
			m.Joining = false
			next = append(next, m)
		}
	}
	_ = c.appendMembers(next) // members that were decoded can be encoded
}

// inReplacementOf reports whether the replacement of a voter is in progress.
func (c *core) inReplacementOf(voter, learner uint64) bool {
	v, _ := c.member(voter)
	l, _ := c.member(learner)
	return v.Leaving && l.Joining
}

func (c *core) memberPosition(id uint64) int {
	return slices.IndexFunc(c.members(), func(m Member) bool { return m.ID == id })
}

// hasCaughtUp reports whether a learner has synced all committed entries. Its match index covers only
// synced entries, because it responds after its sync.
func (c *core) hasCaughtUp(p *peer) bool { return p.match >= c.commit && p.match >= c.termStart }

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
	remaining := slices.DeleteFunc(slices.Clone(c.members()), func(m Member) bool { return m.ID == id })
	if active, voters := c.activeVoters(remaining); active <= voters/2 {
		return errors.Wrapf(ErrQuorum, "without member %016x only %d of %d voters would be responsive", id, active, voters)
	}
	return c.changeMembers(remaining)
}

// promoteLearner promotes the first learner that has synced all committed entries.
func (c *core) promoteLearner() {
	for i, m := range c.members() {
		p := c.peers[m.ID]
		if !m.Learner || p == nil || !c.hasCaughtUp(p) || c.unresponsiveVoter() != 0 {
			continue
		}
		next := slices.Clone(c.members())
		next[i].Learner = false
		_ = c.changeMembers(next) // on an error it is retried with the next response
		return
	}
}

// unresponsiveVoter returns a voter that has to be removed before a learner is promoted, or 0. If one
// of three voters is lost, a fourth voter would raise the majority to three: the group would then
// depend on the new member, and its loss right after the repair would block the group for good.
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

// activeVoters counts the voters among members, and those of them that are recently active.
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

// recentlyActive reports whether a member has responded to the leader within the minimum election
// timeout. Unlike quorumActive, it doesn't count a peer as active before its first response: a
// membership change right after the election would take a lost voter for a live one.
func (c *core) recentlyActive(id uint64) bool {
	p := c.peers[id]
	return id == c.id || p != nil && (p.responded || c.faults.unsafeMemberChanges) && c.now.Sub(p.lastContact) < c.timing.electionTimeoutMin
}

// unresponsiveSince returns since when a member that is not recently active has not answered. A peer that
// has not responded to this leader yet may have been silent before the election, which often takes place
// because hosts were lost; it first gets an election timeout to respond.
func (c *core) unresponsiveSince(id uint64) time.Time {
	p := c.peers[id]
	switch {
	case p == nil:
		return c.now
	case p.responded || c.now.Sub(p.addedAt) < c.timing.electionTimeoutMin:
		return p.lastContact
	default:
		return p.silentSince
	}
}

// stepDownIfRemoved makes a leader step down when the change that removed it is committed. It first
// sends its followers the new commit index.
func (c *core) stepDownIfRemoved() {
	if _, ok := c.member(c.id); !ok && c.memberships[len(c.memberships)-1].index <= c.commit {
		c.broadcastAppend(true)
		c.becomeFollower(c.term(), 0)
	}
}
