package quorum

import (
	"context"
	"maps"
	"time"
)

// Diagnosis is what a member knows about why its group has a leader or lacks one.
type Diagnosis struct {
	MemberStatus
	// Silent lists the voters from which no message has come within the maximum election timeout.
	Silent []Member
	// Ballot is the latest pre-vote or election of this member.
	Ballot Ballot
	// LastIndex is the index of the last entry of the log, committed or not.
	LastIndex uint64
}

// Ballot is a pre-vote or an election in which a member stood.
type Ballot struct {
	Kind    MessageKind // PreVoteRequest or VoteRequest, 0 if there was none
	Term    uint64
	At      time.Time
	Granted int // with the member's own vote, once another one has answered or it is synced
	Refused int
}

// record sets the votes of the ballot if it is of this kind. Votes of an earlier one may still arrive.
func (b *Ballot) record(kind MessageKind, granted, refused int) {
	if b.Kind == kind {
		b.Granted, b.Refused = granted, refused
	}
}

// Diagnose returns the diagnosis of this member. It fails if ctx ends first or the host has stopped.
func (h *Host) Diagnose(ctx context.Context) (d Diagnosis, err error) {
	err = h.call(ctx, func() {
		h.publishStatus()
		d = Diagnosis{MemberStatus: h.Status(), Silent: h.core.silentVoters(h.deps.now()), Ballot: h.core.ballot, LastIndex: h.core.log.last()}
	})
	return d, err
}

// recordMessage remembers when a message of another member arrived.
func (c *core) recordMessage(from uint64) {
	if c.heard == nil {
		c.heard = make(map[uint64]time.Time)
	}
	if _, ok := c.member(from); ok {
		c.heard[from] = c.now
	}
	if len(c.heard) > len(c.members()) {
		maps.DeleteFunc(c.heard, func(id uint64, _ time.Time) bool { _, ok := c.member(id); return !ok })
	}
}

// silentVoters returns the other voters from which no message has come within the maximum election
// timeout before now.
func (c *core) silentVoters(now time.Time) []Member {
	var silent []Member
	for _, m := range c.members() {
		if at, ok := c.heard[m.ID]; !m.Learner && m.ID != c.id && (!ok || now.Sub(at) > c.timing.electionTimeoutMax) {
			silent = append(silent, m)
		}
	}
	return silent
}
