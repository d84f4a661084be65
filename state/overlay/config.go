package overlay

import "time"

//go:generate stringer -type=DomainState -linecomment -output=config_string.go

// DomainState tells whether a failure domain takes new work.
type DomainState uint8

// States of a failure domain.
const (
	DomainIn  DomainState = iota // in
	DomainOut                    // out
)

// Config is the merged configuration: the base file with every overlay
// applied.
type Config struct {
	// Version is set by the control hosts when the change is accepted.
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
	// Timeout is the time a request gets when its caller names none.
	Timeout time.Duration
	// Queue is how long a request may wait for a slot at the admitting node.
	Queue time.Duration
	// RetryPercent is the retry budget as a share of first tries.
	RetryPercent int
	// Probes is the number of probes of one upstream per second that all
	// measuring together may cost.
	Probes int
	// EjectPercent caps the share of upstreams ejected as outliers.
	EjectPercent int
	// Subset is the largest number of nodes that one entry node chooses among.
	Subset int
	// KeyTTL is how long a claim on an idempotency key is kept.
	KeyTTL time.Duration
	// Routes are sorted by method and path.
	Routes []Route
}

// Route is one method and path prefix of a service.
type Route struct {
	Method string
	// Path matches itself and every path below it.
	Path string
	// Idempotent routes may be retried and hedged.
	Idempotent bool
	// Keyed routes need an idempotency key to be retried and are claimed
	// before dispatch.
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
