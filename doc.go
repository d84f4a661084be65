// Package mulberrylink holds the types that every part of the load balancer
// shares: what a caller asked for, what became of it, how loaded an upstream
// is, and what is known about a node.
//
// The coordination parts live in sub-packages of coordination and depend on
// this package and on nothing that opens a socket. Each of them takes time,
// randomness, transport and disk through small interfaces, so it can be
// embedded in another program and tested under a fixed seed.
//
// # Usage
//
// An embedding program builds a [Request], hands it to the dispatcher of
// package coordination/dispatch and acts on the [Result]:
//
//	res := d.Do(ctx, req)
//	switch res.Outcome {
//	case mulberrylink.Answered:
//		// res.Answer holds the upstream's whole answer.
//	case mulberrylink.NotRun:
//		// No upstream has started the request: it is safe to send it again.
//	case mulberrylink.Unknown:
//		// The request may have run: only an idempotent one may be sent again.
//	}
package mulberrylink
