package quorum

// readState holds reads that wait for a confirmation.
type readState struct {
	round     uint64 // number of the latest read round
	pending   []pendingRead
	forwarded []uint64 // tokens sent to the leader
	results   []readResult
}

// pendingRead is a read at the leader.
type pendingRead struct {
	round   uint64
	index   uint64
	token   uint64
	request Message // request of another member; From is 0 for an own read
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
func (c *core) startRead(token uint64) {
	if c.role == Leader {
		c.addPendingRead(pendingRead{token: token})
		return
	}
	c.reads.forwarded = append(c.reads.forwarded, token)
	c.forwardReads()
}

func (c *core) addPendingRead(r pendingRead) {
	if c.commit < c.termStart {
		// The commit index of a new leader may be behind: wait for its first entry.
		c.reads.pending = append(c.reads.pending, r)
		return
	}
	c.reads.round++
	r.round, r.index = c.reads.round, c.commit
	c.reads.pending = append(c.reads.pending, r)
	c.broadcastAppend(true)
	c.completeConfirmedReads()
}

// startReads numbers the reads that waited for the first commit of the term.
func (c *core) startDeferredReads() {
	if c.commit < c.termStart {
		return
	}
	started := false
	for i := range c.reads.pending {
		r := &c.reads.pending[i]
		if r.round != 0 {
			continue
		}
		if !started {
			c.reads.round++
			started = true
		}
		r.round, r.index = c.reads.round, c.commit
	}
	if started {
		c.broadcastAppend(true)
		c.completeConfirmedReads()
	}
}

// confirmReads releases the reads whose round a majority has answered.
func (c *core) completeConfirmedReads() {
	if len(c.reads.pending) == 0 {
		return
	}
	confirmed := c.quorumValue(func(id uint64) uint64 {
		if id == c.id || c.faults.noReadConfirmation {
			return c.reads.round
		}
		if p := c.peers[id]; p != nil {
			return p.readRound
		}
		return 0
	})
	keep := c.reads.pending[:0]
	for _, r := range c.reads.pending {
		if r.round == 0 || r.round > confirmed {
			keep = append(keep, r)
			continue
		}
		c.completeRead(r)
	}
	c.reads.pending = keep
}

func (c *core) completeRead(r pendingRead) {
	if r.request.From == 0 {
		c.reads.results = append(c.reads.results, readResult{token: r.token, index: r.index, ok: true})
		return
	}
	if p := c.peers[r.request.From]; p != nil {
		c.sendAppend(r.request.From, p, true) // brings the commit index along
	}
	c.reply(r.request, Message{Kind: ReadIndexResponse, Hint: r.token, Index: r.index})
}

// forwardReads sends the newest read to the leader. Its answer also serves the
// older ones, so a lost message needs no other repetition.
func (c *core) forwardReads() {
	if n := len(c.reads.forwarded); n > 0 && c.role == Follower && c.leader != 0 {
		c.send(Message{Kind: ReadIndexRequest, To: c.leader, Hint: c.reads.forwarded[n-1]})
	}
}

func (c *core) handleReadIndexRequest(m Message) {
	if c.role == Leader {
		c.addPendingRead(pendingRead{token: m.Hint, request: m})
	}
}

func (c *core) handleReadIndexResponse(m Message) {
	for i, token := range c.reads.forwarded {
		if token != m.Hint {
			continue
		}
		for _, t := range c.reads.forwarded[:i+1] {
			c.reads.results = append(c.reads.results, readResult{token: t, index: m.Index, ok: true})
		}
		c.reads.forwarded = c.reads.forwarded[i+1:]
		return
	}
}

// failReads ends the reads of a leader that steps down. Forwarded reads go to
// the next leader.
func (c *core) failReads() {
	for _, r := range c.reads.pending {
		if r.request.From == 0 {
			c.reads.results = append(c.reads.results, readResult{token: r.token})
		}
	}
	c.reads.pending = nil
}

// dropRead forgets a forwarded read that nobody waits for any more.
func (c *core) dropForwardedRead(token uint64) {
	keep := c.reads.forwarded[:0]
	for _, t := range c.reads.forwarded {
		if t != token {
			keep = append(keep, t)
		}
	}
	c.reads.forwarded = keep
}

// takeReads returns reads that ended.
func (c *core) takeReads() []readResult {
	out := c.reads.results
	c.reads.results = nil
	return out
}
