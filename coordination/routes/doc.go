// Package routes decides which service a request is for and on what terms.
//
// A route is selected by host and longest path prefix. It names the services
// that share its requests by weight, what may be repeated, how long a request
// may take and how urgent it is.
//
// # Usage
//
//	t := routes.NewTable(12, list, services, limits)
//	r := t.Match("shop.example", "/orders/7")
//	service := splits.Pick(r)
package routes

import "time"

//go:generate ../../bin/tools/stringer -type=Kind -linecomment -output=kind_string.go

// Kind says what may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota // safe
	// Unsafe requests run at most once.
	Unsafe // unsafe
	// Upload requests have large bodies and run at most once.
	Upload // upload
)

// Part is the share of one service in the requests of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route is one entry of the table.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full use.
	Objective time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Tries is the largest number of upstreams that one request may reach.
	MaxAttempts int
	Split       []WeightedService
}

// Service holds what is configured for the upstreams of a service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Warmup is how long an upstream stays cold after its start.
	Warmup time.Duration
	// WarmupRate is the number of requests a second that a cold upstream bears.
	WarmupRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
