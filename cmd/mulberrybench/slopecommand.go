package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/slope"
	"github.com/mulberrylink/mulberrylink/state/settings"
)

func slopeCommand() *cli.Command {
	return &cli.Command{
		Name:  "slope",
		Usage: "measure how the cost of each part grows with its size",
		Description: `Runs each part at several sizes on loopback, fits a line, and extrapolates to
the size the system is designed for. docs/CAPACITY.md cites the output.

Examples:
  mulberrybench slope
  mulberrybench slope --part membership,watch --for 20s`,
		Flags: []cli.Flag{
			binFlag(),
			configFlag(),
			runFlag(),
			&cli.StringFlag{Name: "part", Usage: "only these parts", Value: strings.Join(slope.Parts(), ",")},
			&cli.DurationFlag{Name: "for", Usage: "measured time at each size", Value: 10 * time.Second},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if d := c.Duration("for"); d < time.Second || d > maxMeasureDuration {
				return errors.Newf("--for %s is not from 1s to %s", d, maxMeasureDuration)
			}
			dir := filepath.Join(c.String("run"), "slope")
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return errors.Wrap(err, "create run directory")
			}
			return slope.Run(ctx, os.Stdout, slope.Options{
				Parts: settings.List(c.String("part")), Duration: c.Duration("for"),
				Dir: dir, Bin: c.String("bin"), Config: c.String("config"),
			})
		},
	}
}
