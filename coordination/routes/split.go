package routes

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"
)

// goldenRatioFraction is the fractional part of the golden ratio. Its multiples modulo 1 form a
// low-discrepancy sequence, so each service gets its share over few requests too.
const goldenRatioFraction = 0.6180339887498949

// Splitter distributes the requests of a route over its services by weight. It is safe for
// concurrent use.
type Splitter struct {
	mu        sync.Mutex
	positions map[string]float64
}

// NewSplitter returns a Splitter whose sequences start at random positions, so that many nodes
// together follow the weights from the first request on.
func NewSplitter() *Splitter { return &Splitter{positions: make(map[string]float64)} }

// Pick returns the service for the next request of r.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0
	for _, svc := range r.Split {
		total += svc.Weight
	}
	x := s.next(r.Name) * float64(total)
	for _, svc := range r.Split {
		if x < float64(svc.Weight) {
			return svc.Service
		}
		x -= float64(svc.Weight)
	}
	return r.Split[len(r.Split)-1].Service
}

// Retain drops the sequences of the routes for which keep returns false.
func (s *Splitter) Retain(keep func(route string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.positions, func(route string, _ float64) bool { return !keep(route) })
}

// next returns the next position in [0, 1) of the sequence of a route.
func (s *Splitter) next(name string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.positions[name]
	if !ok {
		x = rand.Float64()
	}
	_, x = math.Modf(x + goldenRatioFraction)
	s.positions[name] = x
	return x
}
