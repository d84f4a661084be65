// Package dispatch runs the lifecycle of a request at its entry node: bounds
// the call depth, claims an idempotency key, chooses a node, tries, tries again
// within the budget, hedges, and reports a truthful outcome.
//
// The result is NotRun only if every try was provably not run. After any try
// with an unknown outcome the result is Answered or Unknown. A request that is
// not idempotent is tried again only while all its tries were not run.
//
// # Claims
//
// A request on a keyed route with a key is claimed before its first byte is
// sent. The claim is released only when the request ends as not run. While
// another request holds the claim with the same fingerprint, the dispatcher
// asks again until the deadline and then reports Unknown with reason pending. A
// claim whose state stays indeterminate is released as far as possible and the
// request is refused, because nothing has been sent. A request on a keyed route
// without a key is sent once and never again.
//
// # Usage
//
//	d := dispatch.New(dispatch.Config{
//		Clock: clock, Forwarder: forwarder, Claimer: claims,
//		Picker: picker, Suspects: suspects, Budget: budgets,
//	})
//	res := d.Do(ctx, r)
//	if res.Answer != nil {
//		defer res.Answer.Body.Close()
//	}
package dispatch
