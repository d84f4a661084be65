package quorum

import "github.com/mulberrylink/mulberrylink/state/storage"

// campaignPre asks whether an election could be won, without a new term.
func (c *core) campaignPre() {
	c.role, c.leader = PreCandidate, 0
	c.votes = map[uint64]bool{c.id: true}
	if c.countVotes() {
		return
	}
	c.ask(PreVoteRequest, c.term()+1, false)
}

// campaign starts an election. The own vote counts once it is synced.
func (c *core) campaign(transfer bool) {
	c.setHard(c.term()+1, c.id)
	c.role, c.leader = Candidate, 0
	c.votes = map[uint64]bool{}
	c.resetElection()
	c.ask(VoteRequest, c.term(), transfer)
}

func (c *core) ask(kind MessageKind, term uint64, transfer bool) {
	for _, m := range c.members() {
		if m.Learner || m.ID == c.id {
			continue
		}
		c.post(Message{
			Kind: kind, To: m.ID, Term: term, Transfer: transfer,
			Index: c.log.last(), LogTerm: c.log.lastTerm(),
		})
	}
}

// handleAsk answers a request for a vote. A learner answers too: it may have
// been promoted by an entry that it has not received, and only members that
// the candidate counts as voters are asked.
func (c *core) handleAsk(m Message) {
	upToDate := m.LogTerm > c.log.lastTerm() ||
		m.LogTerm == c.log.lastTerm() && m.Index >= c.log.last() || c.hooks.skipTermCheck
	if m.From == c.leader && c.role == Follower {
		c.leader = 0 // who asks for votes does not lead any more
	}
	if m.Kind == PreVoteRequest {
		// A refusal carries the own term, a grant the term asked about.
		if upToDate && m.Term > c.term() {
			c.reply(m, Message{Kind: PreVoteResponse, Term: m.Term})
		} else {
			c.reply(m, Message{Kind: PreVoteResponse, Reject: true})
		}
		return
	}
	free := c.hard.Vote == m.From || c.hard.Vote == 0 && c.leader == 0 || c.hooks.forgetVote
	if !free || !upToDate || c.role == Leader {
		c.reply(m, Message{Kind: VoteResponse, Reject: true})
		return
	}
	c.setHard(c.term(), m.From)
	c.resetElection()
	c.reply(m, Message{Kind: VoteResponse})
}

func (c *core) handleVote(m Message) {
	switch {
	case m.Kind == PreVoteResponse && c.role == PreCandidate && (m.Reject || m.Term == c.term()+1):
	case m.Kind == VoteResponse && c.role == Candidate:
	default:
		return
	}
	c.votes[m.From] = !m.Reject
	c.countVotes()
}

// countVotes ends an election that is decided and reports whether it was won.
func (c *core) countVotes() bool {
	granted, refused := 0, 0
	for _, m := range c.members() {
		vote, ok := c.votes[m.ID]
		switch {
		case m.Learner || !ok:
		case vote:
			granted++
		default:
			refused++
		}
	}
	switch {
	case granted >= c.quorum() && c.role == PreCandidate:
		c.campaign(false)
		return true
	case granted >= c.quorum():
		c.becomeLeader()
		return true
	case refused >= c.quorum():
		c.becomeFollower(c.term(), 0)
	}
	return false
}

func (c *core) becomeLeader() {
	c.role, c.leader, c.votes = Leader, c.id, nil
	c.peers = map[uint64]*peer{}
	c.syncPeers()
	c.heartbeatAt = c.now.Add(c.timing.heartbeat)
	c.termStart = c.log.last() + 1
	c.appendOwn(storage.Entry{Kind: entryEmpty})
}

// transfer hands leadership to the voter with the longest log.
func (c *core) transfer() {
	if c.role != Leader || c.transferTo != 0 {
		return
	}
	best, match := uint64(0), uint64(0)
	for _, m := range c.members() {
		p := c.peers[m.ID]
		if m.Learner || p == nil || c.now.Sub(p.heard) > c.timing.electionMin {
			continue
		}
		if best == 0 || p.match > match {
			best, match = m.ID, p.match
		}
	}
	if best == 0 {
		return
	}
	c.transferTo, c.transferUntil = best, c.now.Add(c.timing.electionMax)
	c.finishTransfer()
}

// finishTransfer tells the chosen voter to take over once everything proposed
// is committed and synced there, so that no proposal ends as indeterminate.
func (c *core) finishTransfer() {
	p := c.peers[c.transferTo]
	if c.role == Leader && p != nil && p.match == c.log.last() && c.commit == c.log.last() {
		c.post(Message{Kind: TimeoutNow, To: c.transferTo})
	}
}
