package demo

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/deployment"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
)

// checkDomain checks that the failure domain got no new work once the change
// was accepted and a bound had passed, and that work came back.
func (m *demo) checkDomain(lines []journal.Entry) {
	if m.outAt.IsZero() || m.backAt.IsZero() {
		return // the change itself failed and is a fault already
	}
	out := m.spec.OutDomain()
	inside := make(map[string]bool)
	for _, u := range m.d.OfKind(deployment.KindUpstream) {
		inside[u.Name] = u.Domain == out
	}
	if !worked(lines, inside, m.outAt) {
		m.fault(errors.Newf("failure domain %s got no work before it was taken out, so the check shows nothing", out))
	}
	last, back := stillness(lines, inside, m.outAt, m.backAt)
	m.print("step=domain domain=%s last_execution_after_out=%s first_execution_after_return=%s",
		out, last.Round(time.Millisecond), back.Round(time.Millisecond))
	if last > outTarget {
		m.fault(errors.Newf("failure domain %s got new work %s after it was taken out (target %s)", out, last, outTarget))
	}
	if back < 0 || back > backTarget {
		m.fault(errors.Newf("failure domain %s got no work within %s of its return", out, backTarget))
	}
}

// worked reports whether an execution inside started before out.
func worked(lines []journal.Entry, inside map[string]bool, out time.Time) bool {
	return slices.ContainsFunc(lines, func(e journal.Entry) bool {
		return inside[e.Upstream] && e.Time.Before(out)
	})
}

// stillness returns how long after out the last execution inside started, and
// how long after back the first one did; -1 when there was none.
func stillness(lines []journal.Entry, inside map[string]bool, out, back time.Time) (last, first time.Duration) {
	first = -1
	for _, e := range lines {
		if !inside[e.Upstream] {
			continue
		}
		if e.Time.After(out) && e.Time.Before(back) {
			last = max(last, e.Time.Sub(out))
		}
		if e.Time.After(back) && (first < 0 || e.Time.Sub(back) < first) {
			first = e.Time.Sub(back)
		}
	}
	return last, first
}
