package quorum

import (
	"time"

	"github.com/mulberrylink/mulberrylink/state/storage"
)

// peer is a leader's view of another member.
type peer struct {
	match uint64 // index of the highest entry known to be synced by the peer
	next  uint64 // index of the next entry to send
	// lastContact is the time of the last response. Before the first one it is the time of the
	// leader's election, or the time at which the peer was added after that.
	lastContact time.Time
	addedAt     time.Time // or the time of the leader's election
	silentSince time.Time // before the first response: since when the peer is known not to answer
	responded   bool      // whether the peer has sent a response to this leader
	readRound   uint64    // latest read round that the peer has confirmed

	snapshotIndex  uint64 // index of the snapshot being sent, 0 when none
	snapshotOffset uint64 // number of snapshot bytes that the peer has received
	chunkSentAt    time.Time
}

// updatePeers adds and removes peers to match the membership in force.
func (c *core) updatePeers() {
	for _, m := range c.members() {
		if m.ID != c.id && c.peers[m.ID] == nil {
			c.peers[m.ID] = &peer{next: c.log.last() + 1, lastContact: c.now, addedAt: c.now, silentSince: c.now}
		}
	}
	for id := range c.peers {
		if _, ok := c.member(id); !ok {
			delete(c.peers, id)
		}
	}
}

// quorumActive reports whether a majority of the voters has responded within the maximum election
// timeout.
func (c *core) quorumActive() bool {
	active := c.quorumValue(func(id uint64) uint64 {
		if p := c.peers[id]; id == c.id || p != nil && c.now.Sub(p.lastContact) < c.timing.electionTimeoutMax {
			return 1
		}
		return 0
	})
	return active == 1
}

// appendEntry appends a no-op or membership entry in the leader's term and replicates it.
func (c *core) appendEntry(e storage.Entry) {
	e.Index, e.Term = c.log.last()+1, c.term()
	c.log.append(e)
	c.recordMembership(e)
	c.updatePeers()
	c.broadcastAppend(false)
}

// propose appends an entry for each proposal and returns the index of the first one.
func (c *core) propose(proposals [][]byte) uint64 {
	first := c.log.last() + 1
	for i, data := range proposals {
		c.log.append(storage.Entry{Index: first + uint64(i), Term: c.term(), Kind: entryData, Data: data})
	}
	c.broadcastAppend(false)
	return first
}

// acceptsProposals reports whether this member may append proposals now: it leads, no leadership
// transfer is in progress, and fewer than maxUnackedEntries entries are uncommitted.
func (c *core) acceptsProposals() bool {
	return c.role == Leader && c.transferTarget == 0 && c.log.last()-c.commit < maxUnackedEntries
}

// broadcastAppend sends new entries to the peers that lack some. With heartbeat set, peers that lack
// none get a message without entries.
func (c *core) broadcastAppend(heartbeat bool) {
	for _, m := range c.members() {
		if p := c.peers[m.ID]; p != nil && (heartbeat || p.next <= c.log.last()) {
			c.sendAppend(m.ID, p, heartbeat)
		}
	}
}

func (c *core) sendAppend(id uint64, p *peer, heartbeat bool) {
	prev := p.next - 1
	prevTerm, ok := c.log.term(prev)
	if !ok || p.snapshotIndex != 0 {
		c.sendSnapshot(id, p, heartbeat)
		return
	}
	var entries []storage.Entry
	if prev-min(prev, p.match) < maxUnackedEntries {
		entries = c.log.slice(p.next, maxAppendEntries, maxAppendBytes)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	p.next += uint64(len(entries))
	c.send(Message{
		Kind: AppendRequest, To: id, Index: prev, LogTerm: prevTerm,
		Commit: c.commit, Entries: entries, ReadRound: c.reads.round,
	})
}

func (c *core) handleAppendRequest(m Message) {
	resp := Message{Kind: AppendResponse, ReadRound: m.ReadRound}
	if m.Index < c.log.base {
		resp.Index = c.commit
		c.reply(m, resp)
		return
	}
	if t, ok := c.log.term(m.Index); !ok || t != m.LogTerm {
		resp.Reject, resp.Index, resp.Hint = true, m.Index, c.rejectHint(m)
		c.reply(m, resp)
		return
	}
	if !c.acceptEntries(m) {
		return
	}
	resp.Index = m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, resp.Index))
	c.reply(m, resp)
}

// rejectHint returns the highest index at which the log may match the leader's log.
func (c *core) rejectHint(m Message) uint64 {
	i := min(m.Index-1, c.log.last())
	for i > c.log.base {
		if t, _ := c.log.term(i); t <= m.LogTerm {
			break
		}
		i--
	}
	return max(i, c.log.base)
}

// acceptEntries appends the entries of m that the log doesn't hold yet and replaces a conflicting
// suffix. It returns false and leaves the log unchanged if the message is malformed.
func (c *core) acceptEntries(m Message) bool {
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) {
			return false
		}
		if _, err := decodeEntryMembers(e); err != nil {
			return false
		}
	}
	for _, e := range m.Entries {
		if t, ok := c.log.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= c.log.last() {
			c.truncateLog(e.Index)
		}
		c.log.append(e)
		c.recordMembership(e)
	}
	return true
}

// truncateLog drops the entries from index on, which a leader of a later term replaces. It panics
// if one of them is committed.
func (c *core) truncateLog(from uint64) {
	if from <= c.commit {
		panic("quorum: the leader sent an entry that conflicts with a committed one")
	}
	c.log.truncateFrom(from)
	c.truncateMemberships(from)
	c.stable = min(c.stable, from-1)
}

func (c *core) handleAppendResponse(m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.lastContact, p.responded = c.now, true
	p.readRound = max(p.readRound, m.ReadRound)
	c.completeConfirmedReads()
	if m.Reject {
		if m.Index > p.match {
			p.next = max(p.match+1, min(m.Hint+1, m.Index, c.log.last()+1))
			c.sendAppend(m.From, p, true)
		}
		return
	}
	if m.Index > c.log.last() {
		return
	}
	if p.snapshotIndex != 0 && m.Index >= p.snapshotIndex {
		p.snapshotIndex = 0
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, m.Index+1)
		c.advanceCommit()
	}
	if c.role != Leader {
		return // this member stepped down because the committed change removed it
	}
	if p.next <= c.log.last() {
		c.sendAppend(m.From, p, false)
	}
	c.maybeSendTimeoutNow()
	c.promoteLearner()
}

// advanceCommit commits the entries that a majority has synced. Entries of earlier terms are
// committed only indirectly, through an entry of the current term.
func (c *core) advanceCommit() {
	index := c.quorumValue(c.matchIndex)
	if index <= c.commit {
		return
	}
	if t, _ := c.log.term(index); t != c.term() && !c.faults.commitAnyTerm {
		return
	}
	c.commit = index
	c.startDeferredReads()
	c.maybeSendTimeoutNow()
	c.stepDownIfRemoved()
	c.finishReplacement()
}

// matchIndex returns the index of the highest entry known to be synced by a member.
func (c *core) matchIndex(id uint64) uint64 {
	if id == c.id {
		return c.stable
	}
	if p := c.peers[id]; p != nil {
		return p.match
	}
	return 0
}
