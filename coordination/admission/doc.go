// Package admission limits the requests in flight on the upstream beside a node.
// It serves the older data path of cmd/mulberrynode, with an adaptive concurrency
// limit per upstream and a first-in first-out queue. Package capacity admits
// requests in the data path of package gateway, where the queue is ordered by
// priority and deadline.
//
// The node is the only path to its upstream, so the number of requests in flight
// is exact, and a request is rejected before any byte reaches the upstream.
//
// The limit never exceeds the announced slots. It starts at one and is raised by
// one after as many completions as the limit whose latency is in line with the
// baseline; after a reset or a cut, and while the upstream announces itself as
// cold, it takes a multiple of that. The limit is cut when a response sheds load,
// when the latency rises suddenly, and when requests are in flight far longer than
// usual, so that an upstream that stops responding is detected without any
// completion. A new incarnation, a refused connection, a return to service and
// consecutive failures in a cold start reset the limit to one.
//
// Requests that find no free slot wait in the queue for a short time. A request
// that would get its slot only after its deadline is rejected at once, so that
// the entry node can choose another upstream.
//
// # Usage
//
//	g := admission.New(admission.Config{Clock: clock, QueueTimeout: 50 * time.Millisecond})
//	g.Announce(6, 200, mulberrylink.UpstreamUp, 1)
//
//	p, reason := g.Acquire(ctx, r, false)
//	if p == nil {
//		return reject(reason)
//	}
//	// send the request to the upstream
//	p.Sent()      // the request is sent in full: the latency starts here
//	p.Responded() // the first byte of the response: the latency ends here
//	// copy the response to the caller
//	p.Done(admission.Completion{Class: admission.Success})
//
// Done must be called exactly once for every permit; further calls have no
// effect.
package admission
