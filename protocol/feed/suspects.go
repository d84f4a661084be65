package feed

import (
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/suspect"
)

// suspectCursor is the position of one stream in the changes of a list of crash suspects.
type suspectCursor struct {
	list     *suspect.List // nil if none are sent
	revision uint64
}

// next appends the changes since the last call whose source is selected to notices. It returns a
// channel that is closed at the next change, nil without a list.
func (c *suspectCursor) next(notices *[]suspectNotice, selected func(source string) bool) <-chan struct{} {
	if c.list == nil {
		return nil
	}
	changes, revision, changed := c.list.ChangedSince(c.revision)
	c.revision = revision
	now := time.Now()
	for _, n := range changes {
		if selected(n.Source) {
			*notices = append(*notices, suspectNotice{
				Fingerprint: n.Fingerprint, Stage: n.Stage, RemainingMillis: n.RemainingMillis(now),
			})
		}
	}
	return changed
}

// mergeSuspects adds the notices of a peer to a list, which may be nil.
func mergeSuspects(l *suspect.List, source string, notices []suspectNotice) {
	if l == nil {
		return
	}
	now := time.Now()
	for _, n := range notices {
		l.MergeFrom(source, suspect.Notice{
			Fingerprint: n.Fingerprint, Stage: n.Stage, Until: now.Add(time.Duration(n.RemainingMillis) * time.Millisecond),
		})
	}
}
