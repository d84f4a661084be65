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
		return // a change failed, and the failure is already recorded
	}
	domain := m.spec.OutDomain()
	inDomain := make(map[string]bool)
	for _, u := range m.d.OfKind(deployment.KindUpstream) {
		inDomain[u.Name] = u.Domain == domain
	}
	if !executedBefore(entries, inDomain, m.outSubmitted) {
		m.recordFailure(errors.Newf("failure domain %s got no requests before it was taken out of service, so its check proves nothing", domain))
	}
	last, first := domainDelays(entries, inDomain, m.outSubmitted, m.returnSubmitted)
	m.print("step=domain domain=%s last_execution_after_out=%s first_execution_after_return=%s",
		domain, last.Round(time.Millisecond), first.Round(time.Millisecond))
	if last > outTarget {
		m.recordFailure(errors.Newf("failure domain %s got new requests %s after it was taken out of service (target %s)", domain, last, outTarget))
	}
	if first < 0 || first > returnTarget {
		m.recordFailure(errors.Newf("failure domain %s got no requests within %s of its return", domain, returnTarget))
	}
}

// executedBefore reports whether an execution in the domain started before cutoff.
func executedBefore(entries []journal.Entry, inDomain map[string]bool, cutoff time.Time) bool {
	return slices.ContainsFunc(entries, func(e journal.Entry) bool {
		return inDomain[e.Upstream] && e.Time.Before(cutoff)
	})
}

// domainDelays returns the time from removed to the last execution in the domain that started between
// removed and returned, or 0 if there was none, and the time from returned to the first execution
// that started after it, or -1 if there was none.
func domainDelays(entries []journal.Entry, inDomain map[string]bool, removed, returned time.Time) (last, first time.Duration) {
	first = -1
	for _, e := range entries {
		if !inDomain[e.Upstream] {
			continue
		}
		if e.Time.After(removed) && e.Time.Before(returned) {
			last = max(last, e.Time.Sub(removed))
		}
		if e.Time.After(returned) && (first < 0 || e.Time.Sub(returned) < first) {
			first = e.Time.Sub(returned)
		}
	}
	return last, first
}
