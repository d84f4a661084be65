// Command mulberrycontrol runs one control host: a member of the group that stores the configuration
// and the claims durably in a replicated log.
//
// # Usage
//
//	mulberrycontrol init --config control-c1.ini
//	mulberrycontrol run --config control-c1.ini
//
// The settings file:
//
//	[control]
//	name = c1
//	domain = d1
//	data = run/c1
//	members = c1@127.0.0.1:9001, c2@127.0.0.1:9002, c3@127.0.0.1:9003
//
//	[listen]
//	rpc = 127.0.0.1:9001
//	admin = 127.0.0.1:9101
//
//	[log]
//	level = info
//
// On SIGTERM it transfers leadership, finishes the calls in progress and exits.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// version is the version of the program, set by the linker (-ldflags -X).
var version = "unknown"

func main() {
	if err := rootCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func rootCommand() *cli.Command {
	return &cli.Command{
		Name:  "mulberrycontrol",
		Usage: "run a control host",
		Commands: []*cli.Command{
			{
				Name:        "run",
				Usage:       "run the control host until SIGTERM",
				Description: "Example:\n  mulberrycontrol run --config config/association/control-c1.ini",
				Flags:       []cli.Flag{configFlag()},
				Action: func(_ context.Context, cmd *cli.Command) error {
					return withSettings(cmd, run)
				},
			},
			{
				Name:        "init",
				Usage:       "format the data directory of a new control host, once",
				Description: "Run it on every host before the first one is started. It fails if the directory\nholds the state of a member or if the cluster is already formed. Start a host\nthat lost its disk with run and add it with mulberryctl members add.\n\nExample:\n  mulberrycontrol init --config config/association/control-c1.ini",
				Flags:       []cli.Flag{configFlag()},
				Action: func(_ context.Context, cmd *cli.Command) error {
					return withSettings(cmd, formatDataDir)
				},
			},
			{
				Name:        "version",
				Usage:       "print the version",
				Description: "Example:\n  mulberrycontrol version",
				Action: func(_ context.Context, _ *cli.Command) error {
					fmt.Println("version=" + version)
					return nil
				},
			},
		},
	}
}

func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Usage: "settings `FILE`", Required: true}
}

func withSettings(cmd *cli.Command, f func(controlSettings) error) error {
	cfg, err := loadSettings(cmd.String("config"))
	if err != nil {
		return err
	}
	return f(cfg)
}
