package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/demo"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/deployment"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/load"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/upstream"
	"github.com/mulberrylink/mulberrylink/state/settings"
	"github.com/mulberrylink/mulberrylink/transport/events"
)

func commands() []*cli.Command {
	return []*cli.Command{
		upCommand(),
		downCommand(),
		demoCommand(),
		compareCommand(),
		faultsCommand(),
		slopeCommand(),
		loadCommand(),
		upstreamCommand(),
		settingsCommand(),
	}
}

func binFlag() cli.Flag {
	return &cli.StringFlag{Name: "bin", Usage: "`DIR` of the programs", Value: "bin"}
}

func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Usage: "`DIR` of the site", Value: "config/association"}
}

func runFlag() cli.Flag {
	return &cli.StringFlag{Name: "run", Usage: "`DIR` for what the run writes", Value: "run"}
}

func upCommand() *cli.Command {
	return &cli.Command{
		Name:  "up",
		Usage: "start a deployment and return when it is ready",
		Description: `Starts control hosts, nodes and simulated upstreams as processes of their own,
applies the base file and the overlays of the site, and writes RUN/processes.

Example:
  mulberrybench up --bin bin --config config/lanterns --run run`,
		Flags: []cli.Flag{binFlag(), configFlag(), runFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			begin := time.Now()
			o := deployment.Options{Bin: c.String("bin"), Config: c.String("config"), Run: c.String("run")}
			d, err := deployment.Up(ctx, o)
			if err != nil {
				return err
			}
			fmt.Printf("outcome=ready processes=%d version=%d took=%s\n", len(d.Instances), d.ConfigVersion, time.Since(begin).Round(time.Millisecond))
			return nil
		},
	}
}

func downCommand() *cli.Command {
	return &cli.Command{
		Name:  "down",
		Usage: "stop the deployment that RUN/processes lists",
		Description: `Stops exactly the listed processes, and only those whose command line still
names their settings file.

Example:
  mulberrybench down --run run`,
		Flags: []cli.Flag{runFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return deployment.Down(ctx, c.String("run"))
		},
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the main workload and check every outcome",
		Description: `Starts a deployment in RUN/demo on ports of its own, sends lookups, uploads and
keyed filings, applies a change, takes one failure domain out of service and
returns it, compares the outcomes with the journals, and stops everything. Takes
under a minute; the exit status is 0 only if every outcome was correct.

Example:
  mulberrybench demo --bin bin --config config/association --run run`,
		Flags: []cli.Flag{
			binFlag(), configFlag(), runFlag(),
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the schedule", Value: 1},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return demo.Run(ctx, os.Stdout, demo.Options{
				Bin: c.String("bin"), Config: c.String("config"), Run: c.String("run"), Seed: c.Uint64("seed"),
			})
		},
	}
}

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "write the settings of each process of a site",
		Description: `Reads CONFIG/deployment.ini and writes CONFIG/processes/NAME.ini.

Example:
  mulberrybench settings --config config/association`,
		Flags: []cli.Flag{configFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			return deployment.WriteSettings(c.String("config"))
		},
	}
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send an open-loop load to a running deployment",
		Description: `Sends lookups, uploads and keyed filings to all nodes in RUN/processes, checks
every answer, compares the outcomes with the journals in RUN/journal, and prints
one line for each route. Latency counts from the intended start.

Example:
  mulberrybench load --run run --rate 300 --for 20s --seed 7`,
		Flags: []cli.Flag{
			runFlag(),
			&cli.FloatFlag{Name: "rate", Usage: "requests per second, at most 5000", Value: 200},
			&cli.DurationFlag{Name: "for", Usage: "length of the run, at most 10m", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "warm", Usage: "first part that is not measured"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the schedule; a run directory takes each seed once"},
			&cli.IntFlag{Name: "cap", Usage: "largest number of requests in flight", Value: 1000},
			&cli.DurationFlag{Name: "timeout", Usage: "timeout of a request", Value: 5 * time.Second},
			&cli.IntFlag{Name: "repeat", Usage: "send every Nth answered filing again, 0 for none", Value: 20},
		},
		Action: runLoad,
	}
}

// Limits of the flags of the load command, so that a mistyped value doesn't overload the machine.
const (
	maxRate         = 5000
	maxLoadDuration = 10 * time.Minute
	maxInFlight     = 20000
)

func runLoad(ctx context.Context, c *cli.Command) error {
	rate, duration, inFlight := c.Float("rate"), c.Duration("for"), c.Int("cap")
	if rate <= 0 || rate > maxRate || duration <= 0 || duration > maxLoadDuration || inFlight < 1 || inFlight > maxInFlight {
		return errors.Newf("rate must be from 0 to %d, for from 0 to %s, cap from 1 to %d", maxRate, maxLoadDuration, maxInFlight)
	}
	seed := c.Uint64("seed")
	if !c.IsSet("seed") {
		seed = rand.Uint64()
	}
	nodeAddrs, weight, err := loadTargets(c.String("run"))
	if err != nil {
		return err
	}
	mix := load.Mix(weight)
	arrivals := load.Schedule(load.Plan{Seed: seed, Rate: rate, Duration: duration, Mix: mix})
	g := load.New(load.Options{
		EntryAddrs: nodeAddrs, MaxInFlight: inFlight, Timeout: c.Duration("timeout"), WarmUp: c.Duration("warm"), RepeatEvery: c.Int("repeat"),
	})
	rep := g.Run(ctx, mix, arrivals)
	fmt.Print(rep.Summary())
	entries, err := journal.ReadDir(filepath.Join(c.String("run"), "journal"))
	if err != nil {
		return err
	}
	v := load.Check(rep, entries)
	fmt.Printf("seed=%d took=%s %s\n", seed, rep.Elapsed.Round(time.Millisecond), v)
	if !v.OK() {
		return errors.Newf("outcomes are not correct: %q", v.Notes)
	}
	return nil
}

// loadTargets returns the front addresses of the nodes in run/processes and an equal weight for each
// service that has an upstream.
func loadTargets(run string) ([]string, map[string]float64, error) {
	processes, err := deployment.ReadProcesses(run)
	if err != nil {
		return nil, nil, err
	}
	var nodeAddrs []string
	weight := make(map[string]float64)
	for _, p := range processes {
		switch p.Kind {
		case deployment.KindNode:
			nodeAddrs = append(nodeAddrs, p.Addr)
		case deployment.KindUpstream:
			weight[p.Service()] = 1
		}
	}
	if len(nodeAddrs) == 0 {
		return nil, nil, errors.Newf("%s lists no node; start a deployment with: mulberrybench up", filepath.Join(run, "processes"))
	}
	return nodeAddrs, weight, nil
}

func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name:        "upstream",
		Usage:       "run one simulated upstream",
		Description: upstream.Help,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE`", Required: true},
			&cli.StringFlag{Name: "journal", Usage: "journal `FILE`, instead of the one in the settings"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			var cfg upstream.Settings
			if err := settings.Load(c.String("config"), &cfg); err != nil {
				return err
			}
			if c.IsSet("journal") {
				cfg.Journal.File = c.String("journal")
			}
			l := events.New(os.Stderr, cfg.Log.Level, "mulberrybench", cfg.Upstream.Name)
			s, err := upstream.New(cfg, l)
			if err != nil {
				return err
			}
			return s.Run(ctx)
		},
	}
}
