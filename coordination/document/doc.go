// Package document is the replicated state of a configuration that operators
// change as a whole or by named items. It is a state machine for
// coordination/quorum.
//
// Each change names the version that it builds on and a higher version of its
// own; version numbers may have gaps. Of several changes on one version exactly
// one is accepted. A change that was accepted is recognised by its digest when
// it is sent again, also after later changes and from a snapshot, and is
// accepted again. Failure domains are taken out and back beside the document.
//
// # Usage
//
//	m := document.NewMachine()
//	host, err := quorum.Open(quorum.Config{Machine: m, ...})
//	data, status := host.Propose(ctx, document.Encode(document.Command{Change: &c}))
//	outcome := document.DecodeOutcome(data)
//	state, changed := m.Current()
//
// The contents of items are opaque here: who proposes a change checks it
// against the state that it builds on.
package document
