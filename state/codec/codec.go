// Package codec encodes messages between the processes of the system, and the data that they
// store, as CBOR. The same encoding serves drpc messages over TCP and datagrams over UDP.
//
// # Usage
//
// Message types are unexported structs in the package of their handlers. Their fields have short
// names in `cbor` tags:
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

// Limits of the decoder for one message, so that a corrupt or malicious message cannot make the
// receiver allocate without bound.
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

// Marshal returns the CBOR encoding of msg.
func (Encoding) Marshal(msg drpc.Message) ([]byte, error) { return Marshal(msg) }

// Unmarshal decodes the CBOR data in buf into msg.
func (Encoding) Unmarshal(buf []byte, msg drpc.Message) error { return Unmarshal(buf, msg) }

// Marshal returns the deterministic CBOR encoding of v: equal values have equal bytes. Times are
// encoded with microsecond precision.
func Marshal(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	return b, errors.Wrap(err, "encode message")
}

// Unmarshal decodes the CBOR data in b into v. Data after the value is an error.
func Unmarshal(b []byte, v any) error {
	return errors.Wrap(decMode.Unmarshal(b, v), "decode message")
}

func mustEncMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeUnixMicro
	mode, err := opts.EncMode()
	if err != nil {
		panic(err) // the options are constant, so only a change of the library makes this fail
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
		panic(err) // the options are constant, so only a change of the library makes this fail
	}
	return mode
}
