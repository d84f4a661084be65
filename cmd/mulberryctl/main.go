// Command mulberryctl is the operators' tool: it checks and applies the
// configuration and shows the state of a deployment.
//
// # Usage
//
//	mulberryctl check --base base.ini --overlay site-d1.ini --overlay site-d2.ini
//	mulberryctl apply --control 127.0.0.1:9001,127.0.0.1:9002 --base base.ini \
//		--overlay site-d1.ini --overlay site-d2.ini --version 7 --change raise-queue
//	mulberryctl status --control 127.0.0.1:9001
//
// Each item of output is one line of key=value pairs. The exit code is 0 on
// success, 1 for a wrong call of the tool, 2 for a conflict, 3 for invalid
// files and 4 when no control host could answer.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mulberrylink/mulberrylink/state/settings"
)

// version is set by the linker.
var version = "unknown"

// Exit codes.
const (
	exitUsage       = 1
	exitConflict    = 2
	exitInvalid     = 3
	exitUnavailable = 4
)

// exitError ends the program with a code. Its text may be empty, when the
// output already says what is wrong.
type exitError struct {
	code int
	text string
}

// Error implements error.
func (e *exitError) Error() string { return e.text }

func main() { os.Exit(runMain()) }

// runMain returns the exit code. The scripted tests call it, too.
func runMain() int {
	err := rootCommand().Run(context.Background(), os.Args)
	if err == nil {
		return 0
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(os.Stderr, text)
	}
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	return exitUsage
}

func rootCommand() *cli.Command {
	root := &cli.Command{
		Name:  "mulberryctl",
		Usage: "check and apply the configuration, and show the state of a deployment",
		Description: "Examples:\n" +
			"  mulberryctl check --base base.ini --overlay site-d1.ini\n" +
			"  mulberryctl status --control 127.0.0.1:9001,127.0.0.1:9002\n\n" +
			"Exit codes: 0 success, 1 wrong call, 2 conflict, 3 invalid files, 4 no control host answered.",
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			checkCommand(), diffCommand(), applyCommand(), statusCommand(), historyCommand(),
			membersCommand(), explainCommand(), traceCommand(), versionCommand(),
		},
		ArgValidator: noArguments,
	}
	for _, c := range root.Commands {
		c.OnUsageError = usageError
	}
	return root
}

// noArguments refuses words that are not flags; they are likely to be a file
// whose flag was forgotten.
func noArguments(_ context.Context, cmd *cli.Command) error {
	if arg := cmd.Args().First(); arg != "" {
		var known []string
		for _, c := range cmd.Commands {
			known = append(known, c.Name)
		}
		return &exitError{code: exitUsage, text: "unexpected argument " + quote(arg) + settings.Suggest(arg, known)}
	}
	return nil
}

// usageError keeps the help page out of the output of a wrong call.
func usageError(_ context.Context, cmd *cli.Command, err error, _ bool) error {
	return &exitError{code: exitUsage, text: cmd.FullName() + ": " + err.Error()}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version of this program",
		Description: "Example:\n  mulberryctl version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			printLine(cmd, "version", version)
			return nil
		},
	}
}
