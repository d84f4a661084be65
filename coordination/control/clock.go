package control

import (
	"sync"
	"time"
)

// Clock makes the times that a leader stamps commands with. It continues from
// the time of the machine and counts only elapsed time, so a wall clock that
// jumps or starts wrong expires no claim early. Time in which no host ran is
// not counted, which only delays expiry.
type Clock struct {
	machine *Machine
	now     func() time.Time

	mu         sync.Mutex
	lastMicros int64
	lastRead   time.Time
}

// NewClock returns a clock for m. The function now is the clock of the host;
// only differences between its results are used, except for the very first
// command of a deployment.
func NewClock(m *Machine, now func() time.Time) *Clock {
	return &Clock{machine: m, now: now}
}

// Micros returns the time in microseconds since 1970, as commands carry it.
func (c *Clock) Micros() int64 {
	t, now := c.machine.Time(), c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	advanced := c.lastMicros + now.Sub(c.lastRead).Microseconds()
	switch {
	case c.lastMicros == 0 && t == 0:
		t = now.UnixMicro()
	case c.lastMicros != 0 && t < advanced:
		t = advanced
	}
	c.lastMicros, c.lastRead = t, now
	return t
}
