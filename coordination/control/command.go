package control

import (
	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

// Command is one entry of the replicated log. Exactly one of its pointers is
// set.
type Command struct {
	// Now is the time that the leader's Clock gave.
	Now     int64           `cbor:"t"`
	Change  *ChangeCommand  `cbor:"c,omitempty"`
	Claim   *ClaimCommand   `cbor:"k,omitempty"`
	Finish  *FinishCommand  `cbor:"f,omitempty"`
	Release *ReleaseCommand `cbor:"r,omitempty"`
}

// ChangeCommand asks for a new version of the configuration.
type ChangeCommand struct {
	// ID is the change identifier that the operator chose.
	ID string `cbor:"i"`
	// From is the version that the files were edited from.
	BaseVersion uint64 `cbor:"v"`
	// Print is the fingerprint of the files and From.
	Fingerprint uint64 `cbor:"p"`
	// Files are the source files, base first.
	Files []File `cbor:"s"`
	// Raw is the merged configuration, encoded with version From+1.
	EncodedConfig []byte `cbor:"r"`
	// At is the wall clock of the leader in microseconds since 1970.
	ProposedAt int64 `cbor:"t"`
}

// File is one source file of a configuration version.
type File struct {
	Name string `cbor:"n"`
	Data []byte `cbor:"d"`
}

// ClaimCommand asks for a claim on (Service, Key).
type ClaimCommand struct {
	Service string `cbor:"s"`
	Key     string `cbor:"k"`
	// Print is the fingerprint of the request.
	Fingerprint uint64 `cbor:"p"`
	// Holder is the name of the node that asks.
	Holder string `cbor:"h"`
	// Request identifies the attempt: only the same attempt gets a granted
	// claim a second time.
	RequestID string `cbor:"r"`
	// Until is the deadline of the claim on the same clock as Command.Now.
	Deadline int64 `cbor:"u"`
}

// FinishCommand records the first answer of a claimed request.
type FinishCommand struct {
	Service   string `cbor:"s"`
	Key       string `cbor:"k"`
	Holder    string `cbor:"h"`
	RequestID string `cbor:"r"`
	// Answer is nil when the answer cannot be held.
	Response *Response `cbor:"a,omitempty"`
}

// ReleaseCommand gives up a claim whose request was not run.
type ReleaseCommand struct {
	Service   string `cbor:"s"`
	Key       string `cbor:"k"`
	Holder    string `cbor:"h"`
	RequestID string `cbor:"r"`
	// Until is how long the release is remembered, so that a claim of the same
	// attempt that arrives late is refused.
	Deadline int64 `cbor:"u"`
}

// Answer is the first answer of a claimed request.
type Response struct {
	Status int                 `cbor:"s"`
	Header map[string][]string `cbor:"h,omitempty"`
	Body   []byte              `cbor:"b,omitempty"`
}

//go:generate stringer -type=Code -linecomment -output=command_string.go

// Code is the outcome of a command.
type Code uint8

// Outcomes of commands.
const (
	// BadCommand means that the command could not be read; it changed nothing.
	BadCommand Code = iota // badcommand
	// Accepted means that the change is the current version.
	Accepted // accepted
	// Conflict means that the change was made from another version than the
	// current one.
	Conflict // conflict
	// Reused means that the change identifier belongs to other files.
	Reused // reused
	// Granted means that the attempt holds the claim.
	Granted // granted
	// Pending means that another attempt holds the claim.
	Pending // pending
	// Finished means that the request has run and its answer is held.
	Finished // finished
	// Ran means that the request has run and its answer is not held.
	Ran // ran
	// Mismatch means that the key belongs to a request with another fingerprint.
	Mismatch // mismatch
	// Refused means that the claim cannot be granted to this attempt: it was
	// released, its deadline has passed, or there is no room.
	Refused // refused
	// Recorded means that a finish or release took effect, now or earlier.
	Recorded // recorded
	// Ignored means that a finish or release names no claim that it may end.
	Ignored // ignored
)

// Result is the outcome of one command.
type Result struct {
	Code Code `cbor:"c"`
	// Version is the accepted version, or the current one for a conflict.
	Version uint64 `cbor:"v,omitempty"`
	// Holder and Request name the attempt that has the claim.
	Holder    string `cbor:"h,omitempty"`
	RequestID string `cbor:"r,omitempty"`
	// Answer is set when Code is Finished.
	Response *Response `cbor:"a,omitempty"`
}

// Encode returns the bytes of c.
func Encode(c Command) []byte { return mustEncode(c) }

// DecodeResult reads what Machine.Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var res Result
	err := codec.Unmarshal(data, &res)
	return res, errors.Wrap(err, "read result")
}

func mustEncode(v any) []byte {
	b, err := codec.Marshal(v)
	if err != nil {
		panic(err) // the types of this package always encode
	}
	return b
}
