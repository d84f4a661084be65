// Package retry decides whether a request may be retried, and when an idempotent request may
// be hedged.
//
// Each service has a retry budget, a token bucket: the first attempt of each request adds a
// fraction of a token, and each extra attempt (a retry or a hedged request) takes a whole
// one. A small reserve that refills at an interval permits some retries to services with
// little traffic. The number of extra attempts travels with a request, so that attempts do
// not multiply along a chain of calls.
//
// A request that is not idempotent is retried only after NotRun. An idempotent request is
// also retried after Unknown, unless the upstream crashed while it ran. No request is retried
// when the remaining time is shorter than the median latency of the service.
//
// # Usage
//
//	b := retry.New(retry.Config{Clock: clock, Registry: metrics.NewRegistry(), Percent: percent})
//
//	b.RecordRequest(r)
//	res := attempt(r)
//	for b.AllowRetry(r, res, extra) {
//		extra++
//		res = attempt(r)
//	}
//	b.RecordResult(r, res)
package retry
