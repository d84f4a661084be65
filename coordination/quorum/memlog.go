package quorum

import (
	"fmt"

	"github.com/mulberrylink/mulberrylink/state/storage"
)

// memoryLog holds the log entries that follow the entry at index base.
type memoryLog struct {
	base     uint64
	baseTerm uint64
	entries  []storage.Entry
}

func (l *memoryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

// term returns the term of the entry at index. ok is false if the log doesn't reach there.
func (l *memoryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.base-1].Term, true
	}
}

func (l *memoryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// slice returns entries from an index on, bounded in number and bytes. It returns at least one entry
// if there is one. The result is a copy, because the log may be truncated while the entries are
// being sent or written.
func (l *memoryLog) slice(from uint64, maxEntries, maxBytes int) []storage.Entry {
	if from > l.last() {
		return nil
	}
	src := l.entries[from-l.base-1:]
	n, bytes := 0, 0
	for n < len(src) && n < maxEntries {
		bytes += len(src[n].Data)
		if n > 0 && bytes > maxBytes {
			break
		}
		n++
	}
	return append([]storage.Entry(nil), src[:n]...)
}

func (l *memoryLog) append(entries ...storage.Entry) { l.entries = append(l.entries, entries...) }

// truncateFrom drops the entries from an index on.
func (l *memoryLog) truncateFrom(from uint64) {
	if from <= l.base {
		panic(fmt.Sprintf("quorum: truncation from index %d reaches into the compacted log up to %d", from, l.base))
	}
	l.entries = l.entries[:from-l.base-1]
}

// compact drops the entries up to and including index and frees their memory.
func (l *memoryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	l.entries = append([]storage.Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

func (l *memoryLog) reset(index, term uint64) {
	l.base, l.baseTerm, l.entries = index, term, nil
}
