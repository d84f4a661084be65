// Package servicetime estimates how long the requests of a route work on an
// undisturbed upstream.
//
// # Usage
//
//	w := servicetime.New()
//	w.Observe("orders", took)
//	mean := w.Mean("orders")
package servicetime

import (
	"sync"
	"time"
)

const (
	// gain is the weight of one observation. It follows a change of the work
	// within some tens of requests.
	gain = 0.05
	// unknown is the estimate while no route has been answered yet. Until a route
	// has an estimate of its own it gets the mean of the others.
	unknown = 80 * time.Millisecond
	all     = ""
)

// Estimator holds one estimate for each route. It is safe for concurrent use.
type Estimator struct {
	mu   sync.Mutex
	mean map[string]float64 // seconds
}

// New returns a table without estimates.
func New() *Estimator { return &Estimator{mean: make(map[string]float64)} }

// Observe records that a request took so long, or would have on an undisturbed
// host.
func (t *Estimator) Observe(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(route, took.Seconds())
	t.observe(all, took.Seconds())
}

func (t *Estimator) observe(route string, x float64) {
	m, ok := t.mean[route]
	if !ok {
		t.mean[route] = x
		return
	}
	// A single request that met a disturbance must not move the estimate far.
	t.mean[route] = m + gain*(min(x, 4*m)-m)
}

// Mean returns the estimate of a route.
func (t *Estimator) Mean(route string) time.Duration { return t.MeanOr(route, t.MeanOr(all, unknown)) }

// MeanOr returns the estimate of a route, or the given one when there is none.
func (t *Estimator) MeanOr(route string, unknown time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.mean[route]; ok {
		return time.Duration(m * float64(time.Second))
	}
	return unknown
}
