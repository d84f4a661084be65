package storage

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

const (
	hardStateName  = "hardstate"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
	clearingName   = "clearing" // exists while Clear removes the other files
	checksumSize   = 8          // bytes
)

// ErrExists reports that the data directory already holds the state of a member.
var ErrExists = errors.New("data directory already holds a member")

// Hard is the hard state of a member, which must be stored before the member sends any message.
type Hard struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Term uint64
	Vote uint64
	// Initial is the initial group of members, encoded by the caller. It is empty for a member that
	// waits until it is added to a group.
	Initial []byte
}

// Snapshot is a snapshot of the replicated state. It replaces the log entries up to and including
// Index.
type Snapshot struct {
	_       struct{} `cbor:",toarray"`
	Index   uint64
	Term    uint64
	Members []byte
	Data    []byte
}

// State is the durable state that Open has read.
type State struct {
	// Exists is false if the directory does not hold the state of a member.
	Exists   bool
	Hard     Hard
	Snapshot Snapshot
	Entries  []Entry
}

// Options are the options of a Store.
type Options struct {
	// SegmentSize is the size in bytes from which on the log starts a new segment, 4 MiB if zero.
	SegmentSize int64
}

// Store is the durable state of one member.
type Store struct {
	fs            FS
	opts          Options
	log           *Log
	exists        bool
	snapshotIndex uint64
	err           error
}

// Open reads the state of a member from fs. It returns ErrDamaged if synced data is missing or
// corrupt.
func Open(fs FS, opts Options) (*Store, State, error) {
	s := &Store{fs: fs, opts: opts}
	names, err := s.removeTempFiles()
	if err != nil {
		return nil, State{}, err
	}
	if slices.Contains(names, clearingName) {
		if err := finishClear(fs); err != nil {
			return nil, State{}, err
		}
		names = nil
	}
	// A process that was killed may have left a rename that is not synced.
	if err := fs.SyncDir(); err != nil {
		return nil, State{}, errors.Wrap(err, "sync data directory")
	}
	var st State
	if st.Exists = slices.Contains(names, hardStateName); !st.Exists {
		if len(names) > 0 {
			return nil, st, errors.Wrapf(ErrDamaged, "file %q exists, but the hard state is missing", names[0])
		}
		return s, st, nil
	}
	s.exists = true
	if err := s.readChecksummed(hardStateName, &st.Hard); err != nil {
		return nil, st, err
	}
	if err := s.loadSnapshot(names, &st); err != nil {
		return nil, st, err
	}
	// Init creates the first segment before any term starts.
	if st.Hard.Term > 0 && !slices.ContainsFunc(names, isSegment) {
		return nil, st, errors.Wrap(ErrDamaged, "the log is missing")
	}
	return s, st, s.openLog(&st)
}

// Clear removes the state of a member for good. If it is interrupted, Open finishes it: without a part
// of its files the member could not be opened any more.
func Clear(fs FS) error {
	f, err := fs.Create(clearingName)
	if err != nil {
		return errors.Wrap(err, "mark data directory")
	}
	if err := errors.CombineErrors(f.Sync(), f.Close()); err != nil {
		return errors.Wrap(err, "mark data directory")
	}
	if err := fs.SyncDir(); err != nil {
		return errors.Wrap(err, "sync data directory")
	}
	return finishClear(fs)
}

// finishClear removes all files, the mark of Clear last.
func finishClear(fs FS) error {
	names, err := fs.List()
	if err != nil {
		return errors.Wrap(err, "list data directory")
	}
	names = slices.DeleteFunc(names, func(name string) bool { return name == clearingName })
	for _, batch := range [][]string{names, {clearingName}} {
		for _, name := range batch {
			if err := fs.Remove(name); err != nil {
				return errors.Wrap(err, "clear data directory")
			}
		}
		if err := fs.SyncDir(); err != nil {
			return errors.Wrap(err, "sync data directory")
		}
	}
	return nil
}

// Init writes the first hard state of a member and creates its log. It returns ErrExists if the
// directory already holds a member.
func (s *Store) Init(h Hard) error {
	if s.exists {
		return ErrExists
	}
	if s.err != nil {
		return s.err
	}
	if err := s.recordError(s.writeChecksummed(hardStateName, &h)); err != nil {
		return err
	}
	s.exists = true
	return s.recordError(s.openLog(&State{}))
}

// SaveHard replaces the hard state.
func (s *Store) SaveHard(h Hard) error {
	if s.err != nil {
		return s.err
	}
	return s.recordError(s.writeChecksummed(hardStateName, &h))
}

// Append appends entries to the log with one sync, see Log.Append.
func (s *Store) Append(entries []Entry) error {
	if s.err != nil {
		return s.err
	}
	return s.recordError(s.log.Append(entries))
}

// SaveSnapshot writes a snapshot that covers entries of the log. It does nothing if a snapshot with
// that index or a higher one exists.
func (s *Store) SaveSnapshot(sn Snapshot) error {
	if s.err != nil {
		return s.err
	}
	if sn.Index <= s.snapshotIndex {
		return nil
	}
	return s.recordError(s.writeSnapshot(sn))
}

// Install writes a snapshot from another member and resets the log to start after it.
func (s *Store) Install(sn Snapshot) error {
	if err := s.SaveSnapshot(sn); err != nil {
		return err
	}
	return s.recordError(s.log.Reset(sn.Index))
}

// DropPrefix removes the leading log segments whose entries have indexes up to through and are
// covered by the snapshot.
func (s *Store) DropPrefix(through uint64) error {
	if s.err != nil {
		return s.err
	}
	return s.recordError(s.log.DropPrefix(min(through, s.snapshotIndex)))
}

// Recover prepares the store for writing after a failed write. It drops what the failed write may
// have left, so that the caller can write it again. After an error it may be called again. A failed
// Init is final.
func (s *Store) Recover() error {
	if s.err == nil || s.log == nil {
		return s.err
	}
	if _, err := s.removeTempFiles(); err != nil {
		return err
	}
	if err := s.log.Recover(); err != nil {
		return err
	}
	s.err = nil
	return nil
}

// Close closes the log.
func (s *Store) Close() error {
	if s.log == nil {
		return nil
	}
	return s.log.Close()
}

// recordError keeps the first error, which later writes return, and returns err.
func (s *Store) recordError(err error) error {
	if err != nil && s.err == nil {
		s.err = err
	}
	return err
}

// removeTempFiles removes the temporary files of interrupted replacements and returns the names of
// the other files.
func (s *Store) removeTempFiles() ([]string, error) {
	all, err := s.fs.List()
	if err != nil {
		return nil, errors.Wrap(err, "list data directory")
	}
	var names []string
	for _, name := range all {
		if !strings.HasSuffix(name, tempSuffix) {
			names = append(names, name)
			continue
		}
		if err := s.fs.Remove(name); err != nil {
			return nil, errors.Wrap(err, "remove temporary file")
		}
	}
	return names, nil
}

// openLog opens the log and sets the entries of st to those after the snapshot.
func (s *Store) openLog(st *State) error {
	log, entries, err := OpenLog(s.fs, s.opts.SegmentSize)
	if err != nil {
		return err
	}
	s.log = log
	index := st.Snapshot.Index
	if log.boundsKnown && log.base > index {
		return errors.Wrapf(ErrDamaged, "log starts at %d, snapshot ends at %d", log.base+1, index)
	}
	// A crash in Install between the snapshot and the reset leaves a log that ends before the
	// snapshot or has another term at its index.
	if index > log.base && (log.last < index || entries[index-log.base-1].Term != st.Snapshot.Term) {
		st.Entries = nil
		return log.Reset(index)
	}
	st.Entries = entries[min(index-log.base, uint64(len(entries))):]
	return nil
}

// loadSnapshot reads the newest snapshot and removes the older ones.
func (s *Store) loadSnapshot(names []string, st *State) error {
	var indexes []uint64
	for _, name := range names {
		hex, ok := strings.CutPrefix(name, snapshotPrefix)
		if !ok {
			continue
		}
		index, err := strconv.ParseUint(hex, 16, 64)
		if err != nil {
			return errors.Newf("unexpected file %q in the data directory", name)
		}
		indexes = append(indexes, index)
	}
	if len(indexes) == 0 {
		return nil
	}
	s.snapshotIndex = slices.Max(indexes)
	if err := s.readChecksummed(snapshotName(s.snapshotIndex), &st.Snapshot); err != nil {
		return err
	}
	if st.Snapshot.Index != s.snapshotIndex {
		return errors.Wrapf(ErrDamaged, "%s contains a snapshot at index %d", snapshotName(s.snapshotIndex), st.Snapshot.Index)
	}
	return s.removeOldSnapshots(indexes)
}

// writeSnapshot writes a snapshot and then removes the previous one.
func (s *Store) writeSnapshot(sn Snapshot) error {
	if err := s.writeChecksummed(snapshotName(sn.Index), &sn); err != nil {
		return err
	}
	old := s.snapshotIndex
	s.snapshotIndex = sn.Index
	if old == 0 {
		return nil
	}
	return s.removeOldSnapshots([]uint64{old})
}

// removeOldSnapshots removes the snapshots at the given indexes, apart from the current one.
func (s *Store) removeOldSnapshots(indexes []uint64) error {
	for _, i := range indexes {
		if i == s.snapshotIndex {
			continue
		}
		if err := s.fs.Remove(snapshotName(i)); err != nil {
			return errors.Wrap(err, "remove old snapshot")
		}
	}
	return nil
}

// writeChecksummed replaces the content of the file with the CBOR encoding of v after its checksum.
func (s *Store) writeChecksummed(name string, v any) error {
	payload, err := codec.Marshal(v)
	if err != nil {
		return err
	}
	b := binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(payload))
	return errors.Wrapf(replaceFile(s.fs, name, append(b, payload...)), "write %s", name)
}

// readChecksummed reads a file that writeChecksummed has written into v.
func (s *Store) readChecksummed(name string, v any) error {
	b, err := readFile(s.fs, name)
	if err != nil {
		return errors.Wrapf(err, "read %s", name)
	}
	if len(b) < checksumSize || binary.LittleEndian.Uint64(b) != xxhash.Sum64(b[checksumSize:]) {
		return errors.Wrapf(ErrDamaged, "%s has a wrong checksum", name)
	}
	return errors.Wrapf(codec.Unmarshal(b[checksumSize:], v), "decode %s", name)
}

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

func isSegment(name string) bool { return strings.HasPrefix(name, segmentPrefix) }
