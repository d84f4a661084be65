package compare

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/deployment"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/load"
)

const (
	inFlight = 3000
	timeout  = 3 * time.Second
	// portShift keeps a comparison apart from up and demo.
	portShift = 4000
)

// Options say what to run and where.
type Options struct {
	Bin string
	// Config is the directory that holds one directory for each site.
	Config string
	Run    string
	Grid   Grid
}

// result is one measured cell.
type result struct {
	cell
	Total   load.RouteReport
	Verdict load.Verdict
	// Goodput is answers with status 2xx per second.
	Goodput float64
	// Probes is the probes that one upstream answered per second.
	Probes float64
	// Falls is how often upstreams got more work in a cold start than they
	// could handle.
	Falls int
}

// String returns the line of the cell.
func (r result) String() string {
	return fmt.Sprintf("policy=%s scenario=%s load=%d seed=%d p50=%.1fms p99=%.1fms p999=%.1fms goodput=%.1f untrue=%d duplicates=%d probes=%.2f site=%s sent=%d notrun=%d unknown=%d failed=%d missed=%d wrong=%d falls=%d p99all=%.1fms lost=%.4f",
		r.Policy, r.Scenario, r.Load, r.Seed, r.Total.Quantile(50), r.Total.Quantile(99), r.Total.Quantile(99.9),
		r.Goodput, r.Verdict.FalseNotRun, r.Verdict.Duplicates, r.Probes,
		r.Site, r.Total.Sent, r.Total.NotRun, r.Total.Unknown, r.Total.Failed, r.Total.Missed, r.Verdict.Wrong,
		r.Falls, r.Total.QuantileAll(99), r.Total.UnsuccessfulShare())
}

// Run runs the grid, prints a line for each cell and a summary, and writes the
// report.
func Run(ctx context.Context, out io.Writer, o Options) error {
	if err := o.Grid.Validate(); err != nil {
		return err
	}
	begin := time.Now()
	_, _ = fmt.Fprintf(out, "cells=%d omitted=%q\n", o.Grid.CellCount(), o.Grid.Omitted())
	all, runErr := runGrid(ctx, out, o)
	groups := group(all)
	for _, line := range summary(groups) {
		_, _ = fmt.Fprintln(out, line)
	}
	path, err := writeReport(o.Run, groups, o.Grid)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "took=%s report=%s\n", time.Since(begin).Round(time.Second), path)
	return errors.Join(runErr, faulty(all))
}

// runGrid returns the cells that were measured before the first error.
func runGrid(ctx context.Context, out io.Writer, o Options) (all []result, err error) {
	for _, site := range o.Grid.Sites {
		for _, policy := range o.Grid.Policies {
			some, err := runDeployment(ctx, out, o, site, policy)
			all = append(all, some...)
			if err != nil {
				return all, errors.Wrapf(err, "site %s policy %s", site, policy)
			}
		}
	}
	return all, nil
}

// faulty returns an error when a cell broke an invariant.
func faulty(all []result) error {
	bad := 0
	for _, r := range all {
		if !r.Verdict.OK() {
			bad++
		}
	}
	if bad > 0 {
		return errors.Newf("%d of %d cells had outcomes that are not correct", bad, len(all))
	}
	return nil
}

// runDeployment runs all cells of one site and policy.
func runDeployment(ctx context.Context, out io.Writer, o Options, site, policy string) (all []result, err error) {
	run := filepath.Join(o.Run, "compare")
	if err := deployment.Down(ctx, run); err != nil {
		return nil, err
	}
	if err := os.RemoveAll(run); err != nil {
		return nil, errors.Wrap(err, "clear the run directory")
	}
	dir := filepath.Join(o.Config, site)
	spec, err := deployment.ReadSpec(dir)
	if err != nil {
		return nil, err
	}
	d, err := deployment.Up(ctx, deployment.Options{Bin: o.Bin, Config: dir, Run: run, PortOffset: portShift, Policy: policy})
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, deployment.Down(context.WithoutCancel(ctx), run)) }()
	f, err := newFaults(d, dir, spec.OutDomain())
	if err != nil {
		return nil, err
	}
	if err := warm(ctx, d, f, spec); err != nil {
		return nil, err
	}
	for _, c := range o.Grid.deploymentCells(site, policy) {
		r, err := runCell(ctx, d, f, spec, o.Grid, c)
		if err != nil {
			return all, errors.Wrapf(err, "scenario %s load %d seed %d", c.Scenario, c.Load, c.Seed)
		}
		_, _ = fmt.Fprintln(out, r)
		for _, n := range r.Verdict.Notes {
			_, _ = fmt.Fprintf(out, "fault=%q\n", n)
		}
		all = append(all, r)
	}
	return all, nil
}

func runCell(ctx context.Context, d *deployment.Deployment, f *faults, spec deployment.Spec, g Grid, c cell) (result, error) {
	if err := f.settle(ctx); err != nil {
		return result{}, err
	}
	capacity, weight := spec.Capacity()
	mix := load.Mix(weight)
	shots := load.Schedule(load.Plan{
		Seed: c.schedule(), Rate: capacity * float64(c.Load) / 100, Duration: g.WarmUp + g.Duration, Mix: mix,
	})
	gen := load.New(load.Options{EntryAddrs: d.FrontAddrs(), MaxInFlight: inFlight, Timeout: timeout, WarmUp: g.WarmUp})
	before, fell := probes(ctx, d), falls(ctx, d)
	begin := time.Now()
	injected := make(chan error, 1)
	go func() { injected <- f.inject(ctx, c.Scenario, begin.Add(g.WarmUp), g.Duration) }()
	rep := gen.Run(ctx, mix, shots)
	if err := <-injected; err != nil {
		return result{}, err
	}
	lines, err := journal.ReadDir(filepath.Join(d.Run, "journal"))
	if err != nil {
		return result{}, err
	}
	r := result{cell: c, Total: rep.Total(), Verdict: load.Check(rep, since(lines, begin))}
	r.Goodput = float64(r.Total.Answered) / g.Duration.Seconds()
	upstreams := float64(len(d.OfKind(deployment.KindUpstream)))
	r.Probes = float64(probes(ctx, d)-before) / rep.Elapsed.Seconds() / upstreams
	r.Falls = fell.added(falls(ctx, d))
	return r, nil
}

// Load after the start of a deployment, so that the limits of the nodes have
// grown before the first cell.
const (
	warmFor   = 4 * time.Second
	warmShare = 0.3
	warmSeed  = 1 << 40 // above the 32 bits of the seeds of cells
)

func warm(ctx context.Context, d *deployment.Deployment, f *faults, spec deployment.Spec) error {
	if err := f.settle(ctx); err != nil {
		return err
	}
	capacity, weight := spec.Capacity()
	mix := load.Mix(weight)
	shots := load.Schedule(load.Plan{Seed: warmSeed, Rate: capacity * warmShare, Duration: warmFor, Mix: mix})
	load.New(load.Options{EntryAddrs: d.FrontAddrs(), MaxInFlight: inFlight, Timeout: timeout}).Run(ctx, mix, shots)
	return nil
}

// since returns the executions of this cell.
func since(lines []journal.Entry, begin time.Time) []journal.Entry {
	var some []journal.Entry
	for _, e := range lines {
		if !e.Time.Before(begin) {
			some = append(some, e)
		}
	}
	return some
}

// fallCounts are the falls of each upstream process by its address.
type fallCounts map[string]int

func falls(ctx context.Context, d *deployment.Deployment) fallCounts {
	counts := make(fallCounts)
	for _, u := range d.OfKind(deployment.KindUpstream) {
		if s, err := deployment.UpstreamStats(ctx, u.Addr); err == nil {
			counts[u.Addr] = s.Overloads
		}
	}
	return counts
}

// added returns the falls since before. A count below the earlier one is that
// of a restarted process.
func (before fallCounts) added(after fallCounts) int {
	sum := 0
	for addr, n := range after {
		if n >= before[addr] {
			n -= before[addr]
		}
		sum += n
	}
	return sum
}

// probes returns what measuring has cost so far: requests to the endpoints of
// upstreams and load probes between nodes. An upstream that was restarted counts
// from zero, so that the difference is a lower bound in that case.
func probes(ctx context.Context, d *deployment.Deployment) int {
	sum := 0
	for _, u := range d.OfKind(deployment.KindUpstream) {
		if s, err := deployment.UpstreamStats(ctx, u.Addr); err == nil {
			sum += s.Probes
		}
	}
	for _, u := range d.OfKind(deployment.KindNode) {
		if n, err := deployment.NodeMetric(ctx, u.AdminAddr, "gossip_probes"); err == nil {
			sum += n
		}
	}
	return sum
}
