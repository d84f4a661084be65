package load

import (
	"fmt"
	"time"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
)

// Verdict is the comparison of what callers were told with the journals.
type Verdict struct {
	// Duplicates counts keyed requests that ran more than once.
	Duplicates int
	// FalseNotRun counts requests of which every send was answered as not run,
	// although one ran.
	FalseNotRun int
	// NeverRan counts answered requests that no upstream ran.
	NeverRan int
	// Wrong counts answers that were incomplete, altered or not the caller's.
	Wrong int
	// Executions counts the lines of the journals.
	Executions int
	// Notes describe the first few faults.
	Notes []string
}

// maxNotes bounds the faults that a verdict describes.
const maxNotes = 5

// OK reports whether no fault was found.
func (v Verdict) OK() bool { return v.Duplicates+v.FalseNotRun+v.NeverRan+v.Wrong == 0 }

// String returns one line of key=value pairs.
func (v Verdict) String() string {
	return fmt.Sprintf("executions=%d duplicates=%d untrue=%d phantoms=%d wrong=%d", v.Executions, v.Duplicates, v.FalseNotRun, v.NeverRan, v.Wrong)
}

// Check compares calls with the entries of all journals. The calls must hold
// every request that was sent with these tokens.
func Check(rep *Report, entries []journal.Entry) Verdict {
	runs := make(map[string]int)
	for _, e := range entries {
		runs[e.Service+" "+e.Method+" "+e.Path]++
	}
	v := Verdict{Executions: len(entries)}
	for _, c := range rep.Calls {
		r := rep.Routes[c.Route].Route
		v.checkCall(c, r, runs[r.Service+" "+r.Method+" "+c.Target(r)])
	}
	v.checkKeys(entries)
	return v
}

func (v *Verdict) checkCall(c Call, r Route, runs int) {
	told := make(map[Outcome]int)
	for _, s := range c.Attempts {
		told[s.Outcome]++
		if s.Outcome == Wrong {
			v.Wrong++
			v.note("wrong answer to %s %s from %s: %s", r.Name(), c.Token, s.EntryAddr, s.Note)
		}
	}
	if told[NotRun] == len(c.Attempts) && runs > 0 {
		v.FalseNotRun++
		v.note("%s %s was answered as not run (%s) by %s but ran %d times", r.Name(), c.Token, c.Last().Reason, c.Last().EntryAddr, runs)
	}
	if told[Answered]+told[Failed] > 0 && runs == 0 {
		v.NeverRan++
		v.note("%s %s was answered but never ran", r.Name(), c.Token)
	}
}

// checkKeys counts executions instead of calls, so that a duplicate is found
// even when the caller's address of the request was altered on the way.
func (v *Verdict) checkKeys(entries []journal.Entry) {
	first := make(map[string]journal.Entry)
	for _, e := range entries {
		if e.Key == "" {
			continue
		}
		id := e.Service + " " + e.Key
		old, ok := first[id]
		if !ok {
			first[id] = e
			continue
		}
		v.Duplicates++
		v.note("key %s ran on %s at %s and on %s at %s", id, old.Upstream, old.Time.Format(time.RFC3339Nano), e.Upstream, e.Time.Format(time.RFC3339Nano))
	}
}

func (v *Verdict) note(format string, args ...any) {
	if len(v.Notes) < maxNotes {
		v.Notes = append(v.Notes, fmt.Sprintf(format, args...))
	}
}
