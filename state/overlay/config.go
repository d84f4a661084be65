package overlay

import "time"

//go:generate stringer -type=DomainState -linecomment -output=config_string.go

// DomainState tells whether a failure domain accepts new requests.
type DomainState uint8

// States of a failure domain.
const (
	DomainIn  DomainState = iota // in
	DomainOut                    // out
)

// Config is the merged configuration: the base file with all overlays applied.
type Config struct {
	// Version is set by the control hosts when they accept the configuration.
	Version uint64
	// Domains are sorted by name.
	Domains []Domain
	// Services are sorted by name.
	Services []Service
}

// Domain is one failure domain.
type Domain struct {
	Name   string
	Region string
	State  DomainState
}

// Service is one service and its policy.
type Service struct {
	Name string
	// Timeout is the timeout of a request whose caller states none.
	Timeout time.Duration
	// Queue is the longest time that a request waits for a slot at the admitting node.
	Queue time.Duration
	// RetryPercent is the retry budget in percent of the first attempts.
	RetryPercent int
	// Probes is the maximum rate of probes of one upstream, per second, by all entry
	// nodes together.
	Probes int
	// EjectPercent is the maximum share, in percent, of upstreams ejected as outliers.
	EjectPercent int
	// Subset is the maximum number of nodes among which one entry node selects.
	Subset int
	// KeyTTL is how long a claim on an idempotency key is kept.
	KeyTTL time.Duration
	// Routes are sorted by method and path.
	Routes []Route
}

// Route is one method and path prefix of a service.
type Route struct {
	Method string
	// Path is a path prefix. It matches itself and all paths below it.
	Path string
	// Idempotent is true if a request may run more than once, so that it can be retried and hedged.
	Idempotent bool
	// Keyed is true if requests need an idempotency key to be retried. A request with a key is
	// claimed before dispatch.
	Keyed bool
}

// Service returns the named service.
func (c *Config) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// DomainOut reports whether the named failure domain is out of service.
func (c *Config) DomainOut(name string) bool {
	for _, d := range c.Domains {
		if d.Name == name {
			return d.State == DomainOut
		}
	}
	return false
}
