package backend

import (
	"net"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

const (
	// cutSettleTime is the time within which the connections of a crashed process,
	// which end one after the other, are all seen as closed.
	cutSettleTime = 10 * time.Millisecond
	// aliveAfter is the time after which the open connection of an earlier request
	// proves that the process has not crashed.
	aliveAfter = 50 * time.Millisecond
	// crashDecisionTime is how long the result of a cut request is delayed until it
	// is clear whether the upstream has crashed. An upstream that restarts at once
	// announces itself within this time.
	crashDecisionTime = 300 * time.Millisecond
	// cutRetention is how long a cut request is a suspect for a crash that is
	// detected later.
	cutRetention = 5 * time.Second
	// maxRecentCuts bounds the number of recorded cut requests.
	maxRecentCuts = 256
	// listenCheckTimeout bounds the connection attempt that checks whether the
	// upstream still listens.
	listenCheckTimeout = 100 * time.Millisecond
)

// inFlightRequest is a request that the upstream may be running.
type inFlightRequest struct {
	fingerprint uint64
	startedAt   time.Time
	generation  uint64 // generation of the upstream that it was sent to
	trace       requestTrace
	cut         bool // its connection was cut
	reported    bool // it was reported as a suspect of a crash
}

// cutRequest records a cut request whose caller has got its result.
type cutRequest struct {
	fingerprint uint64
	expires     time.Time
}

// crashDetector holds what is needed to detect a crash of the upstream: the requests
// in flight, the recently cut ones and the announced incarnation. A request is cut
// when its connection ends without a complete response.
type crashDetector struct {
	mu         sync.Mutex
	inFlight   map[*inFlightRequest]struct{}
	recentCuts []cutRequest // of the current generation, oldest first
	// generation counts the announced incarnations.
	generation  uint64
	incarnation uint64
	// generationEnd is closed when the current generation ends.
	generationEnd chan struct{}
}

func (d *crashDetector) init() {
	d.inFlight = make(map[*inFlightRequest]struct{})
	d.generationEnd = make(chan struct{})
}

func (d *crashDetector) add(fingerprint uint64) *inFlightRequest {
	f := &inFlightRequest{fingerprint: fingerprint, startedAt: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	f.generation = d.generation
	d.inFlight[f] = struct{}{}
	return f
}

func (d *crashDetector) remove(f *inFlightRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.inFlight, f)
	if f.cut && !f.reported && f.generation == d.generation {
		d.recordCut(f.fingerprint, time.Now())
	}
}

func (d *crashDetector) recordCut(fingerprint uint64, now time.Time) {
	d.dropExpired(now)
	if len(d.recentCuts) == maxRecentCuts {
		d.recentCuts = append(d.recentCuts[:0], d.recentCuts[1:]...)
	}
	d.recentCuts = append(d.recentCuts, cutRequest{fingerprint: fingerprint, expires: now.Add(cutRetention)})
}

// dropExpired removes the cut requests that are no longer suspects.
func (d *crashDetector) dropExpired(now time.Time) {
	n := 0
	for n < len(d.recentCuts) && !now.Before(d.recentCuts[n].expires) {
		n++
	}
	d.recentCuts = append(d.recentCuts[:0], d.recentCuts[n:]...)
}

// markCut marks f as cut and returns a channel that is closed when the generation
// of f has ended.
func (d *crashDetector) markCut(f *inFlightRequest) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	f.cut = true
	if f.generation != d.generation {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	return d.generationEnd
}

// countEarlier counts the other requests of the same generation that were started
// before at and are still in flight, and those of them that were cut. A cut request
// counts as in flight until its result is returned.
func (d *crashDetector) countEarlier(cutReq *inFlightRequest, at time.Time) (all, cut int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for f := range d.inFlight {
		if f == cutReq || f.generation != cutReq.generation || f.startedAt.After(at) || f.trace.nothingWritten() {
			continue
		}
		all++
		if f.cut {
			cut++
		}
	}
	return all, cut
}

// setIncarnation records an announced incarnation. The requests that were cut in
// the previous generation are reported, because a new incarnation shows that the
// previous process has ended.
func (d *crashDetector) setIncarnation(incarnation uint64, onCrash func([]uint64)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if incarnation == d.incarnation {
		return
	}
	var fingerprints []uint64
	if d.incarnation != 0 && incarnation != 0 {
		fingerprints = d.takeSuspects(func(f *inFlightRequest) bool { return f.cut }, time.Now())
	}
	d.recentCuts = nil
	d.incarnation = incarnation
	d.generation++
	notifyCrash(onCrash, fingerprints)
	close(d.generationEnd)
	d.generationEnd = make(chan struct{})
}

// report calls onCrash with the requests up to the given generation. It holds the
// mutex meanwhile, so that no other request that the crash cut gets its result
// before the crash is reported.
func (d *crashDetector) report(generation uint64, onCrash func([]uint64), now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	notifyCrash(onCrash, d.takeSuspects(func(f *inFlightRequest) bool { return f.generation <= generation }, now))
}

// takeSuspects returns the fingerprints of the selected requests in flight and marks
// them as reported. Requests that were cut recently are added only if none of those
// in flight was cut: a cut request in flight already explains the crash, and others
// must not be blamed for it.
func (d *crashDetector) takeSuspects(selected func(*inFlightRequest) bool, now time.Time) []uint64 {
	var fingerprints []uint64
	explained := false
	for f := range d.inFlight {
		if f.reported || !selected(f) || f.trace.nothingWritten() {
			continue
		}
		f.reported = true
		explained = explained || f.cut
		fingerprints = append(fingerprints, f.fingerprint)
	}
	d.dropExpired(now)
	if !explained {
		for _, c := range d.recentCuts {
			fingerprints = append(fingerprints, c.fingerprint)
		}
	}
	d.recentCuts = nil
	return fingerprints
}

func notifyCrash(onCrash func([]uint64), fingerprints []uint64) {
	if onCrash != nil && len(fingerprints) > 0 {
		onCrash(fingerprints)
	}
}

// checkFailure checks whether a request without a response failed because the upstream
// doesn't listen or has crashed, and reports that.
func (b *Backend) checkFailure(c *client, f *inFlightRequest, a *attempt) {
	switch {
	case a.ConnectionRefused:
		b.crashes.remove(f) // it was not run, so that it can't be a suspect
		b.reportCrash(c, f)
	case a.cut && b.hasCrashed(c, f):
		a.Crashed = true
		a.Reason = mulberrylink.ReasonCrashed
		b.reportCrash(c, f)
	}
}

// onResponseCut is called when the connection ends within the body of a response.
func (b *Backend) onResponseCut(c *client, f *inFlightRequest) {
	if b.hasCrashed(c, f) {
		b.reportCrash(c, f)
	}
}

// reportCrash reports the suspects of the crash and then the upstream as down.
func (b *Backend) reportCrash(c *client, f *inFlightRequest) {
	b.crashes.report(f.generation, b.cfg.OnCrash, time.Now())
	if b.cfg.OnDown != nil {
		b.cfg.OnDown(c.target)
	}
}

// hasCrashed reports whether the upstream has crashed, after the connection of f was
// cut: it no longer listens, all of several requests in flight were cut, or it
// announces a new incarnation. Only the announcement shows the crash of an upstream
// that ran a single request and has already restarted. hasCrashed therefore waits
// for it, unless a request that was sent earlier is still running.
func (b *Backend) hasCrashed(c *client, f *inFlightRequest) bool {
	cutAt := time.Now()
	ended := b.crashes.markCut(f)
	if !isListening(c.target.Addr) {
		return true
	}
	time.Sleep(cutSettleTime)
	if !isListening(c.target.Addr) {
		return true
	}
	if all, cut := b.crashes.countEarlier(f, cutAt); all > 0 && cut == all {
		return true
	}
	if closedWithin(ended, aliveAfter-cutSettleTime) {
		return true
	}
	if all, cut := b.crashes.countEarlier(f, cutAt); cut < all {
		return false
	}
	return closedWithin(ended, crashDecisionTime-aliveAfter)
}

func closedWithin(ch <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ch:
		return true
	case <-timer.C:
		return false
	}
}

// isListening reports whether the upstream accepts a connection.
func isListening(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, listenCheckTimeout) //nolint:noctx // bounded by its own timeout
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
