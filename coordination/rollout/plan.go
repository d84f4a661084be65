package rollout

import (
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/document"
)

const (
	// shortest is the duration from which the times of a plan are used in full. They are scaled down for
	// shorter rollouts.
	shortest = 12 * time.Second
	// margin is the time from the planned completion to the deadline. A lost leader is replaced within
	// 1.5 s, and the new one needs reports.
	margin = 2500 * time.Millisecond
	// hold is the planned time with the full share before the completion, and minHold the least: the last
	// step reaches the nodes within 1 s, and requests on the old upstreams must end before those stop.
	hold    = 1600 * time.Millisecond
	minHold = 1300 * time.Millisecond
	// stepTime is the time between two steps of the share, and lastStepTime that before the full share: the
	// old version must still get requests when the results at half of the load arrive, about 0.5 s after the
	// requests. minStepTime applies when time is short.
	stepTime     = 300 * time.Millisecond
	lastStepTime = 700 * time.Millisecond
	minStepTime  = 120 * time.Millisecond
	// settleTime is how long a leader must have reports before it increases the share with less than
	// minResults results of the new version. With so few the ramp starts by lateTime later.
	settleTime = 600 * time.Millisecond
	lateTime   = 1200 * time.Millisecond
	// skipTime is the time after a decrease of the share in which the versions are not compared: the late
	// results of earlier requests are slow ones, and more of them are of the new version. recheckTime is
	// the least time at backShare.
	skipTime    = 500 * time.Millisecond
	recheckTime = 800 * time.Millisecond
	// reserveTime is kept between the last possible completion and the deadline.
	reserveTime = 500 * time.Millisecond
)

// ramp is the shares in permille after the share of a version that is not trusted.
var ramp = []int{100, 250, 500, document.FullShare}

// backShare is the share after the full one showed bad results.
const backShare = 300

// plan holds the points in time of a rollout as times before its deadline.
type plan struct {
	complete, ramp, lateRamp                                             time.Duration
	hold, minHold, step, lastStep, minStep, settle, skip, recheck, spare time.Duration
}

func newPlan(duration time.Duration) plan {
	scale := min(1, float64(duration)/float64(shortest))
	scaled := func(d time.Duration) time.Duration { return time.Duration(scale * float64(d)) }
	p := plan{
		complete: scaled(margin), hold: scaled(hold), minHold: scaled(minHold), step: scaled(stepTime), lastStep: scaled(lastStepTime), minStep: scaled(minStepTime),
		settle: scaled(settleTime), skip: scaled(skipTime), recheck: scaled(recheckTime), spare: scaled(reserveTime),
	}
	p.ramp = p.complete + p.hold + time.Duration(len(ramp)-2)*p.step + p.lastStep
	p.lateRamp = p.ramp - scaled(lateTime)
	return p
}

// missingSteps returns the number of steps from a share to the full one.
func missingSteps(share int) int {
	n := 0
	for _, s := range ramp {
		if s > share {
			n++
		}
	}
	return n
}

// lastCall returns the time before the deadline by which the ramp must go on, or end.
func (p *plan) lastCall(steps int) time.Duration {
	return p.minHold + p.spare + time.Duration(steps)*p.minStep
}

// stepAfter returns the time between two steps of the share when left remains until the deadline and
// steps are missing to the full share.
func (p *plan) stepAfter(left time.Duration, steps int) time.Duration {
	spare := (left - p.minHold - p.spare) / time.Duration(max(1, steps))
	planned := p.step
	if steps == 1 {
		planned = p.lastStep
	}
	return max(p.minStep, min(planned, spare))
}
