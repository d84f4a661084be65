package controlhost

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/quorum"
	"github.com/mulberrylink/mulberrylink/coordination/quota"
	"github.com/mulberrylink/mulberrylink/state/boottime"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

const (
	// confirmInterval is the interval of the rounds that confirm the leadership while nodes draw
	// tokens. Within quota.ConfirmTTL three of them may be late or lost.
	confirmInterval = 100 * time.Millisecond
	// confirmTimeout bounds one round.
	confirmTimeout = 200 * time.Millisecond
	// drawMemory is how long after the last draw the rounds go on.
	drawMemory = time.Second
	// relayConns is the number of idle connections to a leader for asks of nodes that cannot reach it.
	relayConns = 16
)

// quotaLeader holds the quotas of client accounts while this host is the leader. It implements
// quotas.Leader.
type quotaLeader struct {
	host *Host
	now  func() time.Duration

	confirming sync.Mutex // held during a round

	mu        sync.Mutex
	allocator *quota.Allocator
	term      uint64 // of the last confirmed round
	version   uint64 // of the document that the limits are from
	decoded   bool   // whether version is set
	hasLimits bool
	drawnAt   time.Duration
	drawn     bool
	stopped   bool
	reported  quota.Counts
}

func newQuotaLeader(h *Host) *quotaLeader {
	return &quotaLeader{host: h, now: boottime.Now, allocator: quota.NewAllocator()}
}

func (h *Host) quotaMethod() (string, rpc.Handler) {
	name, handler := h.quotaServer.Method()
	return name, handler
}

func (h *Host) quotaRelayMethod() (string, rpc.Handler) {
	name, handler := h.quotaServer.RelayMethod()
	return name, handler
}

// Draw implements quotas.Leader.
func (q *quotaLeader) Draw(ctx context.Context, node uint32, asks []quota.Ask) ([]quota.Grant, bool) {
	q.mu.Lock()
	q.drawnAt, q.drawn = q.now(), true
	confirmed := q.allocator.Confirmed(q.now()) && q.leads()
	q.mu.Unlock()
	if !confirmed && !q.confirm(ctx) {
		return nil, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopped || !q.leads() || !q.updateLimits() {
		return nil, false
	}
	return q.allocator.Draw(q.now(), node, asks)
}

// LeaderAddr implements quotas.Leader.
func (q *quotaLeader) LeaderAddr() string {
	if _, addr, self := q.host.replica.Load().quorumHost.Leader(); !self {
		return addr
	}
	return ""
}

// leads reports whether this host is the leader of the confirmed term, as far as it knows.
func (q *quotaLeader) leads() bool {
	status := q.host.replica.Load().quorumHost.Status()
	return status.Err == nil && status.Role == quorum.Leader && status.Term == q.term
}

// updateLimits reads the limits from the committed document. The confirmed round has covered every change
// that was acknowledged before it. It returns false if no limits could be read. The caller holds mu.
func (q *quotaLeader) updateLimits() bool {
	state, _ := q.host.state()
	if q.decoded && state.Version == q.version {
		return q.hasLimits
	}
	q.decoded, q.version = true, state.Version
	limits, err := q.host.cfg.Limits(state)
	if err != nil {
		q.host.cfg.Log.Error().Uint64("version", state.Version).Err(err).Msg("limits of client accounts not decoded; keeping the current ones")
		return q.hasLimits
	}
	q.allocator.SetLimits(q.now(), limits)
	q.hasLimits = true
	return true
}

// confirm runs a round in which a majority confirms that this host leads. The clock is read before, since
// the majority may follow another leader from 450 ms after it has responded.
func (q *quotaLeader) confirm(ctx context.Context) bool {
	q.confirming.Lock()
	defer q.confirming.Unlock()
	quorumHost := q.host.replica.Load().quorumHost
	before := quorumHost.Status()
	if before.Err != nil || before.Role != quorum.Leader {
		return false
	}
	sentAt := q.now()
	q.mu.Lock()
	recent := before.Term == q.term && q.allocator.Confirmed(sentAt+quota.ConfirmTTL-confirmInterval/2)
	q.mu.Unlock()
	if recent {
		return true // by the round that this one has waited for
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if !quorumHost.ReadBarrier(ctx) {
		return false
	}
	if after := quorumHost.Status(); after.Role != quorum.Leader || after.Term != before.Term {
		return false // the barrier may be that of another leader
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.term != before.Term {
		q.host.cfg.Log.Info().Uint64("term", before.Term).Msg("leader of quotas; buckets start anew")
	}
	q.term = before.Term
	q.allocator.Confirm(before.Term, sentAt)
	return true
}

// run confirms the leadership while nodes draw tokens, and once when this host has become the leader: the
// buckets then fill before the first draw.
func (q *quotaLeader) run(ctx context.Context) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		q.mu.Lock()
		due := q.drawn && q.now()-q.drawnAt < drawMemory || !q.leads()
		q.mu.Unlock()
		if due {
			q.confirm(ctx)
		}
		q.report()
	}
}

// stop ends the answers. The next leader may be elected as soon as this host hands its leadership over,
// although a majority has just confirmed this one.
func (q *quotaLeader) stop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopped = true
}

// report updates the counters.
func (q *quotaLeader) report() {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.allocator.Counts()
	for name, n := range map[string]int64{
		"quota.asked": c.Asked - q.reported.Asked, "quota.granted": c.Granted - q.reported.Granted,
		"quota.returned": c.Returned - q.reported.Returned, "quota.empty": c.Empty - q.reported.Empty,
	} {
		if n > 0 {
			metrics.GetOrRegisterCounter(name, q.host.cfg.Registry).Inc(n)
		}
	}
	q.reported = c
}

// noLimits is used where Config.Limits is nil.
func noLimits(*document.State) (map[string]quota.Limit, error) { return nil, nil }
