package storage

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a corrupt segment that panics the decoder, and against frames that are decoded
// although they were never written: the valid prefix must hold the same frames when scanned alone.
func FuzzScanFrames(f *testing.F) {
	batch, err := encodeFrame(frame{Kind: frameBatch, Entries: []Entry{{Index: 1, Term: 1, Data: []byte("a")}}}, 3, 0)
	if err != nil {
		f.Fatal(err)
	}
	marker, err := encodeFrame(frame{Kind: frameSyncMarker}, 3, int64(len(batch)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append(batch, marker...))
	f.Add(batch[:len(batch)-1])
	f.Add([]byte{0xa7, 'M', 'B', 'L', 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		frames := 0
		validSize, err := scanFrames(data, 3, func(frame) error { frames++; return nil })
		is.NoErr(err)
		is.True(validSize >= 0 && validSize <= int64(len(data)))
		framesAgain := 0
		_, err = scanFrames(data[:validSize], 3, func(frame) error { framesAgain++; return nil })
		is.NoErr(err)
		is.Equal(frames, framesAgain)
		hasSyncMarkerAfter(data, 3, validSize)
	})
}
