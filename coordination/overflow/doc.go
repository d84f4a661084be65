// Package overflow decides how many requests leave the failure domain of their entry node, and for
// which domain. It is made for deployments in which a byte between domains is expensive and in which
// a domain can have too few upstreams for its own callers while another one has room.
//
// Each node keeps, for each service and domain, the demand of the domain's own callers, the slots that
// its upstreams can use, and the slots taken. All three are in slots: the number of requests that run at
// a time on undisturbed hosts. A domain is short if its demand is above homeTarget of its usable slots.
// It has room for others up to a reserve below that.
//
// The share of requests that leave is computed from the demand, which does not depend on where requests
// run. A rule that followed the use of the other domains instead would answer the effect of its own
// decisions some round trips late, and all nodes would send to the same idle domain and back. All nodes
// compute the same share from the same figures: the shortage of their domain, limited by its part of the
// room that the others have.
//
// Two paths lead out of the domain. A request is drawn with the share when it arrives, and then goes to a
// domain that is drawn in proportion to its room. A request that its own domain has rejected may also
// leave, as long as what this node has sent out is within its part of the room; that path answers a burst
// before the share does. What neither path permits is refused at once.
//
// # Usage
//
//	p := overflow.New(overflow.Config{Domain: "d1", LinkBytesPerSecond: 500_000})
//	p.SetSites("archive", sites, now)
//	routing := p.Begin("archive", overflow.Request{Work: serviceTime, SizeKiB: 3, Value: 1}, now)
//	step, ok := routing.Next(overflow.Shortage, hasUpstream, now)
//	// send the request to an upstream of step.Domain, with p.TakeWork in its metadata
//	routing.Rejected(step.Domain, now) // or routing.Answered(step.Domain, now)
//	p.Merge("archive", sender, estimates, now)
package overflow
