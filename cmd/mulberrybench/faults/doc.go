// Package faults runs scripted fault scenarios against a deployment of real processes on loopback.
// It evaluates them by the journals of the simulated upstreams and by the outcomes that the callers
// got.
//
// # Usage
//
//	scenarios, err := faults.Embedded()
//	err = faults.Run(ctx, os.Stdout, faults.Options{Bin: "bin", Config: "config", Run: "run", PortOffset: 8000}, scenarios[0])
//
// # Scenario files
//
// A scenario is a text file with one statement per line; # starts a comment. The times of steps
// count from the start of the load.
//
//	load rate=150 for=12s seed=3 [start=cold] [timeout=3s]
//	     [keyed=0.8] [service=100ms]        share of keyed requests, service time of all requests
//	relay node-archive-1                    put a relay between this node and its control hosts
//	at 2s kill control leader               send SIGKILL; also stop, continue, term, restart
//	at 3s cut node-archive-1                the relay stops forwarding; heal resumes it
//	at 4s domain d2 out                     take a failure domain out; also in
//	at 5s drain upstream-registry-1         also undrain
//	at 5s cold upstream-registry-1 [silent] return to the cold start; silent announces ready
//	at 1s upload archive bytes=67108864 over=7s via=node-archive-1 at=upstream-archive-1
//	at 3s crash registry sends=8 every=200ms
//	expect duplicates=0 answered>=0.97      figures, see below
//	expect quiet d2 within 3s after 4s until 9s
//	expect work d2 within 5s after 9s
//
// A step names a process as in run/processes, or as "control leader" or "control other". These are
// the control host that led when the scenario first named either, and the first of the other
// control hosts.
//
// work fails unless an execution of the target starts within the given time after the step has run.
// quiet fails if an execution starts later than that and before the time until. It also fails if
// none started before the step, because it would then prove nothing. The target is a failure
// domain, an upstream or the word keyed, which means all keyed requests.
//
// The figures are:
//
//	duplicates    keyed requests that ran more than once (load.Verdict.Duplicates)
//	untrue        requests that ran but were reported as not run (FalseNotRun)
//	phantoms      requests that got a response but never ran (NeverRan)
//	wrong         responses that are altered, incomplete or belong to another request (Wrong)
//	answered      share of all requests that got a 2xx response in any attempt
//	lookups       the same share of the requests without a key
//	keyed         the same share of the keyed requests
//	failed        requests without a 2xx response whose last response has another status
//	unknown       requests without a 2xx response whose last outcome is unknown
//	notrun        requests without a 2xx response whose last outcome is notrun
//	notrun.REASON attempts rejected for this reason
//	falls         overloads of upstreams during their cold start
//	deaths        upstreams that exited without a step that ends them
//	entrylost     requests without a response because a step killed or froze their entry node;
//	              they are not part of the shares
//	lostlookups   GET requests that count as unknown
//	innocents     GET requests that were in flight when an upstream crashed, ended as unknown and
//	              got no response with status 200 when they were sent again either
//
// Every scenario fails if duplicates, untrue, phantoms or wrong is above 0, also without an expect
// line.
package faults
