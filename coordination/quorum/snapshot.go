package quorum

import "github.com/mulberrylink/mulberrylink/state/storage"

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	index uint64
	term  uint64
	data  []byte
}

// startCompaction queues a snapshot of the state machine at an applied index. It is written with
// the next batch, and the log is compacted after that.
func (c *core) startCompaction(index uint64, data []byte) error {
	members, err := encodeMembers(c.membersAt(index))
	if err != nil {
		return err
	}
	term, ok := c.log.term(index)
	if !ok {
		return nil
	}
	c.pendingCompact = &storage.Snapshot{Index: index, Term: term, Members: members, Data: data}
	return nil
}

// finishCompaction drops the log prefix that a synced snapshot covers, except for the trailing
// entries.
func (c *core) finishCompaction(snap storage.Snapshot) {
	if snap.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = snap
	through := c.compactionEnd(snap.Index)
	if through <= c.log.base {
		return
	}
	members := c.membersAt(through)
	kept := []membership{{index: through, members: members}}
	for _, ms := range c.memberships {
		if ms.index > through {
			kept = append(kept, ms)
		}
	}
	c.memberships = kept
	c.log.compact(through)
}

// compactionEnd returns the last index to drop once a snapshot at index is stored.
func (c *core) compactionEnd(index uint64) uint64 {
	end, size := index, 0
	for end > c.log.base && index-end < c.deps.trailingEntries {
		size += len(c.log.entries[end-c.log.base-1].Data)
		if size > maxTrailingBytes {
			break
		}
		end--
	}
	return end
}

// sendSnapshot starts sending the latest snapshot to a peer. If that is in progress already, it
// resends the current chunk if resend is set and the chunk was sent at least a heartbeat interval
// ago. A leader without a snapshot holds its whole log, so there always is a snapshot here.
func (c *core) sendSnapshot(id uint64, p *peer, resend bool) {
	snap := &c.snapshot
	if p.snapshotIndex != snap.Index {
		p.snapshotIndex, p.snapshotOffset, resend = snap.Index, 0, true
		p.chunkSentAt = c.now.Add(-c.timing.heartbeatInterval)
	}
	if !resend || c.now.Sub(p.chunkSentAt) < c.timing.heartbeatInterval {
		return
	}
	c.sendSnapshotChunk(id, p)
}

func (c *core) sendSnapshotChunk(id uint64, p *peer) {
	snap := &c.snapshot
	p.chunkSentAt = c.now
	from := min(p.snapshotOffset, uint64(len(snap.Data)))
	to := min(from+c.deps.chunkBytes, uint64(len(snap.Data)))
	c.send(Message{
		Kind: SnapshotChunk, To: id, Index: snap.Index, LogTerm: snap.Term, Members: snap.Members,
		Offset: from, Data: snap.Data[from:to], Done: to == uint64(len(snap.Data)), ReadRound: c.reads.round,
	})
}

func (c *core) handleSnapshotChunk(m Message) {
	if m.Index <= c.commit {
		c.reply(m, Message{Kind: AppendResponse, Index: c.commit, ReadRound: m.ReadRound})
		return
	}
	snap := &c.incoming
	if snap.index != m.Index || snap.term != m.LogTerm {
		*snap = incomingSnapshot{index: m.Index, term: m.LogTerm}
	}
	if m.Offset == uint64(len(snap.data)) {
		snap.data = append(snap.data, m.Data...)
		if m.Done {
			c.installIncoming(m)
			return
		}
	}
	c.reply(m, Message{Kind: SnapshotChunkResponse, Index: snap.index, Offset: uint64(len(snap.data)), ReadRound: m.ReadRound})
}

// installIncoming replaces the log and the state with the complete incoming snapshot, unless the log
// already holds the last entry that the snapshot covers.
func (c *core) installIncoming(m Message) {
	data := c.incoming.data
	c.incoming = incomingSnapshot{}
	resp := Message{Kind: AppendResponse, Index: m.Index, ReadRound: m.ReadRound}
	if t, ok := c.log.term(m.Index); ok && t == m.LogTerm {
		c.commit = m.Index // the log already holds all entries that the snapshot covers
		c.reply(m, resp)
		return
	}
	members, err := decodeMembers(m.Members)
	if err != nil {
		return
	}
	c.snapshot = storage.Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members, Data: data}
	snap := c.snapshot
	c.pendingInstall, c.pendingRestore, c.pendingCompact = &snap, &snap, nil
	c.log.reset(snap.Index, snap.Term)
	c.memberships = []membership{{index: snap.Index, members: members}}
	c.commit, c.stable = snap.Index, snap.Index
	c.reply(m, resp)
}

func (c *core) handleSnapshotChunkResponse(m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.lastContact, p.responded = c.now, true
	p.readRound = max(p.readRound, m.ReadRound)
	c.completeConfirmedReads()
	if p.snapshotIndex == 0 || m.Index != p.snapshotIndex || m.Index != c.snapshot.Index {
		return
	}
	if m.Offset != p.snapshotOffset {
		p.snapshotOffset = m.Offset
		c.sendSnapshotChunk(m.From, p)
	}
}
