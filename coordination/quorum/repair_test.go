package quorum

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/mulberrylink/mulberrylink/state/storage/storagetest"
)

// runUntil steps the simulation until reached returns true, for at most 20 s of simulated time.
func (s *simulation) runUntil(reached func() bool) bool {
	for end := s.now + 20*time.Second; s.now < end && s.err == nil; s.step() {
		if reached() {
			return true
		}
	}
	return false
}

func (s *simulation) leaderCore() *core {
	if i := slices.IndexFunc(s.nodes, (*simNode).leads); i >= 0 {
		return s.nodes[i].host.core
	}
	return nil
}

// continuesAfterSecondLoss loses the disk of one member, replaces the member, and loses a second disk
// at the given moment: 0 before the removal of the lost member, 1 before the new member is added and
// becomes a voter, 2 right after that. It reports whether the group still commits.
func continuesAfterSecondLoss(t *testing.T, size, moment int, newMember bool) bool {
	s := newSimulation(uint64(size), size, faultInjection{})
	s.faultFree, s.manualRepair = true, true
	if !s.runUntil(func() bool { return s.committedWrites > 20 }) {
		t.Fatalf("the group committed no writes: %v", s.err)
	}
	lost := s.nodes[0].host.core.id
	s.nodes[0].stop(true)
	s.nodes[0].wipe()
	s.restart(s.nodes[0])
	blank := s.nodes[0].host.core.id
	change := func(propose func(*core) error, done func(*core) bool) {
		if !s.runUntil(func() bool {
			c := s.leaderCore()
			if c == nil {
				return false
			}
			_ = propose(c)
			return done(c) && c.memberships[len(c.memberships)-1].index <= c.commit
		}) {
			t.Fatalf("size %d: the repair was not completed: %v", size, s.err)
		}
	}
	if moment > 0 {
		change(func(c *core) error { return c.removeMember(lost) },
			func(c *core) bool { _, ok := c.member(lost); return !ok })
	}
	if moment > 1 {
		change(func(c *core) error { return c.addMember(Member{ID: blank, Addr: s.nodes[0].addr}) },
			func(c *core) bool { return c.isVoter(blank) })
	}
	second := s.nodes[1]
	if newMember {
		second = s.nodes[0]
	}
	second.stop(true)
	second.wipe()
	s.restart(second)
	before := s.committedWrites
	continues := s.runUntil(func() bool { return s.committedWrites > before+5 })
	if s.err != nil {
		t.Fatalf("size %d moment %d: %v", size, moment, s.err)
	}
	return continues
}

// Guards against an order of repair that loses data, or that blocks a group although a majority of
// its voters has intact disks. The expected results are those of the table in
// docs/decisions/quorum.md.
func TestSecondLossAroundRepair(t *testing.T) {
	moments := []string{"before removal", "before the vote", "after the vote"}
	for _, size := range []int{3, 5, 7} {
		for moment, name := range moments {
			for _, newMember := range []bool{false, true} {
				got := continuesAfterSecondLoss(t, size, moment, newMember)
				want := size > 3 || moment == 2 || newMember
				t.Logf("size=%d second=%q newmember=%v continues=%v", size, name, newMember, got)
				if got != want {
					t.Errorf("size %d, second loss %s, new member %v: continues %v", size, name, newMember, got)
				}
			}
		}
	}
}

// removeSeveral cuts the leader and one other member off, and lets the leader remove all others at once.
func (s *simulation) removeSeveral() {
	s.faultFree, s.manualRepair = true, true
	s.runUntil(func() bool { return s.committedWrites > 5 && s.leaderCore() != nil })
	leader := slices.IndexFunc(s.nodes, (*simNode).leads)
	other := (leader + 1) % s.size
	for i, n := range s.nodes {
		if i == leader || i == other {
			continue
		}
		for _, j := range []int{leader, other} {
			s.blockedLinks[[2]int{i, j}], s.blockedLinks[[2]int{j, i}] = true, true
		}
		_ = s.nodes[leader].host.core.removeMember(n.host.core.id)
	}
	s.nodes[leader].flush()
	for end := s.now + 5*time.Second; s.now < end && s.err == nil; {
		s.step()
	}
	clear(s.blockedLinks)
	s.faultFree, s.manualRepair = false, false
}

// replaceAcrossCut lets the leader replace a voter while it reaches a majority of the new set of voters,
// but not of the old one.
func (s *simulation) replaceAcrossCut() {
	s.faultFree, s.manualRepair = true, true
	s.runUntil(func() bool { return s.committedWrites > 5 && s.leaderCore() != nil })
	successor := &simNode{sim: s, index: len(s.nodes), addr: strconv.Itoa(len(s.nodes)), disk: storagetest.New(s.rand.Uint64())}
	s.nodes = append(s.nodes, successor)
	s.restart(successor)
	leader := s.nodes[slices.IndexFunc(s.nodes, (*simNode).leads)]
	c, id := leader.host.core, successor.host.core.id
	block := func(a, b *simNode) {
		s.blockedLinks[[2]int{a.index, b.index}], s.blockedLinks[[2]int{b.index, a.index}] = true, true
	}
	var far *simNode
	near := map[*simNode]bool{leader: true, successor: true}
	silent := 0
	for _, n := range s.nodes {
		switch {
		case near[n]:
		case silent < s.size/2: // so few voters respond that the learner is not promoted beside them
			silent, far = silent+1, n
			block(leader, n)
		case len(near) < s.size/2+1:
			near[n] = true
		}
	}
	s.runUntil(func() bool { return !c.recentlyActive(far.host.core.id) })
	_ = c.addMember(Member{ID: id, Addr: successor.addr})
	leader.flush()
	s.runUntil(func() bool { p := c.peers[id]; return p != nil && c.hasCaughtUp(p) && c.lastChangeCommitted() })
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			if near[a] != near[b] {
				block(a, b)
			}
		}
	}
	if err := c.replaceMember(far.host.core.id, id); err != nil && s.err == nil {
		s.fail("replacement refused: %v", err)
	}
	leader.flush()
	for end := s.now + 5*time.Second; s.now < end && s.err == nil; {
		s.step()
	}
	clear(s.blockedLinks)
	s.faultFree, s.manualRepair = false, false
}

// Guards against a violation that the tests of the simulation themselves cause.
func TestScriptsOfFaultsAreSafe(t *testing.T) {
	for name, script := range map[string]func(*simulation){"remove several": (*simulation).removeSeveral, "replace across a cut": (*simulation).replaceAcrossCut} {
		for seed := range uint64(20) {
			s := newSimulation(seed+1, 3+2*int(seed%2), faultInjection{})
			script(s)
			if err := s.run(stepsPerSeed); err != nil {
				t.Errorf("%s, seed %d: %v", name, seed+1, err)
			}
		}
	}
}
