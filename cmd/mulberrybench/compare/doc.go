// Package compare measures the selection policies of the nodes against each
// other on real processes, under the same schedules of requests and faults.
//
// # Usage
//
//	err := compare.Run(ctx, os.Stdout, compare.Options{Bin: "bin", Config: "config", Run: "run", Grid: compare.DefaultGrid()})
//
// Each pair of site and policy gets a fresh deployment, which runs its cells
// (scenario, load, seed) one after the other; between two cells all faults are
// taken back and the upstreams are warm again. Latency is that of answered
// requests from their intended start; goodput counts answers with status 2xx
// per second, so that a policy cannot gain by refusing.
package compare
