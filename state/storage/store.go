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
	checksumSize   = 8
)

// ErrExists reports that the directory already holds the state of a member.
var ErrExists = errors.New("data directory already holds a member")

// Hard is the state that a member must know before it sends any message.
type Hard struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Term uint64
	Vote uint64
	// Initial holds the first members in the encoding of the caller; empty for
	// a member that waits until it is added.
	Initial []byte
}

// Snapshot replaces the log up to its index.
type Snapshot struct {
	_       struct{} `cbor:",toarray"`
	Index   uint64
	Term    uint64
	Members []byte
	Data    []byte
}

// State is what Open found.
type State struct {
	// Exists is false for a directory without a member.
	Exists   bool
	Hard     Hard
	Snapshot Snapshot
	Entries  []Entry
}

// Options of a store.
type Options struct {
	// SegmentSize in bytes starts a new segment; 4 MiB when zero.
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

// Open reads the directory. It returns ErrDamaged when synced data is missing
// or cannot be read.
func Open(fs FS, opts Options) (*Store, State, error) {
	s := &Store{fs: fs, opts: opts}
	names, err := s.removeTempFiles()
	if err != nil {
		return nil, State{}, err
	}
	// A killed process may have left a renamed file whose name is not synced.
	if err := fs.SyncDir(); err != nil {
		return nil, State{}, errors.Wrap(err, "sync data directory")
	}
	var st State
	if st.Exists = slices.Contains(names, hardStateName); !st.Exists {
		if len(names) > 0 {
			return nil, st, errors.Wrapf(ErrDamaged, "%q exists without the hard state", names[0])
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
	// Init makes the first segment before any term starts.
	if st.Hard.Term > 0 && !slices.ContainsFunc(names, isSegment) {
		return nil, st, errors.Wrap(ErrDamaged, "the log is missing")
	}
	return s, st, s.openLog(&st)
}

// Init writes the first hard state of a member.
func (s *Store) Init(h Hard) error {
	if s.exists {
		return ErrExists
	}
	if err := s.writeChecksummed(hardStateName, &h); err != nil {
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

// Append writes entries with one sync, see Log.Append.
func (s *Store) Append(entries []Entry) error {
	if s.err != nil {
		return s.err
	}
	return s.recordError(s.log.Append(entries))
}

// SaveSnapshot writes a snapshot of entries that are in the log.
func (s *Store) SaveSnapshot(sn Snapshot) error {
	if s.err != nil {
		return s.err
	}
	if sn.Index <= s.snapshotIndex {
		return nil
	}
	return s.recordError(s.writeSnapshot(sn))
}

// Install writes a snapshot that replaces the whole log.
func (s *Store) Install(sn Snapshot) error {
	if err := s.SaveSnapshot(sn); err != nil {
		return err
	}
	return s.recordError(s.log.Reset(sn.Index))
}

// DropPrefix removes log segments that end at or before index through.
func (s *Store) DropPrefix(through uint64) error {
	if s.err != nil {
		return s.err
	}
	return s.recordError(s.log.DropPrefix(min(through, s.snapshotIndex)))
}

// Close closes the files.
func (s *Store) Close() error {
	if s.log == nil {
		return nil
	}
	return s.log.Close()
}

func (s *Store) recordError(err error) error {
	if err != nil && s.err == nil {
		s.err = err
	}
	return err
}

// clean removes temporary files and returns the other names.
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

// openLog reads the log and drops what a snapshot has replaced.
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
	// A crash between writing a received snapshot and resetting the log leaves
	// a log that ends before the snapshot or disagrees with it.
	if index > log.base && (log.last < index || entries[index-log.base-1].Term != st.Snapshot.Term) {
		st.Entries = nil
		return log.Reset(index)
	}
	st.Entries = entries[min(index-log.base, uint64(len(entries))):]
	return nil
}

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
		return errors.Wrapf(ErrDamaged, "%s holds index %d", snapshotName(s.snapshotIndex), st.Snapshot.Index)
	}
	return s.removeOldSnapshots(indexes)
}

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

// writeSealed replaces the file with a checksum and the CBOR form of v.
func (s *Store) writeChecksummed(name string, v any) error {
	payload, err := codec.Marshal(v)
	if err != nil {
		return err
	}
	b := binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(payload))
	return errors.Wrapf(replaceFile(s.fs, name, append(b, payload...)), "write %s", name)
}

func (s *Store) readChecksummed(name string, v any) error {
	b, err := readFile(s.fs, name)
	if err != nil {
		return errors.Wrapf(err, "read %s", name)
	}
	if len(b) < checksumSize || binary.LittleEndian.Uint64(b) != xxhash.Sum64(b[checksumSize:]) {
		return errors.Wrapf(ErrDamaged, "%s has a wrong checksum", name)
	}
	return errors.Wrapf(codec.Unmarshal(b[checksumSize:], v), "%s", name)
}

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

func isSegment(name string) bool { return strings.HasPrefix(name, segmentPrefix) }
