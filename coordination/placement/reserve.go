package placement

import (
	"math"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/integrity"
)

// evaluation is a candidate with its estimates and what decides about the reserve. A candidate that is not
// in reserve is called sound.
type evaluation struct {
	Choice
	state *upstreamState
	// load is the estimated number of requests at the upstream, and slots its limit.
	load  float64
	slots int
	// reserved is true if the upstream is in reserve and the request is no possible trial. Its node
	// grants or refuses the trial, and states the current estimate.
	reserved bool
	// reserveCost is the part of the cost that the reserve makes.
	reserveCost float64
	// ready is true if the upstream is not in reserve and could start the request at once.
	ready bool
}

// checkReserve sets reserved and ready.
func (e *evaluation) checkReserve(now time.Time, req *Request, c *Candidate) {
	s := e.state
	reserved := s.integrity.Reserved(now)
	e.reserved = reserved && (!req.Trial || now.Before(s.askAt))
	disturbed := e.LoadAge >= 0 && e.LoadAge <= reportLifetime && Disturbed(s.load.Slowdown)
	limited := s.load.RateWait > max(0, e.LoadAge)
	e.ready = !reserved && !c.Cold && !s.load.Cold && !disturbed && !limited && !now.Before(s.penalizedUntil) && e.load+1 <= float64(e.slots)
}

// ReserveCost returns the cost of a request at an upstream in reserve while others have room: by how much
// the cost elsewhere may be higher.
func ReserveCost(e integrity.Estimate, now time.Time) float64 {
	return minReserveCost + e.ReservedRate(now)
}

// applyReserve adds the cost of the reserve to upstreams in reserve if the others have room for the
// load of all. It returns the one that had the lowest cost of all before, empty if that is none of them.
func (b *Balancer) applyReserve(now time.Time) (cheapest string) {
	if !b.soundHaveRoom() {
		return ""
	}
	first, _ := cheapestTwo(b.evaluated)
	if b.evaluated[first].reserved {
		cheapest = b.evaluated[first].Name
	}
	for i := range b.evaluated {
		if e := &b.evaluated[i]; e.reserved {
			e.reserveCost = ReserveCost(e.state.integrity, now)
			e.Cost += e.reserveCost
		}
	}
	return cheapest
}

// soundHaveRoom reports whether the sound upstreams that could start the request at once have room for it
// and for the load of all candidates. Without that, a few of them would get the load of many.
func (b *Balancer) soundHaveRoom() bool {
	load, slots := 1.0, 0
	for i := range b.evaluated {
		e := &b.evaluated[i]
		load += e.load
		if e.ready {
			slots += e.slots
		}
	}
	return load <= maxSoundLoad*float64(slots)
}

// soundAlternative returns by how much the cost of the cheapest candidate that is not in reserve and has
// room is higher than that of the chosen one. The node beside the chosen one passes the request back if
// its upstream is in reserve, which this node may not know yet.
func (b *Balancer) soundAlternative(chosen int) (extraCost float64, ok bool) {
	if !b.soundHaveRoom() {
		return 0, false
	}
	cost := math.Inf(1)
	for i := range b.evaluated {
		if e := &b.evaluated[i]; i != chosen && e.ready {
			cost, ok = min(cost, e.Cost), true
		}
	}
	if !ok {
		return 0, false
	}
	return cost - (b.evaluated[chosen].Cost - b.evaluated[chosen].reserveCost), true
}
