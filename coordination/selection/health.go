package selection

import (
	"net/http"
	"time"

	"github.com/mulberrylink/mulberrylink"
)

// Constants of outlier ejection.
const (
	failuresToEject = 3   // in a row
	slowToEject     = 5.0 // times the median latency of the service
	slowInRow       = 5   // tries above it
	ejectFirst      = 500 * time.Millisecond
	ejectMax        = 30 * time.Second
)

type healthState uint8

const (
	healthy healthState = iota
	ejected
	trial
)

// health is the outlier state of one node.
type health struct {
	state    healthState
	failures int // in a row
	slow     int // tries in a row far above the median
	times    int // ejections, forgotten after a good time as long as the last one
	until    time.Time
	trials   int
}

// open reports whether the node may be chosen now. After an ejection it may be
// chosen for one request at a time until one succeeds.
func (e *peer) open(now time.Time) bool {
	if now.Before(e.closedTo) {
		return false
	}
	switch e.state {
	case ejected:
		return !now.Before(e.until)
	case trial:
		return e.trials == 0
	default:
		return true
	}
}

// judge updates the health of a node after a try. reached is true when the
// admitting node itself has answered.
func (p *Picker) judge(e *peer, res mulberrylink.Result, reached bool, took time.Duration, now time.Time) {
	switch {
	case failed(res, reached):
		e.failures++
		if e.state == trial || e.failures >= failuresToEject {
			p.eject(e, now)
		}
	case res.Outcome == mulberrylink.Answered:
		p.succeeded(e, took, now)
	}
}

// failed reports whether the try counts as a failure of the node. Refusals by a
// full or leaving node are reports of its load, not failures.
func failed(res mulberrylink.Result, reached bool) bool {
	switch res.Outcome {
	case mulberrylink.Answered:
		return res.Answer != nil && res.Answer.Status >= http.StatusInternalServerError
	case mulberrylink.NotRun:
		return !reached || res.Reason == mulberrylink.ReasonConnect
	default:
		return true
	}
}

func (p *Picker) succeeded(e *peer, took time.Duration, now time.Time) {
	e.failures = 0
	e.observeLatency(took, now)
	mid := p.medianOf(e)
	if mid > 0 && took.Seconds() > slowToEject*mid {
		e.slow++
	} else {
		e.slow = 0
	}
	if e.slow >= slowInRow || e.state == trial && e.slow > 0 {
		p.eject(e, now)
		return
	}
	if e.state == trial {
		e.state = healthy
		e.until = now.Add(ejectFor(e.times))
		return
	}
	if e.state == healthy && e.times > 0 && now.After(e.until) {
		e.times = 0
	}
}

func (p *Picker) medianOf(e *peer) float64 {
	if s, found := p.services[e.node.Service]; found {
		return s.median
	}
	return 0
}

// eject takes a node out, unless too many nodes of its service are out already.
func (p *Picker) eject(e *peer, now time.Time) {
	e.failures, e.slow = 0, 0
	if e.state == ejected {
		return
	}
	if e.state != trial && !p.mayEject(e) {
		return
	}
	e.times++
	e.state = ejected
	e.until = now.Add(ejectFor(e.times))
}

func ejectFor(times int) time.Duration {
	d := ejectFirst
	for ; times > 1 && d < ejectMax; times-- {
		d *= 2
	}
	return min(d, ejectMax)
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
	out := 0
	for _, o := range s.peers {
		if o.state != healthy {
			out++
		}
	}
	return out < max(1, len(s.peers)*percent/100)
}
