// Command mulberrynode runs the node beside an upstream: a sidecar proxy that accepts requests from
// callers and is the only process that sends requests to that upstream. It uses the older data path
// of package coordination/dispatch; package gateway contains the newer one.
//
// A request may enter at any node. The entry node claims the idempotency key, chooses a node whose
// upstream runs the service, and forwards the request to it, the admitting node. That node admits
// the request up to the concurrency limit of its upstream, or rejects it before any byte has reached
// the upstream.
//
// # Usage
//
//	mulberrynode check --config node.ini
//	mulberrynode run --config node.ini
//
// The process ends after SIGTERM or SIGINT, when its last request is done.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

// version is the version of the program, set by the linker (-ldflags -X).
var version = "unknown"

const examples = `Examples:
  Check a settings file without starting:
    mulberrynode check --config config/association/node-registry-1.ini

  Run a node; it ends after SIGTERM when its last request is done:
    mulberrynode run --config config/association/node-registry-1.ini

  A settings file:
    [node]
    name = node-registry-1
    domain = d1
    [listen]
    front = 127.0.0.1:9101
    rpc = 127.0.0.1:9201
    admin = 127.0.0.1:9301
    [control]
    hosts = 127.0.0.1:9001, 127.0.0.1:9002, 127.0.0.1:9003
    [peers]
    seeds = 127.0.0.1:9201, 127.0.0.1:9202`

func main() {
	if err := newCommand(os.Stdout, os.Stderr).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mulberrynode:", err)
		os.Exit(1)
	}
}

func newCommand(out, logs io.Writer) *cli.Command {
	configFlag := &cli.StringFlag{Name: "config", Usage: "settings `FILE`", Required: true}
	return &cli.Command{
		Name:        "mulberrynode",
		Usage:       "entry point for callers and only path to the upstream beside it",
		Description: examples,
		Writer:      out,
		ErrWriter:   logs,
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "run the node", Flags: []cli.Flag{configFlag},
				Action: func(_ context.Context, c *cli.Command) error { return runNode(c.String("config"), logs) },
			},
			{
				Name: "check", Usage: "check a settings file", Flags: []cli.Flag{configFlag},
				Action: func(_ context.Context, c *cli.Command) error { return checkSettings(c.String("config"), out) },
			},
			{
				Name: "version", Usage: "print the version",
				Action: func(context.Context, *cli.Command) error {
					_, err := fmt.Fprintln(out, version)
					return err
				},
			},
		},
	}
}

func checkSettings(path string, out io.Writer) error {
	cfg, err := loadSettings(path)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: name=%s domain=%s policy=%s ok\n", path, cfg.Node.Name, cfg.Node.Domain, cfg.Measure.Policy)
	return err
}
