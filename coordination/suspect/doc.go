// Package suspect finds requests that crash the upstreams that run them and
// keeps them away from the upstreams that are left.
//
// When an upstream dies, every request in flight on it becomes a suspect. A
// suspect runs alone: no other request is in flight on its upstream. If the
// upstream dies again, the suspect is the cause and is refused everywhere
// until a deadline. If it completes, it is cleared.
//
// # Bounds
//
// A request that is sent again only after its previous answer takes down at
// most two upstreams before it is refused: the first in company, the second
// alone. A request that runs on k upstreams at the same moment before the
// first death is known takes down at most k, and one more alone, unless the
// entry node has seen two tries of the same request die (a hedged request):
// then it is convicted at once, and the number stays at two. Runs alone of one
// fingerprint are sent to one node by the entry nodes (selection.PickAlone),
// which keeps them one after another. After the refusal has ended, one run
// alone is allowed; it can take down one more upstream and doubles the time of
// refusal.
//
// An innocent request that was in flight with a crashing one is cleared by its
// first complete run alone, on any node, and by the deadline of the record if
// nobody sends it again.
//
// # Usage
//
//	l := suspect.New(suspect.Config{Clock: clock})
//
//	// On the node beside the upstream, when it dies:
//	spread(l.Crashed(inFlight)) // before any caller is answered
//
//	// On every node, before a request is sent or admitted:
//	switch l.Verdict(r.Print) {
//	case suspect.Refuse: // refuse with reason crasher
//	case suspect.Alone: // admit alone
//	}
//
//	// After a run, and when a notice arrives from another node:
//	spread(l.Completed(r.Print, alone))
//	l.Merge(notice)
package suspect
