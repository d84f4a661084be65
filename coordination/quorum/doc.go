// Package quorum implements a replicated log after the Raft algorithm for groups of three, five or
// seven members: leader election with pre-vote and check-quorum, replication, linearizable reads
// that a majority confirms, snapshots, and one membership change at a time: a member joins or leaves, or
// a learner replaces a voter (joint consensus).
//
// # Usage
//
// A program implements Machine and Sender and opens one Host for each data directory. The operator
// calls Format once for each initial member:
//
//	cfg := quorum.Config{Dir: "/var/lib/mulberry", Addr: "127.0.0.1:7001", ID: 1, Machine: m, Sender: s}
//	err := quorum.Format(cfg, []quorum.Member{{ID: 1, Addr: "127.0.0.1:7001"}, ...})
//	h, err := quorum.Open(cfg)
//	result, status := h.Propose(ctx, []byte("set a 1"))
//	if h.ReadBarrier(ctx) {
//		// the state of the machine is at least as new as the call
//	}
//	err = h.Stop(ctx)
//
// The transport passes each received message to Host.Receive.
//
// # Replacing a host
//
// Opening an empty directory creates a blank member with a new random identity. It has no vote and
// waits until it is added. The operator reads the identity from Status and calls AddMember on the
// leader. The new member receives the log as a learner and becomes a voter once it has synced all
// committed entries. RemoveMember removes the identity that was lost. Never format a directory
// again under an identity that has already been in use: the lost member's votes and
// acknowledgements would count twice.
//
// # Structure
//
// core implements the algorithm as a step function without goroutines, clock or files. Host runs
// the core in one goroutine, the control goroutine, and syncs batches of entries in a second one,
// so that proposals that arrive during a sync share the next one. A message is sent only after the
// state that it depends on has been synced.
//
// # Failures
//
// After a failed write or sync, a member neither votes nor leads until it is opened again; Status
// returns the error. A leader that receives no responses from a majority for an election timeout
// steps down. Reads are confirmed by a majority and don't depend on clocks.
package quorum
