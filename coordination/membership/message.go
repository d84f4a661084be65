package membership

import (
	"github.com/mulberrylink/mulberrylink"
)

//go:generate stringer -type=Kind -linecomment -output=message_string.go

// Kind is the purpose of a datagram.
type Kind uint8

// Kinds of datagrams.
const (
	KindPing        Kind = iota // ping
	KindAck                     // ack
	KindPingRequest             // pingrequest
	KindPush                    // push
	KindSyncRequest             // syncrequest
	KindSyncReply               // syncreply
)

// Datagram is one message between two nodes. Every datagram may carry records
// and notes.
type Datagram struct {
	_ struct{} `cbor:",toarray"`
	// Kind is the purpose of the datagram.
	Kind Kind
	// From and Addr are the sender's name and address.
	From string
	Addr string
	// Seq matches an ack with its ping.
	Seq uint32
	// Target is the address to probe for a ping request, and the name after
	// which a sync request wants records.
	Target string
	// Version is the configuration version in force at the sender.
	Version uint64
	// Digest summarises the names and incarnations that the sender knows.
	Digest uint64
	// Last marks the final page of a synchronisation.
	Last bool
	// Records are node records.
	Records []Record
	// Notes are messages of other parts of the node.
	Notes []Note
}

// Record is the wire form of one node record. The configuration version is
// left out: every change of configuration would otherwise make each node
// spread a new record of itself.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	Domain      string
	Service     string
	Addr        string
	Front       string
	State       uint8
	Upstream    uint8
	Slots       int
}

// Note is an urgent message of another part of the node, delivered at most
// once to each node.
type Note struct {
	_    struct{} `cbor:",toarray"`
	Kind uint8
	ID   uint64
	Data []byte
}

// Packet is a datagram and where to send it.
type Packet struct {
	To       string
	Datagram Datagram
}

// Sizes in bytes. Estimates are above the encoded size, so that a datagram
// that fits the estimate fits the limit.
const (
	maxDatagramBytes      = 1200 // below the IPv6 minimum MTU with headers
	recordOverheadBytes   = 32
	noteOverheadBytes     = 16
	datagramOverheadBytes = 120
	maxNoteBytes          = 512
	maxRecordBytes        = 400
	udpOverheadBytes      = 28
	maxDomainBytes        = 64
)

func (r Record) size() int {
	return recordOverheadBytes + len(r.Name) + len(r.Domain) + len(r.Service) + len(r.Addr) + len(r.Front)
}

func (n Note) size() int { return noteOverheadBytes + len(n.Data) }

func (d Datagram) size() int {
	total := datagramOverheadBytes
	for _, r := range d.Records {
		total += r.size()
	}
	for _, n := range d.Notes {
		total += n.size()
	}
	return total
}

// valid reports whether a received record is well-formed. Records come from
// the network, so sizes are checked before they are kept or passed on.
func (r Record) valid() bool {
	return r.Name != "" && r.Addr != "" && r.size() <= maxRecordBytes &&
		len(r.Domain) <= maxDomainBytes &&
		mulberrylink.NodeState(r.State) <= mulberrylink.NodeGone &&
		mulberrylink.UpstreamState(r.Upstream) <= mulberrylink.UpstreamDraining &&
		r.Slots >= 0
}

func recordOf(n mulberrylink.Node) Record {
	return Record{
		Name: n.Name, Incarnation: n.Incarnation, Domain: n.Domain, Service: n.Service,
		Addr: n.Addr, Front: n.Front, State: uint8(n.State), Upstream: uint8(n.Upstream), Slots: n.Slots,
	}
}

func (r Record) node() mulberrylink.Node {
	return mulberrylink.Node{
		Name: r.Name, Incarnation: r.Incarnation, Domain: r.Domain, Service: r.Service,
		Addr: r.Addr, Front: r.Front, State: mulberrylink.NodeState(r.State),
		Upstream: mulberrylink.UpstreamState(r.Upstream), Slots: r.Slots,
	}
}
