// Package selection chooses the admitting node of a request at the entry node.
// It serves the older data path of cmd/mulberrynode, together with packages
// dispatch and admission; package gateway chooses with package placement.
//
// Load changes within milliseconds, so every load report is stale when it
// arrives. The picker therefore relies fully on its own count of outstanding
// requests, while the weight of a report decays with its age, and a report is
// dropped after a number of uses. The picker draws a few candidates with a
// probability in proportion to their concurrency limits and takes the one with
// the lowest cost. The cost is the share of slots in use, raised for upstreams
// that are slower than the median of their service and for nodes in other
// failure domains. The entry node's own upstream is preferred while it has a
// free slot and is not slow.
//
// Nodes that fail repeatedly, or whose latency is far above the median of the
// service, are ejected as outliers. The duration of the ejection doubles with
// every further one. The share of ejected nodes is capped, and a node returns
// with a single trial request.
//
// Baseline policies for benchmarks implement the same interface; see New.
//
// # Usage
//
//	p, err := selection.New(selection.Adaptive, selection.Config{
//		Clock: clock, Rand: rand.Uint64, Nodes: nodes, Self: "n1", Domain: "d1",
//	})
//
//	node, ok := p.Pick(r, tried)
//	res := forward(node, r)
//	p.Observe(node.Name, res, took)
//
// Every successful Pick or PickAlone must be followed by exactly one Observe
// for the node, because the request counts as outstanding until then.
package selection
