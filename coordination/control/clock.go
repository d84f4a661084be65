package control

import (
	"sync"
	"time"
)

// Clock provides the timestamps that a leader puts into commands. It continues from the time of
// the machine and adds only elapsed time, so a wall clock that jumps or is wrong at the start
// does not make claims expire early. Time during which no host ran is not counted, which only
// delays expiry.
type Clock struct {
	machine *Machine
	now     func() time.Time

	mu         sync.Mutex
	lastMicros int64
	lastRead   time.Time
}

// NewClock returns a clock for m. The function now reads the wall clock of the host; only
// differences between its results are used, except for the first command of a deployment.
func NewClock(m *Machine, now func() time.Time) *Clock {
	return &Clock{machine: m, now: now}
}

// Micros returns the time for Command.Now in microseconds since the Unix epoch.
func (c *Clock) Micros() int64 {
	t, now := c.machine.Time(), c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	advanced := c.lastMicros + now.Sub(c.lastRead).Microseconds()
	switch {
	case c.lastMicros == 0 && t == 0:
		t = now.UnixMicro() //nolint:forbidigo // start of the count; from then on only elapsed time is added
	case c.lastMicros != 0 && t < advanced:
		t = advanced
	}
	c.lastMicros, c.lastRead = t, now
	return t
}
