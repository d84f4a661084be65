package mulberrylink

import "time"

// Load describes how busy an upstream was at one moment, as counted by the
// node beside it.
type Load struct {
	// InFlight is the number of requests running on the upstream.
	InFlight int
	// Limit is the number of requests the node admits at present.
	Limit int
	// Queued is the number of requests waiting for admission.
	Queued int
	// Latency is the recent mean service time in seconds.
	Latency float64
	// Cold is true while the limit is still growing.
	Cold bool
	// At is when the load was received, on the receiver's clock.
	At time.Time
}
