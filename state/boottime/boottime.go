// Package boottime reads the clock that counts the time since the host was started. In contrast to the
// steady reading of time.Time, it goes on while the host is suspended, and in contrast to the time of
// day it never jumps. Readings of different hosts, or from before and after a restart of a host, have
// nothing to do with each other.
//
// # Usage
//
//	start := boottime.Now()
//	…
//	elapsed := boottime.Now() - start // includes the time spent suspended
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was started.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every supported kernel has the clock
	}
	return time.Duration(t.Nano())
}

// Clock reads the clock through a method, for interfaces of the packages that use it.
type Clock struct{}

// Now returns the time since the host was started.
func (Clock) Now() time.Duration { return Now() }
