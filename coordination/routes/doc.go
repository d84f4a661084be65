// Package routes matches requests to routes and splits the traffic of a route between services.
//
// A route is selected by host and longest path prefix. It defines the services that share its
// traffic by weight, whether a request may be retried, its timeout, latency objective and
// priority, and the number of attempts.
//
// # Usage
//
//	splitter := routes.NewSplitter()
//	t := routes.NewTable(12, list, services, limits)
//	r := t.Match("shop.example", "/orders/7")
//	service := splitter.Pick(r)
package routes

import "time"

//go:generate ../../bin/tools/stringer -type=Kind -linecomment -output=kind_string.go

// Kind defines whether the requests of a route may be retried.
type Kind uint8

// Kinds of routes.
const (
	// Safe requests may run more than once, so they can be retried and hedged.
	Safe Kind = iota // safe
	// Unsafe requests run at most once.
	Unsafe // unsafe
	// Upload requests have large bodies and run at most once.
	Upload // upload
)

// WeightedService is a service and its weight in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route is one entry of a Table.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the caller gets its response.
	Timeout time.Duration
	// Objective is the latency objective. A later response is worth less to the caller.
	Objective time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of attempts that may reach an upstream for one request.
	MaxAttempts int
	Split       []WeightedService
	// Public is true if requests need no key although the configuration has client accounts.
	Public bool
}

// Service is the configuration of the upstreams of a service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Warmup is the duration of an upstream's warm-up after its start.
	Warmup time.Duration
	// WarmupRate is the number of requests per second that an upstream can handle during
	// warm-up.
	WarmupRate float64
}

// Limits are the limits on requests from callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
