package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
)

const defaultHistoryLimit = 20

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the control host that responds and every node",
		Description: "Each node is shown with its version, upstream state and failure domain.\n\n" +
			"Example:\n  mulberryctl status --control 127.0.0.1:9001,127.0.0.1:9002",
		Flags: controlFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return withClient(ctx, cmd, func(ctx context.Context, c *controlplane.Client) error {
				return showStatus(ctx, cmd, c)
			})
		},
	}
}

func showStatus(ctx context.Context, cmd *cli.Command, c *controlplane.Client) error {
	s, err := c.Status(ctx)
	if err != nil {
		return reportUnavailable(cmd, err)
	}
	printLine(cmd, "host", s.Host, "domain", s.Domain, "leading", s.Leading, "leader", s.Leader,
		"identity", formatIdentity(s.ID), "blank", s.Blank, "version", s.Version, "claims", s.ClaimCount, "nodes", len(s.Nodes))
	for _, n := range s.Nodes {
		printLine(cmd, "node", n.Name, "domain", n.Domain, "service", n.Service, "version", n.Version,
			"state", n.State, "upstream", n.Upstream, "inflight", n.Load.InFlight, "limit", n.Load.Limit,
			"queued", n.Load.Queued, "latency", time.Duration(n.Load.Latency*float64(time.Second)).Round(time.Microsecond))
	}
	return nil
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "show the latest changes, or print the files of one version",
		Description: "Examples:\n  mulberryctl history --control 127.0.0.1:9001 --limit 50\n" +
			"  mulberryctl history --control 127.0.0.1:9001 --version 7",
		Flags: append(
			controlFlags(),
			&cli.IntFlag{Name: "limit", Usage: "maximum number `N` of changes", Value: defaultHistoryLimit},
			&cli.Uint64Flag{Name: "version", Usage: "`N`, the version whose files are printed"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return withClient(ctx, cmd, func(ctx context.Context, c *controlplane.Client) error {
				if v := cmd.Uint64("version"); v > 0 {
					return showSources(ctx, cmd, c, v)
				}
				return showHistory(ctx, cmd, c)
			})
		},
	}
}

func showHistory(ctx context.Context, cmd *cli.Command, c *controlplane.Client) error {
	changes, err := c.History(ctx, cmd.Int("limit"))
	if err != nil {
		return reportUnavailable(cmd, err)
	}
	for _, change := range changes {
		outcome := controlplane.ApplyConflict
		if change.Accepted {
			outcome = controlplane.ApplyAccepted
		}
		printLine(cmd, "change", change.ID, "outcome", outcome, "from", change.BaseVersion, "version", change.Version,
			"time", time.UnixMicro(change.ProposedAt).UTC().Format(time.RFC3339)) //nolint:forbidigo // shown to operators
	}
	return nil
}

func showSources(ctx context.Context, cmd *cli.Command, c *controlplane.Client, v uint64) error {
	files, err := c.SourceFiles(ctx, v)
	if err != nil {
		return reportUnavailable(cmd, err)
	}
	if len(files) == 0 {
		return &exitError{code: exitUsage, text: "the files of this version are no longer stored"}
	}
	for _, f := range files {
		printLine(cmd, "version", v, "file", f.Name, "text", string(f.Data))
	}
	return nil
}
