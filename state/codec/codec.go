// Package codec encodes the messages between the system's own processes as
// CBOR. The same encoding serves drpc messages over TCP and datagrams over
// UDP.
//
// # Usage
//
// Message types stay unexported beside the handlers that use them. They are
// plain structs whose fields carry short `cbor` names:
//
//	type pingMessage struct {
//		From string `cbor:"f"`
//	}
//
//	err := conn.Invoke(ctx, "gossip/ping", codec.Encoding{}, &in, &out)
package codec

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Limits that the decoder puts on one message, so that a damaged or hostile
// message cannot make the receiver allocate without bound.
const (
	maxNestedLevels  = 16
	maxArrayElements = 131_072
	maxMapPairs      = 65_536
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// Encoding implements drpc.Encoding.
type Encoding struct{}

// Marshal returns the CBOR form of msg.
func (Encoding) Marshal(msg drpc.Message) ([]byte, error) { return Marshal(msg) }

// Unmarshal reads the CBOR form in buf into msg.
func (Encoding) Unmarshal(buf []byte, msg drpc.Message) error { return Unmarshal(buf, msg) }

// Marshal returns the CBOR form of v. Equal values have equal bytes.
func Marshal(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	return b, errors.Wrap(err, "encode message")
}

// Unmarshal reads the CBOR form in b into v. Bytes after the value are an
// error.
func Unmarshal(b []byte, v any) error {
	return errors.Wrap(decMode.Unmarshal(b, v), "decode message")
}

func mustEncMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeUnixMicro
	mode, err := opts.EncMode()
	if err != nil {
		panic(err) // fixed options: fails only when the library changes
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(err) // fixed options: fails only when the library changes
	}
	return mode
}
