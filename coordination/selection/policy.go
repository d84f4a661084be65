package selection

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink"
)

// Names of the policies.
const (
	Adaptive    = "adaptive"
	Random      = "random"
	RoundRobin  = "roundrobin"
	LeastLoaded = "leastloaded"
	TwoChoices  = "twochoices"
)

// PolicyNames returns the names of all policies.
func PolicyNames() []string {
	return []string{Adaptive, Random, RoundRobin, LeastLoaded, TwoChoices}
}

// Policy chooses the admitting node of a request. Implementations are safe for
// concurrent use.
type Policy interface {
	// Pick returns a node that is not in tried; ok is false when there is none.
	Pick(r *mulberrylink.Request, tried []string) (node mulberrylink.Node, ok bool)
	// PickAlone returns the node for a request that must run alone. It is the
	// same on every entry node, so that runs alone of one fingerprint follow
	// one another on one upstream.
	PickAlone(r *mulberrylink.Request, tried []string) (node mulberrylink.Node, ok bool)
	// Observe records the result of a try and how long it took. A result with
	// reason canceled only ends the try.
	Observe(node string, res mulberrylink.Result, took time.Duration)
	// ReportLoad records a load that arrived by other means, such as a probe.
	ReportLoad(node string, load mulberrylink.Load)
	// ProbeTargets returns the names of the nodes to probe now. They are counted
	// against the probe budget.
	ProbeTargets(now time.Time) []string
}

// NodeSource returns the nodes of a service. Nodes of failure domains that are out
// of service are left out. The slice must not change after it was returned; a
// new state is a new slice.
type NodeSource interface {
	Nodes(service string) []mulberrylink.Node
}

// Clock tells the time.
type Clock interface{ Now() time.Time }

// Settings is the part of the configuration of a service that concerns
// selection. Zero values select the defaults.
type Settings struct {
	// MaxEjectPercent caps the share of nodes ejected as outliers.
	MaxEjectPercent int
	// SubsetSize is the largest number of nodes to choose among, 0 for all.
	SubsetSize int
	// ProbesPerSecond is the number of probes of one upstream per second by all entry
	// nodes together.
	ProbesPerSecond int
}

// Config holds what a policy needs. Clock, Rand and Nodes are required.
type Config struct {
	Clock Clock
	// Rand returns 64 random bits. It must be safe for concurrent use if the
	// policy is used concurrently.
	Rand  func() uint64
	Nodes NodeSource
	// Self is the name of the entry node and Domain its failure domain.
	Self, Domain string
	// LocalLoad returns the exact load of the node's own upstream; nil when the
	// process has none.
	LocalLoad func() mulberrylink.Load
	// Settings returns the settings of a service; nil selects the defaults.
	Settings func(service string) Settings
	// EntryNodes returns the number of entry nodes that share the probe budget;
	// nil stands for one.
	EntryNodes func() int
	// Choices is the number of candidates drawn in the node's own failure
	// domain, and again in the others.
	Choices int
}

// New returns the policy with the given name.
func New(name string, cfg Config) (Policy, error) {
	if name == Adaptive {
		return NewPicker(cfg), nil
	}
	p := NewPicker(withoutSubset(cfg))
	switch name {
	case Random:
		return &baseline{Picker: p, choose: p.random}, nil
	case RoundRobin:
		return &baseline{Picker: p, choose: p.roundRobin}, nil
	case LeastLoaded:
		return &baseline{Picker: p, choose: p.leastLoaded}, nil
	case TwoChoices:
		return &baseline{Picker: p, choose: p.twoChoices}, nil
	default:
		return nil, errors.Newf("policy %q does not exist", name)
	}
}

// whole returns cfg without subsets: the baselines choose among all nodes.
func withoutSubset(cfg Config) Config {
	settings := cfg.Settings
	cfg.Settings = func(service string) Settings {
		if settings == nil {
			return Settings{}
		}
		s := settings(service)
		s.SubsetSize = 0
		return s
	}
	return cfg
}
