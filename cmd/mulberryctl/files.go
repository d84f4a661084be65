package main

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/state/overlay"
	"github.com/mulberrylink/mulberrylink/state/settings"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

const (
	dialTimeout = 500 * time.Millisecond
	// defaultWait covers two leader elections of 1.5 s each.
	defaultWait = 6 * time.Second
)

func fileFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "base", Usage: "base `FILE`", Required: true},
		&cli.StringSliceFlag{Name: "overlay", Usage: "overlay `FILE`; repeat the flag for each site"},
	}
}

func controlFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "control", Usage: "`ADDR[,ADDR]` of the control hosts", Required: true},
		&cli.DurationFlag{Name: "wait", Usage: "how long to keep trying", Value: defaultWait},
	}
}

// readSources reads the base file and the overlays given by the flags.
func readSources(cmd *cli.Command) (base overlay.File, overlays []overlay.File, err error) {
	if base, err = readFile(cmd.String("base")); err != nil {
		return base, nil, err
	}
	for _, name := range cmd.StringSlice("overlay") {
		f, err := readFile(name)
		if err != nil {
			return base, nil, err
		}
		overlays = append(overlays, f)
	}
	return base, overlays, nil
}

func readFile(name string) (overlay.File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return overlay.File{}, errors.Wrap(err, "read configuration file")
	}
	return overlay.File{Name: name, Data: data}, nil
}

// mergeFiles reads and merges the files given by the flags. If they are invalid, it prints one line
// for each problem.
func mergeFiles(cmd *cli.Command) (*overlay.Config, error) {
	base, overlays, err := readSources(cmd)
	if err != nil {
		return nil, err
	}
	cfg, err := overlay.Merge(base, overlays)
	if err != nil {
		printProblems(cmd, strings.Split(err.Error(), "\n"))
		printLine(cmd, "outcome", "invalid")
		return nil, &exitError{code: exitInvalid}
	}
	return cfg, nil
}

func printProblems(cmd *cli.Command, problems []string) {
	for _, problem := range problems {
		printLine(cmd, "problem", problem)
	}
}

// withClient calls f with a client of the control hosts and a context that ends after --wait.
func withClient(ctx context.Context, cmd *cli.Command, f func(context.Context, *controlplane.Client) error) error {
	hosts := settings.List(cmd.String("control"))
	if len(hosts) == 0 {
		return &exitError{code: exitUsage, text: "--control contains no address"}
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("wait"))
	defer cancel()
	pool := rpc.NewPool(rpc.PoolConfig{DialTimeout: dialTimeout, IdlePerAddr: 1})
	defer pool.Close()
	return f(ctx, controlplane.NewClient(pool, hosts))
}

// reportUnavailable prints the outcome unavailable and returns the error for its exit code.
func reportUnavailable(cmd *cli.Command, err error) error {
	printLine(cmd, "outcome", "unavailable", "text", err.Error())
	return &exitError{code: exitUnavailable}
}
