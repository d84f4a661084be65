package storage

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against damaged segments that stop the process or are read as valid
// frames that were never written.
func FuzzScanFrames(f *testing.F) {
	first, err := encodeFrame(frame{Kind: frameBatch, Entries: []Entry{{Index: 1, Term: 1, Data: []byte("a")}}}, 3, 0)
	if err != nil {
		f.Fatal(err)
	}
	second, err := encodeFrame(frame{Kind: frameMark}, 3, int64(len(first)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append(first, second...))
	f.Add(first[:len(first)-1])
	f.Add([]byte{0xa7, 'M', 'B', 'L', 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		frames := 0
		n, err := scanFrames(data, 3, func(frame) error { frames++; return nil })
		is.NoErr(err)
		is.True(n >= 0 && n <= int64(len(data)))
		again := 0
		_, err = scanFrames(data[:n], 3, func(frame) error { again++; return nil })
		is.NoErr(err)
		is.Equal(frames, again)
		frameAfter(data, 3, n)
	})
}
