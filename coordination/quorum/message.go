package quorum

import "github.com/mulberrylink/mulberrylink/state/storage"

//go:generate ../../bin/tools/stringer -type=Role,Status,MessageKind -linecomment -output=quorum_string.go

// Role is the role of a member in the current term.
type Role uint8

// Roles of a member.
const (
	Follower     Role = iota // follower
	PreCandidate             // precandidate
	Candidate                // candidate
	Leader                   // leader
)

// Status is the outcome of a proposal.
type Status uint8

// Outcomes of a proposal.
const (
	// Committed means that the proposal was committed and applied.
	Committed Status = iota // committed
	// NotLeader means that the proposal was not appended because another member leads.
	NotLeader // notleader
	// Unavailable means that the proposal was not appended and never will be.
	Unavailable // unavailable
	// Indeterminate means that the proposal may have been appended, and that it was not known whether
	// it will be committed when the context ended or leadership was lost.
	Indeterminate // indeterminate
)

// MessageKind is the kind of a message between members.
type MessageKind uint8

// Kinds of messages.
const (
	PreVoteRequest        MessageKind = iota + 1 // askprevote
	PreVoteResponse                              // prevote
	VoteRequest                                  // askvote
	VoteResponse                                 // vote
	AppendRequest                                // append
	AppendResponse                               // appended
	SnapshotChunk                                // snapshotchunk
	SnapshotChunkResponse                        // chunkstored
	ReadIndexRequest                             // askread
	ReadIndexResponse                            // readindex
	TimeoutNow                                   // takeover
)

// Member describes one member of a group.
type Member struct {
	// ID is the identity stored in the member's data directory. A host that lost its directory gets a
	// new identity.
	ID uint64 `cbor:"i"`
	// Addr is the address at which the Sender reaches the member.
	Addr string `cbor:"a"`
	// Learner marks a member that receives the log but has no vote.
	Learner bool `cbor:"l,omitempty"`
	// Leaving and Joining mark the two members of a replacement in progress: the voter of the old set
	// that leaves, and the voter of the new set that takes its place.
	Leaving bool `cbor:"o,omitempty"`
	Joining bool `cbor:"n,omitempty"`
}

// Message is a message between two members.
type Message struct {
	Kind MessageKind `cbor:"k"`
	From uint64      `cbor:"f"`
	To   uint64      `cbor:"t"`
	// FromAddr is the address of the sending member.
	FromAddr string `cbor:"a,omitempty"`
	// ToAddr is the address of the receiving member; the Sender uses it and it is not encoded.
	ToAddr string `cbor:"-"`
	Term   uint64 `cbor:"m"`
	// Index depends on the kind: the index of the entry that precedes Entries in AppendRequest, the
	// highest matching entry in AppendResponse (the rejected Index if Reject is set), the last log
	// entry of the candidate in PreVoteRequest and VoteRequest, the last entry that the snapshot
	// covers in SnapshotChunk and SnapshotChunkResponse, and the confirmed read index in
	// ReadIndexResponse.
	Index uint64 `cbor:"x,omitempty"`
	// LogTerm is the term of the entry at Index.
	LogTerm uint64 `cbor:"lt,omitempty"`
	// Commit is the commit index of the leader.
	Commit  uint64          `cbor:"c,omitempty"`
	Entries []storage.Entry `cbor:"e,omitempty"`
	Reject  bool            `cbor:"r,omitempty"`
	// Hint is, in an AppendResponse with Reject set, the highest index at which the logs may match.
	// In ReadIndexRequest and ReadIndexResponse it is the token of the read.
	Hint uint64 `cbor:"h,omitempty"`
	// ReadRound is the leader's latest read round; responses echo it to confirm the round.
	ReadRound uint64 `cbor:"rd,omitempty"`
	// Transfer marks a vote request of a leadership transfer. Members answer it even while they hear
	// from a live leader.
	Transfer bool `cbor:"tr,omitempty"`
	// Offset, Data, Members and Done describe a chunk of a snapshot: its offset and bytes, the
	// membership at Index, and whether it is the last chunk. SnapshotChunkResponse holds in Offset
	// the number of bytes received so far.
	Offset  uint64 `cbor:"o,omitempty"`
	Data    []byte `cbor:"d,omitempty"`
	Members []byte `cbor:"mb,omitempty"`
	Done    bool   `cbor:"dn,omitempty"`
}

// Kinds of log entries.
const (
	entryData    uint8 = iota // a proposal
	entryNoOp                 // the first entry of a leader's term
	entryMembers              // a new membership
)

// Limits on replication messages.
const (
	maxAppendBytes   = 1 << 20
	maxAppendEntries = 4096
	maxChunkBytes    = 1 << 20
	// trailingEntries is the number of entries kept when the log is compacted, so that a member that
	// was restarted catches up without a snapshot.
	trailingEntries = 1024
	// maxTrailingBytes bounds the same entries by their size. Large ones would otherwise fill the disk
	// and the memory of each member.
	maxTrailingBytes = 4 << 20
	// maxUnackedEntries bounds the unacknowledged entries in flight to a member and the uncommitted
	// entries of a leader.
	maxUnackedEntries = 16_384
)
