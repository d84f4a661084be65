package quorum

import (
	"time"

	"github.com/mulberrylink/mulberrylink/state/storage"
)

// peer is what a leader knows of another member.
type peer struct {
	match uint64 // highest entry known to be synced there
	next  uint64 // next entry to send
	heard time.Time
	// answered is true once it has acknowledged something to this leader. A new
	// leader counts heard from its election, before any answer.
	answered bool
	read     uint64 // latest read that it confirmed

	snapIndex  uint64 // snapshot being sent, 0 when none
	snapOffset uint64
	snapAt     time.Time
}

// syncPeers makes peers those of the membership in force.
func (c *core) syncPeers() {
	for _, m := range c.members() {
		if m.ID != c.id && c.peers[m.ID] == nil {
			c.peers[m.ID] = &peer{next: c.log.last() + 1, heard: c.now}
		}
	}
	for id := range c.peers {
		if _, ok := c.member(id); !ok {
			delete(c.peers, id)
		}
	}
}

func (c *core) heardQuorum() bool {
	fresh := c.quorumValue(func(id uint64) uint64 {
		if p := c.peers[id]; id == c.id || p != nil && c.now.Sub(p.heard) < c.timing.electionMax {
			return 1
		}
		return 0
	})
	return fresh == 1
}

// appendOwn appends an entry of the leader.
func (c *core) appendOwn(e storage.Entry) {
	e.Index, e.Term = c.log.last()+1, c.term()
	c.log.append(e)
	c.noteMembers(e)
	c.syncPeers()
	c.broadcast(false)
}

// propose appends entries, one for each item, and returns the first index.
func (c *core) propose(items [][]byte) uint64 {
	first := c.log.last() + 1
	for i, data := range items {
		c.log.append(storage.Entry{Index: first + uint64(i), Term: c.term(), Kind: entryData, Data: data})
	}
	c.broadcast(false)
	return first
}

// accepts reports whether this member may append proposals now.
func (c *core) accepts() bool {
	return c.role == Leader && c.transferTo == 0 && c.log.last()-c.commit < maxUnacked
}

// broadcast sends new entries to all; with empty set also to members that have
// them all, as a heartbeat.
func (c *core) broadcast(empty bool) {
	for _, m := range c.members() {
		if p := c.peers[m.ID]; p != nil && (empty || p.next <= c.log.last()) {
			c.sendAppend(m.ID, p, empty)
		}
	}
}

func (c *core) sendAppend(id uint64, p *peer, empty bool) {
	prev := p.next - 1
	prevTerm, ok := c.log.term(prev)
	if !ok || p.snapIndex != 0 {
		c.sendChunk(id, p, empty)
		return
	}
	var entries []storage.Entry
	if prev-min(prev, p.match) < maxUnacked {
		entries = c.log.slice(p.next, maxAppendEntries, maxAppendBytes)
	}
	if len(entries) == 0 && !empty {
		return
	}
	p.next += uint64(len(entries))
	c.post(Message{
		Kind: AppendRequest, To: id, Index: prev, LogTerm: prevTerm,
		Commit: c.commit, Entries: entries, ReadRound: c.reads.seq,
	})
}

func (c *core) handleAppend(m Message) {
	answer := Message{Kind: AppendResponse, ReadRound: m.ReadRound}
	if m.Index < c.log.base {
		answer.Index = c.commit
		c.reply(m, answer)
		return
	}
	if t, ok := c.log.term(m.Index); !ok || t != m.LogTerm {
		answer.Reject, answer.Index, answer.Hint = true, m.Index, c.hint(m)
		c.reply(m, answer)
		return
	}
	if !c.adopt(m) {
		return
	}
	answer.Index = m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, answer.Index))
	c.reply(m, answer)
}

// hint returns the highest index at which the log may match the leader's.
func (c *core) hint(m Message) uint64 {
	i := min(m.Index-1, c.log.last())
	for i > c.log.base {
		if t, _ := c.log.term(i); t <= m.LogTerm {
			break
		}
		i--
	}
	return max(i, c.log.base)
}

// adopt appends the entries of m that are not there yet and replaces a suffix
// that disagrees. It reports whether the message made sense.
func (c *core) adopt(m Message) bool {
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
			c.cut(e.Index)
		}
		c.log.append(e)
		c.noteMembers(e)
	}
	return true
}

// cut drops a suffix that the leader of a later term replaces.
func (c *core) cut(from uint64) {
	if from <= c.commit {
		panic("quorum: a leader disagrees with a committed entry")
	}
	c.log.cut(from)
	c.cutMembers(from)
	c.stable = min(c.stable, from-1)
}

func (c *core) handleAppended(m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.heard, p.answered = c.now, true
	p.read = max(p.read, m.ReadRound)
	c.confirmReads()
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
	if p.snapIndex != 0 && m.Index >= p.snapIndex {
		p.snapIndex = 0
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, m.Index+1)
		c.advance()
	}
	if c.role != Leader {
		return // the commit removed this member
	}
	if p.next <= c.log.last() {
		c.sendAppend(m.From, p, false)
	}
	c.finishTransfer()
	c.promoteReady()
}

// advance commits what a majority has synced. Entries of earlier terms are
// committed only through an entry of the current term.
func (c *core) advance() {
	index := c.quorumValue(c.matched)
	if index <= c.commit {
		return
	}
	if t, _ := c.log.term(index); t != c.term() && !c.hooks.commitAnyTerm {
		return
	}
	c.commit = index
	c.startReads()
	c.finishTransfer()
	c.membersCommitted()
}

func (c *core) matched(id uint64) uint64 {
	if id == c.id {
		return c.stable
	}
	if p := c.peers[id]; p != nil {
		return p.match
	}
	return 0
}
