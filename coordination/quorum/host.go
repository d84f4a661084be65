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
	inboxSize        = 4096
	requestQueueSize = 1024
	// ticksPerHeartbeat sets how finely the driver watches the timers.
	ticksPerHeartbeat = 5
	// changePoll is how often a waiting change of the membership is looked at.
	changePollInterval = 10 * time.Millisecond
)

// Host drives one member: it owns the goroutine of the control state and the
// one that syncs the disk.
type Host struct {
	cfg     Config
	deps    deps
	store   *storage.Store
	closeFS func() error

	inbox        chan Message
	proposals    chan *proposal
	readRequests chan *readRequest
	calls        chan func()
	batches      chan *batch
	syncResults  chan error
	syncLoopDone chan struct{}
	quit         chan struct{}
	stopped      chan struct{}
	stopOnce     sync.Once
	status       atomic.Pointer[MemberStatus]

	// Owned by the control goroutine.
	core               *core
	failure            error
	pendingTerm        uint64 // term of the proposals in pending
	pending            map[uint64]*proposal
	pendingBytes       int // bytes of the proposals in pending
	pendingReads       map[uint64][]*readRequest
	confirmedReads     []confirmedRead
	applied            uint64
	snapshotIndex      uint64
	bytesSinceSnapshot int
	nextReadSweep      time.Time
}

// proposal is one call of Propose. Its state decides between the caller that
// gives up and the control goroutine that appends it.
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

type readRequest struct {
	ctx  context.Context
	done chan bool
}

// appliedWait holds confirmed reads until index is applied.
type confirmedRead struct {
	index    uint64
	requests []*readRequest
}

// Open starts a member on its data directory. An empty directory becomes a
// blank member that waits until it is added. Damaged data is an error.
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

// open makes a host whose goroutines are not started.
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
	h.publish()
	return h, nil
}

// Receive takes a message from another member. It never blocks; when the
// member is overloaded the message is lost.
func (h *Host) Receive(m Message) {
	select {
	case h.inbox <- m:
	default:
	}
}

// Propose appends data to the log and returns the result of applying it.
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

// refusal answers a proposal that need not reach the control goroutine.
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

// ReadBarrier reports whether the applied state is at least as new as the call. A
// member that does not lead asks the leader.
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

// Leader returns the leader that this member follows, 0 when it knows none,
// and whether it is this member itself.
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

// Stop transfers leadership when this member leads, and ends it. Proposals
// that were not committed by then end as Indeterminate.
func (h *Host) Stop(ctx context.Context) error {
	h.transferLeadership(ctx)
	h.stopOnce.Do(func() { close(h.quit) })
	select {
	case <-h.stopped:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "a sync of the disk has not returned")
	}
	return errors.CombineErrors(h.store.Close(), h.closeFS())
}

// handOver waits until another member leads, for at most an election timeout.
func (h *Host) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.ElectionTimeoutMax)
	defer cancel()
	for {
		isLeader := false
		err := h.call(ctx, func() {
			if isLeader = h.failure == nil && h.core.role == Leader && h.core.voters() > 1; isLeader {
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

// pause waits and reports whether ctx is still alive.
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
