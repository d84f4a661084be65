package demo

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/deployment"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
)

// checkDomain checks that the last execution in the failure domain started within outTarget of its
// removal, and that executions resumed within returnTarget of its return.
func (m *demo) checkDomain(entries []journal.Entry) {
	if m.outSubmitted.IsZero() || m.returnSubmitted.IsZero() {
		return // a change failed, which is already reported as a fault
	}
	out := m.spec.OutDomain()
	inDomain := make(map[string]bool)
	for _, u := range m.d.OfKind(deployment.KindUpstream) {
		inDomain[u.Name] = u.Domain == out
	}
	if !executedBefore(entries, inDomain, m.outSubmitted) {
		m.addFault(errors.Newf("failure domain %s got no requests before it was taken out of service, so its check proves nothing", out))
	}
	last, back := domainDelays(entries, inDomain, m.outSubmitted, m.returnSubmitted)
	m.print("step=domain domain=%s last_execution_after_out=%s first_execution_after_return=%s",
		out, last.Round(time.Millisecond), back.Round(time.Millisecond))
	if last > outTarget {
		m.addFault(errors.Newf("failure domain %s got new requests %s after it was taken out of service (target %s)", out, last, outTarget))
	}
	if back < 0 || back > returnTarget {
		m.addFault(errors.Newf("failure domain %s got no requests within %s of its return", out, returnTarget))
	}
}

// executedBefore reports whether an execution in the domain started before cutoff.
func executedBefore(entries []journal.Entry, inDomain map[string]bool, cutoff time.Time) bool {
	return slices.ContainsFunc(entries, func(e journal.Entry) bool {
		return inDomain[e.Upstream] && e.Time.Before(cutoff)
	})
}

// domainDelays returns the time from out to the last execution in the domain that started between
// out and back, or 0 if there was none, and the time from back to the first execution that started
// after back, or -1 if there was none.
func domainDelays(entries []journal.Entry, inDomain map[string]bool, out, back time.Time) (last, first time.Duration) {
	first = -1
	for _, e := range entries {
		if !inDomain[e.Upstream] {
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
