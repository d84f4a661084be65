// Package controlplane implements the RPC protocol of the control hosts. Nodes use it to watch the
// configuration, to claim idempotency keys and to report their state. Operators use it to change the
// configuration, to query status and history, and to add and remove control hosts. The package also
// carries the messages of the replicated log between control hosts (Links).
//
// # Usage
//
// A control host registers the methods of a Server with an RPC server:
//
//	s := controlplane.NewServer(controlplane.ServerConfig{Name: "c1", Log: log, Machine: machine, Now: time.Now})
//	for method, h := range s.Methods() {
//		rpcServer.Handle(method, h)
//	}
//
// Nodes and operator tools use a Client:
//
//	c := controlplane.NewClient(pool, []string{"127.0.0.1:9001", "127.0.0.1:9002"})
//	for ctx.Err() == nil {
//		_ = c.Watch(ctx, knownVersion, onVersion) // returns when the stream is lost
//	}
//	reply := c.Claim(ctx, controlplane.Claim{Service: "registry", Key: key, …})
//
// # Outcomes
//
// A call that changes replicated state returns a Status, a ClaimState or an ApplyState instead of an
// error. Unavailable means that the call had no effect and will have none. Indeterminate means that it
// may have taken effect, or may still do so. Each of these calls carries an identifier that makes it
// idempotent, so it may be retried after either outcome.
package controlplane
