// Package quorum is a replicated log for groups of three, five or seven
// members: leader election, replication, quorum reads, snapshots and changes
// of the membership.
//
// # Usage
//
// A program implements Machine and Sender and opens one Host for each data
// directory. Format is called once, by the operator, for the first members:
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
// The transport gives each message that arrives to Host.Receive.
//
// # Replacing a host
//
// Opening an empty directory makes a blank member with a new random identity;
// it has no vote and waits. The operator reads the identity from Status and
// calls AddMember on the leader. The new member receives the log as a learner
// and gets a vote once it has synced what is committed. RemoveMember removes
// the identity that was lost. A directory is never formatted a second time
// under an identity that has been used: the lost votes and acknowledgements
// would count twice.
//
// # Structure
//
// core is the algorithm as a step function without goroutines, clock or files.
// Host runs it in one goroutine and syncs its batches in a second one, so that
// proposals that arrive during a sync share the next one. A message leaves
// only after the state that it depends on is synced.
//
// # Failures
//
// After a failed write or sync a member neither votes nor leads until it is
// opened again; Status carries the error. A leader that hears no majority for
// an election timeout steps down. Reads are confirmed by a majority and do not
// depend on clocks.
package quorum
