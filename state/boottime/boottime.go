// Package boottime reads the clock of the kernel that counts the time since boot. It never jumps, and
// unlike the steady reading of a time.Time it includes the time during which the host was suspended, so
// that a deadline also passes then.
//
// # Usage
//
//	expiry := boottime.Now() + 300*time.Millisecond
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was booted. Readings of different hosts are unrelated.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported kernel has the clock
	}
	return time.Duration(ts.Nano())
}
