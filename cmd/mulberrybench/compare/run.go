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
	maxInFlight    = 3000
	requestTimeout = 3 * time.Second
	// portOffset keeps the ports apart from those of the up, demo, slope and faults commands.
	portOffset = 4000
)

// Options selects the programs, the run directory and the cells of a comparison.
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
	// Goodput is the number of responses with status 2xx per second.
	Goodput float64
	// Probes is the number of probes per second and upstream, see countProbes.
	Probes float64
	// Overloads is the number of times that an upstream in its cold start got more requests than it
	// can handle.
	Overloads int
}

// String returns the output line of the cell.
func (r result) String() string {
	return fmt.Sprintf("policy=%s scenario=%s load=%d seed=%d p50=%.1fms p99=%.1fms p999=%.1fms goodput=%.1f untrue=%d duplicates=%d probes=%.2f site=%s sent=%d notrun=%d unknown=%d failed=%d missed=%d wrong=%d falls=%d p99all=%.1fms lost=%.4f",
		r.Policy, r.Scenario, r.Load, r.Seed, r.Total.Quantile(50), r.Total.Quantile(99), r.Total.Quantile(99.9),
		r.Goodput, r.Verdict.FalseNotRun, r.Verdict.Duplicates, r.Probes,
		r.Site, r.Total.Sent, r.Total.NotRun, r.Total.Unknown, r.Total.Failed, r.Total.Missed, r.Verdict.Wrong,
		r.Overloads, r.Total.QuantileAll(99), r.Total.UnsuccessfulShare())
}

// Run runs all cells of the grid, prints a line for each cell and a summary, and writes the HTML
// report.
func Run(ctx context.Context, out io.Writer, o Options) error {
	if err := o.Grid.Validate(); err != nil {
		return err
	}
	begin := time.Now()
	_, _ = fmt.Fprintf(out, "cells=%d omitted=%q\n", o.Grid.CellCount(), o.Grid.Omitted())
	all, runErr := runGrid(ctx, out, o)
	groups := groupResults(all)
	for _, line := range summaryLines(groups) {
		_, _ = fmt.Fprintln(out, line)
	}
	path, err := writeReport(o.Run, groups, o.Grid)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "took=%s report=%s\n", time.Since(begin).Round(time.Second), path)
	return errors.Join(runErr, checkVerdicts(all))
}

// runGrid runs all cells. On an error it also returns the results measured before it.
func runGrid(ctx context.Context, out io.Writer, o Options) (all []result, err error) {
	for _, site := range o.Grid.Sites {
		for _, policy := range o.Grid.Policies {
			measured, err := runDeployment(ctx, out, o, site, policy)
			all = append(all, measured...)
			if err != nil {
				return all, errors.Wrapf(err, "site %s policy %s", site, policy)
			}
		}
	}
	return all, nil
}

// checkVerdicts returns an error if the outcomes of a cell contradict the journals.
func checkVerdicts(all []result) error {
	failed := 0
	for _, r := range all {
		if !r.Verdict.OK() {
			failed++
		}
	}
	if failed > 0 {
		return errors.Newf("outcomes of %d of %d cells are not correct", failed, len(all))
	}
	return nil
}

// runDeployment starts a deployment of one site and policy, runs all its cells and stops it.
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
	d, err := deployment.Up(ctx, deployment.Options{Bin: o.Bin, Config: dir, Run: run, PortOffset: portOffset, Policy: policy})
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, deployment.Down(context.WithoutCancel(ctx), run)) }()
	f, err := newFaultInjector(d, dir, spec.OutDomain())
	if err != nil {
		return nil, err
	}
	if err := warmUp(ctx, d, f, spec); err != nil {
		return nil, err
	}
	for _, c := range o.Grid.deploymentCells(site, policy) {
		r, err := runCell(ctx, d, f, spec, o.Grid, c)
		if err != nil {
			return all, errors.Wrapf(err, "scenario %s load %d seed %d", c.Scenario, c.Load, c.Seed)
		}
		_, _ = fmt.Fprintln(out, r)
		for _, note := range r.Verdict.Notes {
			_, _ = fmt.Fprintf(out, "fault=%q\n", note)
		}
		all = append(all, r)
	}
	return all, nil
}

// runCell resets the faults of the previous cell, runs the load and the scenario of c concurrently,
// and returns the measured result.
func runCell(ctx context.Context, d *deployment.Deployment, f *faultInjector, spec deployment.Spec, g Grid, c cell) (result, error) {
	if err := f.reset(ctx); err != nil {
		return result{}, err
	}
	capacity, weight := spec.Capacity()
	mix := load.Mix(weight)
	arrivals := load.Schedule(load.Plan{
		Seed: c.scheduleSeed(), Rate: capacity * float64(c.Load) / 100, Duration: g.WarmUp + g.Duration, Mix: mix,
	})
	gen := load.New(load.Options{EntryAddrs: d.FrontAddrs(), MaxInFlight: maxInFlight, Timeout: requestTimeout, WarmUp: g.WarmUp})
	probesBefore, overloadsBefore := countProbes(ctx, d), countOverloads(ctx, d)
	begin := time.Now()
	injected := make(chan error, 1)
	go func() { injected <- f.inject(ctx, c.Scenario, begin.Add(g.WarmUp), g.Duration) }()
	rep := gen.Run(ctx, mix, arrivals)
	if err := <-injected; err != nil {
		return result{}, err
	}
	entries, err := journal.ReadDir(filepath.Join(d.Run, "journal"))
	if err != nil {
		return result{}, err
	}
	r := result{cell: c, Total: rep.Total(), Verdict: load.Check(rep, entriesSince(entries, begin))}
	r.Goodput = float64(r.Total.Answered) / g.Duration.Seconds()
	upstreams := float64(len(d.OfKind(deployment.KindUpstream)))
	r.Probes = float64(countProbes(ctx, d)-probesBefore) / rep.Elapsed.Seconds() / upstreams
	r.Overloads = overloadsBefore.increase(countOverloads(ctx, d))
	return r, nil
}

// Parameters of the load that warmUp runs.
const (
	warmUpDuration = 4 * time.Second
	warmUpShare    = 0.3
	warmUpSeed     = 1 << 40 // above the 32-bit range of scheduleSeed
)

// warmUp runs an unmeasured load after the start of a deployment, so that the concurrency limits of
// the nodes have grown before the first cell.
func warmUp(ctx context.Context, d *deployment.Deployment, f *faultInjector, spec deployment.Spec) error {
	if err := f.reset(ctx); err != nil {
		return err
	}
	capacity, weight := spec.Capacity()
	mix := load.Mix(weight)
	arrivals := load.Schedule(load.Plan{Seed: warmUpSeed, Rate: capacity * warmUpShare, Duration: warmUpDuration, Mix: mix})
	load.New(load.Options{EntryAddrs: d.FrontAddrs(), MaxInFlight: maxInFlight, Timeout: requestTimeout}).Run(ctx, mix, arrivals)
	return nil
}

// entriesSince returns the journal entries of executions that started at begin or later.
func entriesSince(entries []journal.Entry, begin time.Time) []journal.Entry {
	var kept []journal.Entry
	for _, e := range entries {
		if !e.Time.Before(begin) {
			kept = append(kept, e)
		}
	}
	return kept
}

// overloadCounts holds the number of overloads of each upstream process in its cold start, by address.
type overloadCounts map[string]int

// countOverloads returns the counts of all upstreams. It leaves out upstreams that don't respond.
func countOverloads(ctx context.Context, d *deployment.Deployment) overloadCounts {
	counts := make(overloadCounts)
	for _, u := range d.OfKind(deployment.KindUpstream) {
		if s, err := deployment.UpstreamStats(ctx, u.Addr); err == nil {
			counts[u.Addr] = s.Overloads
		}
	}
	return counts
}

// increase returns the number of overloads between the counts before and after. A count that is lower
// than before belongs to a restarted process, which counts from zero.
func (before overloadCounts) increase(after overloadCounts) int {
	sum := 0
	for addr, n := range after {
		if n >= before[addr] {
			n -= before[addr]
		}
		sum += n
	}
	return sum
}

// countProbes returns the number of probes since the start of the processes: requests to the load and
// health endpoints of upstreams, and load probes between nodes. A restarted upstream counts from
// zero, so the difference of two counts is then a lower bound.
func countProbes(ctx context.Context, d *deployment.Deployment) int {
	sum := 0
	for _, u := range d.OfKind(deployment.KindUpstream) {
		if s, err := deployment.UpstreamStats(ctx, u.Addr); err == nil {
			sum += s.Probes
		}
	}
	for _, node := range d.OfKind(deployment.KindNode) {
		if n, err := deployment.NodeMetric(ctx, node.AdminAddr, "gossip_probes"); err == nil {
			sum += n
		}
	}
	return sum
}
