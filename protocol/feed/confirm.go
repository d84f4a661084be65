package feed

import (
	"context"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/document"
)

const (
	// readInterval is the interval of the quorum reads with which a hub confirms the probes of its
	// subscribers. One read serves all of them. It is that of the heartbeats, with which probes come.
	readInterval = heartbeatInterval
	// readTimeout bounds one quorum read. A read takes two round trips between control hosts. One that
	// takes longer waits for a leader, and would confirm older probes than the next one does.
	readTimeout = 2 * readInterval
	// confirmTimeout is the time without a confirmation after which a subscriber moves to another control
	// host. It is longer than an election, and leaves most of a lease for the move.
	confirmTimeout = 1500 * time.Millisecond
)

// confirmation states that the state of a revision covers all changes that were acknowledged before
// the hub had received a probe.
type confirmation struct {
	probe    int64
	revision uint64
}

// confirmer confirms the probes of the subscribers of one hub with quorum reads, one at a time for all
// of them, and none while no subscriber sends probes.
type confirmer struct {
	// read performs a quorum read and returns the state that it covers, or false if it has failed.
	read func(context.Context) (*document.State, bool)

	mu       sync.Mutex
	sessions map[*session]*probes
	running  bool
}

// probes are the probes of one subscriber: the newest one received, and the newest one confirmed.
type probes struct{ received, confirmed int64 }

// add stores a probe of a subscriber, and starts the reads if they don't run.
func (c *confirmer) add(s *session, probe int64) {
	if probe == 0 || c.read == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions == nil {
		c.sessions = make(map[*session]*probes)
	}
	p := c.sessions[s]
	if p == nil {
		p = &probes{}
		c.sessions[s] = p
	}
	p.received = max(p.received, probe)
	if !c.running {
		c.running = true
		go c.run()
	}
}

// remove forgets a subscriber whose stream has ended.
func (c *confirmer) remove(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sessions, s)
}

// run reads until no subscriber that has sent a probe is left. It ends a whole interval after its last
// read, so that subscribers that come and go cause no more reads.
func (c *confirmer) run() {
	for {
		pending, ok := c.pending()
		if !ok {
			return
		}
		interval := time.NewTimer(readInterval)
		if len(pending) > 0 {
			c.confirm(pending)
		}
		<-interval.C
	}
}

// pending returns the newest probes that have not been confirmed. It returns false, and marks the reads
// as ended, if there is no subscriber.
func (c *confirmer) pending() (map[*session]int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sessions) == 0 {
		c.running = false
		return nil, false
	}
	pending := make(map[*session]int64)
	for s, p := range c.sessions {
		if p.received > p.confirmed {
			pending[s] = p.received
		}
	}
	return pending, true
}

// confirm confirms probes that were received before the call, if a quorum read succeeds.
func (c *confirmer) confirm(pending map[*session]int64) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	state, ok := c.read(ctx)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for s, probe := range pending {
		if p := c.sessions[s]; p != nil {
			p.confirmed = probe
			s.confirm(&confirmation{probe: probe, revision: state.Revision})
		}
	}
}

// confirm makes the sending goroutine send a confirmation with its next message.
func (s *session) confirm(c *confirmation) {
	s.confirmation.Store(c)
	select {
	case s.confirmed <- struct{}{}:
	default:
	}
}

// addConfirmation adds the last confirmation to a message, after addDocument. Without the state that the
// confirmation is about, the subscriber gets none: if the state of this hub is older than that of the
// subscriber, if the document could not be sent, or if the hub has not applied the state yet.
func (s *session) addConfirmation(m *hubMessage) {
	c := s.confirmation.Load()
	if c == nil || s.hubState == nil || s.hubState.Revision != s.stateRevision || s.hubState.Version != s.version || s.stateRevision < c.revision {
		return
	}
	s.confirmation.CompareAndSwap(c, nil)
	m.ConfirmedProbe, m.ConfirmedRevision = c.probe, c.revision
}

// leavesUnconfirmed reports whether the client moves to another control host because this one has
// confirmed nothing since a point in time: it may hear the leader and not be heard by the majority. The
// client moves once per failedHostPenalty, because the records of all nodes are sent again.
func (c *Client) leavesUnconfirmed(since, now time.Time) bool {
	if c.cfg.Probe == nil || now.Sub(since) < confirmTimeout || now.Sub(c.leftUnconfirmedAt) < failedHostPenalty {
		return false
	}
	c.leftUnconfirmedAt = now
	return true
}

// newestProbe returns the probe of a message to a hub, 0 if the subscriber holds no lease.
func (c *Client) newestProbe() int64 {
	if c.cfg.Probe == nil {
		return 0
	}
	return int64(c.cfg.Probe())
}

// handleConfirmation passes a confirmation on, after OnState has been called with the state in the same
// message.
func (c *Client) handleConfirmation(m *hubMessage) {
	if m.ConfirmedProbe != 0 && c.cfg.OnConfirmed != nil {
		c.cfg.OnConfirmed(time.Duration(m.ConfirmedProbe), m.ConfirmedRevision)
	}
}
