// Package load sends an open-loop load through the nodes of a deployment and
// checks every answer. Requests start when the schedule says, not when earlier
// answers arrive, and latency counts from the intended start, so that a stall
// is not hidden by requests that were never sent.
//
// # Usage
//
//	shots := load.Schedule(load.Plan{Seed: 1, Rate: 200, Duration: 10 * time.Second, Mix: mix})
//	g := load.New(load.Options{EntryAddrs: fronts, MaxInFlight: 2000, Timeout: 5 * time.Second})
//	report := g.Run(ctx, mix, shots)
//	verdict := load.Check(report, entries) // entries of the journals
package load
