// Package control is the replicated state machine of the control hosts. It
// holds the versions of the configuration, the first answer to each change, a
// bounded history, and the claims on idempotency keys.
//
// The machine is deterministic: equal commands in equal order lead to equal
// results and equal snapshots on every host. It reads no clock. The leader
// stamps each command with the time of its Clock, and the time of the machine
// never goes backwards.
//
// # Usage
//
// The replicated log calls Apply in log order; handlers read the state:
//
//	m := control.NewMachine()
//	data := control.Encode(control.Command{Now: clock.Micros(), Claim: &control.ClaimCommand{…}})
//	// replicate data; on every host:
//	res, err := control.DecodeResult(m.Apply(index, data))
//	cur, changed := m.Current()
//
// # Configuration
//
// A change names the version it was made from and a change identifier. It is
// accepted only when that version is the current one. The answer to each
// identifier is kept, so a change that is sent again gets its first answer.
//
// # Claims
//
// A claim on (service, key) is granted to one attempt. It ends as finished
// (with the first answer, or as run when the answer is too large to hold) or is
// released when the request was not run. A claim that was granted and neither
// finished nor released stays until its deadline, because the request may have
// run.
package control
