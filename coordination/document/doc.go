// Package document implements a replicated configuration document that operators replace as a
// whole or change by named items. Machine is a state machine for coordination/quorum. Package
// controlhost replicates it; cmd/mulberrycontrol replicates the state machine of
// coordination/control instead, which also holds claims on idempotency keys.
//
// Each change carries its base version and a higher version of its own; version numbers may have
// gaps. Of several changes with the same base version exactly one is accepted. An accepted change
// that is sent again is recognised by its digest, also after later changes or a restore from a
// snapshot, and reported as accepted, as long as it is one of the last 16,384. The state also holds the failure domains that are out of
// service and the last rollout of each service; they change independently of the version of the document.
//
// # Usage
//
//	m := document.NewMachine()
//	host, err := quorum.Open(quorum.Config{Machine: m, ...})
//	data, status := host.Propose(ctx, document.Encode(document.Command{Change: &c}))
//	outcome := document.DecodeOutcome(data)
//	state, changed := m.Current()
//
// The contents of items are opaque to this package. The proposer validates a change against the
// state of its base version.
package document
