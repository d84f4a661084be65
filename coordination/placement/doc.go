// Package placement chooses the upstream for each request at its entry node. It is made for
// hosts that are shared with other tenants. At any time a few of them are disturbed, which
// means several times slower for some hundred milliseconds, and the others are quiet. Every
// report of a host's slowdown is out of date when it is used.
//
// For each candidate, a Balancer estimates when the request would finish there and the
// probability that this is too late. A load report is weighted with the probability that it
// still holds; the rest of the weight goes to the usual mix of quiet and disturbed hosts, with the
// requests that run in its domain on average if they are known (package overflow).
// The cost of a candidate adds to this its recent failure rate, a charge for the bytes that
// leave the failure domain, penalties while the upstream is cold and shortly after it rejected
// a request or was unreachable, and small terms that break ties. For a request that may run only
// once it also has the rate of malformed responses (coordination/integrity). The lowest cost wins.
//
// An upstream in reserve (coordination/integrity) has sent malformed responses. It costs more while the
// others, the sound ones, have room for the load of all. A service with a few faulty upstreams and much
// spare capacity then sends requests of every kind to the sound ones. Without room there, the upstreams
// in reserve are chosen as any other. From time to time a request that may be sent again is a trial, as
// in the half-open state of a circuit breaker: the node beside the upstream decides whether a trial is
// due, and states the current estimate with its response.
//
// A wrong choice does little harm: the node beside the upstream knows the state of its
// upstream exactly, and rejects a request that another upstream would finish sooner before
// any byte reaches the upstream (see coordination/capacity). The entry node then chooses
// again, which is called a reroute.
//
// # Usage
//
//	b := placement.New(placement.Config{TransferCostPerKiB: 0.014, Domain: "d1"})
//	choice, ok := b.Choose(now, req, candidates)
//	b.RequestSent(choice.Name)
//	// send the request
//	b.RequestEnded(choice.Name)
//	b.RecordLoad(choice.Name, load, now)
//	b.RecordResult(choice.Name, failed, now)
package placement
