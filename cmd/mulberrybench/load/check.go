package load

import (
	"fmt"
	"time"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
)

// Verdict is the result of comparing the outcomes that callers got with the journals.
type Verdict struct {
	// Duplicates counts keyed requests that ran more than once.
	Duplicates int
	// FalseNotRun counts requests that ran although every attempt had the outcome NotRun.
	FalseNotRun int
	// NeverRan counts requests that got a response of an upstream although none ran them.
	NeverRan int
	// Wrong counts attempts with the outcome Wrong.
	Wrong int
	// Executions counts the entries of the journals.
	Executions int
	// Notes describes the first few violations.
	Notes []string
}

// maxNotes bounds the number of violations that a verdict describes.
const maxNotes = 5

// OK reports whether there is no violation.
func (v Verdict) OK() bool { return v.Duplicates+v.FalseNotRun+v.NeverRan+v.Wrong == 0 }

// String returns one line of key=value pairs.
func (v Verdict) String() string {
	return fmt.Sprintf("executions=%d duplicates=%d untrue=%d phantoms=%d wrong=%d", v.Executions, v.Duplicates, v.FalseNotRun, v.NeverRan, v.Wrong)
}

// Check compares the calls of a report with the entries of all journals. The report must contain
// every call whose token occurs in the journals.
func Check(rep *Report, entries []journal.Entry) Verdict {
	executions := make(map[string]int)
	for _, e := range entries {
		executions[e.Service+" "+e.Method+" "+e.Path]++
	}
	v := Verdict{Executions: len(entries)}
	for _, c := range rep.Calls {
		r := rep.Routes[c.Route].Route
		v.checkCall(c, r, executions[r.Service+" "+r.Method+" "+c.Target(r)])
	}
	v.checkKeys(entries)
	return v
}

func (v *Verdict) checkCall(c Call, r Route, executions int) {
	attemptCounts := make(map[Outcome]int)
	for _, a := range c.Attempts {
		attemptCounts[a.Outcome]++
		if a.Outcome == Wrong {
			v.Wrong++
			v.addNote("wrong response to %s %s from %s: %s", r.Name(), c.Token, a.EntryAddr, a.Note)
		}
	}
	if attemptCounts[NotRun] == len(c.Attempts) && executions > 0 {
		v.FalseNotRun++
		v.addNote("%s %s was reported as not run (%s) by %s but ran %d times", r.Name(), c.Token, c.Last().Reason, c.Last().EntryAddr, executions)
	}
	if attemptCounts[Answered]+attemptCounts[Failed] > 0 && executions == 0 {
		v.NeverRan++
		v.addNote("%s %s got a response of an upstream but never ran", r.Name(), c.Token)
	}
}

// checkKeys compares the keys of executions instead of calls, so that it finds a duplicate even if
// the path of the request was altered in transit.
func (v *Verdict) checkKeys(entries []journal.Entry) {
	firstByKey := make(map[string]journal.Entry)
	for _, e := range entries {
		if e.Key == "" {
			continue
		}
		serviceKey := e.Service + " " + e.Key
		earlier, ok := firstByKey[serviceKey]
		if !ok {
			firstByKey[serviceKey] = e
			continue
		}
		v.Duplicates++
		v.addNote("key %s ran on %s at %s and on %s at %s", serviceKey, earlier.Upstream, earlier.Time.Format(time.RFC3339Nano), e.Upstream, e.Time.Format(time.RFC3339Nano))
	}
}

func (v *Verdict) addNote(format string, args ...any) {
	if len(v.Notes) < maxNotes {
		v.Notes = append(v.Notes, fmt.Sprintf(format, args...))
	}
}
