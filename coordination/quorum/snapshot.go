package quorum

import "github.com/mulberrylink/mulberrylink/state/storage"

// incoming is a snapshot that arrives in chunks.
type incomingSnapshot struct {
	index uint64
	term  uint64
	data  []byte
}

// compactAt offers a snapshot of the state machine at a committed index. It is
// written with the next batch.
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

// compacted drops the log behind a snapshot that was synced.
func (c *core) finishCompaction(snap storage.Snapshot) {
	if snap.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = snap
	through := snap.Index - min(snap.Index, c.deps.trailingEntries)
	if through <= c.log.base {
		return
	}
	members := c.membersAt(through)
	keep := []membership{{index: through, members: members}}
	for _, v := range c.memberships {
		if v.index > through {
			keep = append(keep, v)
		}
	}
	c.memberships = keep
	c.log.compact(through)
}

// sendChunk sends the next chunk of the snapshot, or the same one again when
// its acknowledgement is late. A leader without a snapshot has its whole log,
// so there always is one here.
func (c *core) sendSnapshot(id uint64, p *peer, resend bool) {
	sn := &c.snapshot
	if p.snapshotIndex != sn.Index {
		p.snapshotIndex, p.snapshotOffset, resend = sn.Index, 0, true
		p.chunkSentAt = c.now.Add(-c.timing.heartbeatInterval)
	}
	if !resend || c.now.Sub(p.chunkSentAt) < c.timing.heartbeatInterval {
		return
	}
	c.sendSnapshotChunk(id, p)
}

func (c *core) sendSnapshotChunk(id uint64, p *peer) {
	sn := &c.snapshot
	p.chunkSentAt = c.now
	from := min(p.snapshotOffset, uint64(len(sn.Data)))
	to := min(from+c.deps.chunkBytes, uint64(len(sn.Data)))
	c.send(Message{
		Kind: SnapshotChunk, To: id, Index: sn.Index, LogTerm: sn.Term, Members: sn.Members,
		Offset: from, Data: sn.Data[from:to], Done: to == uint64(len(sn.Data)), ReadRound: c.reads.round,
	})
}

func (c *core) handleSnapshotChunk(m Message) {
	if m.Index <= c.commit {
		c.reply(m, Message{Kind: AppendResponse, Index: c.commit, ReadRound: m.ReadRound})
		return
	}
	in := &c.incoming
	if in.index != m.Index || in.term != m.LogTerm {
		*in = incomingSnapshot{index: m.Index, term: m.LogTerm}
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
		if m.Done {
			c.installIncoming(m)
			return
		}
	}
	c.reply(m, Message{Kind: SnapshotChunkResponse, Index: in.index, Offset: uint64(len(in.data)), ReadRound: m.ReadRound})
}

func (c *core) installIncoming(m Message) {
	data := c.incoming.data
	c.incoming = incomingSnapshot{}
	resp := Message{Kind: AppendResponse, Index: m.Index, ReadRound: m.ReadRound}
	if t, ok := c.log.term(m.Index); ok && t == m.LogTerm {
		c.commit = m.Index // the log already holds what the snapshot replaces
		c.reply(m, resp)
		return
	}
	members, err := decodeMembers(m.Members)
	if err != nil {
		return
	}
	c.snapshot = storage.Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members, Data: data}
	sn := c.snapshot
	c.pendingInstall, c.pendingRestore, c.pendingCompact = &sn, &sn, nil
	c.log.reset(sn.Index, sn.Term)
	c.memberships = []membership{{index: sn.Index, members: members}}
	c.commit, c.stable = sn.Index, sn.Index
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
