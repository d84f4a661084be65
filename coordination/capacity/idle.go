package capacity

import (
	"math"
	"time"
)

// idleWindow is the time constant of the average share of time in which the upstream runs nothing.
const idleWindow = 2 * time.Second

// idleMeter measures the share of time in which the upstream runs nothing.
type idleMeter struct {
	share     float64
	idle      bool
	updatedAt time.Time
}

// update accounts for the time since the last change, and records whether the upstream is idle from now.
func (m *idleMeter) update(idle bool, now time.Time) {
	if !m.updatedAt.IsZero() {
		target := 0.0
		if m.idle {
			target = 1
		}
		m.share += (1 - math.Exp(-float64(now.Sub(m.updatedAt))/float64(idleWindow))) * (target - m.share)
	}
	m.idle, m.updatedAt = idle, now
}

// IdleShare returns whether the upstream runs nothing, and in which share of the recent time it did so.
func (c *Controller) IdleShare() (idle bool, share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle.update(c.running == 0, c.now())
	return c.idle.idle, c.idle.share
}
