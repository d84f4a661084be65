package selection

import (
	"net/http"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Constants of outlier ejection.
const (
	failuresToEject     = 3   // in a row
	slowRatioToEject    = 5.0 // times the median latency of the service
	slowAttemptsToEject = 5   // tries above it
	ejectTimeInitial    = 500 * time.Millisecond
	ejectTimeMax        = 30 * time.Second
)

type healthState uint8

const (
	healthy healthState = iota
	ejected
	halfOpen
)

// health is the outlier state of one node.
type health struct {
	state               healthState
	consecutiveFailures int // in a row
	consecutiveSlow     int // tries in a row far above the median
	ejections           int // ejections, forgotten after a good time as long as the last one
	stateUntil          time.Time
	trialsInFlight      int
}

// open reports whether the node may be chosen now. After an ejection it may be
// chosen for one request at a time until one succeeds.
func (e *peer) available(now time.Time) bool {
	if now.Before(e.closedUntil) {
		return false
	}
	switch e.state {
	case ejected:
		return !now.Before(e.stateUntil)
	case halfOpen:
		return e.trialsInFlight == 0
	default:
		return true
	}
}

// judge updates the health of a node after a try. reached is true when the
// admitting node itself has answered.
func (p *Picker) updateHealth(e *peer, res mulberrylink.Result, reached bool, took time.Duration, now time.Time) {
	switch {
	case isFailure(res, reached):
		e.consecutiveFailures++
		if e.state == halfOpen || e.consecutiveFailures >= failuresToEject {
			p.eject(e, now)
		}
	case res.Outcome == mulberrylink.Answered:
		p.recordSuccess(e, took, now)
	}
}

// failed reports whether the try counts as a failure of the node. Refusals by a
// full or leaving node are reports of its load, not failures.
func isFailure(res mulberrylink.Result, reached bool) bool {
	switch res.Outcome {
	case mulberrylink.Answered:
		return res.Answer != nil && res.Answer.Status >= http.StatusInternalServerError
	case mulberrylink.NotRun:
		return !reached || res.Reason == mulberrylink.ReasonConnect
	default:
		return true
	}
}

func (p *Picker) recordSuccess(e *peer, took time.Duration, now time.Time) {
	e.consecutiveFailures = 0
	e.recordLatency(took, now)
	median := p.serviceMedian(e)
	if median > 0 && took.Seconds() > slowRatioToEject*median {
		e.consecutiveSlow++
	} else {
		e.consecutiveSlow = 0
	}
	if e.consecutiveSlow >= slowAttemptsToEject || e.state == halfOpen && e.consecutiveSlow > 0 {
		p.eject(e, now)
		return
	}
	if e.state == halfOpen {
		e.state = healthy
		e.stateUntil = now.Add(ejectTime(e.ejections))
		return
	}
	if e.state == healthy && e.ejections > 0 && now.After(e.stateUntil) {
		e.ejections = 0
	}
}

func (p *Picker) serviceMedian(e *peer) float64 {
	if s, found := p.services[e.node.Service]; found {
		return s.median
	}
	return 0
}

// eject takes a node out, unless too many nodes of its service are out already.
func (p *Picker) eject(e *peer, now time.Time) {
	e.consecutiveFailures, e.consecutiveSlow = 0, 0
	if e.state == ejected {
		return
	}
	if e.state != halfOpen && !p.mayEject(e) {
		return
	}
	e.ejections++
	e.state = ejected
	e.stateUntil = now.Add(ejectTime(e.ejections))
}

func ejectTime(ejections int) time.Duration {
	d := ejectTimeInitial
	for ; ejections > 1 && d < ejectTimeMax; ejections-- {
		d *= 2
	}
	return min(d, ejectTimeMax)
}

// mayEject keeps the ejected share within MaxEjectPercent; of two nodes or more,
// one may always be ejected.
func (p *Picker) mayEject(e *peer) bool {
	s, found := p.services[e.node.Service]
	if !found || len(s.peers) < 2 {
		return false
	}
	percent := p.cfg.Settings(e.node.Service).MaxEjectPercent
	if percent == 0 {
		percent = DefaultMaxEjectPercent
	}
	unhealthy := 0
	for _, other := range s.peers {
		if other.state != healthy {
			unhealthy++
		}
	}
	return unhealthy < max(1, len(s.peers)*percent/100)
}
