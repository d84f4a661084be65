package main

import (
	"context"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/faults"
	"github.com/mulberrylink/mulberrylink/state/settings"
)

// faultsPortOffset keeps the ports apart from those of the up, demo, compare and slope commands.
const faultsPortOffset = 8000

func faultsCommand() *cli.Command {
	return &cli.Command{
		Name:  "faults",
		Usage: "run scripted fault scenarios and check every outcome",
		Description: `Starts a deployment for each scenario in RUN/faults-NAME, runs its load and its
faults, and compares the outcomes with the journals. The exit status is 0 only if
every expectation held. The language of the files is in the package comment of
cmd/mulberrybench/faults.

Examples:
  mulberrybench faults
  mulberrybench faults --scenario control-leader,crasher --seed 7
  mulberrybench faults --file my.txt`,
		Flags: []cli.Flag{
			binFlag(),
			&cli.StringFlag{Name: "config", Usage: "`DIR` of all sites", Value: "config"},
			runFlag(),
			&cli.StringFlag{Name: "scenario", Usage: "only these scenarios"},
			&cli.StringFlag{Name: "file", Usage: "run the scenario in `FILE`"},
			&cli.StringFlag{Name: "policy", Usage: "selection policy of the nodes"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the load, instead of the scenario's"},
			&cli.IntFlag{Name: "shift", Usage: "added to every port", Value: faultsPortOffset},
		},
		Action: runFaults,
	}
}

func runFaults(ctx context.Context, c *cli.Command) error {
	scenarios, err := selectScenarios(c)
	if err != nil {
		return err
	}
	o := faults.Options{
		Bin: c.String("bin"), Config: c.String("config"), Run: c.String("run"),
		PortOffset: c.Int("shift"), Policy: c.String("policy"), Seed: c.Uint64("seed"),
	}
	var failed []error
	for _, s := range scenarios {
		if err := faults.Run(ctx, os.Stdout, o, s); err != nil {
			failed = append(failed, err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Join(failed...)
}

// selectScenarios returns the scenario of the flag file, or the embedded scenarios that the flag
// scenario names; all of them if neither flag is set.
func selectScenarios(c *cli.Command) ([]faults.Scenario, error) {
	if file := c.String("file"); file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read scenario")
		}
		s, err := faults.Parse(file, string(text))
		return []faults.Scenario{s}, err
	}
	all, err := faults.Embedded()
	if err != nil || !c.IsSet("scenario") {
		return all, err
	}
	var selected []faults.Scenario
	for _, name := range settings.List(c.String("scenario")) {
		i := slices.IndexFunc(all, func(s faults.Scenario) bool { return s.Name == name })
		if i < 0 {
			return nil, errors.Newf("unknown scenario %q", name)
		}
		selected = append(selected, all[i])
	}
	return selected, nil
}
