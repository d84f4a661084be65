package controlhost

import (
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/roster"
)

// maxCheckGap is the longest regular time between two checks of the group, a membership change included.
const maxCheckGap = 2 * memberChangeTimeout

// runClock notices when the process has not run for a while. What other hosts sent meanwhile is not
// evidence of their silence.
type runClock struct {
	checkedAt time.Time
	resumedAt time.Time // when the process went on after the last gap
}

// check is called at each check of the group.
func (c *runClock) check(now time.Time) {
	if now.Sub(c.checkedAt) > maxCheckGap {
		c.resumedAt = now
	}
	c.checkedAt = now
}

// addOwnEvidence moves UnresponsiveSince of each unresponsive member back to the last message on the feed
// of this host to it. The log knows of no silence before the leader that this one succeeds, so without the
// feed no member would be unresponsive for long while the leader changes again and again. A member has an
// election timeout to respond to a new leader first.
// Messages of any kind on the links of the log, in lastHeard, are no silence either.
func addOwnEvidence(members []roster.Member, clock *runClock, lastMessage func(addr string) time.Time, lastHeard map[uint64]time.Time, now time.Time) {
	for i := range members {
		m := &members[i]
		heard := lastMessage(m.Addr)
		if m.UnresponsiveSince.IsZero() || heard.IsZero() || now.Sub(m.UnresponsiveSince) < electionTimeoutMin {
			continue
		}
		for _, at := range []time.Time{clock.resumedAt, lastHeard[m.ID]} {
			if heard.Before(at) {
				heard = at
			}
		}
		if heard.Before(m.UnresponsiveSince) {
			m.UnresponsiveSince = heard
		}
	}
}

// connectedTimeout is the time since the last message of a host within which it counts as running: a few
// heartbeats of its feed.
const connectedTimeout = time.Second

// markConnected sets Connected of the members whose hosts have sent a message on their feed lately.
func markConnected(members []roster.Member, lastMessage func(addr string) time.Time, now time.Time) {
	for i := range members {
		heard := lastMessage(members[i].Addr)
		members[i].Connected = !heard.IsZero() && now.Sub(heard) < connectedTimeout
	}
}

// lastMessage returns when the feed of a member last brought a message, zero if it has not yet.
func (p *peerFeeds) lastMessage(addr string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.byAddr[addr]; peer != nil {
		return peer.client.LastMessage()
	}
	return time.Time{}
}
