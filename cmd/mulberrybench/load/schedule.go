package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Route is one kind of request in a mix.
type Route struct {
	Service string
	Method  string
	Path    string
	// Weight is the frequency of this route relative to the others.
	Weight float64
	// Keyed adds a unique idempotency key to each request.
	Keyed bool
	// Bytes is the size of the request body.
	Bytes int
}

// Name returns the name of the route in reports.
func (r Route) Name() string { return r.Method + ":" + r.Service + r.Path }

// Plan holds the parameters of a schedule.
type Plan struct {
	Seed uint64
	// Rate is the mean number of arrivals per second.
	Rate     float64
	Duration time.Duration
	Mix      []Route
}

// Arrival is one scheduled request.
type Arrival struct {
	// At is the scheduled start, counted from the start of the run.
	At time.Duration
	// Route is the index of the route in the mix.
	Route int
	// EntryIndex selects the entry node of the first attempt, modulo the number of entry nodes.
	EntryIndex int
	// Token identifies the request and is unique in the run.
	Token string
}

// Schedule draws the arrivals of a Poisson process. It is deterministic: the same plan gives the
// same arrivals. Tokens contain the seed, so that schedules with different seeds share none.
func Schedule(p Plan) []Arrival {
	rng := rand.New(rand.NewPCG(p.Seed, 2))
	totalWeight := 0.0
	for _, r := range p.Mix {
		totalWeight += r.Weight
	}
	var arrivals []Arrival
	var at time.Duration
	for {
		at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= p.Duration {
			return arrivals
		}
		arrivals = append(arrivals, Arrival{
			At:         at,
			Route:      pickRoute(p.Mix, rng.Float64()*totalWeight),
			EntryIndex: rng.IntN(1 << 30),
			Token:      fmt.Sprintf("t%d-%d", p.Seed, len(arrivals)),
		})
	}
}

// Concat returns the arrivals of first, followed by those of second delayed by after.
func Concat(first, second []Arrival, after time.Duration) []Arrival {
	all := slices.Clone(first)
	for _, a := range second {
		a.At += after
		all = append(all, a)
	}
	return all
}

func pickRoute(mix []Route, x float64) int {
	for i, r := range mix {
		if x -= r.Weight; x < 0 {
			return i
		}
	}
	return len(mix) - 1
}

// uploadBytes is the body size of an upload in the mix.
const uploadBytes = 64 << 10

// filingBytes is the body size of a keyed request in the mix.
const filingBytes = 200

// Mix returns the routes of the services in weight, which holds the relative load of each service.
// The site association has the services registry and archive, the site lanterns desk and store.
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
