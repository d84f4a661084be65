package quorum

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/storage"
)

// Defaults. With them a new leader is there within 1.5 s of the loss of the
// old one: at most one election timeout plus two rounds and two syncs.
const (
	defaultHeartbeatInterval  = 100 * time.Millisecond
	defaultElectionTimeoutMin = 500 * time.Millisecond
	defaultElectionTimeoutMax = 1000 * time.Millisecond
	defaultSnapshotEntries    = 10_000
	defaultSnapshotBytes      = 64 << 20
	// MaxProposalBytes is the largest proposal in bytes. A message holds at most one
	// such entry or 1 MiB of smaller ones.
	MaxProposalBytes = 1 << 20
	// maxPendingBytes bounds the proposals that wait for a commit.
	maxPendingBytes = 32 << 20
	// maxBatchBytes bounds the entries of one sync.
	maxBatchBytes = 16 << 20
	maxMembers    = 7
)

// Errors of the calls that change the group.
var (
	// ErrNotLeader means that another member must be asked.
	ErrNotLeader = errors.New("this member is not the leader")
	// ErrStopped means that the host was stopped or its disk has failed.
	ErrStopped = errors.New("this member has stopped")
	// ErrIndeterminate means that a change was appended and leadership ended
	// before it was known to be committed. The call may be repeated.
	ErrIndeterminate = errors.New("leadership ended before the change was committed")

	// ErrBusy means that another change of the membership is under way.
	ErrBusy = errors.New("another change of the membership is under way")
	// ErrQuorum means that the change would leave too few voters that answer.
	ErrQuorum = errors.New("the change would endanger the quorum")

	errNotLeader = ErrNotLeader
	errBusy      = ErrBusy
)

// Machine is the state machine that the log drives. Its methods are called
// from one goroutine.
type Machine interface {
	// Apply runs a committed proposal and returns the result for its proposer.
	// It must depend only on the state and its arguments.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() []byte
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Sender sends messages to other members. Send must not block; a message may
// be lost.
type Sender interface {
	Send(m Message)
}

// Config describes one member.
type Config struct {
	// Dir is the data directory.
	Dir string
	// FS replaces Dir when it is set.
	FS storage.FS
	// ID is the identity that Format writes. Open ignores it.
	ID uint64
	// Addr is the address of this member, where others reach it.
	Addr    string
	Machine Machine
	Sender  Sender

	// HeartbeatInterval is how often the leader sends heartbeats; 100 ms when zero.
	HeartbeatInterval time.Duration
	// ElectionTimeoutMin and ElectionTimeoutMax bound the random election timeout; 500 ms and
	// 1 s when zero.
	ElectionTimeoutMin time.Duration
	ElectionTimeoutMax time.Duration
	// FirstElectionTimeout, if set, replaces the first election timeout after Open. The actual
	// timeout is drawn between this value and twice this value. A live leader sends a heartbeat
	// within HeartbeatInterval, so a short value only speeds up the election when all members have
	// been restarted.
	FirstElectionTimeout time.Duration
	// SnapshotEntries and SnapshotBytes start a snapshot after that much log;
	// 10,000 entries and 64 MiB when zero.
	SnapshotEntries uint64
	SnapshotBytes   int
}

func (cfg Config) withDefaults() Config {
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = defaultHeartbeatInterval
	}
	if cfg.ElectionTimeoutMin == 0 {
		cfg.ElectionTimeoutMin = defaultElectionTimeoutMin
	}
	if cfg.ElectionTimeoutMax == 0 {
		cfg.ElectionTimeoutMax = max(defaultElectionTimeoutMax, cfg.ElectionTimeoutMin)
	}
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = defaultSnapshotEntries
	}
	if cfg.SnapshotBytes == 0 {
		cfg.SnapshotBytes = defaultSnapshotBytes
	}
	return cfg
}

func (cfg Config) validate() error {
	switch {
	case cfg.Machine == nil || cfg.Sender == nil:
		return errors.New("machine and sender are required")
	case cfg.HeartbeatInterval <= 0 || cfg.ElectionTimeoutMin < 2*cfg.HeartbeatInterval || cfg.ElectionTimeoutMax < cfg.ElectionTimeoutMin:
		return errors.New("the election timeout must be at least two heartbeats and its maximum not below its minimum")
	}
	return nil
}

// openFS returns the file system and what has to be closed after use.
func (cfg Config) openFS() (storage.FS, func() error, error) {
	if cfg.FS != nil {
		return cfg.FS, func() error { return nil }, nil
	}
	d, err := storage.NewDir(cfg.Dir)
	if err != nil {
		return nil, nil, err
	}
	return d, d.Close, nil
}

// Format initialises the data directory of one of the first members. It
// refuses a directory that already holds a member. It must not be used to
// bring back an identity whose directory was lost: open an empty directory and
// add the new member instead.
func Format(cfg Config, members []Member) error {
	if err := validateInitialMembers(cfg.ID, members); err != nil {
		return err
	}
	initial, err := encodeMembers(members)
	if err != nil {
		return err
	}
	fs, closeFS, err := cfg.openFS()
	if err != nil {
		return err
	}
	err = formatStore(fs, storage.Hard{ID: cfg.ID, Initial: initial})
	return errors.CombineErrors(err, closeFS())
}

func formatStore(fs storage.FS, h storage.Hard) error {
	store, st, err := storage.Open(fs, storage.Options{})
	if err != nil {
		return err
	}
	if st.Exists {
		return errors.CombineErrors(storage.ErrExists, store.Close())
	}
	return errors.CombineErrors(store.Init(h), store.Close())
}

func validateInitialMembers(id uint64, members []Member) error {
	seen := map[uint64]bool{}
	for _, m := range members {
		if m.ID == 0 || seen[m.ID] || m.Learner {
			return errors.Newf("member %016x: first members need distinct identities and a vote", m.ID)
		}
		seen[m.ID] = true
	}
	if !seen[id] {
		return errors.Newf("identity %016x is not among the first members", id)
	}
	if len(members) > maxMembers || len(members)%2 == 0 {
		return errors.Newf("a group starts with 1, 3, 5 or 7 members, not %d", len(members))
	}
	return nil
}

// openStore opens the data directory; an empty one becomes a blank member.
func openStore(fs storage.FS, d deps) (*storage.Store, storage.State, error) {
	store, st, err := storage.Open(fs, d.storeOptions)
	if err != nil || st.Exists {
		return store, st, err
	}
	st.Exists, st.Hard = true, storage.Hard{ID: randomID(d.random)}
	return store, st, store.Init(st.Hard)
}

// randomID returns an identity that is not 0.
func randomID(random func(int64) int64) uint64 {
	return uint64(random(math.MaxInt64)) + 1
}

// writeBatch makes a batch durable. The hard state comes first: entries of a
// term are never there without the term.
func writeBatch(s *storage.Store, b *batch) error {
	if b.hard != nil {
		if err := s.SaveHard(*b.hard); err != nil {
			return err
		}
	}
	if b.install != nil {
		if err := s.Install(*b.install); err != nil {
			return err
		}
	}
	if err := s.Append(b.entries); err != nil {
		return err
	}
	if b.compact == nil {
		return nil
	}
	if err := s.SaveSnapshot(*b.compact); err != nil {
		return err
	}
	return s.DropPrefix(b.compactThrough)
}
