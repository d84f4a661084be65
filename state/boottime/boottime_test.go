package boottime_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/state/boottime"
)

// Guards against a reading of another clock or in another unit.
func TestNow(t *testing.T) {
	is := is.New(t)
	before, start := boottime.Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed := boottime.Now() - before
	is.True(elapsed >= 20*time.Millisecond)
	is.True(elapsed <= time.Since(start)+time.Millisecond) // read within the other interval
	is.True(before > 0)
}
