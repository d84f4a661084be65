// Package deployment starts and stops a deployment of real processes on
// loopback: control hosts, one node beside each upstream, and simulated
// upstreams. The processes outlive the command that started them; the file
// run/processes lists them.
//
// # Usage
//
//	d, err := deployment.Up(ctx, deployment.Options{Bin: "bin", Config: "config/association", Run: "run"})
//	err = deployment.Down(ctx, "run")
//
// The settings of each process are ready-made under config/SITE/processes and
// are written there by WriteSettings from config/SITE/deployment.ini. Up copies them
// to run/settings with the paths, and when asked the ports and the policy, of
// this run.
package deployment
