package membership

import (
	"github.com/mulberrylink/mulberrylink"
)

//go:generate stringer -type=Kind -linecomment -output=message_string.go

// Kind is the kind of a datagram.
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

// Datagram is one message between two nodes. Every datagram may carry records and notes. It is
// encoded as an array, so the order of the fields is part of the wire format.
type Datagram struct {
	_ struct{} `cbor:",toarray"`
	// Kind is the kind of the datagram.
	Kind Kind
	// From and Addr are the sender's name and address.
	From string
	Addr string
	// Seq matches an ack with its ping.
	Seq uint32
	// Target is the address to probe in a ping request. In a sync request and its reply it is
	// the name after which the page of records starts.
	Target string
	// Version is the configuration version in force at the sender.
	Version uint64
	// Digest is a hash of the names and incarnations of the records that the sender holds.
	Digest uint64
	// Last is true on the last page of a synchronisation.
	Last bool
	// Records are node records.
	Records []Record
	// Notes are messages of other components of the node.
	Notes []Note
}

// Record is the wire format of a node record. It does not include the configuration version:
// otherwise every change of the configuration would make each node disseminate a new record.
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

// Note is an urgent message of another component of the node. It is delivered at most once to
// each node.
type Note struct {
	_    struct{} `cbor:",toarray"`
	Kind uint8
	ID   uint64
	Data []byte
}

// Packet is a datagram with its destination address.
type Packet struct {
	To       string
	Datagram Datagram
}

// Sizes in bytes. The size of a datagram is an estimate above its encoded size, so a datagram whose
// estimate is within the limit never exceeds it.
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

// valid reports whether a received record is well-formed. Records come from the network, so their
// sizes are checked before they are stored or forwarded.
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
