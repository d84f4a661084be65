package quorum

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/roster"
	"github.com/mulberrylink/mulberrylink/state/storage/storagetest"
)

const (
	rosterInterval = 200 * time.Millisecond
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
	watches   map[*simNode]*roster.Watch
	nextCheck time.Duration
}

func (r *replacement) step() {
	r.simulation.step()
	if r.now < r.nextCheck {
		return
	}
	r.nextCheck = r.now + rosterInterval
	for _, n := range r.nodes {
		if n.up {
			r.changeGroup(n, time.Unix(1_000_000, 0).Add(r.now))
		}
	}
}

// changeGroup lets a host that leads carry out the next change of the group.
func (r *replacement) changeGroup(n *simNode, now time.Time) {
	n.host.publishStatus()
	status := n.host.Status()
	if r.watches[n] == nil {
		r.watches[n] = &roster.Watch{}
	}
	if status.Role != Leader {
		r.watches[n].Follow(status.Leader, now)
		return
	}
	var members []roster.Member
	for _, m := range status.Members {
		members = append(members, roster.Member{ID: m.ID, Addr: m.Addr, Learner: m.Learner})
	}
	r.watches[n].Lead(members, status.Unresponsive, now)
	var joiners []roster.Joiner
	for _, other := range r.nodes {
		if other.up && len(other.host.core.members()) == 0 {
			joiners = append(joiners, roster.Joiner{ID: other.host.core.id, Addr: other.addr})
		}
	}
	action := roster.Next(members, joiners, r.size, now)
	switch action.Kind {
	case roster.Add:
		_ = n.host.core.addMember(Member{ID: action.ID, Addr: action.Addr}) // repeated at the next check
	case roster.Remove:
		_ = n.host.core.removeMember(action.ID)
	case roster.None:
		return
	}
	r.nextCheck = r.now
	n.flush()
}

// replace takes a host away for good and returns a function that starts its successor at another
// address.
func (r *replacement) replace(n *simNode) (startSuccessor func()) {
	n.stop(true)
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
	return &replacement{simulation: s, watches: map[*simNode]*roster.Watch{}}
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
