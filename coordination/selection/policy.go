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

// PolicyNames returns the names of all policies, the adaptive one first.
func PolicyNames() []string {
	return []string{Adaptive, Random, RoundRobin, LeastLoaded, TwoChoices}
}

// Policy chooses the admitting node of a request. Implementations are safe for
// concurrent use.
type Policy interface {
	// Pick returns a node that is not in tried; ok is false when there is none.
	Pick(r *mulberrylink.Request, tried []string) (node mulberrylink.Node, ok bool)
	// PickAlone returns the node for a request that must run alone. Every entry
	// node chooses the same one, so that requests with the same fingerprint run
	// one after another on one upstream.
	PickAlone(r *mulberrylink.Request, tried []string) (node mulberrylink.Node, ok bool)
	// Observe records the result of an attempt and its duration. A result with
	// reason canceled ends the attempt without any effect on health or load.
	Observe(node string, res mulberrylink.Result, took time.Duration)
	// ReportLoad records a load that arrived by other means, such as a probe.
	ReportLoad(node string, load mulberrylink.Load)
	// ProbeTargets returns the names of the nodes to probe now and counts them
	// against the probe budget.
	ProbeTargets(now time.Time) []string
}

// NodeSource returns the nodes of a service, without those of failure domains
// that are out of service. A returned slice must never change; after a change of
// the nodes, the source returns a new slice.
type NodeSource interface {
	Nodes(service string) []mulberrylink.Node
}

// Clock returns the current time.
type Clock interface{ Now() time.Time }

// Settings is the part of the configuration of a service that concerns
// selection. Zero values select the defaults.
type Settings struct {
	// MaxEjectPercent caps the share of nodes ejected as outliers.
	MaxEjectPercent int
	// SubsetSize is the maximum number of nodes to choose from; 0 selects all.
	SubsetSize int
	// ProbesPerSecond is the maximum rate of probes of one upstream by all entry
	// nodes together; 0 disables probes.
	ProbesPerSecond int
}

// Config holds the settings and dependencies of a policy. Clock, Rand and Nodes
// are required.
type Config struct {
	Clock Clock
	// Rand returns 64 random bits. It must be safe for concurrent use if the
	// policy is used concurrently.
	Rand  func() uint64
	Nodes NodeSource
	// Self is the name of the entry node and Domain its failure domain.
	Self, Domain string
	// LocalLoad returns the exact load of the entry node's own upstream. It is
	// nil when the process has none.
	LocalLoad func() mulberrylink.Load
	// Settings returns the settings of a service; nil selects the defaults.
	Settings func(service string) Settings
	// EntryNodes returns the number of entry nodes that share the probe budget;
	// nil stands for one.
	EntryNodes func() int
	// Choices is the number of candidates drawn in the entry node's failure
	// domain, and the number drawn in all others. Zero selects DefaultChoices.
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
		return nil, errors.Newf("selection policy %q does not exist", name)
	}
}

// withoutSubset returns cfg with subsets disabled: the baseline policies choose
// from all nodes.
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
