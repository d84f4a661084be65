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
			h.sweep()
		case m := <-h.inbox:
			h.receive(m)
		case p := <-h.proposals:
			h.propose(p)
		case r := <-h.confirms:
			h.confirm(r)
		case f := <-h.calls:
			f()
		case err := <-h.synced:
			h.persisted(err)
		case <-h.quit:
			h.finish()
			return
		}
		h.flush()
	}
}

// syncDisk writes batches, one at a time.
func (h *Host) syncDisk() {
	defer close(h.diskDone)
	for b := range h.disk {
		h.synced <- writeBatch(h.store, b)
	}
}

// receive handles m and the messages that wait behind it.
func (h *Host) receive(m Message) {
	if h.failed != nil {
		return
	}
	h.core.clock(h.deps.now())
	h.core.step(m)
	for n := len(h.inbox); n > 0; n-- {
		h.core.step(<-h.inbox)
	}
}

// propose appends p and the proposals that wait behind it as one group.
func (h *Host) propose(p *proposal) {
	var taken []*proposal
	var items [][]byte
	size := 0
	for n := len(h.proposals); ; n-- {
		switch {
		case h.failed != nil || !h.core.accepts() || h.waiting+size > maxPendingBytes:
			h.refuse(p)
		case p.state.CompareAndSwap(proposalQueued, proposalTaken):
			taken, items = append(taken, p), append(items, p.data)
			size += len(p.data)
		}
		if n <= 0 || size > maxBatchBytes {
			break
		}
		p = <-h.proposals
	}
	if len(taken) == 0 {
		return
	}
	h.waiting += size
	first := h.core.propose(items)
	h.leadTerm = h.core.term()
	for i, p := range taken {
		h.pending[first+uint64(i)] = p
	}
}

func (h *Host) refuse(p *proposal) {
	if !p.state.CompareAndSwap(proposalQueued, proposalTaken) {
		return
	}
	status := Unavailable
	if h.failed == nil && h.core.role != Leader && h.core.leader != 0 {
		status = NotLeader
	}
	p.finish(nil, status)
}

func (p *proposal) finish(result []byte, status Status) {
	p.result, p.status = result, status
	close(p.done)
}

// confirm starts one read for r and the reads that wait behind it.
func (h *Host) confirm(r *confirm) {
	calls := []*confirm{r}
	for n := len(h.confirms); n > 0; n-- {
		calls = append(calls, <-h.confirms)
	}
	if h.failed != nil {
		answer(calls, false)
		return
	}
	token := uint64(h.deps.random(math.MaxInt64))
	h.reads[token] = calls
	h.core.read(token)
}

func answer(calls []*confirm, ok bool) {
	for _, r := range calls {
		r.done <- ok
	}
}

func (h *Host) persisted(err error) {
	if err != nil {
		h.fail(err)
		return
	}
	if h.failed == nil {
		h.core.persisted()
	}
}

// fail ends the part of this member in the group: with an unreliable disk it
// must not vote, acknowledge or lead.
func (h *Host) fail(err error) {
	h.failed = err
	h.core.becomeFollower(h.core.term(), 0)
	h.endPending()
	for token, calls := range h.reads {
		answer(calls, false)
		delete(h.reads, token)
	}
}

// flush hands on the outputs of the core.
func (h *Host) flush() {
	if h.failed == nil {
		h.core.tick(h.deps.now())
		if err := h.applyCommitted(); err != nil {
			h.fail(err)
		}
	}
	if h.failed == nil {
		if h.core.role != Leader || h.core.term() != h.leadTerm {
			h.endPending()
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
		h.disk <- b
	}
}

// endPending ends the proposals of a leadership that is over. The status is
// published first: who learns of the end must not find this member leading.
func (h *Host) endPending() {
	if len(h.pending) > 0 {
		h.publish()
	}
	for index, p := range h.pending {
		p.finish(nil, Indeterminate)
		delete(h.pending, index)
	}
	h.waiting = 0
}

func (h *Host) applyCommitted() error {
	restore, entries := h.core.takeCommitted()
	if restore != nil {
		if err := h.cfg.Machine.Restore(restore.Data); err != nil {
			return errors.Wrapf(err, "restore snapshot %d", restore.Index)
		}
		h.applied, h.snapAt, h.logBytes = restore.Index, restore.Index, 0
	}
	for _, e := range entries {
		h.apply(e)
	}
	if h.applied-h.snapAt < h.cfg.SnapshotEntries && h.logBytes < h.cfg.SnapshotBytes {
		return nil
	}
	h.snapAt, h.logBytes = h.applied, 0
	return h.core.compactAt(h.applied, h.cfg.Machine.Snapshot())
}

func (h *Host) apply(e storage.Entry) {
	var result []byte
	if e.Kind == entryData {
		result = h.cfg.Machine.Apply(e.Index, e.Data)
	}
	h.applied = e.Index
	h.logBytes += len(e.Data)
	p := h.pending[e.Index]
	if p == nil {
		return
	}
	delete(h.pending, e.Index)
	h.waiting -= len(p.data)
	if e.Term == h.leadTerm {
		p.finish(result, Committed)
	} else {
		p.finish(nil, Unavailable)
	}
}

// finishReads answers confirmed reads whose index is applied.
func (h *Host) finishReads() {
	for _, r := range h.core.takeReads() {
		calls := h.reads[r.token]
		delete(h.reads, r.token)
		if !r.ok {
			answer(calls, false)
			continue
		}
		h.unapplied = append(h.unapplied, appliedWait{index: r.index, calls: calls})
	}
	keep := h.unapplied[:0]
	for _, w := range h.unapplied {
		if w.index > h.applied {
			keep = append(keep, w)
			continue
		}
		answer(w.calls, true)
	}
	h.unapplied = keep
}

// sweep forgets reads that nobody waits for any more.
func (h *Host) sweep() {
	now := h.deps.now()
	if now.Before(h.sweepAt) {
		return
	}
	h.sweepAt = now.Add(h.cfg.ElectionTimeoutMax)
	for token, calls := range h.reads {
		if !anyAlive(calls) {
			delete(h.reads, token)
			h.core.dropRead(token)
		}
	}
}

func anyAlive(calls []*confirm) bool {
	for _, r := range calls {
		if r.ctx.Err() == nil {
			return true
		}
	}
	return false
}

// finish waits for the disk and ends what is pending.
func (h *Host) finish() {
	close(h.disk)
	<-h.diskDone
	h.endPending()
	h.failed = ErrStopped
	h.publish()
	close(h.stopped)
}
