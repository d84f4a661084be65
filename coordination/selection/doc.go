// Package selection chooses the admitting node of a request at the entry node.
//
// Load changes within milliseconds, so every report is already stale. The
// picker therefore trusts its own count of outstanding requests in full, and a
// report only as far as it is fresh: the weight of a report decays with its age
// and a report is dropped after a number of uses. Among a few candidates drawn
// in proportion to their limits, it takes the one with the lowest cost: the
// share of slots in use, raised for upstreams slower than the median of their
// service, and raised for nodes in other failure domains. The node's own
// upstream comes first while it has a free slot and is not slow.
//
// Nodes that fail repeatedly, or whose latency is far above the median of the
// service, are ejected until a deadline that doubles with every ejection. The
// share of ejected nodes is capped, and a node returns with a single trial
// request.
//
// Baseline policies for measurements implement the same interface; see New.
//
// # Usage
//
//	p, err := selection.New(selection.Adaptive, selection.Config{
//		Clock: clock, Rand: rand.Uint64, Nodes: group, Self: "n1", Domain: "d1",
//	})
//
//	node, ok := p.Pick(r, tried)
//	res := forward(node, r)
//	p.Observe(node.Name, res, took)
//
// Every successful Pick or PickAlone must be followed by exactly one Observe
// for the node, because it counts as outstanding until then.
package selection
