// Package dispatch runs a request at its entry node, in the older data path of
// cmd/mulberrynode: it bounds the call depth, claims the idempotency key, chooses
// a node, forwards the request, retries and hedges it within the retry budget,
// and reports the outcome.
//
// The result is NotRun only if it is certain that no attempt was run. After any
// attempt with an unknown outcome the result is Answered or Unknown. A request
// that is not idempotent is retried only while no attempt was run.
//
// # Claims
//
// A request with an idempotency key on a keyed route is claimed before its first
// byte is sent. A granted claim is released only when the request is not run.
// While another request with the same fingerprint holds the claim, the dispatcher
// polls the claim until the deadline and then reports Unknown with reason
// pending. If the state of the claim stays indeterminate, the dispatcher tries to
// release it and reports NotRun, because nothing has been sent. A request without
// a key on a keyed route is sent once and never retried.
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
