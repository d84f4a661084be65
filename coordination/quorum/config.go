package quorum

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/storage"
)

// Defaults. With them a new leader is elected within 1.5 s of the loss of the old one: at most one
// election timeout, two message round trips and two syncs.
const (
	defaultHeartbeatInterval  = 100 * time.Millisecond
	defaultElectionTimeoutMin = 500 * time.Millisecond
	defaultElectionTimeoutMax = 1000 * time.Millisecond
	defaultSnapshotEntries    = 10_000
	defaultSnapshotBytes      = 64 << 20
	// MaxProposalBytes is the maximum size of a proposal. A message holds at most one entry of this
	// size or 1 MiB of smaller ones.
	MaxProposalBytes = 1 << 20
	// maxPendingBytes bounds the total size of the proposals that wait to be committed.
	maxPendingBytes = 32 << 20
	// maxBatchBytes bounds the entries that are written with one sync.
	maxBatchBytes = 16 << 20
	maxMembers    = 7
)

// Errors returned by AddMember, RemoveMember and ReplaceMember.
var (
	// ErrNotLeader means that the call must be sent to another member.
	ErrNotLeader = errors.New("this member is not the leader")
	// ErrStopped means that the host was stopped.
	ErrStopped = errors.New("this member has stopped")
	// ErrIndeterminate means that the change was appended and that leadership ended before it was
	// known to be committed. The call may be repeated.
	ErrIndeterminate = errors.New("leadership ended before the change was committed")

	// ErrBusy means that another membership change is in progress.
	ErrBusy = errors.New("another membership change is in progress")
	// ErrQuorum means that the change would leave too few responsive voters for a quorum.
	ErrQuorum = errors.New("the change would leave no quorum of responsive voters")
	// ErrNotCaughtUp means that a learner lacks committed entries and can't replace a voter yet.
	ErrNotCaughtUp = errors.New("the learner lacks committed entries")

	errNotLeader = ErrNotLeader
	errBusy      = ErrBusy
)

// Machine is the replicated state machine. Its methods are called from one goroutine at a time.
type Machine interface {
	// Apply applies a committed proposal and returns the result for its proposer. It must be
	// deterministic: the result and the new state may depend only on the state and the arguments.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() []byte
	// Restore replaces the state with an encoded one.
	Restore(data []byte) error
}

// Sender sends messages to other members. Send must not block and may drop messages.
type Sender interface {
	Send(m Message)
}

// Config configures one member.
type Config struct {
	// Dir is the data directory.
	Dir string
	// FS, if set, is used in place of Dir.
	FS storage.FS
	// ID is the identity that Format stores. Open ignores it and uses the stored one.
	ID uint64
	// Addr is the address at which other members reach this one.
	Addr    string
	Machine Machine
	Sender  Sender

	// HeartbeatInterval is how often the leader sends heartbeats; 100 ms when zero.
	HeartbeatInterval time.Duration
	// ElectionTimeoutMin and ElectionTimeoutMax bound the random election timeout; 500 ms and 1 s
	// when zero.
	ElectionTimeoutMin time.Duration
	ElectionTimeoutMax time.Duration
	// FirstElectionTimeout, if set, replaces the first election timeout after Open. The actual
	// timeout is drawn between this value and twice this value. A live leader sends a heartbeat
	// within HeartbeatInterval, so a short value only speeds up the election when all members have
	// been restarted.
	FirstElectionTimeout time.Duration
	// SnapshotEntries and SnapshotBytes are the number and total size of the entries applied since
	// the last snapshot, either of which triggers a new one; 10,000 entries and 64 MiB when zero.
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
		return errors.New("the minimum election timeout must be at least two heartbeat intervals and at most the maximum")
	}
	return nil
}

// openFS returns the file system and a function that closes it.
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

// Format initializes the data directory of an initial member. It fails with storage.ErrExists if
// the directory already holds a member. It must not be used to recreate a member whose directory
// was lost: open an empty directory and add the new member instead.
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
			return errors.Newf("member %016x: initial members need distinct identities other than 0 and must be voters", m.ID)
		}
		seen[m.ID] = true
	}
	if !seen[id] {
		return errors.Newf("identity %016x is not among the initial members", id)
	}
	if len(members) > maxMembers || len(members)%2 == 0 {
		return errors.Newf("a group must have 1, 3, 5 or 7 initial members, not %d", len(members))
	}
	return nil
}

// openStore opens the data directory. It initializes an empty one as a blank member with a random
// identity.
func openStore(fs storage.FS, d deps) (*storage.Store, storage.State, error) {
	store, st, err := storage.Open(fs, d.storeOptions)
	if err != nil || st.Exists {
		return store, st, err
	}
	st.Exists, st.Hard = true, storage.Hard{ID: randomID(d.random)}
	return store, st, store.Init(st.Hard)
}

// randomID returns a random non-zero identity.
func randomID(random func(int64) int64) uint64 {
	return uint64(random(math.MaxInt64)) + 1
}

// writeBatch makes a batch durable. It writes the hard state first, so that the store never holds
// entries of a term that the hard state has not reached.
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
