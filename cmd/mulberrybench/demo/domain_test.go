package demo

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
)

// Guards against a check of the failure domain that looks at other domains or
// at executions outside the interval.
func TestStillness(t *testing.T) {
	is := is.New(t)
	out := time.Unix(1000, 0)
	back := out.Add(8 * time.Second)
	at := func(name string, after time.Duration) journal.Entry {
		return journal.Entry{Upstream: name, Time: out.Add(after)}
	}
	inside := map[string]bool{"a": true, "b": false}
	lines := []journal.Entry{
		at("a", -time.Second), at("a", 2*time.Second), at("b", 5*time.Second), at("b", 8100*time.Millisecond),
		at("a", 9*time.Second), at("a", 8500*time.Millisecond),
	}
	last, first := stillness(lines, inside, out, back)
	is.True(worked(lines, inside, out))
	is.True(!worked(lines[1:], inside, out))
	is.Equal(last, 2*time.Second)
	is.Equal(first, 500*time.Millisecond)
	_, first = stillness(nil, inside, out, back)
	is.Equal(first, time.Duration(-1))
}
