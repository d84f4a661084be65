// Command mulberrybench simulates upstreams, generates load, starts and stops whole deployments of
// real processes on loopback, runs fault scenarios, and compares selection policies. It is a
// development tool and not part of a deployed system.
//
// # Usage
//
//	mulberrybench up --bin bin --config config/association --run run
//	mulberrybench load --run run --rate 200 --for 10s
//	mulberrybench down --run run
//	mulberrybench demo --bin bin --config config/association --run run
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// version is set at build time with the linker flag -X.
var version = "unknown"

func main() { os.Exit(run()) }

// run executes the command line and returns the exit status.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := app().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mulberrybench:", err)
		return 1
	}
	return 0
}

func app() *cli.Command {
	return &cli.Command{
		Name:           "mulberrybench",
		Usage:          "simulate upstreams, generate load, run deployments, compare policies",
		Version:        version,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       commands(),
	}
}
