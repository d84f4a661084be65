package upstream

import (
	"sync"
	"time"
)

// coldStart tracks whether the upstream is cold, and whether it is stalled because too many
// requests ran at a time while it was cold.
type coldStart struct {
	mu              sync.Mutex
	cfg             ColdSettings
	endsAt          time.Time
	completionsLeft int // until the cold start ends
	cold            bool
	stalledUntil    time.Time // every request until then gets 500
	overloads       int
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
	c.endsAt = now.Add(c.cfg.Duration)
	c.completionsLeft = c.cfg.Completions
}

// active reports whether the upstream is cold.
func (c *coldStart) active(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activeLocked(now)
}

func (c *coldStart) activeLocked(now time.Time) bool {
	if c.cold && !now.Before(c.endsAt) {
		c.cold = false
	}
	return c.cold
}

// recordCompletion counts a completed request, and ends the cold start when the configured number
// of requests has completed.
func (c *coldStart) recordCompletion() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.Completions == 0 {
		return
	}
	if c.completionsLeft--; c.completionsLeft <= 0 {
		c.cold = false
	}
}

// admit reports whether a request may run; running is the number of running requests including it.
// A cold upstream is overloaded if too many run. If crash is true, the caller must end the process.
func (c *coldStart) admit(now time.Time, running int) (ok, crash bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.stalledUntil) {
		return false, false
	}
	if !c.activeLocked(now) || running <= c.cfg.Slots || c.cfg.OnOverload == "none" {
		return true, false
	}
	c.overloads++
	if c.cfg.OnOverload == "crash" {
		return false, true
	}
	// After an overload the cold start begins again.
	c.stalledUntil = now.Add(c.cfg.Stall)
	c.endsAt = c.stalledUntil.Add(c.cfg.Duration)
	c.completionsLeft = c.cfg.Completions
	return false, false
}

func (c *coldStart) overloadCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overloads
}
