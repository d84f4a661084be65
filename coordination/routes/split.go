package routes

import (
	"math"
	"math/rand/v2"
	"sync"
)

// step is the fractional part of the golden ratio. Multiples of it modulo 1
// are spread evenly, so each part gets its share in short spans too.
const goldenRatioFraction = 0.6180339887498949

// Splits chooses the service for each request of a route with several. It is
// safe for concurrent use.
type Splitter struct {
	mu        sync.Mutex
	positions map[string]float64
}

// NewSplits returns splits that start at a random point, so that many nodes
// together keep to the weights from the first request on.
func NewSplitter() *Splitter { return &Splitter{positions: make(map[string]float64)} }

// Pick returns the service for the next request of r.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0
	for _, p := range r.Split {
		total += p.Weight
	}
	x := s.next(r.Name) * float64(total)
	for _, p := range r.Split {
		if x < float64(p.Weight) {
			return p.Service
		}
		x -= float64(p.Weight)
	}
	return r.Split[len(r.Split)-1].Service
}

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
