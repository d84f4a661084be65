// Package forward carries one request from the entry node to the admitting
// node and its answer back, over drpc.
//
// An exchange is one stream. The entry node sends an open frame; the admitting
// node sends admitted or refused before it reads the body, heartbeats while the
// upstream works, and the answer with an end mark. Both sides send heartbeats,
// so either notices a connection that has gone silent.
//
// An exchange whose connection is silent or cut is resolved over a new
// connection: the admitting node either has never seen it, and from then on
// refuses it, which proves that it was not run, or reports what became of it.
// Exchanges are matched by request identifier and attempt.
//
// # Usage
//
// The admitting node registers the methods with its drpc server:
//
//	s := forward.NewServer(forward.ServerConfig{Runner: r})
//	s.Register(rpcServer.Handle)
//
// The entry node forwards through a client:
//
//	c := forward.NewClient(forward.ClientConfig{Pool: pool})
//	res := c.Forward(ctx, node, req, attempt, false)
//
// The body of an answer must be closed. It returns io.EOF only after the end
// mark and after as many bytes as the answer declared.
package forward
