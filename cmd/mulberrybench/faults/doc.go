// Package faults runs scripted fault scenarios against a deployment of real
// processes on loopback and judges them by the journals of the simulated
// upstreams and by what the callers were told.
//
// # Usage
//
//	scripts, err := faults.Embedded()
//	err = faults.Run(ctx, os.Stdout, faults.Options{Bin: "bin", Config: "config", Run: "run", Shift: 8000}, scripts[0])
//
// # Scenario files
//
// A scenario is a text file of one statement a line; # starts a comment.
// Times of steps count from the start of the load.
//
//	load rate=150 for=12s seed=3 [start=cold] [timeout=3s]
//	     [keyed=0.8] [service=100ms]        share of keyed requests, service time of all
//	relay node-archive-1                    its control hosts are reached through a relay
//	at 2s kill control leader               SIGKILL; also stop, continue, term, restart
//	at 3s cut node-archive-1                the relay falls silent; heal ends it
//	at 4s domain d2 out                     applies a change; also in
//	at 5s drain upstream-registry-1         also undrain
//	at 5s cold upstream-registry-1 [silent] return to cold start, silent announces ready
//	at 1s upload archive bytes=67108864 over=7s via=node-archive-1 at=upstream-archive-1
//	at 3s crash registry sends=8 every=200ms
//	expect duplicates=0 answered>=0.97      figures, see below
//	expect quiet d2 within 3s after 4s until 9s
//	expect work d2 within 5s after 9s
//
// A process is named as in run/processes, or "control leader" and "control
// other": the host that led when the scenario first named it, and the first
// host beside it. The target of quiet and work is a failure domain, an upstream
// or the word keyed. quiet fails when an execution starts later than the given
// time after the step at that time was done, and also when the target had no
// work before that step, because it would then show nothing.
//
// Figures: duplicates, untrue, phantoms and wrong of load.Verdict; answered,
// lookups and keyed are the share of all, unkeyed and keyed requests that were
// answered with status 2xx in the end; failed counts answers with another
// status, unknown and notrun requests that ended so, and notrun.REASON sends
// refused for that reason; falls counts upstreams that got more work in a cold
// start than they handle; entrylost counts requests that ended without an answer
// because the scenario killed or froze their entry node, and which are not part
// of the shares; lostlookups counts GET requests that ended as unknown, and
// innocents those that were in flight when an upstream died and are not answered
// either when their caller sends them again; deaths counts upstreams that ended on their own.
//
// Every scenario fails on a duplicate, an untrue refusal, a phantom or a wrong
// answer, also without an expect line.
package faults
