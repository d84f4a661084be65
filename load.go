package mulberrylink

import "time"

// Load is a sample of the load of one upstream, measured by the node on the same host.
type Load struct {
	// InFlight is the number of requests running on the upstream.
	InFlight int
	// Limit is the node's current concurrency limit. 0 means that the node admits no requests or, under
	// a baseline policy, that it has no limit.
	Limit int
	// Queued is the number of requests waiting for admission.
	Queued int
	// Latency is the expected service time in seconds: the recent mean, or the age of the oldest
	// running request when that indicates a stall.
	Latency float64
	// Cold is true while the concurrency limit is below the number of slots, as during warm-up.
	Cold bool
	// At is when the sample was taken or, for a sample from another node, received, on the local
	// clock.
	At time.Time
}
