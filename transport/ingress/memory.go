package ingress

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/memory"
)

const (
	// connBytes is what an open connection without a request takes: its buffers and the stack of
	// its goroutine.
	connBytes = 16 << 10
	// headFactor is the size of a parsed head of many short lines relative to its bytes.
	headFactor = 16
	// minHeadBytes is the size of a head that is read without regard to the budget, so that the
	// handler can refuse its request under the identifier that the caller gave it. It is a part of
	// connBytes.
	minHeadBytes = 1 << 10
)

var (
	errNoMemory = errors.New("no memory for the header of a request")
	headEnd     = []byte("\r\n\r\n")
)

// headMeter takes the bytes of heads from the budget as they arrive.
type headMeter struct {
	r       io.Reader
	mem     *memory.Account
	active  bool  // a head is being read
	bytes   int64 // bytes that were read since begin, with those that were buffered then
	taken   int64
	refused bool // there was no memory for the head; a reader may ignore the error at first
}

// begin starts to count a head. Its first bytes may be buffered already, with others after them.
func (m *headMeter) begin(buffered []byte) error {
	m.active, m.bytes, m.taken, m.refused = true, int64(len(buffered)), 0, false
	head := len(buffered)
	if i := bytes.Index(buffered, headEnd); i >= 0 {
		head = i + len(headEnd)
	}
	return m.add(int64(head), int64(head))
}

// end returns what the head has taken. Bytes that are still buffered belong to what follows it.
func (m *headMeter) end(buffered int) int64 {
	m.active = false
	head := min(m.taken, max(0, m.bytes-int64(buffered)-minHeadBytes)*headFactor)
	m.mem.Release(memory.Heads, m.taken-head)
	return head
}

// Read implements io.Reader.
func (m *headMeter) Read(p []byte) (int, error) {
	if m.active && m.refused {
		return 0, errNoMemory
	}
	n, err := m.r.Read(p)
	if !m.active || n <= 0 {
		return n, err
	}
	m.bytes += int64(n)
	if err := m.add(int64(n), m.bytes); err != nil {
		return 0, err
	}
	return n, err
}

// add takes the memory for n more bytes of a head that has the given size with them.
func (m *headMeter) add(n, size int64) error {
	if size <= minHeadBytes {
		return nil
	}
	n = min(n, size-minHeadBytes) * headFactor
	if !m.mem.Acquire(memory.Heads, n, memory.HeadLevel) {
		m.refused = true
		return errNoMemory
	}
	m.taken += n
	return nil
}
