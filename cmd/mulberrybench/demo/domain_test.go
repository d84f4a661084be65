package demo

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
)

// Guards against a check of the failure domain that counts executions in other domains or outside of
// the interval in which the domain was out of service.
func TestDomainDelays(t *testing.T) {
	is := is.New(t)
	removed := time.Unix(1000, 0)
	returned := removed.Add(8 * time.Second)
	entryAt := func(name string, after time.Duration) journal.Entry {
		return journal.Entry{Upstream: name, Time: removed.Add(after)}
	}
	inDomain := map[string]bool{"a": true, "b": false}
	entries := []journal.Entry{
		entryAt("a", -time.Second), entryAt("a", 2*time.Second), entryAt("b", 5*time.Second), entryAt("b", 8100*time.Millisecond),
		entryAt("a", 9*time.Second), entryAt("a", 8500*time.Millisecond),
	}
	last, first := domainDelays(entries, inDomain, removed, returned)
	is.True(executedBefore(entries, inDomain, removed))
	is.True(!executedBefore(entries[1:], inDomain, removed))
	is.Equal(last, 2*time.Second)
	is.Equal(first, 500*time.Millisecond)
	_, first = domainDelays(nil, inDomain, removed, returned)
	is.Equal(first, time.Duration(-1))
}
