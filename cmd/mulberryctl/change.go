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
		Usage: "validate a base file and its overlays without contacting a control host",
		Description: "Prints one line for each problem, with file, line, section and key.\n\n" +
			"Example:\n  mulberryctl check --base config/association/base.ini --overlay config/association/site-d1.ini",
		Flags: fileFlags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			cfg, err := mergeFiles(cmd)
			if err != nil {
				return err
			}
			printLine(cmd, "outcome", "valid", "services", len(cfg.Services), "domains", len(cfg.Domains))
			return nil
		},
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:  "diff",
		Usage: "show how the files differ from the configuration in force",
		Description: "Compares effective values and prints one line for each key that differs,\n" +
			"then the version to pass to apply.\n\n" +
			"Example:\n  mulberryctl diff --control 127.0.0.1:9001 --base base.ini --overlay site-d1.ini",
		Flags: append(controlFlags(), fileFlags()...),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg, err := mergeFiles(cmd)
			if err != nil {
				return err
			}
			return withClient(ctx, cmd, func(ctx context.Context, c *controlplane.Client) error {
				return showDiff(ctx, cmd, c, cfg)
			})
		},
	}
}

func showDiff(ctx context.Context, cmd *cli.Command, c *controlplane.Client, cfg *overlay.Config) error {
	v, raw, err := c.ConfirmedConfig(ctx)
	if err != nil {
		return reportUnavailable(cmd, err)
	}
	active := &overlay.Config{}
	if v > 0 {
		if active, err = overlay.Decode(raw); err != nil {
			return err
		}
	}
	changes := overlay.Diff(active, cfg)
	for _, change := range changes {
		printLine(cmd, "section", change.Section, "key", change.Key, "old", change.Old, "new", change.New)
	}
	printLine(cmd, "version", v, "changes", len(changes))
	return nil
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "make a base file and its overlays the configuration in force",
		Description: "Requires the version that the files were edited from (see status and diff) and an\n" +
			"identifier of your choice for the change. After outcome=unavailable, repeat the\n" +
			"same command: the identifier ensures that the change is applied only once.\n\n" +
			"Example:\n  mulberryctl apply --control 127.0.0.1:9001,127.0.0.1:9002 --base base.ini \\\n" +
			"    --overlay site-d1.ini --overlay site-d2.ini --version 7 --change take-out-d2",
		Flags: append(
			append(controlFlags(), fileFlags()...),
			&cli.Uint64Flag{Name: "version", Usage: "`N`, the version that the files were edited from; 0 for the first", Required: true},
			&cli.StringFlag{Name: "change", Usage: "`ID` of the change", Required: true},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			base, overlays, err := readSources(cmd)
			if err != nil {
				return err
			}
			change := controlplane.Change{
				ID:          cmd.String("change"),
				BaseVersion: cmd.Uint64("version"),
				Base:        base,
				Overlays:    overlays,
			}
			return withClient(ctx, cmd, func(ctx context.Context, c *controlplane.Client) error {
				return showApplyReply(cmd, applyUntilDecided(ctx, c, change))
			})
		},
	}
}

// applyUntilDecided sends the change until it is accepted, conflicts or is invalid, or ctx ends. If
// ctx ends first and the outcome of any attempt was indeterminate, the result is indeterminate too,
// because that attempt may still be accepted.
func applyUntilDecided(ctx context.Context, c *controlplane.Client, change controlplane.Change) controlplane.ApplyReply {
	indeterminate := false
	for {
		reply := c.Apply(ctx, change)
		indeterminate = indeterminate || reply.State == controlplane.ApplyIndeterminate
		if reply.State != controlplane.ApplyIndeterminate && reply.State != controlplane.ApplyUnavailable {
			return reply
		}
		if ctx.Err() != nil {
			if indeterminate {
				reply.State = controlplane.ApplyIndeterminate
			}
			return reply
		}
	}
}

func showApplyReply(cmd *cli.Command, reply controlplane.ApplyReply) error {
	printProblems(cmd, reply.Problems)
	switch reply.State {
	case controlplane.ApplyAccepted:
		printLine(cmd, "outcome", reply.State, "version", reply.Version)
		return nil
	case controlplane.ApplyConflict:
		printLine(cmd, "outcome", reply.State, "version", reply.Version)
		return &exitError{code: exitConflict}
	case controlplane.ApplyInvalid:
		printLine(cmd, "outcome", reply.State, "version", reply.Version)
		return &exitError{code: exitInvalid}
	case controlplane.ApplyIndeterminate:
		printLine(cmd, "outcome", controlplane.ApplyUnavailable, "version", reply.Version, "certain", false,
			"text", "the change may have been accepted; send it again with the same identifier")
	default:
		printLine(cmd, "outcome", controlplane.ApplyUnavailable, "version", reply.Version, "certain", true,
			"text", "the change was not accepted; send it again")
	}
	return &exitError{code: exitUnavailable}
}
