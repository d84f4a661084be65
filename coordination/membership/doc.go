// Package membership maintains the list of all nodes on every node with a gossip protocol of the
// SWIM family. Nodes probe one another in random order, suspect nodes that do not acknowledge a
// probe, and piggyback updates on the datagrams of the protocol. cmd/mulberrynode uses it; the nodes
// of package gateway receive the records through protocol/feed and store them in
// coordination/directory instead.
//
// Core is the protocol as a step function: it is given the time and the datagrams that arrived,
// and returns the datagrams to send. Group runs a Core on one goroutine and provides immutable
// snapshots to other goroutines.
//
// Records are ordered by incarnation, then by state. Only the node itself raises its incarnation:
// when it changes its own record, and when it learns that others suspect it or hold a newer
// record from before its restart.
//
// A token bucket limits the bytes that a node sends. When it is empty, pushes and synchronisation
// are delayed; probes and acks are sent without updates, so failure detection does not depend on
// the number of updates.
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
