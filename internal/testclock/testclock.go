// Package testclock provides a clock for tests whose time of day jumps while its steady reading
// continues, as on a host whose time is set. Code that measures intervals with the steady reading
// of time.Time does not notice such a jump; code that stores or compares the time of day does.
//
// # Usage
//
//	clock := &testclock.Clock{}
//	c := feed.NewClient(feed.ClientConfig{Now: clock.Now, …})
//	clock.Step(-time.Hour)
package testclock

import (
	"sync/atomic"
	"time"
	"unsafe"
)

// Clock returns the current time with a time of day that Step changes. The zero value agrees with
// time.Now. It is safe for concurrent use.
type Clock struct{ offset atomic.Int64 } // seconds

// Step moves the time of day by d, which is rounded down to whole seconds. The steady reading is
// not affected.
func (c *Clock) Step(d time.Duration) { c.offset.Add(int64(d / time.Second)) }

// Now returns the current time.
func (c *Clock) Now() time.Time { return shiftTimeOfDay(time.Now(), c.offset.Load()) }

// wallSecondsShift is the position of the seconds in the first field of a time.Time with a steady
// reading. No function of package time changes only one of the two readings.
const wallSecondsShift = 30

func shiftTimeOfDay(t time.Time, seconds int64) time.Time {
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall += uint64(seconds) << wallSecondsShift
	return t
}
