package quorum

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/storage"
)

const (
	inboxSize        = 4096 // messages
	requestQueueSize = 1024 // proposals, and as many reads
	// ticksPerHeartbeat is the number of timer checks in a heartbeat interval.
	ticksPerHeartbeat = 5
	// changePollInterval is the interval at which a pending membership change or leadership transfer
	// is checked.
	changePollInterval = 10 * time.Millisecond
	// writeRetryInterval is the pause before a failed write is repeated.
	writeRetryInterval = 100 * time.Millisecond
)

// Host runs one member. It owns the control goroutine, which runs the core, and the sync goroutine,
// which writes to the disk.
type Host struct {
	cfg     Config
	deps    deps
	store   *storage.Store
	closeFS func() error

	inbox        chan Message
	proposals    chan *proposal
	readRequests chan *readRequest
	calls        chan func() // run in the control goroutine
	batches      chan *batch
	syncResults  chan error // result of each write of a batch
	syncLoopDone chan struct{}
	quit         chan struct{}
	stopped      chan struct{}
	stopOnce     sync.Once
	closeOnce    sync.Once
	closeErr     error // set by closeOnce
	status       atomic.Pointer[MemberStatus]

	// Owned by the control goroutine.
	core               *core
	failure            error                     // why the member does not take part in the group
	suspended          bool                      // failure is a failed write that is being repeated
	pendingTerm        uint64                    // term of the proposals in pending
	pending            map[uint64]*proposal      // by index
	pendingBytes       int                       // bytes of the proposals in pending
	pendingReads       map[uint64][]*readRequest // by token
	confirmedReads     []confirmedRead
	applied            uint64
	snapshotIndex      uint64 // last applied index when the latest snapshot was taken
	bytesSinceSnapshot int
	nextReadSweep      time.Time
}

// proposal is one call of Propose. Its state ensures that either the caller abandons it or the
// control goroutine claims it, never both.
type proposal struct {
	data   []byte
	state  atomic.Int32
	done   chan struct{}
	result []byte
	status Status
}

const (
	proposalQueued int32 = iota
	proposalClaimed
	proposalAbandoned
)

// readRequest is one call of ReadBarrier.
type readRequest struct {
	ctx  context.Context
	done chan bool
}

// confirmedRead holds the requests of a confirmed read until index is applied.
type confirmedRead struct {
	index    uint64
	requests []*readRequest
}

// Open starts a member on its data directory. An empty directory becomes a blank member that waits
// until it is added to a group. Open fails if the stored data is damaged.
func Open(cfg Config) (*Host, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	fs, closeFS, err := cfg.openFS()
	if err != nil {
		return nil, err
	}
	d := deps{now: time.Now, random: rand.Int64N, trailingEntries: trailingEntries, chunkBytes: maxChunkBytes}
	h, err := openHost(cfg, fs, d)
	if err != nil {
		return nil, errors.CombineErrors(err, closeFS())
	}
	h.closeFS = closeFS
	go h.run()
	go h.syncLoop()
	return h, nil
}

// openHost opens a host without starting its goroutines.
func openHost(cfg Config, fs storage.FS, d deps) (*Host, error) {
	store, st, err := openStore(fs, d)
	if err != nil {
		return nil, err
	}
	t := timing{heartbeatInterval: cfg.HeartbeatInterval, electionTimeoutMin: cfg.ElectionTimeoutMin, electionTimeoutMax: cfg.ElectionTimeoutMax, firstElectionTimeout: cfg.FirstElectionTimeout}
	c, err := newCore(st, t, d)
	if err != nil {
		return nil, errors.CombineErrors(err, store.Close())
	}
	h := &Host{
		cfg: cfg, deps: d, store: store, core: c,
		inbox:        make(chan Message, inboxSize),
		proposals:    make(chan *proposal, requestQueueSize),
		readRequests: make(chan *readRequest, requestQueueSize),
		calls:        make(chan func()),
		batches:      make(chan *batch, 1),
		syncResults:  make(chan error, 1),
		syncLoopDone: make(chan struct{}),
		quit:         make(chan struct{}),
		stopped:      make(chan struct{}),
		pending:      map[uint64]*proposal{},
		pendingReads: map[uint64][]*readRequest{},
	}
	if err := h.applyCommitted(); err != nil {
		return nil, errors.CombineErrors(err, store.Close())
	}
	h.publishStatus()
	return h, nil
}

// Receive queues a message from another member. It never blocks; it drops the message if the queue
// is full.
func (h *Host) Receive(m Message) {
	select {
	case h.inbox <- m:
	default:
	}
}

// Propose appends data to the log, waits until it is committed and applied, and returns the result
// of applying it.
func (h *Host) Propose(ctx context.Context, data []byte) (result []byte, status Status) {
	if s, ok := h.rejectEarly(data); ok {
		return nil, s
	}
	p := &proposal{data: append([]byte(nil), data...), done: make(chan struct{})}
	select {
	case h.proposals <- p:
	case <-ctx.Done():
		return nil, Unavailable
	case <-h.stopped:
		return nil, Unavailable
	}
	select {
	case <-p.done:
		return p.result, p.status
	case <-ctx.Done():
	case <-h.stopped:
	}
	if p.state.CompareAndSwap(proposalQueued, proposalAbandoned) {
		return nil, Unavailable
	}
	select {
	case <-p.done:
		return p.result, p.status
	default:
		return nil, Indeterminate
	}
}

// rejectEarly returns the status of a proposal that can be rejected without the control goroutine,
// and false if the proposal must be queued.
func (h *Host) rejectEarly(data []byte) (Status, bool) {
	st := h.status.Load()
	switch {
	case len(data) > MaxProposalBytes || st.Err != nil:
		return Unavailable, true
	case st.Role == Leader:
		return 0, false
	case st.Leader != 0:
		return NotLeader, true
	default:
		return Unavailable, true
	}
}

// ReadBarrier is the barrier of a linearizable read. It returns true once a majority has confirmed a
// read index and this member has applied the log up to it, so that the applied state is at least as
// new as the call. A member that doesn't lead asks the leader. It returns false if ctx ends first, if
// this member loses leadership meanwhile, or if it has failed or stopped.
func (h *Host) ReadBarrier(ctx context.Context) bool {
	r := &readRequest{ctx: ctx, done: make(chan bool, 1)}
	select {
	case h.readRequests <- r:
	case <-ctx.Done():
		return false
	case <-h.stopped:
		return false
	}
	select {
	case ok := <-r.done:
		return ok
	case <-ctx.Done():
		return false
	case <-h.stopped:
		return false
	}
}

// Leader returns the identity and address of the current leader and whether it is this member. The
// identity is 0 if this member knows no leader.
func (h *Host) Leader() (id uint64, addr string, self bool) {
	st := h.status.Load()
	if st.Err != nil || st.Leader == 0 {
		return 0, "", false
	}
	for _, m := range st.Members {
		if m.ID == st.Leader {
			addr = m.Addr
		}
	}
	return st.Leader, addr, st.Leader == st.ID
}

// Stop transfers leadership if this member leads, and stops the host. Proposals that are not
// committed by then end as Indeterminate. It may be called again.
func (h *Host) Stop(ctx context.Context) error {
	h.TransferLeadership(ctx)
	h.stopOnce.Do(func() { close(h.quit) })
	select {
	case <-h.stopped:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "disk sync has not returned")
	}
	h.closeOnce.Do(func() { h.closeErr = errors.CombineErrors(h.store.Close(), h.closeFS()) })
	return h.closeErr
}

// TransferLeadership starts a leadership transfer and waits until this member no longer leads, for
// at most the maximum election timeout. It returns at once if this member does not lead.
func (h *Host) TransferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.ElectionTimeoutMax)
	defer cancel()
	for {
		isLeader := false
		err := h.call(ctx, func() {
			if isLeader = h.failure == nil && h.core.role == Leader && h.core.voterCount() > 1; isLeader {
				h.core.transferLeadership()
			}
		})
		if err != nil || !isLeader || !sleep(ctx, changePollInterval) {
			return
		}
	}
}

// call runs f in the control goroutine.
func (h *Host) call(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case h.calls <- func() { f(); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-h.stopped:
		return ErrStopped
	}
	<-done
	return nil
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
