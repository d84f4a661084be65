package mulberrylink

//go:generate stringer -type=NodeState,UpstreamState -linecomment -output=node_string.go

// NodeState is the state of a node in the node group.
type NodeState uint8

// States of a node, in the order in which they override one another within one
// incarnation.
const (
	NodeReady   NodeState = iota // ready
	NodeSuspect                  // suspect
	NodeLeaving                  // leaving
	NodeGone                     // gone
)

// UpstreamState is the state of an upstream as its node sees it.
type UpstreamState uint8

// States of an upstream.
const (
	UpstreamDown     UpstreamState = iota // down
	UpstreamCold                          // cold
	UpstreamUp                            // up
	UpstreamDraining                      // draining
)

// Node is one record of the node group.
type Node struct {
	// Name is unique in the deployment.
	Name string
	// Incarnation grows with every restart and every refuted suspicion.
	Incarnation uint64
	// Domain is the failure domain of the host.
	Domain string
	// Service is the service of the upstream beside the node, empty when no
	// upstream has announced itself.
	Service string
	// Addr is the address for RPC (TCP) and gossip (UDP).
	Addr string
	// Front is the address for callers (HTTP).
	Front string
	// State is the state of the node itself.
	State NodeState
	// Upstream is the state of the upstream beside it.
	Upstream UpstreamState
	// Slots is the number of requests that the upstream runs at a time.
	Slots int
	// Version is the configuration version in force on the node.
	Version uint64
}

// Usable reports whether the node may be chosen for new work of its service.
func (n Node) Usable() bool {
	if n.State != NodeReady && n.State != NodeSuspect {
		return false
	}
	return n.Upstream == UpstreamUp || n.Upstream == UpstreamCold
}
