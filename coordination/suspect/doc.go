// Package suspect finds requests that crash the upstreams that run them, and keeps them away
// from the remaining upstreams.
//
// When an upstream crashes, every request in flight on it becomes a suspect. A suspect runs
// alone: no other request is in flight on its upstream. If that upstream crashes too, the
// suspect is the cause: it becomes a crasher and all nodes refuse it for some time. If the
// suspect completes, it is cleared. Requests are identified by their fingerprint.
//
// # Bounds
//
// A request that is sent again only after its previous response crashes at most two upstreams
// before it is refused: the first together with other requests in flight, the second alone.
//
// A request that runs on k upstreams at the same time before the first crash is known crashes
// at most k of them, and one more alone. An entry node that has seen two attempts of the same
// hedged request crash their upstreams reports the request as a crasher at once, so that the
// number stays at two. Entry nodes send all runs alone of one fingerprint to the same node
// (selection.PickAlone), which runs them one after another.
//
// After the refusal has ended, one run alone is allowed. It can crash one more upstream, which
// doubles the time of the next refusal.
//
// Nodes that cannot wait until an upstream is idle run a suspect beside other requests, but never two
// suspects at a time (RecordCrashBesideOthers). The bounds are the same; the requests beside a
// suspect are lost with it.
//
// A harmless request that was in flight with a crasher is cleared by its first complete run
// alone, on any node, or when its record expires.
//
// # Usage
//
//	l := suspect.New(suspect.Config{Clock: clock})
//
//	// On the node beside the upstream, when the upstream crashes:
//	broadcast(l.RecordCrash(inFlight)) // before any caller gets its response
//
//	// On every node, before a request is sent or admitted:
//	switch l.Verdict(r.Fingerprint) {
//	case suspect.Refuse: // refuse with reason crasher
//	case suspect.Alone: // admit alone
//	}
//
//	// After a run, and when a notice arrives from another node:
//	broadcast(l.RecordCompletion(r.Fingerprint, alone))
//	l.Merge(notice)
package suspect
