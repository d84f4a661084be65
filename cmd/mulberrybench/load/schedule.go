package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Route is one kind of request in the mix.
type Route struct {
	Service string
	Method  string
	Path    string
	// Weight is the share of this route relative to the others.
	Weight float64
	// Keyed requests carry a unique idempotency key.
	Keyed bool
	// Bytes is the size of the request body.
	Bytes int
}

// Name names the route in reports.
func (r Route) Name() string { return r.Method + ":" + r.Service + r.Path }

// Plan describes a schedule.
type Plan struct {
	Seed uint64
	// Rate is the mean of arrivals per second.
	Rate     float64
	Duration time.Duration
	Mix      []Route
}

// Arrival is one scheduled request.
type Arrival struct {
	// At is the intended start, counted from the start of the run.
	At time.Duration
	// Route is the index in the mix.
	Route int
	// EntryIndex picks the node that the request is sent to.
	EntryIndex int
	// Token is unique for the run and identifies the request.
	Token string
}

// Schedule draws the arrivals of a Poisson process. The same plan gives the
// same shots but for the tokens of another seed.
func Schedule(p Plan) []Arrival {
	rng := rand.New(rand.NewPCG(p.Seed, 2))
	total := 0.0
	for _, r := range p.Mix {
		total += r.Weight
	}
	var shots []Arrival
	var at time.Duration
	for {
		at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= p.Duration {
			return shots
		}
		shots = append(shots, Arrival{
			At:         at,
			Route:      pick(p.Mix, rng.Float64()*total),
			EntryIndex: rng.IntN(1 << 30),
			Token:      fmt.Sprintf("t%d-%d", p.Seed, len(shots)),
		})
	}
}

// Concat returns the arrivals of first, followed by those of second, which start
// after the given time.
func Concat(first, second []Arrival, after time.Duration) []Arrival {
	all := slices.Clone(first)
	for _, s := range second {
		s.At += after
		all = append(all, s)
	}
	return all
}

func pick(mix []Route, x float64) int {
	for i, r := range mix {
		if x -= r.Weight; x < 0 {
			return i
		}
	}
	return len(mix) - 1
}

// uploadBytes is the body size of an upload in the mix.
const uploadBytes = 64 << 10

// filingBytes is the body size of a keyed filing in the mix.
const filingBytes = 200

// Mix returns the requests of both users' services, limited to those in
// weight, which gives the share of each service.
func Mix(weight map[string]float64) []Route {
	all := []Route{
		{Service: "registry", Method: "GET", Path: "/grades", Weight: 0.8},
		{Service: "registry", Method: "POST", Path: "/filings", Weight: 0.2, Keyed: true, Bytes: filingBytes},
		{Service: "archive", Method: "GET", Path: "/patterns", Weight: 0.5},
		{Service: "archive", Method: "GET", Path: "/stock", Weight: 0.3},
		{Service: "archive", Method: "PUT", Path: "/patterns", Weight: 0.2, Bytes: uploadBytes},
		{Service: "desk", Method: "GET", Path: "/sheets", Weight: 0.8},
		{Service: "desk", Method: "POST", Path: "/bookings", Weight: 0.2, Keyed: true, Bytes: filingBytes},
		{Service: "store", Method: "GET", Path: "/batches", Weight: 0.7},
		{Service: "store", Method: "PUT", Path: "/photos", Weight: 0.3, Bytes: uploadBytes},
	}
	var mix []Route
	for _, r := range all {
		if w := weight[r.Service]; w > 0 {
			r.Weight *= w
			mix = append(mix, r)
		}
	}
	return mix
}
