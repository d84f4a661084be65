// Package feed distributes node records and the configuration. A node subscribes to the hub of one
// control host and sends its own record. The hub sends it the records of all other nodes, the
// committed document, the failure domains that are out of service, the rollouts, the addresses of the
// control hosts, and the records of crash suspects (coordination/suspect), which nodes also send to the
// hub. During a rollout, nodes send the results of their upstreams (coordination/rollout), which hubs
// pass on to the control hosts. A
// subscriber has the records that the hub holds before the first document. Each control host also
// subscribes to the hubs of all others, so that each knows every node. A hub sends a control host only
// the records of the nodes that subscribe to this hub. It does not send it the document, which control
// hosts have from the replicated log. Packages gateway and controlhost use the feed; cmd/mulberrynode
// and cmd/mulberrycontrol use protocol/controlplane instead.
//
// One drpc stream carries both directions. Each side sends at least one message per
// heartbeatInterval, an empty one if nothing changed, and ends the stream if it has received nothing
// for silenceTimeout, because a connection over a broken network path reports no error. A hub whose
// control host has no leader says so in its messages, and the nodes that subscribe to it move to
// another control host.
//
// A subscriber may ask its hub to confirm that its state is current, for a lease (coordination/lease).
// Its messages then carry a reading of its clock. The hub confirms the newest one that it had received
// before it began a quorum read, once the read has succeeded and the subscriber has been sent the state
// that the read covers.
//
// # Usage
//
// On a control host:
//
//	hub := feed.NewHub(feed.HubConfig{Directory: d, State: machine.Current, …})
//	method, h := hub.Method()
//	server.Handle(method, h)
//
// On a node:
//
//	c := feed.NewClient(feed.ClientConfig{Dialer: pool, Seeds: seeds, Directory: d, OnState: onState})
//	c.Announce(node)
//	go c.Run(ctx)
package feed

import (
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/rollout"
)

const (
	methodWatch = "feed/watch"

	// heartbeatInterval is the interval of heartbeats. They also tell a subscriber that its control
	// host has lost the leader. The subscriber must find another control host well within the 2 s in
	// which a change has to be in force.
	heartbeatInterval = 300 * time.Millisecond
	// silenceTimeout is the silence after which a stream is ended. Up to two heartbeats in a row may
	// be lost or late.
	silenceTimeout = time.Second
	// firstMessageTimeout bounds the time to open a stream and receive the first message, which a hub
	// sends at once.
	firstMessageTimeout = 400 * time.Millisecond
	// reconnectGracePeriod is how long the record of a node is kept after its stream has ended, so
	// that the node is not marked as gone when it moves to another control host.
	reconnectGracePeriod = 2 * time.Second
	// retryDelay is the delay before the next control host is tried.
	retryDelay = 100 * time.Millisecond
	// failedHostPenalty is how long a control host is tried after all others once following it has
	// failed.
	failedHostPenalty = 10 * time.Second
	// batchDelay is the delay after a change of records. Further changes within it are sent in the
	// same message.
	batchDelay = 10 * time.Millisecond
	// reportDelay is the delay after a report of results, so that control hosts are sent those of several
	// nodes in one message.
	reportDelay = 30 * time.Millisecond
)

// Host is a control host. Subscribers prefer control hosts in their own failure domain, because most
// of the cost of a large document is its transfer between failure domains.
type Host struct {
	// Addr is the address of its hub.
	Addr string `cbor:"a"`
	// Domain is its failure domain, empty if it is not known yet.
	Domain string `cbor:"d,omitempty"`
}

// documentUpdate is the decompressed content of hubMessage.CompressedUpdate. It holds either the
// whole state or the change from the subscriber's version.
type documentUpdate struct {
	Full   *document.State  `cbor:"f,omitempty"`
	Change *document.Change `cbor:"c,omitempty"`
}

// subscriberMessage is a message from a subscriber to a hub. An empty one is a heartbeat.
type subscriberMessage struct {
	// Node is the subscriber's own record. It is set when the record changed.
	Node *mulberrylink.Node `cbor:"n,omitempty"`
	// HostName is the name of a subscribing control host. It is set in the first message.
	HostName string `cbor:"h,omitempty"`
	// Version and Revision are those of the state that the subscriber has. They are set in the first
	// message.
	Version  uint64 `cbor:"v,omitempty"`
	Revision uint64 `cbor:"s,omitempty"`
	// Suspects are the records of crash suspects that changed and that the hub has not sent.
	Suspects []suspectNotice `cbor:"c,omitempty"`
	// Probe is a reading of the subscriber's clock that it asks the hub to confirm.
	Probe int64 `cbor:"lp,omitempty"`
	// Report holds the results of the node's upstream during a rollout. It is set when it changed.
	Report *rollout.Report `cbor:"t,omitempty"`
}

// hubMessage is a message from a hub to a subscriber.
type hubMessage struct {
	// Nodes are the node records that changed.
	Nodes []mulberrylink.Node `cbor:"n,omitempty"`
	// CompressedUpdate is a compressed documentUpdate, set if the document changed. DomainsOut and
	// Revision are set together with it, or without it if only the failure domains that are out of
	// service changed.
	CompressedUpdate []byte   `cbor:"p,omitempty"`
	DomainsOut       []string `cbor:"o,omitempty"`
	Revision         uint64   `cbor:"s,omitempty"`
	// Rollouts are those that have changed since the last revision that the subscriber has.
	Rollouts []document.Rollout `cbor:"u,omitempty"`
	// Hosts are the control hosts, and Domain is the failure domain of the sending one. Both are set
	// if the control hosts are not those that the hub sent last.
	Hosts  []Host `cbor:"h,omitempty"`
	Domain string `cbor:"d,omitempty"`
	// NoLeader is true while the sending control host knows no leader.
	NoLeader bool `cbor:"b,omitempty"`
	// StoredIncarnation, if set, is the incarnation of the stored record of the subscriber. The
	// subscriber's own record must exceed it to be stored.
	StoredIncarnation uint64 `cbor:"r,omitempty"`
	// Suspects are the records of crash suspects that changed.
	Suspects []suspectNotice `cbor:"c,omitempty"`
	// ConfirmedProbe is the newest probe that the hub had received before it began a quorum read that
	// has succeeded. ConfirmedRevision is the revision that this read covers. The subscriber has
	// received a state of this revision, or a newer one, before this message or with it.
	ConfirmedProbe    int64  `cbor:"lp,omitempty"`
	ConfirmedRevision uint64 `cbor:"lr,omitempty"`
	// Reports are the reports that nodes sent to this hub and that changed. Only control hosts are sent
	// them.
	Reports []rollout.Report `cbor:"t,omitempty"`
}

// suspectNotice is the wire format of a suspect.Notice. It carries the remaining time instead of a
// point in time, because the clocks of hosts differ.
type suspectNotice struct {
	Fingerprint     uint64 `cbor:"p"`
	Stage           uint32 `cbor:"s"`
	RemainingMillis int64  `cbor:"l"`
}
