package quorum

// readTracker holds the reads of a member that have not been completed. A leader confirms reads in
// numbered rounds: it sends the round to its peers, and a round is confirmed once a majority has
// responded to it.
type readTracker struct {
	round     uint64        // latest read round
	pending   []pendingRead // reads at the leader
	forwarded []uint64      // tokens of the reads that were sent to the leader
	results   []readResult  // completed reads, for takeReadResults
}

// pendingRead is a read that the leader has not confirmed yet.
type pendingRead struct {
	round   uint64 // 0 until the read is assigned to a round
	index   uint64 // commit index when the round started
	token   uint64
	request Message // request of another member; From is 0 for a read of the leader itself
}

// readResult is a completed read. If ok, it may be answered once index is applied.
type readResult struct {
	token uint64
	index uint64
	ok    bool
}

// startRead requests a read index. A member that doesn't lead asks the leader. Tokens are random, so
// that a response to an earlier process of this member never matches.
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
		// The commit index of a new leader may be stale until its first entry is committed.
		c.reads.pending = append(c.reads.pending, r)
		return
	}
	c.reads.round++
	r.round, r.index = c.reads.round, c.commit
	c.reads.pending = append(c.reads.pending, r)
	c.broadcastAppend(true)
	c.completeConfirmedReads()
}

// startDeferredReads starts a round for the reads that waited for the first commit of the term.
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

// completeConfirmedReads completes the reads whose round a majority has responded to.
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
	kept := c.reads.pending[:0]
	for _, r := range c.reads.pending {
		if r.round == 0 || r.round > confirmed {
			kept = append(kept, r)
			continue
		}
		c.completeRead(r)
	}
	c.reads.pending = kept
}

func (c *core) completeRead(r pendingRead) {
	if r.request.From == 0 {
		c.reads.results = append(c.reads.results, readResult{token: r.token, index: r.index, ok: true})
		return
	}
	if p := c.peers[r.request.From]; p != nil {
		c.sendAppend(r.request.From, p, true) // carries the commit index
	}
	c.reply(r.request, Message{Kind: ReadIndexResponse, Hint: r.token, Index: r.index})
}

// forwardReads sends the newest forwarded read to the leader. The response also completes the older
// ones, so that it is enough to repeat the newest one when a message is lost.
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

// failReads fails the pending reads of a leader that steps down. Members that forwarded reads send
// them to the next leader.
func (c *core) failReads() {
	for _, r := range c.reads.pending {
		if r.request.From == 0 {
			c.reads.results = append(c.reads.results, readResult{token: r.token})
		}
	}
	c.reads.pending = nil
}

// dropForwardedRead removes a forwarded read that no caller waits for.
func (c *core) dropForwardedRead(token uint64) {
	kept := c.reads.forwarded[:0]
	for _, t := range c.reads.forwarded {
		if t != token {
			kept = append(kept, t)
		}
	}
	c.reads.forwarded = kept
}

// takeReadResults returns the reads that were completed since the last call.
func (c *core) takeReadResults() []readResult {
	out := c.reads.results
	c.reads.results = nil
	return out
}
