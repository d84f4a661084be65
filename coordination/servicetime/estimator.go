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
	observationWeight = 0.05
	// unknown is the estimate while no route has been answered yet. Until a route
	// has an estimate of its own it gets the mean of the others.
	defaultEstimate = 80 * time.Millisecond
	allRoutes       = ""
)

// Estimator holds one estimate for each route. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	means map[string]float64 // seconds
}

// New returns a table without estimates.
func New() *Estimator { return &Estimator{means: make(map[string]float64)} }

// Observe records that a request took so long, or would have on an undisturbed
// host.
func (e *Estimator) Observe(route string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.update(route, took.Seconds())
	e.update(allRoutes, took.Seconds())
}

func (e *Estimator) update(route string, seconds float64) {
	mean, ok := e.means[route]
	if !ok {
		e.means[route] = seconds
		return
	}
	// A single request that met a disturbance must not move the estimate far.
	e.means[route] = mean + observationWeight*(min(seconds, 4*mean)-mean)
}

// Mean returns the estimate of a route.
func (e *Estimator) Mean(route string) time.Duration {
	return e.MeanOr(route, e.MeanOr(allRoutes, defaultEstimate))
}

// MeanOr returns the estimate of a route, or the given one when there is none.
func (e *Estimator) MeanOr(route string, fallback time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if mean, ok := e.means[route]; ok {
		return time.Duration(mean * float64(time.Second))
	}
	return fallback
}
