package gateway

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
	"github.com/mulberrylink/mulberrylink/coordination/selection"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
)

const (
	// crashCheckTimeout bounds the wait for the probe that tells a crash from a lost response. The
	// upstream is on the same host; the response to the caller waits meanwhile.
	crashCheckTimeout = 100 * time.Millisecond
	// crashCheckSharing is how long after the start of a probe a request may fail and share its
	// result. All requests in flight fail within some milliseconds of a crash.
	crashCheckSharing = 5 * time.Millisecond
)

var reasonCrasher = mulberrylink.ReasonCrasher.String()

// endsRequest reports whether a rejection holds for all upstreams of the service.
func endsRequest(rejectReason string) bool {
	return rejectReason == reasonCrasher || rejectReason == reasonSuspectBusy
}

// suspicion returns the record of a fingerprint for another node.
func (g *Gateway) suspicion(fingerprint uint64) hop.Suspicion {
	n, found := g.suspects.Get(fingerprint)
	if !found {
		return hop.Suspicion{}
	}
	return hop.Suspicion{Stage: n.Stage, Remaining: time.Duration(n.RemainingMillis(time.Now())) * time.Millisecond}
}

// mergeSuspicion adds the record that another node has of a fingerprint.
func (g *Gateway) mergeSuspicion(fingerprint uint64, s hop.Suspicion) {
	if s.Remaining > 0 {
		g.suspects.Merge(suspect.Notice{Fingerprint: fingerprint, Stage: s.Stage, Until: time.Now().Add(s.Remaining)})
	}
}

// restrictSuspect restricts the candidates of a suspect to one, the same on all nodes, so that no
// two copies of it run at the same time. It returns false if the request is refused, or if another
// attempt of a suspect is running.
func (s *requestState) restrictSuspect(kind attemptKind, all []placement.Candidate) ([]placement.Candidate, bool) {
	g, fingerprint := s.req.g, s.req.fingerprint
	switch g.suspects.Verdict(fingerprint) {
	case suspect.Refuse:
		s.rejectReason, s.retryAfter = reasonCrasher, g.suspicion(fingerprint).Remaining
		return nil, false
	case suspect.Alone:
		if kind == hedgeAttempt || len(s.running) > 0 {
			return nil, false
		}
	default:
		return all, true
	}
	var best []placement.Candidate
	bestScore := uint64(0)
	for _, c := range all {
		if s.excluded[c.Name] {
			continue
		}
		if score := selection.Rendezvous(fingerprint, c.Name); best == nil || score > bestScore {
			best, bestScore = []placement.Candidate{c}, score
		}
	}
	return best, len(best) > 0
}

// awaitSuspectTurn waits until a request that is a suspect may run, and returns the function that
// ends its turn. It returns a rejection if the request is refused or cannot run in time.
func (g *Gateway) awaitSuspectTurn(ctx context.Context, req *upstreamRequest) (endTurn func(), rejected *result) {
	endTurn = func() {}
	if g.suspects.Verdict(req.meta.Fingerprint) == suspect.Alone {
		wait := time.Until(req.objective) - req.meta.ServiceTime
		if time.Now().After(req.objective) {
			wait = time.Until(req.deadline) - req.meta.ServiceTime
		}
		var retryAfter time.Duration
		if endTurn, retryAfter = g.suspectTurns.acquire(ctx, wait, req.meta.ServiceTime); endTurn == nil {
			return nil, ptr(g.reject(reasonSuspectBusy, retryAfter))
		}
		g.stats.count("suspect_runs")
		req.hasSuspectTurn = true
	}
	if rejected = g.checkSuspicion(req); rejected != nil {
		endTurn()
		return nil, rejected
	}
	return endTurn, nil
}

// checkSuspicion returns a rejection if the request may not run: it is known to crash upstreams, or
// it has become a suspect without having its turn.
func (g *Gateway) checkSuspicion(req *upstreamRequest) *result {
	switch g.suspects.Verdict(req.meta.Fingerprint) {
	case suspect.Refuse:
		return ptr(g.reject(reasonCrasher, g.suspicion(req.meta.Fingerprint).Remaining))
	case suspect.Alone:
		if !req.hasSuspectTurn {
			return ptr(g.reject(reasonSuspect, 0))
		}
	default:
	}
	return nil
}

// recordCrash makes the requests that a crashed upstream instance was running suspects, and refuses
// the only one that was a suspect before. It is called before any of their callers gets a response.
func (g *Gateway) recordCrash(upstreamID string, now time.Time) {
	runs := g.runs.takeAll(upstreamID, now)
	if len(runs) == 0 {
		return
	}
	fingerprints, inFlight := make([]uint64, len(runs)), make([]string, len(runs))
	for i, r := range runs {
		fingerprints[i], inFlight[i] = r.fingerprint, r.String()
	}
	notices := g.suspects.RecordCrashBesideOthers(fingerprints)
	g.stats.count("upstream_crashed")
	g.log.Warn().Str("upstream", upstreamID).Strs("inflight", inFlight).Msg("upstream crashed; the requests in flight are suspects")
	for _, n := range notices {
		if g.suspects.Verdict(n.Fingerprint) == suspect.Refuse {
			g.stats.count("crashers")
			g.log.Warn().Uint64("fingerprint", n.Fingerprint).Uint64("stage", uint64(n.Stage)).Dur("refused", time.Until(n.Until)).
				Msg("request crashes upstreams; refusing it")
		}
	}
}

// recordCompletion clears a suspect whose response the upstream has sent in full.
func (g *Gateway) recordCompletion(run *upstreamRun, info ResponseInfo) {
	if info.NotRun || !info.Signed {
		return
	}
	for _, n := range g.suspects.RecordCompletion(run.fingerprint, true) {
		g.stats.count("suspects_cleared")
		g.log.Info().Str("request", run.requestID).Uint64("fingerprint", n.Fingerprint).Msg("suspect completed; it is cleared")
	}
}

// crashCheck makes requests that fail together share one probe of the upstream.
type crashCheck struct {
	mu        sync.Mutex
	startedAt time.Time // of the last probe
}

// probeUntilDecided probes the upstream until it answers or refuses the connection. A process that ends
// may still accept a connection and cut it off.
func (u *Upstream) probeUntilDecided(ctx context.Context) {
	for pause := time.Millisecond; cutOff(u.probe(ctx)); pause *= 2 {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

// cutOff reports whether the other end closed or reset the connection of an exchange.
func cutOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// checkForCrash probes the upstream after a request to one of its instances has failed, which
// records a crash if nothing listens at its address, or if another instance does.
func (u *Upstream) checkForCrash(ctx context.Context, upstreamID string, failedAt time.Time) {
	c := &u.crashCheck
	c.mu.Lock()
	defer c.mu.Unlock()
	// The second condition bounds the wait behind probes of an upstream that does not answer.
	if c.startedAt.Before(failedAt.Add(-crashCheckSharing)) && time.Since(failedAt) < crashCheckTimeout {
		c.startedAt = time.Now()
		ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
		defer cancel()
		u.probeUntilDecided(ctx)
	}
	if u.hasEnded(upstreamID) {
		u.g.recordCrash(upstreamID, time.Now())
	}
}

// turnQueue lets one request at a time have its turn.
type turnQueue struct {
	turn    chan struct{}
	waiting atomic.Int64 // requests that have their turn or wait for it
}

func newTurnQueue() *turnQueue { return &turnQueue{turn: make(chan struct{}, 1)} }

// acquire waits for the turn of a request and returns the function that ends it, which may be called
// more than once. It returns nil at once if the turns of the requests ahead, of serviceTime each,
// take longer than wait, with the time that they take.
func (q *turnQueue) acquire(ctx context.Context, wait, serviceTime time.Duration) (end func(), retryAfter time.Duration) {
	ahead := time.Duration(q.waiting.Add(1)-1) * serviceTime
	if ahead > 0 && ahead > wait {
		q.waiting.Add(-1)
		return nil, ahead
	}
	end = sync.OnceFunc(func() { <-q.turn; q.waiting.Add(-1) })
	select {
	case q.turn <- struct{}{}: // also when there is no time to wait
		return end, 0
	default:
	}
	timer := time.NewTimer(max(0, wait))
	defer timer.Stop()
	select {
	case q.turn <- struct{}{}:
		return end, 0
	case <-timer.C:
	case <-ctx.Done():
	}
	q.waiting.Add(-1)
	return nil, serviceTime
}
