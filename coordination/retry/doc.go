// Package retry decides whether a request may be tried again, and when an
// idempotent request may be hedged.
//
// A service has one budget: every first try adds a share of a token, every
// further try (retry or hedge) takes a whole one. A small reserve that refills
// at a deadline lets services with little traffic retry at all. The number of
// tries beyond the first travels with a request, so tries do not multiply along
// a chain of calls.
//
// A request that is not idempotent is tried again only after NotRun. An
// idempotent one is tried again after Unknown as well, except when the upstream
// crashed on it. Nothing is tried again when the time left is shorter than the
// service usually needs.
//
// # Usage
//
//	b := retry.New(retry.Config{Clock: clock, Registry: metrics.NewRegistry(), Percent: percent})
//
//	b.First(r)
//	res := try(r)
//	for b.Retry(r, res, extra) {
//		extra++
//		res = try(r)
//	}
//	b.End(r, res)
package retry
