// Package forward carries a request from the entry node to the admitting node
// and its response back, over drpc.
//
// An exchange is one attempt of a request and uses one stream. The entry node
// sends an open frame. The admitting node sends an admitted or a rejected frame
// before it reads the body, and then the response, whose last frame marks its end.
// Both sides send heartbeats meanwhile, so that either detects a connection on
// which nothing arrives any more.
//
// When the connection of an exchange is cut or nothing arrives on it, the entry
// node resolves the exchange over a new connection. An admitting node that knows
// the exchange reports its state. One that has never seen it fences it: it will
// reject the exchange if it still arrives, which proves that the request was not
// and will not be run. Exchanges are identified by the request identifier and the
// attempt number.
//
// # Usage
//
// The admitting node registers the methods with its drpc server:
//
//	s := forward.NewServer(forward.ServerConfig{Runner: r})
//	s.Register(rpcServer.Handle)
//
// The entry node forwards requests through a client:
//
//	c := forward.NewClient(forward.ClientConfig{Pool: pool})
//	res := c.Forward(ctx, node, req, attempt, false)
//
// The body of a response must be closed. It returns io.EOF only after the end
// mark, and only if as many bytes arrived as the response declared.
package forward
