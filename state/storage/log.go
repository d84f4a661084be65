package storage

import (
	"fmt"
	"io/fs"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	segmentPrefix      = "log-"
	defaultSegmentSize = 4 << 20 // 4 MiB
)

// Log is the write-ahead log of a Store.
type Log struct {
	fs          FS
	segmentSize int64 // file size in bytes from which on a new segment is started
	segments    []segment
	file        File   // the last segment
	fileSize    int64  // bytes written to the last segment
	syncedSize  int64  // bytes of the last segment that the last successful sync covered
	base        uint64 // index before the first entry
	last        uint64
	boundsKnown bool // base and last are set
	baseReset   bool // base was replayed from a reset frame, not taken from the first entry
}

// segment is one file of the log.
type segment struct {
	seq uint64
	max uint64 // highest index in the segment
}

// name returns the file name of the segment.
func (s segment) name() string { return fmt.Sprintf("%s%016x", segmentPrefix, s.seq) }

// OpenLog reads the log, drops a torn write at its end and returns the log and its entries. It
// returns ErrDamaged for any other corruption.
func OpenLog(dir FS, segmentSize int64) (*Log, []Entry, error) {
	if segmentSize <= 0 {
		segmentSize = defaultSegmentSize
	}
	l := &Log{fs: dir, segmentSize: segmentSize}
	if err := l.listSegments(); err != nil {
		return nil, nil, err
	}
	entries, lastSegment, err := l.replay()
	if err != nil {
		return nil, nil, err
	}
	if len(l.segments) == 0 {
		return l, nil, l.createSegment(1)
	}
	// A former process may have left frames that are readable but not synced. A sync is not enough: if
	// one has failed before, the kernel may have dropped their pages.
	name := l.segments[len(l.segments)-1].name()
	if err := replaceFile(dir, name, lastSegment); err != nil {
		return nil, nil, errors.Wrapf(err, "rewrite %s", name)
	}
	if l.file, err = dir.Append(name); err != nil {
		return nil, nil, errors.Wrap(err, "open log segment")
	}
	l.syncedSize = l.fileSize
	return l, entries, l.writeFrame(frame{Kind: frameSyncMarker})
}

// listSegments finds the segments and checks that none between the first and the last is missing.
func (l *Log) listSegments() error {
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
		l.segments = append(l.segments, segment{seq: seq})
	}
	sort.Slice(l.segments, func(i, j int) bool { return l.segments[i].seq < l.segments[j].seq })
	for i := 1; i < len(l.segments); i++ {
		if l.segments[i].seq != l.segments[i-1].seq+1 {
			return errors.Wrapf(ErrDamaged, "log segment before %s is missing", l.segments[i].name())
		}
	}
	return nil
}

// replay reads all segments and returns the entries that they leave in the log and the valid content of
// the last segment.
func (l *Log) replay() (entries []Entry, lastSegment []byte, err error) {
	for i := range l.segments {
		seg := &l.segments[i]
		data, err := readFile(l.fs, seg.name())
		if err != nil {
			return nil, nil, errors.Wrapf(err, "read %s", seg.name())
		}
		validSize, err := scanFrames(data, seg.seq, func(f frame) error {
			for _, e := range f.Entries {
				seg.max = max(seg.max, e.Index)
			}
			entries, err = l.replayFrame(f, entries)
			return errors.Wrapf(err, "replay %s", seg.name())
		})
		if err != nil {
			return nil, nil, err
		}
		l.fileSize, lastSegment = validSize, data[:validSize]
		if validSize == int64(len(data)) {
			continue
		}
		if i != len(l.segments)-1 || hasSyncMarkerAfter(data, seg.seq, validSize) {
			return nil, nil, errors.Wrapf(ErrDamaged, "invalid frame in %s at offset %d", seg.name(), validSize)
		}
	}
	return entries, lastSegment, nil
}

// replayFrame applies one frame to the entries before it and returns the result.
func (l *Log) replayFrame(f frame, entries []Entry) ([]Entry, error) {
	switch f.Kind {
	case frameSyncMarker:
		return entries, nil
	case frameReset:
		l.base, l.last, l.boundsKnown, l.baseReset = f.Index, f.Index, true, true
		return nil, nil
	case frameTruncate:
		return l.replayTruncate(f.Index, entries)
	case frameBatch:
	default:
		return nil, errors.Wrapf(ErrDamaged, "unknown frame kind %d", f.Kind)
	}
	if len(f.Entries) == 0 {
		return entries, nil
	}
	entries, err := l.replayTruncate(f.Entries[0].Index, entries)
	if err != nil {
		return nil, err
	}
	for _, e := range f.Entries {
		if e.Index != l.last+1 {
			return nil, errors.Wrapf(ErrDamaged, "log entry %d follows log entry %d", e.Index, l.last)
		}
		l.last = e.Index
	}
	return append(entries, f.Entries...), nil
}

// replayTruncate drops the entries whose index is from or higher.
func (l *Log) replayTruncate(from uint64, entries []Entry) ([]Entry, error) {
	if from == 0 {
		return nil, errors.Wrap(ErrDamaged, "frame with index 0")
	}
	if !l.boundsKnown {
		l.base, l.last, l.boundsKnown = from-1, from-1, true
	}
	if from <= l.base && !l.baseReset {
		// The replaced entries began in a segment that DropPrefix has removed after a snapshot.
		l.base, l.last = from-1, from-1
		return nil, nil
	}
	if from > l.last+1 || from <= l.base {
		return nil, errors.Wrapf(ErrDamaged, "frame starts at index %d, expected %d to %d", from, l.base+1, l.last+1)
	}
	l.last = from - 1
	return entries[:from-1-l.base], nil
}

// Append writes the entries with one write and one sync. It replaces all entries from the index of
// the first given entry on.
func (l *Log) Append(entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first, last := entries[0].Index, entries[len(entries)-1].Index
	if l.boundsKnown && (first > l.last+1 || first <= l.base) {
		return errors.Newf("append starts at index %d, expected %d to %d", first, l.base+1, l.last+1)
	}
	if err := l.writeSynced(frame{Kind: frameBatch, Entries: entries}); err != nil {
		return err
	}
	if !l.boundsKnown {
		l.base, l.boundsKnown = first-1, true
	}
	l.last = last
	seg := &l.segments[len(l.segments)-1]
	seg.max = max(seg.max, last)
	return nil
}

// TruncateSuffix drops the entries whose index is from or higher.
func (l *Log) TruncateSuffix(from uint64) error {
	if !l.boundsKnown || from > l.last {
		return nil
	}
	if from <= l.base {
		return errors.Newf("truncation starts at index %d, but the log starts at %d", from, l.base+1)
	}
	if err := l.writeSynced(frame{Kind: frameTruncate, Index: from}); err != nil {
		return err
	}
	l.last = from - 1
	return nil
}

// Reset drops all entries. The next entry has index base+1.
func (l *Log) Reset(base uint64) error {
	if err := l.writeSynced(frame{Kind: frameReset, Index: base}); err != nil {
		return err
	}
	l.base, l.last, l.boundsKnown = base, base, true
	return nil
}

// DropPrefix removes the leading segments whose entries have indexes up to through. It keeps the
// last segment.
func (l *Log) DropPrefix(through uint64) error {
	for len(l.segments) > 1 && l.segments[0].max <= through {
		// The segment doesn't exist if a former call removed it and could not sync the directory.
		if err := l.fs.Remove(l.segments[0].name()); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return errors.Wrap(err, "remove log segment")
		}
		// Each removal is synced on its own, so that no crash leaves a gap between segments.
		if err := l.fs.SyncDir(); err != nil {
			return errors.Wrap(err, "sync data directory")
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// Recover drops what a failed write or sync may have left at the end of the log and opens the log for
// writing again. The entries of the failed write are written again by the caller.
func (l *Log) Recover() error {
	if err := l.Close(); err != nil {
		return errors.Wrap(err, "close log segment")
	}
	name := l.segments[len(l.segments)-1].name()
	if err := l.fs.Truncate(name, l.syncedSize); err != nil {
		return errors.Wrapf(err, "truncate failed write at the end of %s", name)
	}
	file, err := l.fs.Append(name)
	if err != nil {
		return errors.Wrap(err, "open log segment")
	}
	l.file, l.fileSize = file, l.syncedSize
	return nil
}

// Close closes the current segment.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	file := l.file
	l.file = nil
	return file.Close()
}

// writeSynced writes and syncs a frame, then writes a sync marker. It starts a new segment first if
// the current one is full.
func (l *Log) writeSynced(f frame) error {
	if l.fileSize >= l.segmentSize {
		if err := l.rollSegment(); err != nil {
			return err
		}
	}
	if err := l.writeFrame(f); err != nil {
		return err
	}
	if err := l.syncFile(); err != nil {
		return err
	}
	return l.writeFrame(frame{Kind: frameSyncMarker})
}

// syncFile syncs the current segment.
func (l *Log) syncFile() error {
	if err := l.file.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	l.syncedSize = l.fileSize
	return nil
}

// writeFrame writes a frame to the current segment without a sync.
func (l *Log) writeFrame(f frame) error {
	b, err := encodeFrame(f, l.segments[len(l.segments)-1].seq, l.fileSize)
	if err != nil {
		return err
	}
	if _, err := l.file.Write(b); err != nil {
		return errors.Wrap(err, "write log")
	}
	l.fileSize += int64(len(b))
	return nil
}

// rollSegment closes the current segment and starts the next one. It syncs the current segment
// first, because its last sync marker may be unsynced and only the last segment of a log may end in
// a torn write.
func (l *Log) rollSegment() error {
	if err := l.syncFile(); err != nil {
		return err
	}
	if err := l.Close(); err != nil {
		return errors.Wrap(err, "close log segment")
	}
	return l.createSegment(l.segments[len(l.segments)-1].seq + 1)
}

// createSegment creates an empty segment and makes it the current one.
func (l *Log) createSegment(seq uint64) error {
	seg := segment{seq: seq}
	f, err := l.fs.Create(seg.name())
	if err != nil {
		return errors.Wrap(err, "create log segment")
	}
	if err := l.fs.SyncDir(); err != nil {
		return errors.Wrap(err, "sync data directory")
	}
	l.segments = append(l.segments, seg)
	l.file, l.fileSize, l.syncedSize = f, 0, 0
	return nil
}
