// Package admission decides which requests may run on the upstream beside a
// node. The node is the only path to its upstream, so the number of requests in
// flight is exact, and a refusal is made before any byte reaches the upstream.
//
// The limit never exceeds the announced slots. It begins at one and grows by
// one after each full limit's worth of completions whose latency is in line
// with the usual one. It is lowered by answers that shed load, by a latency
// that rises suddenly, and by requests that are in flight far longer than
// usual, so that an upstream that stops answering is noticed without any
// completion. A new incarnation, a refused connection and a return to service
// put it back to one.
//
// Requests that find no free slot wait in a short first-in first-out queue. A
// request whose expected wait ends after its deadline is refused at once, so
// that the entry node can try another upstream.
//
// # Usage
//
//	g := admission.New(admission.Config{Clock: clock, QueueTimeout: 50 * time.Millisecond})
//	g.Announce(6, 200, mulberrylink.UpstreamUp, 1)
//
//	t, reason := g.Enter(ctx, r, false)
//	if t == nil {
//		return refuse(reason)
//	}
//	// send the request to the upstream
//	t.Sent()      // the request is complete: the latency is counted from here
//	t.Responded() // the first byte of the answer: up to here
//	// copy the answer to the caller
//	t.Done(admission.Completion{Class: admission.Success})
//
// Done must be called exactly once for every ticket; further calls have no
// effect.
package admission
