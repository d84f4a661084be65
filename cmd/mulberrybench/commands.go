package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/upstream"
	"github.com/mulberrylink/mulberrylink/state/settings"
	"github.com/mulberrylink/mulberrylink/transport/events"
)

func commands() []*cli.Command {
	return []*cli.Command{upstreamCommand()}
}

func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name:        "upstream",
		Usage:       "run one simulated upstream",
		Description: upstream.Help,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE`", Required: true},
			&cli.StringFlag{Name: "journal", Usage: "journal `FILE`, instead of the one in the settings"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			var cfg upstream.Settings
			if err := settings.Load(c.String("config"), &cfg); err != nil {
				return err
			}
			if c.IsSet("journal") {
				cfg.Journal.File = c.String("journal")
			}
			l := events.New(os.Stderr, cfg.Log.Level, "mulberrybench", cfg.Upstream.Name)
			s, err := upstream.New(cfg, l)
			if err != nil {
				return err
			}
			return s.Run(ctx)
		},
	}
}
