package control

import (
	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

// Command is one log entry. Exactly one of its pointers is set.
type Command struct {
	// Now is the time of the leader's Clock.
	Now     int64           `cbor:"t"`
	Change  *ChangeCommand  `cbor:"c,omitempty"`
	Claim   *ClaimCommand   `cbor:"k,omitempty"`
	Finish  *FinishCommand  `cbor:"f,omitempty"`
	Release *ReleaseCommand `cbor:"r,omitempty"`
}

// ChangeCommand proposes a new version of the configuration.
type ChangeCommand struct {
	// ID is the change identifier, chosen by the operator.
	ID string `cbor:"i"`
	// BaseVersion is the version that the files were edited from.
	BaseVersion uint64 `cbor:"v"`
	// Fingerprint is the hash of the files and BaseVersion.
	Fingerprint uint64 `cbor:"p"`
	// Files are the source files, starting with the base file.
	Files []File `cbor:"s"`
	// EncodedConfig is the merged configuration, encoded with version BaseVersion+1.
	EncodedConfig []byte `cbor:"r"`
	// ProposedAt is the wall clock of the leader in microseconds since the Unix epoch.
	ProposedAt int64 `cbor:"t"`
}

// File is one source file of a configuration version.
type File struct {
	Name string `cbor:"n"`
	Data []byte `cbor:"d"`
}

// ClaimCommand requests a claim on (Service, Key).
type ClaimCommand struct {
	Service string `cbor:"s"`
	Key     string `cbor:"k"`
	// Fingerprint is the hash of the request.
	Fingerprint uint64 `cbor:"p"`
	// Holder is the name of the requesting node.
	Holder string `cbor:"h"`
	// RequestID identifies the attempt together with Holder: a claim that is already granted is
	// granted again only to the same attempt.
	RequestID string `cbor:"r"`
	// Deadline is when the claim expires, on the same clock as Command.Now.
	Deadline int64 `cbor:"u"`
}

// FinishCommand records the first response of a claimed request.
type FinishCommand struct {
	Service   string `cbor:"s"`
	Key       string `cbor:"k"`
	Holder    string `cbor:"h"`
	RequestID string `cbor:"r"`
	// Response is nil if the response cannot be stored.
	Response *Response `cbor:"a,omitempty"`
}

// ReleaseCommand releases a claim whose request did not run.
type ReleaseCommand struct {
	Service   string `cbor:"s"`
	Key       string `cbor:"k"`
	Holder    string `cbor:"h"`
	RequestID string `cbor:"r"`
	// Deadline is when the record of the release expires. Until then, a late claim of the same
	// attempt is refused.
	Deadline int64 `cbor:"u"`
}

// Response is the first response of a claimed request.
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
	// BadCommand means that the command could not be decoded. It changed nothing.
	BadCommand Code = iota // badcommand
	// Accepted means that the change was accepted as a version, now or earlier.
	Accepted // accepted
	// Conflict means that the base version of the change was not the current version.
	Conflict // conflict
	// Reused means that the change identifier was used before with other files.
	Reused // reused
	// Granted means that the attempt holds the claim.
	Granted // granted
	// Pending means that another attempt holds the claim.
	Pending // pending
	// Finished means that the request has run and its response is stored.
	Finished // finished
	// Ran means that the request has run and its response is not stored.
	Ran // ran
	// Mismatch means that the key is claimed by a request with another fingerprint.
	Mismatch // mismatch
	// Refused means that the claim cannot be granted to this attempt: it was released, its
	// deadline has passed, its service name is invalid, or the limit of claims is reached.
	Refused // refused
	// Recorded means that a finish or release was applied, now or earlier.
	Recorded // recorded
	// Ignored means that a finish or release had no effect: there is no claim that it may end,
	// or the release has expired or exceeds the limit of claims.
	Ignored // ignored
)

// Result is the outcome of one command.
type Result struct {
	Code Code `cbor:"c"`
	// Version is the accepted version. For Conflict it is the version that was current when the
	// change was first applied, for Reused the current version.
	Version uint64 `cbor:"v,omitempty"`
	// Holder and RequestID identify the attempt that holds the claim.
	Holder    string `cbor:"h,omitempty"`
	RequestID string `cbor:"r,omitempty"`
	// Response is set if Code is Finished.
	Response *Response `cbor:"a,omitempty"`
}

// Encode encodes c for the replicated log.
func Encode(c Command) []byte { return mustEncode(c) }

// DecodeResult decodes the bytes that Machine.Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var res Result
	err := codec.Unmarshal(data, &res)
	return res, errors.Wrap(err, "decode command result")
}

func mustEncode(v any) []byte {
	b, err := codec.Marshal(v)
	if err != nil {
		panic(err) // the types of this package always encode
	}
	return b
}
