// Package controlplane carries the calls between nodes, operators and control
// hosts: watching the configuration, claims on idempotency keys, reports of
// nodes, and changes.
//
// # Usage
//
// A control host registers the methods of a Server:
//
//	s := controlplane.NewServer(controlplane.ServerConfig{Name: "c1", Log: log, Machine: machine, Now: time.Now})
//	for method, h := range s.Methods() {
//		rpcServer.Handle(method, h)
//	}
//
// A node or an operator's tool uses a Client:
//
//	c := controlplane.NewClient(pool, []string{"127.0.0.1:9001", "127.0.0.1:9002"})
//	for ctx.Err() == nil {
//		_ = c.Watch(ctx, have, adopt) // returns when the stream is lost
//	}
//	reply := c.Claim(ctx, controlplane.Claim{Service: "registry", Key: key, …})
//
// # Outcomes
//
// A call that changes state ends in a Status or a state enum, not in an error.
// Unavailable means that the call certainly did nothing. Indeterminate means
// that it may have taken effect, now or later. Every such call carries an
// identifier, so it may be sent again after either outcome.
package controlplane
