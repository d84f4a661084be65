package rollout

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylink/mulberrylink/coordination/document"
)

const (
	// minCanaries is the least number of new upstreams that get requests, if there are as many: the
	// comparison leaves out the worst one.
	minCanaries = 3
	// trustedShare is the share in permille from which the new version may stand in for the old one.
	trustedShare = 500
)

// Upstream is an upstream that may get a request.
type Upstream struct {
	Name string
	// Release is empty while the node has not heard the version of its upstream. Such an upstream is used
	// only if no other can stand for the old version.
	Release string
	// Cold is true during warm-up.
	Cold  bool
	Slots int
	// Excluded is true if the upstream has rejected or failed this request.
	Excluded bool
}

// Draw is what an entry node knows when it chooses the version for an attempt.
type Draw struct {
	Order *document.Rollout
	// Random is drawn once for each request, from [0, 1).
	Random float64
	// Repeated is true for every attempt after the first one.
	Repeated bool
	// Cautious is true if the request must not go to a version that is not trusted: the node has not
	// heard of the rollout for some time, or the request has crashed upstreams.
	Cautious bool
}

// Select reports for each upstream whether it may be chosen for an attempt. While a rollout runs, a
// request that was drawn for the new version goes there once. After a failure or a rejection the old
// version serves it, until the share is full.
func (d *Draw) Select(all []Upstream) []bool {
	to := d.Order.To
	switch d.Order.State {
	case document.RolloutCompleted:
		// A later version that was installed without an order leaves no upstream of this one.
		if !slices.ContainsFunc(all, func(u Upstream) bool { return u.Release == to }) {
			return pick(all, func(*Upstream) bool { return true })
		}
		return pick(all, func(u *Upstream) bool { return u.Release == to })
	case document.RolloutRolledBack:
		return pick(all, oldVersion(all, to))
	case document.RolloutRunning:
	}
	share := d.Order.Share
	isOld := oldVersion(all, to)
	isNew := func(u *Upstream) bool { return u.Release == to }
	if share < document.FullShare {
		canaries := canaries(all, to, share)
		isNew = func(u *Upstream) bool { return u.Release == to && canaries[u.Name] }
	}
	wantsNew := share >= document.FullShare || !d.Repeated && d.Random*document.FullShare < float64(share)
	if d.Cautious && share < trustedShare {
		wantsNew = false
	}
	first, second := isOld, isNew
	if wantsNew {
		first, second = isNew, isOld
	}
	if usable(all, first) || !wantsNew && share < trustedShare || !usable(all, second) {
		return pick(all, first)
	}
	return pick(all, second)
}

// oldVersion returns the condition for upstreams of the old version.
func oldVersion(all []Upstream, to string) func(*Upstream) bool {
	known := func(u *Upstream) bool { return u.Release != to && u.Release != "" }
	if usable(all, known) {
		return known
	}
	return func(u *Upstream) bool { return u.Release != to }
}

func pick(all []Upstream, want func(*Upstream) bool) []bool {
	selected := make([]bool, len(all))
	for i := range all {
		selected[i] = want(&all[i])
	}
	return selected
}

// usable reports whether an upstream that is wanted can be tried.
func usable(all []Upstream, want func(*Upstream) bool) bool {
	return slices.ContainsFunc(all, func(u Upstream) bool { return !u.Excluded && want(&u) })
}

// canaries returns the warm new upstreams that get requests at a share. They have the share of the slots
// that they need to run at the load of the old version, and are the same on every entry node.
func canaries(all []Upstream, to string, share int) map[string]bool {
	type ranked struct {
		rank uint64
		up   *Upstream
	}
	var warm []ranked
	newSlots, oldSlots := 0, 0
	for i := range all {
		u := &all[i]
		switch {
		case u.Release != to:
			oldSlots += u.Slots
		case !u.Cold:
			newSlots += u.Slots
			warm = append(warm, ranked{xxhash.Sum64String(u.Name), u})
		}
	}
	slices.SortFunc(warm, func(a, b ranked) int {
		switch {
		case a.rank < b.rank:
			return -1
		case a.rank > b.rank:
			return 1
		}
		return strings.Compare(a.up.Name, b.up.Name)
	})
	needed := float64(share) / document.FullShare * float64(max(newSlots, oldSlots))
	chosen := make(map[string]bool)
	slots := 0
	for _, w := range warm {
		if len(chosen) >= minCanaries && float64(slots) >= needed {
			break
		}
		chosen[w.up.Name] = true
		slots += w.up.Slots
	}
	return chosen
}
