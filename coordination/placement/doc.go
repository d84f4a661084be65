// Package placement chooses the upstream for a request at the node where the
// request enters. It answers the load of hosts that are shared with others: one
// host in a few works several times slower for some hundred milliseconds, and
// every report of its speed is old when it is used.
//
// For each candidate the board estimates when the request would be finished
// there and how likely that is too late for its objective. A report counts with
// the probability that it still holds; beyond that the usual mix of quiet and
// disturbed hosts is assumed. To this come the share of requests that failed
// there lately and a charge for the bytes that would leave the failure domain.
// The lowest sum wins.
//
// The choice may be wrong at little harm: the node beside the upstream knows its
// state exactly and refuses a request that another upstream would finish
// sooner, before any byte reaches the upstream.
//
// # Usage
//
//	b := placement.New(placement.Settings{Transfer: 0.014, Domain: "d1"})
//	c, ok := b.Choose(now, ask, candidates)
//	b.Sent(c.Name)
//	b.Done(c.Name, load, failed, now)
package placement
