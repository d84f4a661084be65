// Package control implements the replicated state machine of the control hosts. It holds the
// versions of the configuration, the outcome of each change, a bounded history, and the claims on
// idempotency keys. cmd/mulberrycontrol replicates it; package controlhost replicates the state
// machine of coordination/document instead, which holds no claims.
//
// The machine is deterministic: the same commands in the same order give the same results and
// snapshots on every host. It reads no clock. The leader puts the time of its Clock into each
// command, and the time of the machine never goes backwards.
//
// # Usage
//
// The replicated log calls Apply in log order. Request handlers read the state:
//
//	m := control.NewMachine()
//	data := control.Encode(control.Command{Now: clock.Micros(), Claim: &control.ClaimCommand{…}})
//	// replicate data; on every host:
//	res, err := control.DecodeResult(m.Apply(index, data))
//	cur, changed := m.Current()
//
// # Configuration
//
// A change carries its base version and a change identifier. It is accepted only if its base
// version is the current one. The outcome of each identifier is stored, so a change that is sent
// again gets the same outcome.
//
// # Claims
//
// A claim on (service, key) is granted to one attempt. It is finished with the first response of
// the request (or recorded as ran if the response is too large to store), or released if the
// request did not run. A granted claim that is neither finished nor released stays until its
// deadline, because the request may have run.
package control
