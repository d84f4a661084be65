package quorum

import (
	"slices"
	"testing"
	"time"
)

// until steps a calm world until ok, for at most 20 s of its time.
func (w *world) until(ok func() bool) bool {
	for end := w.now + 20*time.Second; w.now < end && w.err == nil; w.step() {
		if ok() {
			return true
		}
	}
	return false
}

func (w *world) leaderCore() *core {
	if i := slices.IndexFunc(w.nodes, (*simNode).leads); i >= 0 {
		return w.nodes[i].host.core
	}
	return nil
}

// repairThenLose loses the disk of one member, replaces it, and loses a second
// disk at the given moment: 0 before the removal, 1 before the new member has
// its vote, 2 right after. It reports whether the group goes on.
func repairThenLose(t *testing.T, size, moment int, newMember bool) bool {
	w := newWorld(uint64(size), size, hooks{})
	w.calm, w.manual = true, true
	if !w.until(func() bool { return w.done > 20 }) {
		t.Fatalf("no start: %v", w.err)
	}
	lost := w.nodes[0].host.core.id
	w.nodes[0].stop(true)
	w.nodes[0].wipe()
	w.restart(w.nodes[0])
	blank := w.nodes[0].host.core.id
	reach := func(what func(*core) error, done func(*core) bool) {
		if !w.until(func() bool {
			c := w.leaderCore()
			if c == nil {
				return false
			}
			_ = what(c)
			return done(c) && c.views[len(c.views)-1].index <= c.commit
		}) {
			t.Fatalf("size %d: repair did not end: %v", size, w.err)
		}
	}
	if moment > 0 {
		reach(func(c *core) error { return c.removeMember(lost) },
			func(c *core) bool { _, ok := c.member(lost); return !ok })
	}
	if moment > 1 {
		reach(func(c *core) error { return c.addMember(Member{ID: blank, Addr: w.nodes[0].addr}) },
			func(c *core) bool { return c.isVoter(blank) })
	}
	second := w.nodes[1]
	if newMember {
		second = w.nodes[0]
	}
	second.stop(true)
	second.wipe()
	w.restart(second)
	before := w.done
	goesOn := w.until(func() bool { return w.done > before+5 })
	if w.err != nil {
		t.Fatalf("size %d moment %d: %v", size, moment, w.err)
	}
	return goesOn
}

// Guards against an order of repair that loses data, or that blocks a group
// although a majority of its voters has its disks. The table is that of
// docs/decisions/quorum.md.
func TestSecondLossAroundRepair(t *testing.T) {
	moments := []string{"before removal", "before the vote", "after the vote"}
	for _, size := range []int{3, 5, 7} {
		for moment, name := range moments {
			for _, newMember := range []bool{false, true} {
				got := repairThenLose(t, size, moment, newMember)
				want := size > 3 || moment == 2 || newMember
				t.Logf("size=%d second=%q newmember=%v continues=%v", size, name, newMember, got)
				if got != want {
					t.Errorf("size %d, second loss %s, new member %v: continues %v", size, name, newMember, got)
				}
			}
		}
	}
}
