package quorum

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/coordination/roster"
	"github.com/mulberrylink/mulberrylink/state/storage/storagetest"
)

const (
	rosterInterval      = 200 * time.Millisecond
	changeInterval      = 20 * time.Millisecond
	memberChangeTimeout = time.Second
	noLeaderTimeout     = 2 * time.Second
	steadyLeaderTime    = time.Second
	joinRequestTTL      = time.Second
	callTimeout         = 800 * time.Millisecond
	// joinInterval includes the wait for hosts that do not reply.
	joinInterval = 400 * time.Millisecond
	// wholeAgain is the time after the start of the last successor within which the group must have
	// replaced all lost members: from then on the users' deployments may lose further disks.
	wholeAgain = 4 * time.Second
	// replaceSeeds is the number of seeds of TestReplacementsComplete for each group size.
	replaceSeeds = 60
)

// replacement is a simulation whose members are added and removed by package roster, as controlhost
// does it.
type replacement struct {
	*simulation
	keepers   map[*simNode]*groupKeeper
	inquiries []*inquiry
	journal   []string
}

// groupKeeper is the part of a control host that changes the group and asks to join it.
type groupKeeper struct {
	joiners      map[roster.Joiner]time.Duration // until their requests expire
	nextCheck    time.Duration
	change       *roster.Action // being carried out
	proposed     bool
	changeEndsAt time.Duration
	nextInquiry  time.Duration
	leaderSince  time.Duration // 0 without a leader
	leaderSeenAt time.Duration // when a steady leader was last known
}

// inquiry is a join request that waits for the read barrier of the leader.
type inquiry struct {
	from, to *simNode
	joiner   roster.Joiner
	blank    bool
	read     *readRequest
	cancel   context.CancelFunc
	expires  time.Duration
}

func (r *replacement) step() {
	r.simulation.step()
	r.answerInquiries()
	for _, n := range r.nodes {
		if n.runs() {
			r.inquire(n)
			r.changeGroup(n)
		}
	}
}

// note records an event for the output of a failed test.
func (r *replacement) note(format string, args ...any) {
	r.journal = append(r.journal, fmt.Sprintf("%8v %s", r.now, fmt.Sprintf(format, args...)))
}

func (r *replacement) keeper(n *simNode) *groupKeeper {
	if r.keepers[n] == nil {
		r.keepers[n] = &groupKeeper{joiners: map[roster.Joiner]time.Duration{}, leaderSeenAt: r.now}
	}
	return r.keepers[n]
}

// inquire lets a host that has no group, or no leader for some time, ask the leader whether it is a
// member.
func (r *replacement) inquire(n *simNode) {
	k, c := r.keeper(n), n.host.core
	blank := len(c.members()) == 0
	switch {
	case c.leader == 0 || blank:
		k.leaderSince = 0
	case k.leaderSince == 0:
		k.leaderSince = r.now
	case r.now-k.leaderSince >= steadyLeaderTime:
		k.leaderSeenAt = r.now
	}
	if r.now < k.nextInquiry || !blank && r.now-k.leaderSeenAt < noLeaderTimeout {
		return
	}
	k.nextInquiry = r.now + joinInterval
	for _, to := range r.nodes {
		if !to.runs() || !to.leads() || r.blockedLinks[[2]int{n.index, to.index}] || r.blockedLinks[[2]int{to.index, n.index}] {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		q := &inquiry{
			from: n, to: to, joiner: roster.Joiner{ID: c.id, Addr: n.addr}, blank: blank, cancel: cancel,
			read: &readRequest{ctx: ctx, done: make(chan bool, 1)}, expires: r.now + callTimeout,
		}
		r.inquiries = append(r.inquiries, q)
		to.host.handleReads(q.read)
		to.flush()
	}
}

// answerInquiries answers the join requests that the leader has confirmed. A host that is told that
// it is no member discards its identity.
func (r *replacement) answerInquiries() {
	r.inquiries = slices.DeleteFunc(r.inquiries, func(q *inquiry) bool {
		select {
		case ok := <-q.read.done:
			q.cancel()
			if ok && q.to.runs() {
				r.answer(q)
			}
			return true
		default:
		}
		if r.now >= q.expires {
			q.cancel()
			return true
		}
		return false
	})
}

func (r *replacement) answer(q *inquiry) {
	isMember := slices.ContainsFunc(q.to.host.core.members(), func(m Member) bool { return m.ID == q.joiner.ID })
	switch {
	case q.blank:
		r.keeper(q.to).joiners[q.joiner] = r.now + joinRequestTTL
	case !isMember && q.from.runs() && q.from.host.core.id == q.joiner.ID && r.now >= q.from.stalledUntil && q.from.disk.Fail == nil:
		r.eventCounts["discarded identities"]++
		r.note("%s discards identity %d", q.from.addr, q.joiner.ID)
		q.from.stop(false)
		q.from.wipe()
		r.restart(q.from)
	}
}

// changeGroup lets a host that leads carry out the next change of the group.
func (r *replacement) changeGroup(n *simNode) {
	k := r.keeper(n)
	now := time.Unix(1_000_000, 0).Add(r.now)
	n.host.publishStatus()
	status := n.host.Status()
	if status.Role != Leader || status.Err != nil {
		k.change = nil
		return
	}
	if k.change != nil && !r.continueChange(n, k) {
		return
	}
	if r.now < k.nextCheck {
		return
	}
	k.nextCheck = r.now + rosterInterval
	var members []roster.Member
	for _, m := range status.Members {
		member := roster.Member{ID: m.ID, Addr: m.Addr, Learner: m.Learner || m.Joining, Connected: r.connected(n, m.Addr)}
		if !m.Joining {
			member.UnresponsiveSince = status.Unresponsive[m.ID]
		}
		members = append(members, member)
		if m.Learner {
			k.nextCheck = r.now + changeInterval
		}
	}
	maps.DeleteFunc(k.joiners, func(_ roster.Joiner, expires time.Duration) bool { return r.now > expires })
	joiners := slices.SortedFunc(maps.Keys(k.joiners), func(a, b roster.Joiner) int { return strings.Compare(a.Addr, b.Addr) })
	if action := roster.Next(members, joiners, r.size, now); action.Kind != roster.None {
		r.note("%s: %v %v %d at %s", n.addr, action.Kind, action.Cause, action.ID, action.Addr)
		k.change, k.proposed, k.changeEndsAt = &action, false, r.now+memberChangeTimeout
		r.continueChange(n, k)
	}
}

// connected reports whether a host runs at an address and n reaches it in both directions.
func (r *replacement) connected(n *simNode, addr string) bool {
	return slices.ContainsFunc(r.nodes, func(o *simNode) bool {
		return o.addr == addr && o.runs() && !r.blockedLinks[[2]int{n.index, o.index}] && !r.blockedLinks[[2]int{o.index, n.index}]
	})
}

// continueChange carries on with the change of a leader and reports whether it has ended.
func (r *replacement) continueChange(n *simNode, k *groupKeeper) bool {
	c, a := n.host.core, k.change
	if !k.proposed {
		var err error
		if _, exists := c.member(a.ID); a.Kind == roster.Remove && exists {
			err = c.removeMember(a.ID)
		} else if a.Kind == roster.Add && !exists {
			err = c.addMember(Member{ID: a.ID, Addr: a.Addr})
		} else if a.Kind == roster.Replace && exists && !c.inReplacementOf(a.ID, a.Successor) {
			err = c.replaceMember(a.ID, a.Successor)
		}
		k.proposed = err == nil
		if err != nil && !errors.Is(err, errBusy) {
			k.change = nil
			return true
		}
		n.flush()
	}
	_, exists := c.member(a.ID)
	complete := a.Kind != roster.Add && !exists || a.Kind == roster.Add && exists
	switch committed := c.memberships[len(c.memberships)-1].index <= c.commit; {
	case k.proposed && complete && committed:
		k.change, k.nextCheck = nil, r.now
		return true
	case r.now >= k.changeEndsAt:
		k.change = nil
		return true
	}
	return false
}

// replace takes a host away for good and returns a function that starts its successor at another
// address.
func (r *replacement) replace(n *simNode) (startSuccessor func()) {
	n.stop(true)
	return r.successor()
}

// successor returns a function that starts a blank host at a new address.
func (r *replacement) successor() func() {
	return func() {
		next := &simNode{sim: r.simulation, index: len(r.nodes), addr: strconv.Itoa(len(r.nodes)), disk: storagetest.New(r.rand.Uint64())}
		r.nodes = append(r.nodes, next)
		r.restart(next)
	}
}

// whole reports whether the group has its size again and all of its members are voters that run.
func (r *replacement) whole() bool {
	i := slices.IndexFunc(r.nodes, (*simNode).leads)
	if i < 0 {
		return false
	}
	members := r.nodes[i].host.core.members()
	for _, m := range members {
		j := slices.IndexFunc(r.nodes, func(n *simNode) bool { return n.up && n.host.core.id == m.ID })
		if m.Learner || j < 0 {
			return false
		}
	}
	return len(members) == r.size
}

func (r *replacement) running() []*simNode {
	return slices.DeleteFunc(slices.Clone(r.nodes), func(n *simNode) bool { return !n.up })
}

func newReplacement(seed uint64, size int) *replacement {
	s := newSimulation(seed, size, faultInjection{})
	s.faultFree, s.manualRepair = true, true
	s.electionTimeoutMin, s.electionTimeoutMax = 450*time.Millisecond, 800*time.Millisecond // as in controlhost
	for _, n := range s.nodes {
		n.stop(false)
		s.restart(n)
	}
	return &replacement{simulation: s, keepers: map[*simNode]*groupKeeper{}}
}

// loseHosts loses as many hosts as a group of this size tolerates, at random moments within a second.
// A second later each is replaced at another address or comes back without its disk.
func (r *replacement) loseHosts(count int) {
	type event struct {
		at time.Duration
		do func()
	}
	var events []event
	lost := r.running()
	r.rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	within := func(limit time.Duration) time.Duration { return time.Duration(r.rand.Int64N(int64(limit))) }
	for _, n := range lost[:count] {
		at := r.now + within(time.Second)
		back := at + time.Second
		if r.rand.IntN(3) == 0 {
			events = append(events, event{at, func() { n.stop(true); n.wipe() }}, event{back, func() { r.restart(n) }})
			continue
		}
		var startSuccessor func()
		events = append(events, event{at, func() { startSuccessor = r.replace(n) }}, event{back, func() { startSuccessor() }})
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	for _, e := range events {
		for r.now < e.at && r.err == nil {
			r.step()
		}
		e.do()
	}
}

// Guards against members that are never replaced, and against a group that depends on lost disks
// after its replacements had their time: as many hosts as a group tolerates are lost at once and
// replaced, again and again, and each time the group must be whole and commit.
func TestReplacementsComplete(t *testing.T) {
	for _, size := range []int{3, 5, 7} {
		for seed := range uint64(replaceSeeds) {
			r := newReplacement(seed+1, size)
			for round := range 4 {
				before := r.committedWrites
				for end := r.now + 5*time.Second; r.now < end && r.err == nil; {
					r.step()
				}
				if r.committedWrites == before {
					t.Fatalf("size %d, seed %d, round %d: nothing was committed: %v", size, seed, round, r.err)
				}
				r.loseHosts(1 + r.rand.IntN(size/2))
				for end := r.now + wholeAgain; r.now < end && r.err == nil; {
					r.step()
				}
				if !r.whole() || r.err != nil {
					t.Fatalf("size %d, seed %d, round %d: not whole %s after the last successor: %v", size, seed, round, wholeAgain, r.err)
				}
			}
		}
	}
}
