package quorum

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/storage"
)

// run is the control goroutine.
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

// syncDisk writes batches, one at a time.
func (h *Host) syncLoop() {
	defer close(h.syncLoopDone)
	for b := range h.batches {
		h.syncResults <- writeBatch(h.store, b)
	}
}

// receive handles m and the messages that wait behind it.
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

// propose appends p and the proposals that wait behind it as one group.
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

// confirm starts one read for r and the reads that wait behind it.
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

func (h *Host) handleSynced(err error) {
	if err != nil {
		h.fail(err)
		return
	}
	if h.failure == nil {
		h.core.batchSynced()
	}
}

// fail ends the part of this member in the group: with an unreliable disk it
// must not vote, acknowledge or lead.
func (h *Host) fail(err error) {
	h.failure = err
	h.core.becomeFollower(h.core.term(), 0)
	h.endPendingProposals()
	for token, requests := range h.pendingReads {
		completeReadRequests(requests, false)
		delete(h.pendingReads, token)
	}
}

// flush hands on the outputs of the core.
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
		h.finishReads()
	}
	h.publish()
}

func (h *Host) startBatch() {
	if b := h.core.takeBatch(); b != nil {
		h.batches <- b
	}
}

// endPending ends the proposals of a leadership that is over. The status is
// published first: who learns of the end must not find this member leading.
func (h *Host) endPendingProposals() {
	if len(h.pending) > 0 {
		h.publish()
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
			return errors.Wrapf(err, "restore snapshot %d", snapshot.Index)
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

// finishReads answers confirmed reads whose index is applied.
func (h *Host) finishReads() {
	for _, r := range h.core.takeReads() {
		requests := h.pendingReads[r.token]
		delete(h.pendingReads, r.token)
		if !r.ok {
			completeReadRequests(requests, false)
			continue
		}
		h.confirmedReads = append(h.confirmedReads, confirmedRead{index: r.index, requests: requests})
	}
	keep := h.confirmedReads[:0]
	for _, w := range h.confirmedReads {
		if w.index > h.applied {
			keep = append(keep, w)
			continue
		}
		completeReadRequests(w.requests, true)
	}
	h.confirmedReads = keep
}

// sweep forgets reads that nobody waits for any more.
func (h *Host) dropAbandonedReads() {
	now := h.deps.now()
	if now.Before(h.nextReadSweep) {
		return
	}
	h.nextReadSweep = now.Add(h.cfg.ElectionTimeoutMax)
	for token, calls := range h.pendingReads {
		if !anyWaiting(calls) {
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

// finish waits for the disk and ends what is pending.
func (h *Host) shutDown() {
	close(h.batches)
	<-h.syncLoopDone
	h.endPendingProposals()
	h.failure = ErrStopped
	h.publish()
	close(h.stopped)
}
