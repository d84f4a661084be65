package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/state/overlay"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "validate a base file and its overlays without a control host",
		Description: "It prints one line for each problem, with file, line, section and key.\n\n" +
			"Example:\n  mulberryctl check --base config/association/base.ini --overlay config/association/site-d1.ini",
		Flags: fileFlags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			cfg, err := merge(cmd)
			if err != nil {
				return err
			}
			line(cmd, "outcome", "valid", "services", len(cfg.Services), "domains", len(cfg.Domains))
			return nil
		},
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:  "diff",
		Usage: "show what files would change in the configuration in force",
		Description: "It compares effective values and prints one line for each key that differs,\n" +
			"then the version to name in apply.\n\n" +
			"Example:\n  mulberryctl diff --control 127.0.0.1:9001 --base base.ini --overlay site-d1.ini",
		Flags: append(controlFlags(), fileFlags()...),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg, err := merge(cmd)
			if err != nil {
				return err
			}
			return withClient(ctx, cmd, func(ctx context.Context, c *controlplane.Client) error {
				return diff(ctx, cmd, c, cfg)
			})
		},
	}
}

func diff(ctx context.Context, cmd *cli.Command, c *controlplane.Client, cfg *overlay.Config) error {
	v, raw, err := c.ConfirmedConfig(ctx)
	if err != nil {
		return unavailable(cmd, err)
	}
	active := &overlay.Config{}
	if v > 0 {
		if active, err = overlay.Decode(raw); err != nil {
			return err
		}
	}
	changes := overlay.Diff(active, cfg)
	for _, ch := range changes {
		line(cmd, "section", ch.Section, "key", ch.Key, "old", ch.Old, "new", ch.New)
	}
	line(cmd, "version", v, "changes", len(changes))
	return nil
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "make a base file and its overlays the configuration in force",
		Description: "Name the version that the files were edited from (see status and diff) and an\n" +
			"identifier of your choice for the change. After outcome=unavailable, send the\n" +
			"same command again: the identifier makes sure that the change happens once.\n\n" +
			"Example:\n  mulberryctl apply --control 127.0.0.1:9001,127.0.0.1:9002 --base base.ini \\\n" +
			"    --overlay site-d1.ini --overlay site-d2.ini --version 7 --change take-out-d2",
		Flags: append(
			append(controlFlags(), fileFlags()...),
			&cli.Uint64Flag{Name: "version", Usage: "`N`, the version that the files were edited from; 0 for the first", Required: true},
			&cli.StringFlag{Name: "change", Usage: "`ID` of the change", Required: true},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			base, overlays, err := sources(cmd)
			if err != nil {
				return err
			}
			ch := controlplane.Change{
				ID:          cmd.String("change"),
				BaseVersion: cmd.Uint64("version"),
				Base:        base,
				Overlays:    overlays,
			}
			return withClient(ctx, cmd, func(ctx context.Context, c *controlplane.Client) error {
				return showApply(cmd, applyUntil(ctx, c, ch))
			})
		},
	}
}

// applyUntil sends the change until it is decided or ctx ends.
func applyUntil(ctx context.Context, c *controlplane.Client, ch controlplane.Change) controlplane.ApplyReply {
	maybe := false
	for {
		r := c.Apply(ctx, ch)
		maybe = maybe || r.State == controlplane.ApplyIndeterminate
		if r.State != controlplane.ApplyIndeterminate && r.State != controlplane.ApplyUnavailable {
			return r
		}
		if ctx.Err() != nil {
			if maybe {
				r.State = controlplane.ApplyIndeterminate
			}
			return r
		}
	}
}

func showApply(cmd *cli.Command, r controlplane.ApplyReply) error {
	problems(cmd, r.Problems)
	switch r.State {
	case controlplane.ApplyAccepted:
		line(cmd, "outcome", r.State, "version", r.Version)
		return nil
	case controlplane.ApplyConflict:
		line(cmd, "outcome", r.State, "version", r.Version)
		return &exitError{code: exitConflict}
	case controlplane.ApplyInvalid:
		line(cmd, "outcome", r.State, "version", r.Version)
		return &exitError{code: exitInvalid}
	case controlplane.ApplyIndeterminate:
		line(cmd, "outcome", controlplane.ApplyUnavailable, "version", r.Version, "certain", false,
			"text", "the change may have been accepted; send it again with the same identifier")
	default:
		line(cmd, "outcome", controlplane.ApplyUnavailable, "version", r.Version, "certain", true,
			"text", "the change was not accepted; send it again")
	}
	return &exitError{code: exitUnavailable}
}
