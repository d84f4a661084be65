package main

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/compare"
	"github.com/mulberrylink/mulberrylink/state/settings"
)

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "measure the policies against each other",
		Description: `Runs every policy under the same requests and faults on real processes and
prints one line for each cell, the spread over the seeds, and the adaptive policy
against the best baseline. The default run takes at most ten minutes and prints
what it leaves out; --full runs the whole grid, which takes hours.

Examples:
  mulberrybench compare
  mulberrybench compare --full
  mulberrybench compare --site lanterns --scenario slowdown,domain --load 90 --seeds 3`,
		Flags: []cli.Flag{
			binFlag(),
			&cli.StringFlag{Name: "config", Usage: "`DIR` of all sites", Value: "config"},
			runFlag(),
			&cli.BoolFlag{Name: "full", Usage: "run the whole grid"},
			&cli.StringFlag{Name: "site", Usage: "only these sites"},
			&cli.StringFlag{Name: "policy", Usage: "only these policies"},
			&cli.StringFlag{Name: "scenario", Usage: "only these scenarios"},
			&cli.IntSliceFlag{Name: "load", Usage: "only these loads, in percent of capacity"},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds, at most 20"},
			&cli.DurationFlag{Name: "for", Usage: "measured part of one cell"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			g, err := gridFromFlags(c)
			if err != nil {
				return err
			}
			return compare.Run(ctx, os.Stdout, compare.Options{
				Bin: c.String("bin"), Config: c.String("config"), Run: c.String("run"), Grid: g,
			})
		},
	}
}

// Limits of flags. maxMeasureDuration also limits the flag for of the slope command.
const (
	maxSeeds           = 20
	maxMeasureDuration = 10 * time.Minute
)

// gridFromFlags returns the default or the full grid, with the values of the given flags.
func gridFromFlags(c *cli.Command) (compare.Grid, error) {
	g := compare.DefaultGrid()
	if c.Bool("full") {
		g = compare.FullGrid()
	}
	override := func(name string, values *[]string) {
		if c.IsSet(name) {
			*values = settings.List(c.String(name))
		}
	}
	override("site", &g.Sites)
	override("policy", &g.Policies)
	override("scenario", &g.Scenarios)
	if c.IsSet("load") {
		g.Loads = c.IntSlice("load")
	}
	if c.IsSet("seeds") {
		n := c.Int("seeds")
		if n < 1 || n > maxSeeds {
			return g, errors.Newf("seeds must be from 1 to %d", maxSeeds)
		}
		g.Seeds = nil
		for s := range n {
			g.Seeds = append(g.Seeds, uint64(s+1))
		}
	}
	if c.IsSet("for") {
		g.Duration = c.Duration("for")
	}
	if g.Duration > maxMeasureDuration {
		return g, errors.Newf("for must be at most %s", maxMeasureDuration)
	}
	return g, g.Validate()
}
