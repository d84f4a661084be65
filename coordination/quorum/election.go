package quorum

import (
	"time"

	"github.com/mulberrylink/mulberrylink/state/storage"
)

// From round firstYield of pre-votes on, one round in yieldOdds gives way to any other candidate, as does
// each one after maxIsolated rounds in which no majority has answered.
const (
	maxIsolated = 2
	firstYield  = 3
	yieldOdds   = 4
)

// startPreVote asks the voters whether they would vote for this member, without entering a new term.
// Votes that it has been granted in the current term still count: on slow hosts they may arrive after
// the election timeout.
func (c *core) startPreVote() {
	if c.leader != 0 && !c.lastLeaderContact.IsZero() {
		c.markUnanswered(c.leader, c.lastLeaderContact)
	}
	c.role, c.leader = PreCandidate, 0
	c.preVotes = map[uint64]bool{c.id: true}
	c.rounds++
	if c.majorityAnswered() {
		c.isolated = 0
	} else if c.rounds > 1 {
		c.isolated++
	}
	c.yields = c.isolated >= maxIsolated || c.rounds >= firstYield && c.deps.random(yieldOdds) == 0
	c.answered = map[uint64]bool{}
	if c.countPreVotes() {
		return
	}
	c.requestVotes(PreVoteRequest, c.term()+1, false)
}

// majorityAnswered reports whether a majority of the voters, this member included, has answered since the
// last round of pre-votes began. A member that did not reach one could not win.
func (c *core) majorityAnswered() bool {
	return c.haveMajority(c.members(), func(id uint64) bool { return id == c.id || c.answered[id] })
}

// startElection starts an election in a new term. The member's own vote counts once it is synced.
func (c *core) startElection(transfer bool) {
	c.setHardState(c.term()+1, c.id)
	c.role, c.leader = Candidate, 0
	c.votes = map[uint64]bool{}
	c.resetElectionTimer()
	c.requestVotes(VoteRequest, c.term(), transfer)
}

func (c *core) requestVotes(kind MessageKind, term uint64, transfer bool) {
	c.ballot = Ballot{Kind: kind, Term: term, At: c.now}
	for _, m := range c.members() {
		if m.Learner || m.ID == c.id {
			continue
		}
		c.markUnanswered(m.ID, c.now)
		c.send(Message{
			Kind: kind, To: m.ID, Term: term, Transfer: transfer,
			Index: c.log.last(), LogTerm: c.log.lastTerm(),
		})
	}
}

// markUnanswered records since when a member has not answered, unless it is known for longer.
func (c *core) markUnanswered(id uint64, since time.Time) {
	if c.unanswered == nil {
		c.unanswered = map[uint64]time.Time{}
	}
	if _, known := c.unanswered[id]; !known {
		c.unanswered[id] = since
	}
}

// handleVoteRequest answers a pre-vote or vote request. A learner answers too: it may have been
// promoted by an entry that it has not received, and a candidate asks only members that are voters
// in its own membership.
func (c *core) handleVoteRequest(m Message) {
	upToDate := m.LogTerm > c.log.lastTerm() ||
		m.LogTerm == c.log.lastTerm() && m.Index >= c.log.last() || c.faults.noLogCheck
	if m.From == c.leader && c.role == Follower {
		c.leader = 0 // a member that requests votes no longer leads
	}
	if m.Kind == PreVoteRequest {
		// A rejection carries this member's term, a grant the requested term.
		if upToDate && m.Term > c.term() && !c.precedes(m) {
			c.reply(m, Message{Kind: PreVoteResponse, Term: m.Term})
		} else {
			c.reply(m, Message{Kind: PreVoteResponse, Reject: true})
		}
		return
	}
	canVote := c.hard.Vote == m.From || c.hard.Vote == 0 && c.leader == 0 || c.faults.doubleVote
	if !canVote || !upToDate || c.role == Leader {
		c.reply(m, Message{Kind: VoteResponse, Reject: true})
		return
	}
	c.setHardState(c.term(), m.From)
	c.resetElectionTimer()
	c.reply(m, Message{Kind: VoteResponse})
}

// precedes reports whether this member asks for votes itself and takes precedence over the candidate that
// sent m: because that one has granted them, or by its log and identity. Two candidates that grant each
// other's pre-vote split the votes, and where each living voter is needed neither can win. Precedence ends
// with the first rejection, and is not final otherwise: this member may be unable to reach some voters, and
// then gives way in its next round.
func (c *core) precedes(m Message) bool {
	var answers map[uint64]bool
	switch {
	case c.role == Candidate:
		answers = c.votes
	case c.role == PreCandidate && !c.yields:
		answers = c.preVotes
	default:
		return false
	}
	if _, rejected := c.tally(answers); rejected > 0 {
		return false
	}
	sameLog := m.LogTerm == c.log.lastTerm() && m.Index == c.log.last()
	return answers[m.From] || sameLog && m.From < c.id
}

func (c *core) handleVoteResponse(m Message) {
	if c.answered != nil && m.From != c.id {
		c.answered[m.From] = true
	}
	switch {
	case m.Kind == PreVoteResponse && c.role == PreCandidate && (m.Reject || m.Term == c.term()+1):
		c.preVotes[m.From] = !m.Reject
		c.countPreVotes()
	case m.Kind == VoteResponse && c.votes != nil && c.role != Leader:
		c.votes[m.From] = !m.Reject
		c.countVotes()
	}
}

// countPreVotes starts an election once a majority has granted the pre-vote, and reports whether it did.
func (c *core) countPreVotes() bool {
	granted, rejected := c.tally(c.preVotes)
	c.ballot.record(PreVoteRequest, granted, rejected)
	switch {
	case c.granted(c.preVotes):
		c.startElection(false)
		return true
	case c.lost(c.preVotes):
		c.becomeFollower(c.term(), 0)
	}
	return false
}

// countVotes makes this member the leader once a majority has granted its vote.
func (c *core) countVotes() {
	granted, rejected := c.tally(c.votes)
	c.ballot.record(VoteRequest, granted, rejected)
	switch {
	case c.granted(c.votes):
		c.becomeLeader()
	case c.lost(c.votes) && c.role == Candidate:
		c.becomeFollower(c.term(), 0)
	}
}

// granted reports whether a majority of each set of voters has granted.
func (c *core) granted(votes map[uint64]bool) bool {
	return c.haveMajority(c.members(), func(id uint64) bool { return votes[id] })
}

// lost reports whether a majority of one set of voters has rejected.
func (c *core) lost(votes map[uint64]bool) bool {
	for _, set := range c.voterSets(c.members()) {
		rejected := 0
		for _, id := range set {
			if vote, ok := votes[id]; ok && !vote {
				rejected++
			}
		}
		if rejected > len(set)/2 {
			return true
		}
	}
	return false
}

// tally counts the voters that have granted and that have rejected.
func (c *core) tally(votes map[uint64]bool) (granted, rejected int) {
	for _, m := range c.members() {
		vote, ok := votes[m.ID]
		switch {
		case m.Learner || !ok:
		case vote:
			granted++
		default:
			rejected++
		}
	}
	return granted, rejected
}

func (c *core) becomeLeader() {
	c.role, c.leader, c.preVotes, c.votes = Leader, c.id, nil, nil
	c.peers = map[uint64]*peer{}
	c.updatePeers()
	for id, since := range c.unanswered {
		if p := c.peers[id]; p != nil {
			p.silentSince = since
		}
	}
	c.unanswered, c.answered, c.rounds, c.isolated = nil, nil, 0, 0
	c.nextHeartbeat = c.now.Add(c.timing.heartbeatInterval)
	c.termStart = c.log.last() + 1
	c.appendEntry(storage.Entry{Kind: entryNoOp})
}

// transferLeadership starts a leadership transfer to the voter with the highest match index among
// those with a contact within the minimum election timeout.
func (c *core) transferLeadership() {
	if c.role != Leader || c.transferTarget != 0 {
		return
	}
	target, match := uint64(0), uint64(0)
	for _, m := range c.members() {
		p := c.peers[m.ID]
		if m.Learner || p == nil || c.now.Sub(p.lastContact) > c.timing.electionTimeoutMin {
			continue
		}
		if target == 0 || p.match > match {
			target, match = m.ID, p.match
		}
	}
	if target == 0 {
		return
	}
	c.transferTarget, c.transferDeadline = target, c.now.Add(c.timing.electionTimeoutMax)
	c.maybeSendTimeoutNow()
}

// maybeSendTimeoutNow tells the transfer target to start an election once it has synced the whole
// log and all of it is committed, so that no proposal ends as Indeterminate.
func (c *core) maybeSendTimeoutNow() {
	p := c.peers[c.transferTarget]
	if c.role == Leader && p != nil && p.match == c.log.last() && c.commit == c.log.last() {
		c.send(Message{Kind: TimeoutNow, To: c.transferTarget})
	}
}
