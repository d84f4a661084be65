// Package mulberrylink defines the types that the packages of the load balancer share: requests and
// their results, the load of an upstream, and the membership record of a node.
//
// The packages below coordination depend on this package and on nothing that opens a socket. Each
// of them takes its clock, randomness, transport and disk through small interfaces, so that it can
// be embedded in another program and tested with a fixed seed.
//
// # Usage
//
// An embedding program builds a [Request], passes it to the dispatcher of package
// coordination/dispatch and acts on the [Result]:
//
//	res := d.Do(ctx, req)
//	switch res.Outcome {
//	case mulberrylink.Answered:
//		// res.Answer is the response of the upstream.
//	case mulberrylink.NotRun:
//		// No upstream has started the request: it is safe to send it again.
//	case mulberrylink.Unknown:
//		// The request may have run: only an idempotent one may be sent again.
//	}
package mulberrylink
