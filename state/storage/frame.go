package storage

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

// ErrDamaged reports that data which was synced is missing or corrupt. A member with damaged data
// must not vote, because it may have lost entries that it has acknowledged.
var ErrDamaged = errors.New("stored data is damaged")

// Entry is one entry of the replicated log.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Kind  uint8
	Data  []byte
}

const (
	frameHeaderSize = 16 // magic, length and checksum, in bytes
	// maxPayloadSize is 256 MiB. The decoder takes a larger length for a corrupt one.
	maxPayloadSize = 256 << 20
)

var frameMagic = [4]byte{0xa7, 'M', 'B', 'L'}

// frameKind is the kind of a frame. Its values are stored.
type frameKind uint8

const (
	frameBatch      frameKind = iota // a batch of entries; replaces entries from the first index on
	frameTruncate                    // drops the entries from Index on
	frameReset                       // drops all entries; the next one has Index+1
	frameSyncMarker                  // all frames before it were synced
)

// frame is the payload of one frame in a segment.
type frame struct {
	_       struct{} `cbor:",toarray"`
	Kind    frameKind
	Index   uint64
	Entries []Entry
}

// encodeFrame returns the bytes of f for the given segment and offset. Both are part of the
// checksum, so that a copy of a frame inside the data of an entry is not taken for a frame.
func encodeFrame(f frame, seq uint64, offset int64) ([]byte, error) {
	payload, err := codec.Marshal(f)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxPayloadSize {
		return nil, errors.Newf("log batch of %d bytes exceeds the limit of %d", len(payload), maxPayloadSize)
	}
	b := make([]byte, frameHeaderSize, frameHeaderSize+len(payload))
	copy(b, frameMagic[:])
	binary.LittleEndian.PutUint32(b[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[8:], frameChecksum(payload, seq, offset))
	return append(b, payload...), nil
}

// frameChecksum returns the checksum of the position, the length and the payload of a frame.
func frameChecksum(payload []byte, seq uint64, offset int64) uint64 {
	var header [20]byte
	binary.LittleEndian.PutUint64(header[:], seq)
	binary.LittleEndian.PutUint64(header[8:], uint64(offset))
	binary.LittleEndian.PutUint32(header[16:], uint32(len(payload)))
	digest := xxhash.New()
	_, _ = digest.Write(header[:])
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// decodeFrame decodes the frame at offset and returns the offset of the next one. ok is false if
// there is no valid frame at offset.
func decodeFrame(data []byte, seq uint64, offset int64) (f frame, next int64, ok bool) {
	b := data[offset:]
	if len(b) < frameHeaderSize || !bytes.Equal(b[:4], frameMagic[:]) {
		return frame{}, 0, false
	}
	size := int(binary.LittleEndian.Uint32(b[4:]))
	if size > maxPayloadSize || size > len(b)-frameHeaderSize {
		return frame{}, 0, false
	}
	payload := b[frameHeaderSize : frameHeaderSize+size]
	if binary.LittleEndian.Uint64(b[8:]) != frameChecksum(payload, seq, offset) {
		return frame{}, 0, false
	}
	if err := codec.Unmarshal(payload, &f); err != nil {
		return frame{}, 0, false
	}
	return f, offset + frameHeaderSize + int64(size), true
}

// hasSyncMarkerAfter reports whether a valid sync marker starts anywhere after offset. It shows that
// everything before it was synced. A batch shows nothing: the writes before its sync survive a power
// loss independently.
func hasSyncMarkerAfter(data []byte, seq uint64, offset int64) bool {
	for start := offset + 1; start < int64(len(data)); start++ {
		i := bytes.Index(data[start:], frameMagic[:])
		if i < 0 {
			return false
		}
		start += int64(i)
		if f, _, ok := decodeFrame(data, seq, start); ok && f.Kind == frameSyncMarker {
			return true
		}
	}
	return false
}

// scanFrames calls visit for each frame of a segment up to the first invalid one and returns the
// size of that valid prefix.
func scanFrames(data []byte, seq uint64, visit func(frame) error) (int64, error) {
	var offset int64
	for offset < int64(len(data)) {
		f, next, ok := decodeFrame(data, seq, offset)
		if !ok {
			return offset, nil
		}
		if err := visit(f); err != nil {
			return offset, err
		}
		offset = next
	}
	return offset, nil
}
