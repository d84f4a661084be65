// Command mulberryctl is the command-line tool for operators. It checks and applies the
// configuration and shows the state of a deployment.
//
// # Usage
//
//	mulberryctl check --base base.ini --overlay site-d1.ini --overlay site-d2.ini
//	mulberryctl apply --control 127.0.0.1:9001,127.0.0.1:9002 --base base.ini \
//		--overlay site-d1.ini --overlay site-d2.ini --version 7 --change raise-queue
//	mulberryctl status --control 127.0.0.1:9001
//
// Each line of output consists of key=value pairs. The exit code is 0 on success, 1 for a usage
// error, 2 for a conflict or a refused membership change, 3 for invalid files and 4 if no control
// host could complete the command.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mulberrylink/mulberrylink/state/settings"
)

// version is the version of the program, set by the linker (-ldflags -X).
var version = "unknown"

// Exit codes.
const (
	exitUsage       = 1
	exitConflict    = 2
	exitInvalid     = 3
	exitUnavailable = 4
)

// exitError is an error that sets the exit code. Its text is empty if the output already describes
// the error.
type exitError struct {
	code int
	text string
}

// Error implements error.
func (e *exitError) Error() string { return e.text }

func main() { os.Exit(runMain()) }

// runMain runs the command line and returns the exit code. The script tests also call it.
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
			"Exit codes: 0 success, 1 usage error, 2 conflict or refused, 3 invalid files, 4 no control host answered.",
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

// noArguments rejects positional arguments, which are likely to be a misspelled command or a file
// name without its flag.
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

// usageError returns err as a usage error, without printing the help page.
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
