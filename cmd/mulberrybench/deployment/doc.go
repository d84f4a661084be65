// Package deployment starts and stops a deployment of real processes on loopback: control hosts,
// simulated upstreams, and one node for each upstream. The processes outlive the command that
// started them; the file run/processes lists them.
//
// # Usage
//
//	d, err := deployment.Up(ctx, deployment.Options{Bin: "bin", Config: "config/association", Run: "run"})
//	err = deployment.Down(ctx, "run")
//
// WriteSettings generates the settings file of each process from config/SITE/deployment.ini and
// writes it to config/SITE/processes. Up copies these files to run/settings and replaces the paths,
// and if the options say so the ports and the selection policy, with those of the run.
package deployment
