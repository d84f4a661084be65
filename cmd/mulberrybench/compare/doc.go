// Package compare compares the selection policies of the nodes on real processes, under the same
// schedules of requests and faults.
//
// # Usage
//
//	err := compare.Run(ctx, os.Stdout, compare.Options{Bin: "bin", Config: "config", Run: "run", Grid: compare.DefaultGrid()})
//
// A cell is one measurement: a scenario, a load and a seed. Each pair of site and policy gets a fresh
// deployment, which runs its cells one after the other. Before each cell all faults are reverted and
// all upstreams have ended their cold start. Latency is that of answered requests, from their
// intended start. Goodput is the number of responses with status 2xx per second, so that a policy
// can't look better by rejecting requests.
package compare
