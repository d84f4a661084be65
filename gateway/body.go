package gateway

import (
	"errors"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrylink/mulberrylink/state/memory"
)

const (
	// minBodyBytes is the part of a body that is received before the request is passed on, unless
	// the request is refused. What is received beyond it is a copy, which memory may not allow.
	minBodyBytes = 16 << 10
	// bodyChunkBytes is the size of the further parts.
	bodyChunkBytes = 64 << 10
	// minUnknownChunk is the size of the first part of a body of unknown length.
	minUnknownChunk = 4 << 10
	// maxStreamShare is the inverse of the share of the remaining time that the rest of a body may
	// take for which there is no memory. The upstream occupies a slot meanwhile.
	maxStreamShare = 2
	// maxStreamed limits the requests in flight whose body is incomplete for lack of memory: a
	// caller may send the start of a body fast and the rest slowly.
	maxStreamed = 2
)

// bodyCopy is the part of the body of a request that has been received.
type bodyCopy struct {
	chunks [][]byte
	size   int64
}

// readFrom fills the last chunk.
func (b *bodyCopy) readFrom(r io.Reader) error {
	last := &b.chunks[len(b.chunks)-1]
	n, err := r.Read((*last)[len(*last):cap(*last)])
	*last = (*last)[:len(*last)+n]
	b.size += int64(n)
	return err
}

// isFull reports whether another chunk is needed.
func (b *bodyCopy) isFull() bool {
	n := len(b.chunks)
	return n == 0 || len(b.chunks[n-1]) == cap(b.chunks[n-1])
}

// writeStartTo adds the first minBodyBytes to a hash. How much more has been received depends on the
// framing of the body and on free memory.
func (b *bodyCopy) writeStartTo(h *xxhash.Digest) {
	left := minBodyBytes
	for _, c := range b.chunks {
		n := min(left, len(c))
		_, _ = h.Write(c[:n]) // a hash returns no errors
		left -= n
	}
}

// reader returns a reader of the bytes.
func (b *bodyCopy) reader() io.Reader { return &copyReader{chunks: b.chunks} }

// copyReader reads a bodyCopy.
type copyReader struct {
	chunks [][]byte
	offset int // in the first chunk
}

// Read implements io.Reader.
func (r *copyReader) Read(p []byte) (int, error) {
	for len(r.chunks) > 0 && r.offset == len(r.chunks[0]) {
		r.chunks, r.offset = r.chunks[1:], 0
	}
	if len(r.chunks) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.chunks[0][r.offset:])
	r.offset += n
	return n, nil
}

// readBody receives the body, or a part of it when it is larger than maxReplayableBody or there is
// no memory for a copy. It returns errNoMemory when the request must be refused.
func (q *request) readBody() error {
	if q.length == 0 {
		return nil
	}
	for q.body.size < maxReplayableBody && q.body.size != q.length {
		if q.body.isFull() {
			if !q.acquireChunk() {
				return q.passOnRest()
			}
		}
		err := q.body.readFrom(q.httpReq.Body)
		if errors.Is(err, io.EOF) {
			q.length = q.body.size
			return nil
		}
		if err != nil {
			return err
		}
	}
	if q.body.size == q.length {
		return q.readBodyEnd()
	}
	q.bodyRest = q.httpReq.Body
	return nil
}

// readBodyEnd reads the end of a body whose bytes have been received.
func (q *request) readBodyEnd() error {
	var end [1]byte
	if _, err := q.httpReq.Body.Read(end[:]); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// acquireChunk adds an empty chunk to the body, if there is memory for it.
func (q *request) acquireChunk() bool {
	kind, level, size := memory.Copies, memory.CopyLevel, int64(bodyChunkBytes)
	if q.body.size < minBodyBytes {
		kind, level, size = memory.Requests, memory.RequestLevel(q.route.Priority), minBodyBytes
	}
	if q.length > 0 {
		size = min(size, q.length-q.body.size)
	} else {
		size = min(size, max(minUnknownChunk, q.body.size)) // most bodies of unknown length are short
	}
	if !q.mem.Acquire(kind, size, level) {
		return false
	}
	q.body.chunks = append(q.body.chunks, make([]byte, 0, size))
	return true
}

// passOnRest decides about a request whose body is incomplete and for which there is no memory. A
// body that arrives fast is streamed to the upstream. Another one would occupy a slot of it for
// long, so its request is refused.
func (q *request) passOnRest() error {
	now := time.Now()
	rest := q.length - q.body.size
	if q.length < 0 {
		rest = maxReplayableBody
	}
	needed := time.Duration(float64(now.Sub(q.start)) * float64(rest) / float64(max(1, q.body.size)))
	if q.body.size < min(minBodyBytes, q.body.size+rest) || needed > q.deadline.Sub(now)/maxStreamShare {
		return errNoMemory
	}
	if q.g.streamed.Add(1) > maxStreamed {
		q.g.streamed.Add(-1)
		return errNoMemory
	}
	q.g.stats.count("memory_streamed")
	q.streamed, q.bodyRest = true, q.httpReq.Body
	return nil
}
