package exchange

import (
	"errors"
	"io"

	"github.com/mulberrylink/mulberrylink/state/memory"
)

// minBufferBytes is the size of a buffer that doesn't draw on the budget: it counts as a part of
// the request.
const minBufferBytes = 4 << 10

// bodyBuffer holds the first bytes of the body of a response. It grows up to limit while there is
// memory for it.
type bodyBuffer struct {
	mem   *memory.Account
	limit int
	data  []byte
}

// begin allocates a buffer for a body of the given length, -1 when it is unknown.
func (b *bodyBuffer) begin(length int64) {
	if length < 0 {
		length = minBufferBytes
	}
	b.grow(int(min(int64(b.limit), length)) + 1)
}

// grow makes the capacity at least n, and reports whether there is memory for that. Without memory
// a new buffer still has minBufferBytes.
func (b *bodyBuffer) grow(n int) bool {
	had := cap(b.data)
	switch {
	case n <= minBufferBytes+1:
	case b.mem.Acquire(memory.Responses, int64(n), memory.PeerLevel):
	case had == 0:
		n = minBufferBytes
	default:
		return false
	}
	b.data = append(make([]byte, 0, n), b.data...)
	if had > minBufferBytes+1 {
		b.mem.Release(memory.Responses, int64(had))
	}
	return true
}

// fill reads until the buffer is full. It reports whether the body is complete.
func (b *bodyBuffer) fill(r io.Reader) (complete bool, err error) {
	for len(b.data) < b.limit {
		if len(b.data) == cap(b.data) && !b.grow(min(2*cap(b.data)+minBufferBytes, b.limit+1)) {
			return false, nil
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}
