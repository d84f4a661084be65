package quorum

// readState holds reads that wait for a confirmation.
type readState struct {
	seq     uint64 // number of the latest read round
	waiting []pendingRead
	forward []uint64 // tokens sent to the leader
	done    []readResult
}

// pendingRead is a read at the leader.
type pendingRead struct {
	seq   uint64
	index uint64
	token uint64
	from  Message // request of another member; From is 0 for an own read
}

// readResult tells that a read may be answered once index is applied.
type readResult struct {
	token uint64
	index uint64
	ok    bool
}

// read asks for a confirmation that the commit index is current. A member that
// does not lead asks the leader. Tokens are random, so that an answer to an
// earlier process of this member never matches.
func (c *core) read(token uint64) {
	if c.role == Leader {
		c.addRead(pendingRead{token: token})
		return
	}
	c.reads.forward = append(c.reads.forward, token)
	c.forwardReads()
}

func (c *core) addRead(r pendingRead) {
	if c.commit < c.termStart {
		// The commit index of a new leader may be behind: wait for its first entry.
		c.reads.waiting = append(c.reads.waiting, r)
		return
	}
	c.reads.seq++
	r.seq, r.index = c.reads.seq, c.commit
	c.reads.waiting = append(c.reads.waiting, r)
	c.broadcast(true)
	c.confirmReads()
}

// startReads numbers the reads that waited for the first commit of the term.
func (c *core) startReads() {
	if c.commit < c.termStart {
		return
	}
	started := false
	for i := range c.reads.waiting {
		r := &c.reads.waiting[i]
		if r.seq != 0 {
			continue
		}
		if !started {
			c.reads.seq++
			started = true
		}
		r.seq, r.index = c.reads.seq, c.commit
	}
	if started {
		c.broadcast(true)
		c.confirmReads()
	}
}

// confirmReads releases the reads whose round a majority has answered.
func (c *core) confirmReads() {
	if len(c.reads.waiting) == 0 {
		return
	}
	seq := c.quorumValue(func(id uint64) uint64 {
		if id == c.id || c.hooks.noReadConfirm {
			return c.reads.seq
		}
		if p := c.peers[id]; p != nil {
			return p.read
		}
		return 0
	})
	keep := c.reads.waiting[:0]
	for _, r := range c.reads.waiting {
		if r.seq == 0 || r.seq > seq {
			keep = append(keep, r)
			continue
		}
		c.finishRead(r)
	}
	c.reads.waiting = keep
}

func (c *core) finishRead(r pendingRead) {
	if r.from.From == 0 {
		c.reads.done = append(c.reads.done, readResult{token: r.token, index: r.index, ok: true})
		return
	}
	if p := c.peers[r.from.From]; p != nil {
		c.sendAppend(r.from.From, p, true) // brings the commit index along
	}
	c.reply(r.from, Message{Kind: ReadIndexResponse, Hint: r.token, Index: r.index})
}

// forwardReads sends the newest read to the leader. Its answer also serves the
// older ones, so a lost message needs no other repetition.
func (c *core) forwardReads() {
	if n := len(c.reads.forward); n > 0 && c.role == Follower && c.leader != 0 {
		c.post(Message{Kind: ReadIndexRequest, To: c.leader, Hint: c.reads.forward[n-1]})
	}
}

func (c *core) handleAskRead(m Message) {
	if c.role == Leader {
		c.addRead(pendingRead{token: m.Hint, from: m})
	}
}

func (c *core) handleReadIndex(m Message) {
	for i, token := range c.reads.forward {
		if token != m.Hint {
			continue
		}
		for _, t := range c.reads.forward[:i+1] {
			c.reads.done = append(c.reads.done, readResult{token: t, index: m.Index, ok: true})
		}
		c.reads.forward = c.reads.forward[i+1:]
		return
	}
}

// failReads ends the reads of a leader that steps down. Forwarded reads go to
// the next leader.
func (c *core) failReads() {
	for _, r := range c.reads.waiting {
		if r.from.From == 0 {
			c.reads.done = append(c.reads.done, readResult{token: r.token})
		}
	}
	c.reads.waiting = nil
}

// dropRead forgets a forwarded read that nobody waits for any more.
func (c *core) dropRead(token uint64) {
	keep := c.reads.forward[:0]
	for _, t := range c.reads.forward {
		if t != token {
			keep = append(keep, t)
		}
	}
	c.reads.forward = keep
}

// takeReads returns reads that ended.
func (c *core) takeReads() []readResult {
	out := c.reads.done
	c.reads.done = nil
	return out
}
