package storage

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	segmentPrefix      = "log-"
	defaultSegmentSize = 4 << 20
)

// Log is the write-ahead log.
type Log struct {
	fs    FS
	limit int64
	segs  []segment
	file  File
	size  int64
	base  uint64 // index before the first entry
	last  uint64
	known bool // base and last are known
	fixed bool // base was set by a reset and not taken from the first entry
}

type segment struct {
	seq uint64
	max uint64 // highest index that the segment holds
}

func (s segment) name() string { return fmt.Sprintf("%s%016x", segmentPrefix, s.seq) }

// OpenLog reads the log, cuts a torn tail and returns the entries. Damage
// before the tail is ErrDamaged.
func OpenLog(fs FS, segmentSize int64) (*Log, []Entry, error) {
	if segmentSize <= 0 {
		segmentSize = defaultSegmentSize
	}
	l := &Log{fs: fs, limit: segmentSize}
	if err := l.list(); err != nil {
		return nil, nil, err
	}
	entries, err := l.replay()
	if err != nil {
		return nil, nil, err
	}
	if len(l.segs) == 0 {
		return l, nil, l.addSegment(1)
	}
	l.file, err = fs.Append(l.segs[len(l.segs)-1].name())
	if err != nil {
		return nil, nil, errors.Wrap(err, "open log segment")
	}
	// A killed process may have left frames that are readable but not synced.
	if err := l.file.Sync(); err != nil {
		return nil, nil, errors.Wrap(err, "sync log")
	}
	return l, entries, l.put(frame{Kind: frameMark})
}

func (l *Log) list() error {
	names, err := l.fs.List()
	if err != nil {
		return errors.Wrap(err, "list data directory")
	}
	for _, name := range names {
		hex, ok := strings.CutPrefix(name, segmentPrefix)
		if !ok {
			continue
		}
		seq, err := strconv.ParseUint(hex, 16, 64)
		if err != nil {
			return errors.Newf("unexpected file %q in the data directory", name)
		}
		l.segs = append(l.segs, segment{seq: seq})
	}
	sort.Slice(l.segs, func(i, j int) bool { return l.segs[i].seq < l.segs[j].seq })
	for i := 1; i < len(l.segs); i++ {
		if l.segs[i].seq != l.segs[i-1].seq+1 {
			return errors.Wrapf(ErrDamaged, "log segment before %s is missing", l.segs[i].name())
		}
	}
	return nil
}

func (l *Log) replay() ([]Entry, error) {
	var entries []Entry
	for i := range l.segs {
		seg := &l.segs[i]
		data, err := readFile(l.fs, seg.name())
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", seg.name())
		}
		good, err := scanFrames(data, seg.seq, func(f frame) error {
			for _, e := range f.Entries {
				seg.max = max(seg.max, e.Index)
			}
			entries, err = l.replayFrame(f, entries)
			return errors.Wrapf(err, "%s", seg.name())
		})
		if err != nil {
			return nil, err
		}
		l.size = good
		if good == int64(len(data)) {
			continue
		}
		if i != len(l.segs)-1 || frameAfter(data, seg.seq, good) {
			return nil, errors.Wrapf(ErrDamaged, "%s at offset %d", seg.name(), good)
		}
		if err := l.fs.Truncate(seg.name(), good); err != nil {
			return nil, errors.Wrapf(err, "cut torn tail of %s", seg.name())
		}
	}
	return entries, nil
}

func (l *Log) replayFrame(f frame, entries []Entry) ([]Entry, error) {
	switch f.Kind {
	case frameMark:
		return entries, nil
	case frameReset:
		l.base, l.last, l.known, l.fixed = f.Index, f.Index, true, true
		return nil, nil
	case frameCut:
		return l.replayCut(f.Index, entries)
	case frameBatch:
	default:
		return nil, errors.Wrapf(ErrDamaged, "frame kind %d", f.Kind)
	}
	if len(f.Entries) == 0 {
		return entries, nil
	}
	entries, err := l.replayCut(f.Entries[0].Index, entries)
	if err != nil {
		return nil, err
	}
	for _, e := range f.Entries {
		if e.Index != l.last+1 {
			return nil, errors.Wrapf(ErrDamaged, "index %d follows %d", e.Index, l.last)
		}
		l.last = e.Index
	}
	return append(entries, f.Entries...), nil
}

func (l *Log) replayCut(from uint64, entries []Entry) ([]Entry, error) {
	if from == 0 {
		return nil, errors.Wrap(ErrDamaged, "index 0")
	}
	if !l.known {
		l.base, l.last, l.known = from-1, from-1, true
	}
	if from <= l.base && !l.fixed {
		// The replaced entries began in a segment that a snapshot has dropped.
		l.base, l.last = from-1, from-1
		return nil, nil
	}
	if from > l.last+1 || from <= l.base {
		return nil, errors.Wrapf(ErrDamaged, "index %d outside %d to %d", from, l.base+1, l.last+1)
	}
	l.last = from - 1
	return entries[:from-1-l.base], nil
}

// Append writes the entries with one sync. Entries at or after the first given
// index are replaced.
func (l *Log) Append(entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first, last := entries[0].Index, entries[len(entries)-1].Index
	if l.known && (first > l.last+1 || first <= l.base) {
		return errors.Newf("append at index %d outside %d to %d", first, l.base+1, l.last+1)
	}
	if err := l.write(frame{Kind: frameBatch, Entries: entries}); err != nil {
		return err
	}
	if !l.known {
		l.base, l.known = first-1, true
	}
	l.last = last
	seg := &l.segs[len(l.segs)-1]
	seg.max = max(seg.max, last)
	return nil
}

// TruncateSuffix drops the entries from index on.
func (l *Log) TruncateSuffix(from uint64) error {
	if !l.known || from > l.last {
		return nil
	}
	if from <= l.base {
		return errors.Newf("truncate at index %d, log starts at %d", from, l.base+1)
	}
	if err := l.write(frame{Kind: frameCut, Index: from}); err != nil {
		return err
	}
	l.last = from - 1
	return nil
}

// Reset drops all entries; the next one has index base+1.
func (l *Log) Reset(base uint64) error {
	if err := l.write(frame{Kind: frameReset, Index: base}); err != nil {
		return err
	}
	l.base, l.last, l.known = base, base, true
	return nil
}

// DropPrefix removes the segments that hold only entries up to index through.
func (l *Log) DropPrefix(through uint64) error {
	for len(l.segs) > 1 && l.segs[0].max <= through {
		if err := l.fs.Remove(l.segs[0].name()); err != nil {
			return errors.Wrap(err, "remove log segment")
		}
		// Synced one by one: a later segment must not vanish before an earlier one.
		if err := l.fs.SyncDir(); err != nil {
			return errors.Wrap(err, "sync data directory")
		}
		l.segs = l.segs[1:]
	}
	return nil
}

// Close closes the current segment.
func (l *Log) Close() error { return l.file.Close() }

func (l *Log) write(f frame) error {
	if l.size >= l.limit {
		if err := l.roll(); err != nil {
			return err
		}
	}
	if err := l.put(f); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	return l.put(frame{Kind: frameMark})
}

func (l *Log) put(f frame) error {
	b, err := encodeFrame(f, l.segs[len(l.segs)-1].seq, l.size)
	if err != nil {
		return err
	}
	if _, err := l.file.Write(b); err != nil {
		return errors.Wrap(err, "write log")
	}
	l.size += int64(len(b))
	return nil
}

// roll starts the next segment. The old one is synced first, because its last
// mark may still be unsynced and only the last segment may have a torn tail.
func (l *Log) roll() error {
	if err := l.file.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	if err := l.file.Close(); err != nil {
		return errors.Wrap(err, "close log segment")
	}
	return l.addSegment(l.segs[len(l.segs)-1].seq + 1)
}

func (l *Log) addSegment(seq uint64) error {
	seg := segment{seq: seq}
	f, err := l.fs.Create(seg.name())
	if err != nil {
		return errors.Wrap(err, "create log segment")
	}
	if err := l.fs.SyncDir(); err != nil {
		return errors.Wrap(err, "sync data directory")
	}
	l.segs = append(l.segs, seg)
	l.file, l.size = f, 0
	return nil
}
