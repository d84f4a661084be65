package quorum

import (
	"time"

	"github.com/mulberrylink/mulberrylink/state/storage"
)

// timing holds the intervals of the algorithm.
type timing struct {
	firstElectionTimeout time.Duration // of the first election, 0 for a usual one
	heartbeatInterval    time.Duration
	electionTimeoutMin   time.Duration
	electionTimeoutMax   time.Duration
}

// hooks switch off one mechanism each, for tests that show that they fail.
type faultInjection struct {
	sendBeforeSync      bool // send messages before the state they depend on is synced
	noCheckQuorum       bool
	noReadConfirmation  bool
	commitAnyTerm       bool // commit entries of earlier terms by counting
	doubleVote          bool // grant a second vote in a term
	noLogCheck          bool // skip the log comparison in elections
	unsafeMemberChanges bool // allow several membership changes at a time, and before peers have answered
}

// core is the algorithm as a step function. Its inputs are the methods tick,
// step, propose, read, changeMembers, transfer, compactAt and persisted. Its
// outputs are collected by takeMessages, takeBatch, takeCommitted and
// takeReads. It has no goroutine, clock or file of its own.
type core struct {
	id     uint64
	timing timing
	deps   deps
	faults faultInjection

	hard     storage.Hard
	log      memoryLog
	commit   uint64
	applied  uint64 // handed out by takeCommitted
	stable   uint64 // synced
	snapshot storage.Snapshot

	role        Role
	leader      uint64
	memberships []membership // membership by index, ascending; the last one is in force
	votes       map[uint64]bool
	peers       map[uint64]*peer

	now               time.Time
	electionDeadline  time.Time
	nextHeartbeat     time.Time
	lastLeaderContact time.Time // zero when no leader was heard since the last reset
	termStart         uint64    // index of the leader's first entry

	transferTarget   uint64
	transferDeadline time.Time

	reads    readState
	incoming incomingSnapshot

	sendable       []Message // may be sent now
	awaitingSync   []Message // wait for the next batch
	hardDirty      bool      // hard state differs from the last batch taken
	pendingInstall *storage.Snapshot
	pendingRestore *storage.Snapshot
	pendingCompact *storage.Snapshot
	inFlight       *batch
	inFlightSince  time.Time // when inFlight was taken
}

// batch is what must be synced before the messages in after may be sent.
type batch struct {
	hard           *storage.Hard
	install        *storage.Snapshot
	entries        []storage.Entry
	compact        *storage.Snapshot
	compactThrough uint64 // with compact: log prefix that is no longer needed
	messages       []Message
	lastTerm       uint64
	lastIndex      uint64
}

// deps is what a member takes from its surroundings.
type deps struct {
	now    func() time.Time
	random func(n int64) int64
	// trailing is the number of entries kept behind a snapshot for members that
	// lag a little.
	trailingEntries uint64
	// chunk is the number of bytes of a snapshot in one message.
	chunkBytes   uint64
	storeOptions storage.Options
	faults       faultInjection
}

func newCore(st storage.State, t timing, d deps) (*core, error) {
	c := &core{id: st.Hard.ID, timing: t, deps: d, faults: d.faults, hard: st.Hard, snapshot: st.Snapshot, now: d.now()}
	c.log.reset(st.Snapshot.Index, st.Snapshot.Term)
	c.log.append(st.Entries...)
	c.commit, c.applied, c.stable = st.Snapshot.Index, st.Snapshot.Index, c.log.last()
	if err := c.loadMembers(); err != nil {
		return nil, err
	}
	if st.Snapshot.Index > 0 {
		c.pendingRestore = &st.Snapshot
	}
	c.resetElectionTimer()
	if t.firstElectionTimeout > 0 {
		c.electionDeadline = c.now.Add(t.firstElectionTimeout + time.Duration(d.random(int64(t.firstElectionTimeout)+1)))
	}
	return c, nil
}

func (c *core) term() uint64 { return c.hard.Term }

func (c *core) setHardState(term, vote uint64) {
	if c.hard.Term != term || c.hard.Vote != vote {
		c.hard.Term, c.hard.Vote, c.hardDirty = term, vote, true
	}
}

// clock sets the time without acting on timers. A clock that went back
// restarts them.
func (c *core) setTime(now time.Time) {
	wentBack := now.Before(c.now)
	c.now = now
	if !wentBack {
		return
	}
	c.resetElectionTimer()
	c.nextHeartbeat, c.lastLeaderContact, c.inFlightSince = now, time.Time{}, now
	if c.transferTarget != 0 {
		c.transferDeadline = now.Add(c.timing.electionTimeoutMax)
	}
	for _, p := range c.peers {
		p.lastContact, p.chunkSentAt = now, now
	}
}

// tick moves the time on and acts on the timers that have expired.
func (c *core) tick(now time.Time) {
	c.setTime(now)
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if !now.Before(c.nextHeartbeat) {
		c.nextHeartbeat = now.Add(c.timing.heartbeatInterval)
		c.forwardReads()
	}
	if !now.Before(c.electionDeadline) {
		c.resetElectionTimer()
		if c.isVoter(c.id) && !c.syncStalled() {
			c.startPreVote()
		}
	}
}

func (c *core) tickLeader() {
	if c.syncStalled() || !c.faults.noCheckQuorum && !c.quorumActive() {
		c.becomeFollower(c.term(), 0)
		return
	}
	if c.transferTarget != 0 && !c.now.Before(c.transferDeadline) {
		c.transferTarget = 0
	}
	if !c.now.Before(c.nextHeartbeat) {
		c.nextHeartbeat = c.now.Add(c.timing.heartbeatInterval)
		c.broadcastAppend(true)
	}
}

// stalled reports a sync that takes longer than an election timeout. Such a
// member would lead without being able to apply anything.
func (c *core) syncStalled() bool {
	return c.inFlight != nil && c.now.Sub(c.inFlightSince) >= c.timing.electionTimeoutMax
}

func (c *core) resetElectionTimer() {
	span := int64(c.timing.electionTimeoutMax - c.timing.electionTimeoutMin)
	c.electionDeadline = c.now.Add(c.timing.electionTimeoutMin + time.Duration(c.deps.random(span+1)))
}

// step handles a message from another member.
func (c *core) step(m Message) {
	if m.To != c.id || m.From == c.id {
		return // addressed to a data directory that this host no longer has
	}
	if m.Term > c.term() && !c.handleHigherTerm(m) {
		return
	}
	if m.Term < c.term() {
		c.rejectLowerTerm(m)
		return
	}
	switch m.Kind {
	case PreVoteRequest, VoteRequest:
		c.handleVoteRequest(m)
	case PreVoteResponse, VoteResponse:
		c.handleVoteResponse(m)
	case AppendRequest:
		c.followLeader(m.From)
		c.handleAppendRequest(m)
	case SnapshotChunk:
		c.followLeader(m.From)
		c.handleSnapshotChunk(m)
	case AppendResponse:
		c.handleAppendResponse(m)
	case SnapshotChunkResponse:
		c.handleSnapshotChunkResponse(m)
	case ReadIndexRequest:
		c.handleReadIndexRequest(m)
	case ReadIndexResponse:
		c.handleReadIndexResponse(m)
	case TimeoutNow:
		if c.isVoter(c.id) && c.role != Leader && !c.syncStalled() {
			c.startElection(true)
		}
	}
}

// enterTerm handles a message of a later term and reports whether to go on.
func (c *core) handleHigherTerm(m Message) bool {
	isVoteRequest := m.Kind == PreVoteRequest || m.Kind == VoteRequest
	if isVoteRequest && !m.Transfer && c.hasLiveLeader() {
		return false // a member that was cut off must not disturb a live leader
	}
	if m.Kind == PreVoteRequest {
		c.handleVoteRequest(m)
		return false
	}
	if m.Kind == PreVoteResponse && !m.Reject {
		c.handleVoteResponse(m)
		return false
	}
	leader := uint64(0)
	if m.Kind == AppendRequest || m.Kind == SnapshotChunk {
		leader = m.From
	}
	c.becomeFollower(m.Term, leader)
	return true
}

// leaderAlive reports whether this member leads or has heard its leader within
// the shortest election timeout.
func (c *core) hasLiveLeader() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != 0 && !c.lastLeaderContact.IsZero() && c.now.Sub(c.lastLeaderContact) < c.timing.electionTimeoutMin
}

// refuseOldTerm tells a sender with an old term about the current one, so that
// an old leader steps down and a candidate catches up.
func (c *core) rejectLowerTerm(m Message) {
	switch m.Kind {
	case AppendRequest, SnapshotChunk:
		c.reply(m, Message{Kind: AppendResponse, Reject: true, Index: m.Index})
	case PreVoteRequest:
		c.reply(m, Message{Kind: PreVoteResponse, Reject: true})
	case VoteRequest:
		c.reply(m, Message{Kind: VoteResponse, Reject: true})
	case PreVoteResponse, VoteResponse, AppendResponse, SnapshotChunkResponse, ReadIndexRequest, ReadIndexResponse, TimeoutNow:
	}
}

// follow accepts the sender as the leader of the current term.
func (c *core) followLeader(leader uint64) {
	if c.role != Follower || c.leader != leader {
		c.becomeFollower(c.term(), leader)
	}
	c.lastLeaderContact = c.now
	c.resetElectionTimer()
}

func (c *core) becomeFollower(term, leader uint64) {
	if term > c.term() {
		c.setHardState(term, 0)
	}
	if c.role == Leader {
		c.resetElectionTimer()
	}
	c.role, c.leader = Follower, leader
	c.lastLeaderContact = time.Time{}
	c.votes, c.peers, c.transferTarget = nil, nil, 0
	c.failReads()
}

func (c *core) reply(req, resp Message) {
	resp.To, resp.ToAddr = req.From, req.FromAddr
	c.send(resp)
}

// post sends m once the state that it depends on is synced. A leader's own
// term is synced before it leads, and what it sends its followers does not
// depend on its own disk.
func (c *core) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term()
	}
	if m.ToAddr == "" {
		m.ToAddr = c.addr(m.To)
	}
	independent := c.role == Leader && (m.Kind == AppendRequest || m.Kind == SnapshotChunk || m.Kind == TimeoutNow)
	switch {
	case independent || c.faults.sendBeforeSync:
		c.sendable = append(c.sendable, m)
	case c.hasUnsynced():
		c.awaitingSync = append(c.awaitingSync, m)
	case c.inFlight != nil:
		c.inFlight.messages = append(c.inFlight.messages, m)
	default:
		c.sendable = append(c.sendable, m)
	}
}

// unsynced reports whether there is state that no batch has taken yet.
func (c *core) hasUnsynced() bool {
	return c.hardDirty || c.pendingInstall != nil || c.firstUnsynced() <= c.log.last()
}

// nextUnsynced is the first index that neither is synced nor is in flight.
func (c *core) firstUnsynced() uint64 {
	if b := c.inFlight; b != nil && b.lastIndex > c.stable {
		if t, ok := c.log.term(b.lastIndex); ok && t == b.lastTerm {
			return b.lastIndex + 1
		}
	}
	return c.stable + 1
}

// takeMessages returns the messages that may be sent now.
func (c *core) takeMessages() []Message {
	out := c.sendable
	c.sendable = nil
	return out
}

// takeBatch returns what has to be synced next, or nil. The caller reports a
// success to persisted before it takes the next batch.
func (c *core) takeBatch() *batch {
	if c.inFlight != nil || (!c.hasUnsynced() && c.pendingCompact == nil) {
		return nil
	}
	b := &batch{install: c.pendingInstall, compact: c.pendingCompact, messages: c.awaitingSync}
	if c.hardDirty {
		hard := c.hard
		b.hard = &hard
	}
	b.entries = c.log.slice(c.stable+1, maxAppendEntries, maxBatchBytes)
	if n := len(b.entries); n > 0 {
		b.lastIndex, b.lastTerm = b.entries[n-1].Index, b.entries[n-1].Term
	}
	if b.compact != nil {
		b.compactThrough = b.compact.Index - min(b.compact.Index, c.deps.trailingEntries)
	}
	c.inFlightSince = c.now
	c.inFlight, c.pendingInstall, c.pendingCompact, c.awaitingSync, c.hardDirty = b, nil, nil, nil, false
	if c.firstUnsynced() <= c.log.last() {
		// The batch does not reach the end of the log: the messages wait on.
		c.awaitingSync, b.messages = b.messages, nil
	}
	return b
}

// persisted acknowledges the batch in flight.
func (c *core) batchSynced() {
	b := c.inFlight
	c.inFlight = nil
	if t, ok := c.log.term(b.lastIndex); ok && b.lastIndex > c.stable && t == b.lastTerm {
		c.stable = b.lastIndex
	}
	if b.compact != nil {
		c.finishCompaction(*b.compact)
	}
	c.sendable = append(c.sendable, b.messages...)
	switch c.role {
	case Candidate:
		if b.hard != nil && b.hard.Term == c.term() && b.hard.Vote == c.id {
			c.votes[c.id] = true
			c.countVotes()
		}
	case Leader:
		c.advanceCommit()
	case Follower, PreCandidate:
	}
}

// takeCommitted returns a snapshot to restore first, if any, and the entries
// to apply. Entries are applied only when this member has synced them.
func (c *core) takeCommitted() (*storage.Snapshot, []storage.Entry) {
	restore := c.pendingRestore
	c.pendingRestore = nil
	if restore != nil {
		c.applied = restore.Index
	}
	end := min(c.commit, c.stable)
	if end <= c.applied {
		return restore, nil
	}
	entries := c.log.entries[c.applied-c.log.base : end-c.log.base]
	c.applied = end
	return restore, append([]storage.Entry(nil), entries...)
}
