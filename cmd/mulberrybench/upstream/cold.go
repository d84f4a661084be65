package upstream

import (
	"sync"
	"time"
)

// coldStart tracks whether the upstream is cold and whether it has fallen
// over because too many requests ran while it was.
type coldStart struct {
	mu      sync.Mutex
	cfg     ColdSettings
	until   time.Time
	left    int // completions that still end the cold start
	cold    bool
	stalled time.Time // answers 500 until then
	falls   int
}

func newColdStart(cfg ColdSettings, now time.Time) *coldStart {
	c := &coldStart{cfg: cfg}
	c.restart(now)
	return c
}

// restart begins a cold start.
func (c *coldStart) restart(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cold = c.cfg.Duration > 0
	c.until = now.Add(c.cfg.Duration)
	c.left = c.cfg.Completions
}

// active reports whether the upstream is cold.
func (c *coldStart) active(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activeLocked(now)
}

func (c *coldStart) activeLocked(now time.Time) bool {
	if c.cold && !now.Before(c.until) {
		c.cold = false
	}
	return c.cold
}

// completed counts a completed request.
func (c *coldStart) completed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.Completions == 0 {
		return
	}
	if c.left--; c.left <= 0 {
		c.cold = false
	}
}

// check reports whether a request may run beside running-1 others. When too
// many run in a cold start, the upstream falls over; with crash set, the caller
// must end the process.
func (c *coldStart) check(now time.Time, running int) (ok, crash bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.stalled) {
		return false, false
	}
	if !c.activeLocked(now) || running <= c.cfg.Slots || c.cfg.OnOverload == "none" {
		return true, false
	}
	c.falls++
	if c.cfg.OnOverload == "crash" {
		return false, true
	}
	// A server that fell over begins its cold start again.
	c.stalled = now.Add(c.cfg.Stall)
	c.until = c.stalled.Add(c.cfg.Duration)
	c.left = c.cfg.Completions
	return false, false
}

func (c *coldStart) fallCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.falls
}
