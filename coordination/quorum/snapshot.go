package quorum

import "github.com/mulberrylink/mulberrylink/state/storage"

// incoming is a snapshot that arrives in chunks.
type incoming struct {
	index uint64
	term  uint64
	data  []byte
}

// compactAt offers a snapshot of the state machine at a committed index. It is
// written with the next batch.
func (c *core) compactAt(index uint64, data []byte) error {
	members, err := encodeMembers(c.membersAt(index))
	if err != nil {
		return err
	}
	term, ok := c.log.term(index)
	if !ok {
		return nil
	}
	c.compact = &storage.Snapshot{Index: index, Term: term, Members: members, Data: data}
	return nil
}

// compacted drops the log behind a snapshot that was synced.
func (c *core) compacted(sn storage.Snapshot) {
	if sn.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = sn
	through := sn.Index - min(sn.Index, c.deps.trailing)
	if through <= c.log.base {
		return
	}
	members := c.membersAt(through)
	keep := []view{{index: through, members: members}}
	for _, v := range c.views {
		if v.index > through {
			keep = append(keep, v)
		}
	}
	c.views = keep
	c.log.compact(through)
}

// sendChunk sends the next chunk of the snapshot, or the same one again when
// its acknowledgement is late. A leader without a snapshot has its whole log,
// so there always is one here.
func (c *core) sendChunk(id uint64, p *peer, again bool) {
	sn := &c.snapshot
	if p.snapIndex != sn.Index {
		p.snapIndex, p.snapOffset, again = sn.Index, 0, true
		p.snapAt = c.now.Add(-c.timing.heartbeat)
	}
	if !again || c.now.Sub(p.snapAt) < c.timing.heartbeat {
		return
	}
	c.postChunk(id, p)
}

func (c *core) postChunk(id uint64, p *peer) {
	sn := &c.snapshot
	p.snapAt = c.now
	from := min(p.snapOffset, uint64(len(sn.Data)))
	to := min(from+c.deps.chunk, uint64(len(sn.Data)))
	c.post(Message{
		Kind: SnapshotChunk, To: id, Index: sn.Index, LogTerm: sn.Term, Members: sn.Members,
		Offset: from, Data: sn.Data[from:to], Done: to == uint64(len(sn.Data)), ReadRound: c.reads.seq,
	})
}

func (c *core) handleChunk(m Message) {
	if m.Index <= c.commit {
		c.reply(m, Message{Kind: AppendResponse, Index: c.commit, ReadRound: m.ReadRound})
		return
	}
	in := &c.receive
	if in.index != m.Index || in.term != m.LogTerm {
		*in = incoming{index: m.Index, term: m.LogTerm}
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
		if m.Done {
			c.installReceived(m)
			return
		}
	}
	c.reply(m, Message{Kind: SnapshotChunkResponse, Index: in.index, Offset: uint64(len(in.data)), ReadRound: m.ReadRound})
}

func (c *core) installReceived(m Message) {
	data := c.receive.data
	c.receive = incoming{}
	answer := Message{Kind: AppendResponse, Index: m.Index, ReadRound: m.ReadRound}
	if t, ok := c.log.term(m.Index); ok && t == m.LogTerm {
		c.commit = m.Index // the log already holds what the snapshot replaces
		c.reply(m, answer)
		return
	}
	members, err := decodeMembers(m.Members)
	if err != nil {
		return
	}
	c.snapshot = storage.Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members, Data: data}
	sn := c.snapshot
	c.install, c.restore, c.compact = &sn, &sn, nil
	c.log.reset(sn.Index, sn.Term)
	c.views = []view{{index: sn.Index, members: members}}
	c.commit, c.stable = sn.Index, sn.Index
	c.reply(m, answer)
}

func (c *core) handleChunkStored(m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.heard, p.answered = c.now, true
	p.read = max(p.read, m.ReadRound)
	c.confirmReads()
	if p.snapIndex == 0 || m.Index != p.snapIndex || m.Index != c.snapshot.Index {
		return
	}
	if m.Offset != p.snapOffset {
		p.snapOffset = m.Offset
		c.postChunk(m.From, p)
	}
}
