package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
)

// defaultMemberWait covers the transfer of a snapshot of the largest state to the new member.
const defaultMemberWait = 60 * time.Second

func membersCommand() *cli.Command {
	list := func(ctx context.Context, cmd *cli.Command) error {
		return withClient(ctx, cmd, func(ctx context.Context, c *controlplane.Client) error {
			return listMembers(ctx, cmd, c)
		})
	}
	return &cli.Command{
		Name:         "members",
		Usage:        "show, add and remove control hosts",
		Description:  "Without a subcommand, lists the control hosts.\n\nExample:\n  mulberryctl members --control 127.0.0.1:9001",
		Flags:        optionalControlFlags(),
		ArgValidator: noArguments,
		Action:       list,
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "show the control hosts",
				Description: "Example:\n  mulberryctl members list --control 127.0.0.1:9001",
				Flags:       controlFlags(), Action: list, OnUsageError: usageError, ArgValidator: noArguments,
			},
			addMemberCommand(), removeMemberCommand(),
		},
	}
}

// optionalControlFlags returns the control flags for a command whose subcommands have control flags
// of their own. The flags are local to the command and --control is optional, so that the flags of a
// subcommand suffice.
func optionalControlFlags() []cli.Flag {
	flags := controlFlags()
	for _, f := range flags {
		switch f := f.(type) {
		case *cli.StringFlag:
			f.Required, f.Local = false, true
		case *cli.DurationFlag:
			f.Local = true
		}
	}
	return flags
}

func memberChangeFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "control", Usage: "`ADDR[,ADDR]` of the control hosts", Required: true},
		&cli.DurationFlag{Name: "wait", Usage: "how long to keep trying", Value: defaultMemberWait},
	}, extra...)
}

func addMemberCommand() *cli.Command {
	return &cli.Command{
		Name:  "add",
		Usage: "add a blank control host and wait until it is a voter",
		Description: "The host must run with an empty data directory and without init. Its name and\n" +
			"identity are shown in its log and by mulberryctl status --control HOST:PORT.\n\n" +
			"Example:\n  mulberryctl members add --control 127.0.0.1:9001 --name c3 --addr 127.0.0.1:9003",
		Flags: memberChangeFlags(
			&cli.StringFlag{Name: "name", Usage: "`NAME` in the settings of the host", Required: true},
			&cli.StringFlag{Name: "addr", Usage: "`HOST:PORT` of the host", Required: true},
			&cli.StringFlag{Name: "id", Usage: "`IDENTITY` that the host must have"},
		),
		OnUsageError: usageError,
		ArgValidator: noArguments,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return withClient(ctx, cmd, func(ctx context.Context, c *controlplane.Client) error {
				return addMember(ctx, cmd, c)
			})
		},
	}
}

func removeMemberCommand() *cli.Command {
	return &cli.Command{
		Name:        "remove",
		Usage:       "remove a control host",
		Description: "Example:\n  mulberryctl members remove --control 127.0.0.1:9001 --id 1f3a5b7c9d0e2f46",
		Flags: memberChangeFlags(
			&cli.StringFlag{Name: "id", Usage: "`IDENTITY` that members list shows", Required: true},
		),
		OnUsageError: usageError,
		ArgValidator: noArguments,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return withClient(ctx, cmd, func(ctx context.Context, c *controlplane.Client) error {
				return removeMember(ctx, cmd, c)
			})
		},
	}
}

func listMembers(ctx context.Context, cmd *cli.Command, c *controlplane.Client) error {
	if cmd.String("control") == "" {
		return &exitError{code: exitUsage, text: "--control is required"}
	}
	members, err := c.Members(ctx)
	if err != nil {
		return reportUnavailable(cmd, err)
	}
	for _, m := range members {
		name, responds := "", false
		if identity, err := c.Identity(ctx, m.Addr); err == nil {
			name, responds = identity.Host, identity.ID == m.ID
		}
		printLine(cmd, "member", formatIdentity(m.ID), "name", name, "addr", m.Addr, "leader", m.Leader,
			"learner", m.Learner, "self", m.Self, "answers", responds)
	}
	return nil
}

// addMember asks the host at --addr for its identity and adds it only if its name, and its identity
// if --id is given, match the flags.
func addMember(ctx context.Context, cmd *cli.Command, c *controlplane.Client) error {
	addr, name := cmd.String("addr"), cmd.String("name")
	identity, err := c.Identity(ctx, addr)
	if err != nil {
		return showMemberResult(cmd, "added", 0, addr, refusedResult(controlplane.MemberUnreachable, err.Error()))
	}
	if wantID := cmd.String("id"); identity.Host != name || wantID != "" && wantID != formatIdentity(identity.ID) {
		return showMemberResult(cmd, "added", identity.ID, addr, refusedResult(controlplane.MemberNameMismatch,
			fmt.Sprintf("the host has name %s and identity %s", identity.Host, formatIdentity(identity.ID))))
	}
	if !identity.Blank && !isMember(ctx, c, identity.ID, addr) {
		return showMemberResult(cmd, "added", identity.ID, addr, refusedResult(controlplane.MemberNotBlank,
			"the data directory of the host holds the state of another member"))
	}
	res, err := c.AddMember(ctx, identity.ID, addr)
	if err != nil {
		return reportUnavailable(cmd, err)
	}
	return showMemberResult(cmd, "added", identity.ID, addr, res)
}

// isMember reports whether the host is already a member, as it is if add is repeated.
func isMember(ctx context.Context, c *controlplane.Client, id uint64, addr string) bool {
	members, err := c.Members(ctx)
	if err != nil {
		return false
	}
	for _, m := range members {
		if m.ID == id && m.Addr == addr {
			return true
		}
	}
	return false
}

func removeMember(ctx context.Context, cmd *cli.Command, c *controlplane.Client) error {
	id, err := strconv.ParseUint(cmd.String("id"), 16, 64)
	if err != nil || id == 0 || len(cmd.String("id")) != len(formatIdentity(id)) {
		return &exitError{code: exitUsage, text: "--id is not an identity of 16 hexadecimal digits"}
	}
	members, err := c.Members(ctx)
	if err != nil {
		return reportUnavailable(cmd, err)
	}
	addr := ""
	for _, m := range members {
		if m.ID == id {
			addr = m.Addr
		}
	}
	if addr == "" {
		return showMemberResult(cmd, "removed", id, addr, refusedResult(controlplane.MemberMissing, "no member has this identity"))
	}
	res, err := c.RemoveMember(ctx, id)
	if err != nil {
		return reportUnavailable(cmd, err)
	}
	return showMemberResult(cmd, "removed", id, addr, res)
}

func refusedResult(reason controlplane.MemberReason, text string) controlplane.MemberResult {
	return controlplane.MemberResult{State: controlplane.MemberRefused, Reason: reason, Text: text}
}

// showMemberResult prints the outcome of a membership change. A refused change has the exit code of
// a conflict, and a change that is still in progress that of an unavailable control host.
func showMemberResult(cmd *cli.Command, doneOutcome string, id uint64, addr string, res controlplane.MemberResult) error {
	switch res.State {
	case controlplane.MemberDone:
		printLine(cmd, "outcome", doneOutcome, "member", formatIdentity(id), "addr", addr)
		return nil
	case controlplane.MemberWaiting:
		printLine(cmd, "outcome", res.State, "reason", res.Reason, "member", formatIdentity(id), "addr", addr, "text", res.Text)
		return &exitError{code: exitUnavailable}
	default:
		printLine(cmd, "outcome", res.State, "reason", res.Reason, "member", formatIdentity(id), "addr", addr, "text", res.Text)
		return &exitError{code: exitConflict}
	}
}

// formatIdentity returns id as 16 hexadecimal digits, the format of logs and output.
func formatIdentity(id uint64) string { return fmt.Sprintf("%016x", id) }
