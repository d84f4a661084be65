package testclock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/internal/testclock"
)

// Guards against a change of the layout of time.Time, after which Step would move both readings or
// none, and tests of clock jumps would pass without a jump.
func TestStepMovesOnlyTheTimeOfDay(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second} {
		is := is.New(t)
		clock := &testclock.Clock{}
		before := clock.Now()
		clock.Step(step)
		after := clock.Now()
		is.True(after.Sub(before) >= 0)
		is.True(after.Sub(before) < time.Second)
		jump := after.Round(0).Sub(before.Round(0))
		is.True(jump >= step)
		is.True(jump < step+time.Second)
	}
}
