package quorum

import (
	"time"

	"github.com/mulberrylink/mulberrylink/state/storage"
)

// timing holds the intervals of the algorithm.
type timing struct {
	first       time.Duration // of the first election, 0 for a usual one
	heartbeat   time.Duration
	electionMin time.Duration
	electionMax time.Duration
}

// hooks switch off one mechanism each, for tests that show that they fail.
type hooks struct {
	earlySend      bool // send messages before the state they depend on is synced
	noCheckQuorum  bool
	noReadConfirm  bool
	commitAnyTerm  bool // commit entries of earlier terms by counting
	forgetVote     bool // grant a second vote in a term
	skipTermCheck  bool // skip the log comparison in elections
	changeAnyCount bool // allow several membership changes at a time, and before peers have answered
}

// core is the algorithm as a step function. Its inputs are the methods tick,
// step, propose, read, changeMembers, transfer, compactAt and persisted. Its
// outputs are collected by takeMessages, takeBatch, takeCommitted and
// takeReads. It has no goroutine, clock or file of its own.
type core struct {
	id     uint64
	timing timing
	deps   deps
	hooks  hooks

	hard     storage.Hard
	log      memLog
	commit   uint64
	applied  uint64 // handed out by takeCommitted
	stable   uint64 // synced
	snapshot storage.Snapshot

	role   Role
	leader uint64
	views  []view // membership by index, ascending; the last one is in force
	votes  map[uint64]bool
	peers  map[uint64]*peer

	now         time.Time
	electionAt  time.Time
	heartbeatAt time.Time
	heardLeader time.Time // zero when no leader was heard since the last reset
	termStart   uint64    // index of the leader's first entry

	transferTo    uint64
	transferUntil time.Time

	reads   readState
	receive incoming

	send     []Message // may be sent now
	held     []Message // wait for the next batch
	dirty    bool      // hard state differs from the last batch taken
	install  *storage.Snapshot
	restore  *storage.Snapshot
	compact  *storage.Snapshot
	inFlight *batch
	takenAt  time.Time // when inFlight was taken
}

// batch is what must be synced before the messages in after may be sent.
type batch struct {
	hard     *storage.Hard
	install  *storage.Snapshot
	entries  []storage.Entry
	compact  *storage.Snapshot
	dropLog  uint64 // with compact: log prefix that is no longer needed
	after    []Message
	lastTerm uint64
	last     uint64
}

// deps is what a member takes from its surroundings.
type deps struct {
	now    func() time.Time
	random func(n int64) int64
	// trailing is the number of entries kept behind a snapshot for members that
	// lag a little.
	trailing uint64
	// chunk is the number of bytes of a snapshot in one message.
	chunk uint64
	store storage.Options
	hooks hooks
}

func newCore(st storage.State, t timing, d deps) (*core, error) {
	c := &core{id: st.Hard.ID, timing: t, deps: d, hooks: d.hooks, hard: st.Hard, snapshot: st.Snapshot, now: d.now()}
	c.log.reset(st.Snapshot.Index, st.Snapshot.Term)
	c.log.append(st.Entries...)
	c.commit, c.applied, c.stable = st.Snapshot.Index, st.Snapshot.Index, c.log.last()
	if err := c.loadMembers(); err != nil {
		return nil, err
	}
	if st.Snapshot.Index > 0 {
		c.restore = &st.Snapshot
	}
	c.resetElection()
	if t.first > 0 {
		c.electionAt = c.now.Add(t.first + time.Duration(d.random(int64(t.first)+1)))
	}
	return c, nil
}

func (c *core) term() uint64 { return c.hard.Term }

func (c *core) setHard(term, vote uint64) {
	if c.hard.Term != term || c.hard.Vote != vote {
		c.hard.Term, c.hard.Vote, c.dirty = term, vote, true
	}
}

// clock sets the time without acting on timers. A clock that went back
// restarts them.
func (c *core) clock(now time.Time) {
	back := now.Before(c.now)
	c.now = now
	if !back {
		return
	}
	c.resetElection()
	c.heartbeatAt, c.heardLeader, c.takenAt = now, time.Time{}, now
	if c.transferTo != 0 {
		c.transferUntil = now.Add(c.timing.electionMax)
	}
	for _, p := range c.peers {
		p.heard, p.snapAt = now, now
	}
}

// tick moves the time on and acts on the timers that have expired.
func (c *core) tick(now time.Time) {
	c.clock(now)
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if !now.Before(c.heartbeatAt) {
		c.heartbeatAt = now.Add(c.timing.heartbeat)
		c.forwardReads()
	}
	if !now.Before(c.electionAt) {
		c.resetElection()
		if c.isVoter(c.id) && !c.stalled() {
			c.campaignPre()
		}
	}
}

func (c *core) tickLeader() {
	if c.stalled() || !c.hooks.noCheckQuorum && !c.heardQuorum() {
		c.becomeFollower(c.term(), 0)
		return
	}
	if c.transferTo != 0 && !c.now.Before(c.transferUntil) {
		c.transferTo = 0
	}
	if !c.now.Before(c.heartbeatAt) {
		c.heartbeatAt = c.now.Add(c.timing.heartbeat)
		c.broadcast(true)
	}
}

// stalled reports a sync that takes longer than an election timeout. Such a
// member would lead without being able to apply anything.
func (c *core) stalled() bool {
	return c.inFlight != nil && c.now.Sub(c.takenAt) >= c.timing.electionMax
}

func (c *core) resetElection() {
	span := int64(c.timing.electionMax - c.timing.electionMin)
	c.electionAt = c.now.Add(c.timing.electionMin + time.Duration(c.deps.random(span+1)))
}

// step handles a message from another member.
func (c *core) step(m Message) {
	if m.To != c.id || m.From == c.id {
		return // addressed to a data directory that this host no longer has
	}
	if m.Term > c.term() && !c.enterTerm(m) {
		return
	}
	if m.Term < c.term() {
		c.refuseOldTerm(m)
		return
	}
	switch m.Kind {
	case PreVoteRequest, VoteRequest:
		c.handleAsk(m)
	case PreVoteResponse, VoteResponse:
		c.handleVote(m)
	case AppendRequest:
		c.follow(m.From)
		c.handleAppend(m)
	case SnapshotChunk:
		c.follow(m.From)
		c.handleChunk(m)
	case AppendResponse:
		c.handleAppended(m)
	case SnapshotChunkResponse:
		c.handleChunkStored(m)
	case ReadIndexRequest:
		c.handleAskRead(m)
	case ReadIndexResponse:
		c.handleReadIndex(m)
	case TimeoutNow:
		if c.isVoter(c.id) && c.role != Leader && !c.stalled() {
			c.campaign(true)
		}
	}
}

// enterTerm handles a message of a later term and reports whether to go on.
func (c *core) enterTerm(m Message) bool {
	asks := m.Kind == PreVoteRequest || m.Kind == VoteRequest
	if asks && !m.Transfer && c.leaderAlive() {
		return false // a member that was cut off must not disturb a live leader
	}
	if m.Kind == PreVoteRequest {
		c.handleAsk(m)
		return false
	}
	if m.Kind == PreVoteResponse && !m.Reject {
		c.handleVote(m)
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
func (c *core) leaderAlive() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != 0 && !c.heardLeader.IsZero() && c.now.Sub(c.heardLeader) < c.timing.electionMin
}

// refuseOldTerm tells a sender with an old term about the current one, so that
// an old leader steps down and a candidate catches up.
func (c *core) refuseOldTerm(m Message) {
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
func (c *core) follow(leader uint64) {
	if c.role != Follower || c.leader != leader {
		c.becomeFollower(c.term(), leader)
	}
	c.heardLeader = c.now
	c.resetElection()
}

func (c *core) becomeFollower(term, leader uint64) {
	if term > c.term() {
		c.setHard(term, 0)
	}
	if c.role == Leader {
		c.resetElection()
	}
	c.role, c.leader = Follower, leader
	c.heardLeader = time.Time{}
	c.votes, c.peers, c.transferTo = nil, nil, 0
	c.failReads()
}

func (c *core) reply(to, m Message) {
	m.To, m.ToAddr = to.From, to.FromAddr
	c.post(m)
}

// post sends m once the state that it depends on is synced. A leader's own
// term is synced before it leads, and what it sends its followers does not
// depend on its own disk.
func (c *core) post(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term()
	}
	if m.ToAddr == "" {
		m.ToAddr = c.addr(m.To)
	}
	leads := c.role == Leader && (m.Kind == AppendRequest || m.Kind == SnapshotChunk || m.Kind == TimeoutNow)
	switch {
	case leads || c.hooks.earlySend:
		c.send = append(c.send, m)
	case c.unsynced():
		c.held = append(c.held, m)
	case c.inFlight != nil:
		c.inFlight.after = append(c.inFlight.after, m)
	default:
		c.send = append(c.send, m)
	}
}

// unsynced reports whether there is state that no batch has taken yet.
func (c *core) unsynced() bool {
	return c.dirty || c.install != nil || c.nextUnsynced() <= c.log.last()
}

// nextUnsynced is the first index that neither is synced nor is in flight.
func (c *core) nextUnsynced() uint64 {
	if b := c.inFlight; b != nil && b.last > c.stable {
		if t, ok := c.log.term(b.last); ok && t == b.lastTerm {
			return b.last + 1
		}
	}
	return c.stable + 1
}

// takeMessages returns the messages that may be sent now.
func (c *core) takeMessages() []Message {
	out := c.send
	c.send = nil
	return out
}

// takeBatch returns what has to be synced next, or nil. The caller reports a
// success to persisted before it takes the next batch.
func (c *core) takeBatch() *batch {
	if c.inFlight != nil || (!c.unsynced() && c.compact == nil) {
		return nil
	}
	b := &batch{install: c.install, compact: c.compact, after: c.held}
	if c.dirty {
		hard := c.hard
		b.hard = &hard
	}
	b.entries = c.log.slice(c.stable+1, maxAppendEntries, maxBatchBytes)
	if n := len(b.entries); n > 0 {
		b.last, b.lastTerm = b.entries[n-1].Index, b.entries[n-1].Term
	}
	if b.compact != nil {
		b.dropLog = b.compact.Index - min(b.compact.Index, c.deps.trailing)
	}
	c.takenAt = c.now
	c.inFlight, c.install, c.compact, c.held, c.dirty = b, nil, nil, nil, false
	if c.nextUnsynced() <= c.log.last() {
		// The batch does not reach the end of the log: the messages wait on.
		c.held, b.after = b.after, nil
	}
	return b
}

// persisted acknowledges the batch in flight.
func (c *core) persisted() {
	b := c.inFlight
	c.inFlight = nil
	if t, ok := c.log.term(b.last); ok && b.last > c.stable && t == b.lastTerm {
		c.stable = b.last
	}
	if b.compact != nil {
		c.compacted(*b.compact)
	}
	c.send = append(c.send, b.after...)
	switch c.role {
	case Candidate:
		if b.hard != nil && b.hard.Term == c.term() && b.hard.Vote == c.id {
			c.votes[c.id] = true
			c.countVotes()
		}
	case Leader:
		c.advance()
	case Follower, PreCandidate:
	}
}

// takeCommitted returns a snapshot to restore first, if any, and the entries
// to apply. Entries are applied only when this member has synced them.
func (c *core) takeCommitted() (*storage.Snapshot, []storage.Entry) {
	restore := c.restore
	c.restore = nil
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
