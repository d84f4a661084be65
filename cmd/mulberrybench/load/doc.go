// Package load generates an open-loop load on the nodes of a deployment and checks every response.
// Requests start at their scheduled times instead of after earlier responses, and latencies count
// from the scheduled time. A stall therefore shows in the latencies instead of reducing the number
// of requests (coordinated omission).
//
// # Usage
//
//	arrivals := load.Schedule(load.Plan{Seed: 1, Rate: 200, Duration: 10 * time.Second, Mix: mix})
//	g := load.New(load.Options{EntryAddrs: fronts, MaxInFlight: 2000, Timeout: 5 * time.Second})
//	report := g.Run(ctx, mix, arrivals)
//	verdict := load.Check(report, entries) // entries of all journals
package load
