// Package membership keeps the list of nodes on every node. Nodes probe one
// another at random, suspect the ones that do not answer, and spread what they
// learn on the datagrams they send anyway (the SWIM family of protocols).
//
// Core is the protocol as a step function: it is given the time and the
// datagrams that arrived, and returns the datagrams to send. Group runs a Core
// on one goroutine and hands out immutable snapshots to other goroutines.
//
// Records are ordered by incarnation, then by state. Only the node itself
// raises its incarnation: when it changes its own record, and when it learns
// that others suspect it or hold a newer record from before its restart.
//
// The bytes that one node sends are limited by a token bucket. When it is
// empty, pushes and synchronisation wait; probes and their answers go out
// without updates, so failure detection does not depend on the amount of
// change.
//
// # Usage
//
//	g := membership.NewGroup(membership.Config{
//		Self:  mulberrylink.Node{Name: "node-registry-1", Domain: "d1", Addr: addr},
//		Seeds: []string{"127.0.0.1:9201"},
//		Rand:  rand.New(rand.NewPCG(seed, 0)),
//	}, sender)
//	go g.Run(ctx)
//	g.Update(func(self *mulberrylink.Node) { self.State = mulberrylink.NodeLeaving })
//	for _, n := range g.Nodes("registry") { … }
package membership
