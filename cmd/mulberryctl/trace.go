package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// maxLogLineBytes is the maximum length of one log line.
const maxLogLineBytes = 1 << 20

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "follow a request through the logs of several processes",
		ArgsUsage: "ID FILE...",
		ArgValidator: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() < 2 {
				return &exitError{code: exitUsage, text: "trace takes an identifier and at least one log file"}
			}
			return nil
		},
		Description: "Prints the log lines of the request, of its exchanges between nodes and of its nested calls in\nchronological order.\n\n" +
			"Example:\n  mulberryctl trace 9c41d07be2a35f68 node-1.log node-2.log",
		Action: func(_ context.Context, cmd *cli.Command) error {
			lines, err := readLogs(cmd.Args().Tail())
			if err != nil {
				return err
			}
			matching := linesOfRequest(lines, cmd.Args().First())
			if len(matching) == 0 {
				return &exitError{code: exitUsage, text: "no log line belongs to request " + cmd.Args().First()}
			}
			for _, l := range matching {
				if _, err := fmt.Fprintln(cmd.Root().Writer, l.text); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// logLine is one log line with the values that it is selected and sorted by.
type logLine struct{ time, request, exchange, text string }

func readLogs(files []string) ([]logLine, error) {
	var lines []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open log file")
		}
		sc := bufio.NewScanner(f)
		sc.Buffer(nil, maxLogLineBytes)
		for sc.Scan() {
			lines = append(lines, parseLogLine(sc.Text()))
		}
		if err := errors.CombineErrors(sc.Err(), f.Close()); err != nil {
			return nil, errors.Wrapf(err, "read log file %s", name)
		}
	}
	return lines, nil
}

func parseLogLine(text string) logLine {
	l := logLine{text: text}
	for _, field := range strings.Fields(text) {
		key, value, _ := strings.Cut(field, "=")
		switch key {
		case "time":
			l.time = value
		case "request":
			l.request = value
		case "exchange":
			l.exchange = value
		}
	}
	return l
}

// linesOfRequest returns the lines of a request, of its exchanges and of its nested calls, sorted by
// time. The identifier of a nested call is that of the request followed by a dot and a suffix.
func linesOfRequest(lines []logLine, id string) []logLine {
	exchanges := make(map[string]bool)
	for _, l := range lines {
		if l.request == id && l.exchange != "" {
			exchanges[l.exchange] = true
		}
	}
	var matching []logLine
	for _, l := range lines {
		if l.request == id || strings.HasPrefix(l.request, id+".") || exchanges[l.exchange] {
			matching = append(matching, l)
		}
	}
	slices.SortStableFunc(matching, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	return matching
}
