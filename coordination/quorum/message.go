package quorum

import "github.com/mulberrylink/mulberrylink/state/storage"

//go:generate ../../bin/tools/stringer -type=Role,Status,MessageKind -linecomment -output=quorum_string.go

// Role is the part that a member plays in the current term.
type Role uint8

// Roles of a member.
const (
	Follower     Role = iota // follower
	PreCandidate             // precandidate
	Candidate                // candidate
	Leader                   // leader
)

// Status tells the caller of Propose what became of its proposal.
type Status uint8

// Statuses of a proposal.
const (
	// Committed means that the proposal was applied.
	Committed Status = iota // committed
	// NotLeader means that the proposal was not appended; another member leads.
	NotLeader // notleader
	// Unavailable means that the proposal was not appended and never will be.
	Unavailable // unavailable
	// Indeterminate means that the proposal was appended, and whether it will
	// be committed was not known when the deadline passed or leadership ended.
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

// Member is one member of the group.
type Member struct {
	// ID is the identity of the member's data directory. A host that lost its
	// directory gets a new one.
	ID uint64 `cbor:"i"`
	// Addr is where the Sender reaches it.
	Addr string `cbor:"a"`
	// Learner marks a member that receives the log and has no vote.
	Learner bool `cbor:"l,omitempty"`
}

// Message is what members send to one another.
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
	LogTerm uint64          `cbor:"lt,omitempty"`
	Commit  uint64          `cbor:"c,omitempty"`
	Entries []storage.Entry `cbor:"e,omitempty"`
	Reject  bool            `cbor:"r,omitempty"`
	// Hint is, in an AppendResponse with Reject set, the highest index at which the logs may match.
	// In ReadIndexRequest and ReadIndexResponse it is the token of the read.
	Hint uint64 `cbor:"h,omitempty"`
	// ReadRound is the leader's latest read round; responses echo it to confirm the round.
	ReadRound uint64 `cbor:"rd,omitempty"`
	// Transfer marks an election that the leader itself asked for.
	Transfer bool `cbor:"tr,omitempty"`
	// Offset, Data, Members and Done carry a chunk of a snapshot.
	Offset  uint64 `cbor:"o,omitempty"`
	Data    []byte `cbor:"d,omitempty"`
	Members []byte `cbor:"mb,omitempty"`
	Done    bool   `cbor:"dn,omitempty"`
}

// Kinds of entries.
const (
	entryData    uint8 = iota // a proposal
	entryEmpty                // the first entry of a term
	entryMembers              // the members from this entry on
)

// Bounds on messages.
const (
	maxAppendBytes   = 1 << 20
	maxAppendEntries = 4096
	maxChunkBytes    = 1 << 20
	// trailingEntries lets a member that was away for a restart catch up
	// without a snapshot.
	trailingEntries = 1024
	// maxUnacked is the number of entries sent ahead of acknowledgements.
	maxUnacked = 16_384
)
