package quorum

import (
	"time"

	"github.com/mulberrylink/mulberrylink/state/storage"
)

// timing holds the heartbeat interval and the election timeouts.
type timing struct {
	firstElectionTimeout time.Duration // replaces the first random timeout if not 0
	heartbeatInterval    time.Duration
	electionTimeoutMin   time.Duration
	electionTimeoutMax   time.Duration
}

// faultInjection disables individual safety mechanisms. The tests use it to prove that they detect
// the resulting violations.
type faultInjection struct {
	sendBeforeSync      bool // send messages before their state is synced
	noCheckQuorum       bool // keep leading without responses from a majority
	noReadConfirmation  bool // complete reads without responses from a majority
	commitAnyTerm       bool // commit entries of earlier terms by counting replicas
	doubleVote          bool // grant a second vote in a term
	noLogCheck          bool // vote without comparing the logs
	unsafeMemberChanges bool // allow overlapping changes, and before peers have responded
	newVotersOnly       bool // let the new set of voters of a replacement decide alone
}

// core implements the algorithm as a step function without goroutines, clock or files. Its inputs
// are the methods setTime, tick, step, propose, startRead, addMember, removeMember,
// transferLeadership, startCompaction and batchSynced. Its outputs are returned by takeMessages,
// takeBatch, takeCommitted and takeReadResults.
type core struct {
	id     uint64
	timing timing
	deps   deps
	faults faultInjection

	hard     storage.Hard
	log      memoryLog
	commit   uint64 // commit index
	applied  uint64 // last index that takeCommitted has returned
	stable   uint64 // last index that is synced
	snapshot storage.Snapshot

	role        Role
	leader      uint64
	memberships []membership         // ascending by index; the last one is in force
	preVotes    map[uint64]bool      // answers of the voters, while this member asks for pre-votes
	votes       map[uint64]bool      // answers in the current term, while this member is a candidate in it
	unanswered  map[uint64]time.Time // since when a member has not answered, by what this member knew before it led
	rounds      int                  // of pre-votes since this member last had a leader
	yields      bool                 // this round of pre-votes gives way to any other
	answered    map[uint64]bool      // members that have answered a request for votes since the last round began
	isolated    int                  // rounds in a row in which no majority has answered
	peers       map[uint64]*peer

	now               time.Time
	electionDeadline  time.Time
	nextHeartbeat     time.Time
	lastLeaderContact time.Time // zero after becomeFollower or a backwards clock step
	termStart         uint64    // index of this leader's first entry

	transferTarget   uint64 // voter that is to take over leadership, 0 when none
	transferDeadline time.Time

	reads    readTracker
	incoming incomingSnapshot
	ballot   Ballot
	heard    map[uint64]time.Time // when the last message of each other member arrived

	sendable       []Message         // may be sent now
	awaitingSync   []Message         // may be sent after the next batch is synced
	hardDirty      bool              // the hard state has changed since the last batch was taken
	pendingInstall *storage.Snapshot // from the leader, to be written
	pendingRestore *storage.Snapshot // to be restored into the state machine
	pendingCompact *storage.Snapshot // taken by this member, to be written
	inFlight       *batch            // being synced
	inFlightSince  time.Time         // when inFlight was taken
}

// batch holds state that must be synced before its messages may be sent.
type batch struct {
	hard           *storage.Hard
	install        *storage.Snapshot
	entries        []storage.Entry
	compact        *storage.Snapshot
	compactThrough uint64 // if compact is set: last index of the log prefix to drop
	messages       []Message
	lastTerm       uint64 // term of the last entry
	lastIndex      uint64 // index of the last entry, 0 without entries
}

// deps holds the dependencies and limits of a member that tests replace.
type deps struct {
	now    func() time.Time
	random func(n int64) int64
	// trailingEntries is the number of entries that are kept when the log is compacted, so that a
	// member that lags by fewer entries needs no snapshot.
	trailingEntries uint64
	// chunkBytes is the maximum number of snapshot bytes in one message.
	chunkBytes   uint64
	storeOptions storage.Options
	faults       faultInjection
}

func newCore(st storage.State, t timing, d deps) (*core, error) {
	c := &core{id: st.Hard.ID, timing: t, deps: d, faults: d.faults, hard: st.Hard, snapshot: st.Snapshot, now: d.now()}
	c.log.reset(st.Snapshot.Index, st.Snapshot.Term)
	c.log.append(st.Entries...)
	c.commit, c.applied, c.stable = st.Snapshot.Index, st.Snapshot.Index, c.log.last()
	if err := c.loadMemberships(); err != nil {
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

// setTime sets the current time without acting on expired timers. If the clock went backwards, it
// restarts the timers.
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
	c.unanswered = nil
	for _, p := range c.peers {
		p.lastContact, p.chunkSentAt, p.silentSince = now, now, now
	}
}

// tick sets the current time and acts on expired timers.
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
		} else {
			c.leader = 0 // a learner that was removed hears of no other leader
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
		c.finishReplacement() // which may have waited for the end of a leadership transfer
	}
}

// syncStalled reports whether the sync in flight has taken longer than the maximum election timeout.
// A leader in this state could not apply anything.
func (c *core) syncStalled() bool {
	return c.inFlight != nil && c.now.Sub(c.inFlightSince) >= c.timing.electionTimeoutMax
}

func (c *core) resetElectionTimer() {
	span := int64(c.timing.electionTimeoutMax - c.timing.electionTimeoutMin)
	c.electionDeadline = c.now.Add(c.timing.electionTimeoutMin + time.Duration(c.deps.random(span+1)))
}

// step processes a message from another member.
func (c *core) step(m Message) {
	if m.To != c.id || m.From == c.id {
		return // addressed to an earlier identity of this host, whose data directory was lost
	}
	c.recordMessage(m.From)
	delete(c.unanswered, m.From)
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

// handleHigherTerm handles a message of a higher term. It reports whether step should go on to
// process the message in that term.
func (c *core) handleHigherTerm(m Message) bool {
	isVoteRequest := m.Kind == PreVoteRequest || m.Kind == VoteRequest
	if isVoteRequest && !m.Transfer && c.hasLiveLeader() {
		return false // a member that was partitioned must not disrupt a live leader
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

// hasLiveLeader reports whether this member leads or has heard from its leader within the minimum
// election timeout.
func (c *core) hasLiveLeader() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != 0 && !c.lastLeaderContact.IsZero() && c.now.Sub(c.lastLeaderContact) < c.timing.electionTimeoutMin
}

// rejectLowerTerm tells the sender of a message of a lower term the current term, so that a stale
// leader steps down and a stale candidate catches up.
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

// followLeader accepts leader as the leader of the current term and restarts the election timer.
func (c *core) followLeader(leader uint64) {
	if c.role != Follower || c.leader != leader {
		c.becomeFollower(c.term(), leader)
	}
	c.lastLeaderContact = c.now
	c.unanswered, c.answered, c.rounds, c.isolated = nil, nil, 0, 0
	c.resetElectionTimer()
}

func (c *core) becomeFollower(term, leader uint64) {
	if term > c.term() {
		c.setHardState(term, 0)
	}
	if leader != 0 || c.hard.Vote != c.id {
		c.votes = nil
	}
	if c.role == Leader {
		c.resetElectionTimer()
	}
	c.role, c.leader = Follower, leader
	c.lastLeaderContact = time.Time{}
	c.preVotes, c.peers, c.transferTarget = nil, nil, 0
	c.failReads()
}

func (c *core) reply(req, resp Message) {
	resp.To, resp.ToAddr = req.From, req.FromAddr
	c.send(resp)
}

// send queues m to be sent once the state that it depends on is synced. A leader's messages to its
// followers are sent at once: its term was synced before it was elected, and replication to
// followers doesn't depend on the leader's own disk.
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

// hasUnsynced reports whether there is state to sync that is not part of a batch yet.
func (c *core) hasUnsynced() bool {
	return c.hardDirty || c.pendingInstall != nil || c.firstUnsynced() <= c.log.last()
}

// firstUnsynced returns the first index that is neither synced nor part of the batch in flight.
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

// takeBatch returns the next batch to sync, or nil. The caller calls batchSynced after the sync has
// succeeded; until then takeBatch returns nil.
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
		b.compactThrough = c.compactionEnd(b.compact.Index)
	}
	c.inFlightSince = c.now
	c.inFlight, c.pendingInstall, c.pendingCompact, c.awaitingSync, c.hardDirty = b, nil, nil, nil, false
	if c.firstUnsynced() <= c.log.last() {
		// The batch doesn't reach the end of the log: keep the messages until a later one does.
		c.awaitingSync, b.messages = b.messages, nil
	}
	return b
}

// batchSynced records that the batch in flight is synced. It releases the messages of the batch and
// counts this member's own vote or its newly synced entries.
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
	switch {
	case c.role == Leader:
		c.advanceCommit()
	case c.votes != nil && b.hard != nil && b.hard.Term == c.term() && b.hard.Vote == c.id:
		c.votes[c.id] = true
		c.countVotes()
	}
}

// takeCommitted returns the snapshot to restore, if any, and the committed entries to apply after
// it. It returns only entries that this member has synced.
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
