// Package servicetime estimates the mean service time of each route on an undisturbed host.
//
// The estimate is an exponentially weighted moving average.
//
// # Usage
//
//	e := servicetime.New()
//	e.Observe("orders", took)
//	mean := e.Mean("orders")
package servicetime

import (
	"maps"
	"sync"
	"time"
)

const (
	// observationWeight is the weight of one observation in the moving average, which
	// follows a change of the service time within some tens of requests.
	observationWeight = 0.05
	// defaultEstimate is the estimate before the first observation of any route.
	defaultEstimate = 80 * time.Millisecond
	// allRoutes is the key of the average over all routes. It is the estimate for a
	// route without observations.
	allRoutes = ""
)

// Estimator holds the estimate of each route. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	means map[string]float64 // seconds
}

// New returns an Estimator without observations.
func New() *Estimator { return &Estimator{means: make(map[string]float64)} }

// Observe records the service time of a request, scaled to an undisturbed host.
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
	// The cap keeps a single request on a disturbed host from moving the estimate far.
	e.means[route] = mean + observationWeight*(min(seconds, 4*mean)-mean)
}

// Retain drops the estimates of the routes for which keep returns false.
func (e *Estimator) Retain(keep func(route string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.means, func(route string, _ float64) bool { return route != allRoutes && !keep(route) })
}

// Mean returns the estimate of a route. Without observations of the route, it returns the
// average over all routes.
func (e *Estimator) Mean(route string) time.Duration {
	return e.MeanOr(route, e.MeanOr(allRoutes, defaultEstimate))
}

// MeanOr returns the estimate of a route, or fallback without observations of the route.
func (e *Estimator) MeanOr(route string, fallback time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if mean, ok := e.means[route]; ok {
		return time.Duration(mean * float64(time.Second))
	}
	return fallback
}
