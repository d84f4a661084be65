package quorum

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/storage"
)

// run is the loop of the control goroutine, which owns the core.
func (h *Host) run() {
	ticker := time.NewTicker(h.cfg.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.dropAbandonedReads()
		case m := <-h.inbox:
			h.handleMessages(m)
		case p := <-h.proposals:
			h.handleProposals(p)
		case r := <-h.readRequests:
			h.handleReads(r)
		case f := <-h.calls:
			f()
		case err := <-h.syncResults:
			h.handleSynced(err)
		case <-h.quit:
			h.shutDown()
			return
		}
		h.flush()
	}
}

// syncLoop writes and syncs batches, one at a time.
func (h *Host) syncLoop() {
	defer close(h.syncLoopDone)
	for b := range h.batches {
		if !h.writeUntilSynced(b) {
			return
		}
	}
}

// writeUntilSynced repeats the write of a batch until it succeeds: a full disk has room again after
// some time. Each result goes to the control goroutine, which suspends the member after an error. It
// returns false if the host stops.
func (h *Host) writeUntilSynced(b *batch) bool {
	err := writeBatch(h.store, b)
	for {
		select {
		case h.syncResults <- err:
		case <-h.quit:
			return false
		}
		if err == nil {
			return true
		}
		select {
		case <-time.After(writeRetryInterval):
		case <-h.quit:
			return false
		}
		if err = h.store.Recover(); err == nil {
			err = writeBatch(h.store, b)
		}
	}
}

// handleMessages processes m and the messages that are queued after it.
func (h *Host) handleMessages(m Message) {
	if h.failure != nil {
		return
	}
	h.core.setTime(h.deps.now())
	h.core.step(m)
	for n := len(h.inbox); n > 0; n-- {
		h.core.step(<-h.inbox)
	}
}

// handleProposals appends p and the proposals that are queued after it together, so that they share
// a sync.
func (h *Host) handleProposals(p *proposal) {
	var accepted []*proposal
	var data [][]byte
	size := 0
	for n := len(h.proposals); ; n-- {
		switch {
		case h.failure != nil || !h.core.acceptsProposals() || h.pendingBytes+size > maxPendingBytes:
			h.rejectProposal(p)
		case p.state.CompareAndSwap(proposalQueued, proposalClaimed):
			accepted, data = append(accepted, p), append(data, p.data)
			size += len(p.data)
		}
		if n <= 0 || size > maxBatchBytes {
			break
		}
		p = <-h.proposals
	}
	if len(accepted) == 0 {
		return
	}
	h.pendingBytes += size
	first := h.core.propose(data)
	h.pendingTerm = h.core.term()
	for i, p := range accepted {
		h.pending[first+uint64(i)] = p
	}
}

func (h *Host) rejectProposal(p *proposal) {
	if !p.state.CompareAndSwap(proposalQueued, proposalClaimed) {
		return
	}
	status := Unavailable
	if h.failure == nil && h.core.role != Leader && h.core.leader != 0 {
		status = NotLeader
	}
	p.complete(nil, status)
}

func (p *proposal) complete(result []byte, status Status) {
	p.result, p.status = result, status
	close(p.done)
}

// handleReads starts one read for r and the requests that are queued after it.
func (h *Host) handleReads(r *readRequest) {
	requests := []*readRequest{r}
	for n := len(h.readRequests); n > 0; n-- {
		requests = append(requests, <-h.readRequests)
	}
	if h.failure != nil {
		completeReadRequests(requests, false)
		return
	}
	token := uint64(h.deps.random(math.MaxInt64))
	h.pendingReads[token] = requests
	h.core.startRead(token)
}

func completeReadRequests(requests []*readRequest, ok bool) {
	for _, r := range requests {
		r.done <- ok
	}
}

// handleSynced processes the result of a write. After an error the member is suspended until the
// same batch is synced. Nothing that depends on the batch has been sent meanwhile.
func (h *Host) handleSynced(err error) {
	switch {
	case err != nil && h.failure == nil:
		h.fail(err)
		h.suspended = true
	case err == nil && h.suspended:
		h.failure, h.suspended = nil, false
		h.core.setTime(h.deps.now())
		h.core.resetElectionTimer()
		h.core.batchSynced()
	case err == nil && h.failure == nil:
		h.core.batchSynced()
	}
}

// fail ends this member's participation in the group: while its disk refuses writes it must not vote,
// acknowledge or lead.
func (h *Host) fail(err error) {
	h.failure = err
	h.core.becomeFollower(h.core.term(), 0)
	h.endPendingProposals()
	for token, requests := range h.pendingReads {
		completeReadRequests(requests, false)
		delete(h.pendingReads, token)
	}
	for _, r := range h.confirmedReads {
		completeReadRequests(r.requests, false) // their index will not be applied here
	}
	h.confirmedReads = nil
}

// flush advances the core's timers and processes its outputs: committed entries, batches, messages
// and reads.
func (h *Host) flush() {
	if h.failure == nil {
		h.core.tick(h.deps.now())
		if err := h.applyCommitted(); err != nil {
			h.fail(err)
		}
	}
	if h.failure == nil {
		if h.core.role != Leader || h.core.term() != h.pendingTerm {
			h.endPendingProposals()
		}
		h.startBatch()
		for _, m := range h.core.takeMessages() {
			m.FromAddr = h.cfg.Addr
			h.cfg.Sender.Send(m)
		}
		h.completeReads()
	}
	h.publishStatus()
}

func (h *Host) startBatch() {
	if b := h.core.takeBatch(); b != nil {
		h.batches <- b
	}
}

// endPendingProposals completes the pending proposals as Indeterminate after leadership was lost.
// The status is published first, so that a caller whose proposal has ended doesn't see this member
// as the leader.
func (h *Host) endPendingProposals() {
	if len(h.pending) > 0 {
		h.publishStatus()
	}
	for index, p := range h.pending {
		p.complete(nil, Indeterminate)
		delete(h.pending, index)
	}
	h.pendingBytes = 0
}

func (h *Host) applyCommitted() error {
	snapshot, entries := h.core.takeCommitted()
	if snapshot != nil {
		if err := h.cfg.Machine.Restore(snapshot.Data); err != nil {
			return errors.Wrapf(err, "restore snapshot at index %d", snapshot.Index)
		}
		h.applied, h.snapshotIndex, h.bytesSinceSnapshot = snapshot.Index, snapshot.Index, 0
	}
	for _, e := range entries {
		h.apply(e)
	}
	if h.applied-h.snapshotIndex < h.cfg.SnapshotEntries && h.bytesSinceSnapshot < h.cfg.SnapshotBytes {
		return nil
	}
	h.snapshotIndex, h.bytesSinceSnapshot = h.applied, 0
	return h.core.startCompaction(h.applied, h.cfg.Machine.Snapshot())
}

func (h *Host) apply(e storage.Entry) {
	var result []byte
	if e.Kind == entryData {
		result = h.cfg.Machine.Apply(e.Index, e.Data)
	}
	h.applied = e.Index
	h.bytesSinceSnapshot += len(e.Data)
	p := h.pending[e.Index]
	if p == nil {
		return
	}
	delete(h.pending, e.Index)
	h.pendingBytes -= len(p.data)
	if e.Term == h.pendingTerm {
		p.complete(result, Committed)
	} else {
		p.complete(nil, Unavailable)
	}
}

// completeReads completes the confirmed reads whose index is applied.
func (h *Host) completeReads() {
	for _, r := range h.core.takeReadResults() {
		requests := h.pendingReads[r.token]
		delete(h.pendingReads, r.token)
		if !r.ok {
			completeReadRequests(requests, false)
			continue
		}
		h.confirmedReads = append(h.confirmedReads, confirmedRead{index: r.index, requests: requests})
	}
	waiting := h.confirmedReads[:0]
	for _, r := range h.confirmedReads {
		if r.index > h.applied {
			waiting = append(waiting, r)
			continue
		}
		completeReadRequests(r.requests, true)
	}
	h.confirmedReads = waiting
}

// dropAbandonedReads removes the reads that no caller waits for, once per election timeout.
func (h *Host) dropAbandonedReads() {
	now := h.deps.now()
	if now.Before(h.nextReadSweep) {
		return
	}
	h.nextReadSweep = now.Add(h.cfg.ElectionTimeoutMax)
	for token, requests := range h.pendingReads {
		if !anyWaiting(requests) {
			delete(h.pendingReads, token)
			h.core.dropForwardedRead(token)
		}
	}
}

func anyWaiting(requests []*readRequest) bool {
	for _, r := range requests {
		if r.ctx.Err() == nil {
			return true
		}
	}
	return false
}

// shutDown waits for the sync goroutine and completes the pending proposals.
func (h *Host) shutDown() {
	close(h.batches)
	<-h.syncLoopDone
	h.endPendingProposals()
	h.failure = ErrStopped
	h.publishStatus()
	close(h.stopped)
}
