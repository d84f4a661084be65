package mulberrylink

//go:generate stringer -type=NodeState,UpstreamState -linecomment -output=node_string.go

// NodeState is the membership state of a node.
type NodeState uint8

// States of a node. Of two records with the same incarnation the one with the later state wins.
const (
	NodeReady   NodeState = iota // ready
	NodeSuspect                  // suspect
	NodeLeaving                  // leaving
	NodeGone                     // gone
)

// UpstreamState is the state of an upstream, as observed by the node on the same host.
type UpstreamState uint8

// States of an upstream.
const (
	UpstreamDown     UpstreamState = iota // down
	UpstreamCold                          // cold
	UpstreamUp                            // up
	UpstreamDraining                      // draining
)

// Node is the membership record of one node.
type Node struct {
	// Name is unique in the deployment.
	Name string
	// Incarnation orders the records of one node: the highest is the newest. It grows with every
	// restart, every refuted suspicion and every change of the record other than of Version.
	Incarnation uint64
	// Domain is the failure domain of the host.
	Domain string
	// Service is the service of the node's upstream, empty if no upstream has announced itself.
	Service string
	// Release is the version of the software of the upstream, empty if it is not known.
	Release string `cbor:",omitempty"`
	// Addr is the address on which the node serves RPC (TCP) and gossip (UDP).
	Addr string
	// Front is the address on which the node serves the HTTP requests of callers.
	Front string
	// State is the state of the node itself.
	State NodeState
	// Upstream is the state of the node's upstream.
	Upstream UpstreamState
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Version is the version of the configuration in force on the node.
	Version uint64
}

// Usable reports whether the node may be selected for new requests to its service.
func (n Node) Usable() bool {
	if n.State != NodeReady && n.State != NodeSuspect {
		return false
	}
	return n.Upstream == UpstreamUp || n.Upstream == UpstreamCold
}
