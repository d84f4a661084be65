package selection

import (
	"net/http"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Constants of outlier ejection.
const (
	failuresToEject     = 3   // consecutive failures
	slowRatioToEject    = 5.0 // multiple of the service's median latency from which an attempt is slow
	slowAttemptsToEject = 5   // consecutive slow attempts
	ejectTimeInitial    = 500 * time.Millisecond
	ejectTimeMax        = 30 * time.Second
)

// healthState is the outlier ejection state of a node. A node whose ejection
// has ended is half-open until a trial request succeeds.
type healthState uint8

const (
	healthy healthState = iota
	ejected
	halfOpen
)

// health holds the state of outlier ejection for one node.
type health struct {
	state               healthState
	consecutiveFailures int
	consecutiveSlow     int       // attempts far above the median latency
	ejections           int       // reset after a healthy period as long as the last ejection
	stateUntil          time.Time // end of the ejection, or of the healthy period that resets ejections
	trialsInFlight      int
}

// available reports whether the node may be chosen now. A half-open node may be
// chosen for one request at a time.
func (pr *peer) available(now time.Time) bool {
	if now.Before(pr.closedUntil) {
		return false
	}
	switch pr.state {
	case ejected:
		return !now.Before(pr.stateUntil)
	case halfOpen:
		return pr.trialsInFlight == 0
	default:
		return true
	}
}

// updateHealth updates the health of a node after an attempt. reached is true
// when the admitting node itself has responded.
func (p *Picker) updateHealth(pr *peer, res mulberrylink.Result, reached bool, took time.Duration, now time.Time) {
	switch {
	case isFailure(res, reached):
		pr.consecutiveFailures++
		if pr.state == halfOpen || pr.consecutiveFailures >= failuresToEject {
			p.eject(pr, now)
		}
	case res.Outcome == mulberrylink.Answered:
		p.recordSuccess(pr, took, now)
	}
}

// isFailure reports whether an attempt counts as a failure of the node. A
// rejection by a full or leaving node reports its load and is not a failure.
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

// recordSuccess updates latency and health after a successful attempt. It ejects
// a node that is far slower than the median of its service.
func (p *Picker) recordSuccess(pr *peer, took time.Duration, now time.Time) {
	pr.consecutiveFailures = 0
	pr.recordLatency(took, now)
	median := p.serviceMedian(pr)
	if median > 0 && took.Seconds() > slowRatioToEject*median {
		pr.consecutiveSlow++
	} else {
		pr.consecutiveSlow = 0
	}
	if pr.consecutiveSlow >= slowAttemptsToEject || pr.state == halfOpen && pr.consecutiveSlow > 0 {
		p.eject(pr, now)
		return
	}
	if pr.state == halfOpen {
		pr.state = healthy
		pr.stateUntil = now.Add(ejectTime(pr.ejections))
		return
	}
	if pr.state == healthy && pr.ejections > 0 && now.After(pr.stateUntil) {
		pr.ejections = 0
	}
}

func (p *Picker) serviceMedian(pr *peer) float64 {
	if s, found := p.services[pr.node.Service]; found {
		return s.median
	}
	return 0
}

// eject ejects a node, unless too many nodes of its service are ejected already.
// A half-open node is ejected again in any case.
func (p *Picker) eject(pr *peer, now time.Time) {
	pr.consecutiveFailures, pr.consecutiveSlow = 0, 0
	if pr.state == ejected {
		return
	}
	if pr.state != halfOpen && !p.mayEject(pr) {
		return
	}
	pr.ejections++
	pr.state = ejected
	pr.stateUntil = now.Add(ejectTime(pr.ejections))
}

// ejectTime returns the duration of the latest of the given number of ejections.
func ejectTime(ejections int) time.Duration {
	d := ejectTimeInitial
	for ; ejections > 1 && d < ejectTimeMax; ejections-- {
		d *= 2
	}
	return min(d, ejectTimeMax)
}

// mayEject reports whether another ejection keeps the share of ejected nodes
// within MaxEjectPercent. One node of a service with two or more may always be
// ejected.
func (p *Picker) mayEject(pr *peer) bool {
	s, found := p.services[pr.node.Service]
	if !found || len(s.peers) < 2 {
		return false
	}
	percent := p.cfg.Settings(pr.node.Service).MaxEjectPercent
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
