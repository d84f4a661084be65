// Package demo runs the main workload of a site against real processes on loopback. While the load
// runs, it changes the configuration, takes a failure domain out of service and returns it. It then
// checks every outcome against the journals of the upstreams.
//
// # Usage
//
//	err := demo.Run(ctx, os.Stdout, demo.Options{Bin: "bin", Config: "config/association", Run: "run"})
//
// Run prints key=value lines, stops everything that it started and returns an error unless every
// outcome was correct.
package demo

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

// Timeline of the load, from its start. During the warm-up the concurrency limits of cold upstreams
// grow.
const (
	warmUpDuration = 4 * time.Second
	retryChangeAt  = 6 * time.Second
	domainOutAt    = 10 * time.Second
	domainInAt     = 18 * time.Second
	loadDuration   = 26 * time.Second
)

// Limits that the demo checks. activationTarget and outTarget are targets of docs/design.md.
const (
	activationTarget = 15 * time.Second
	outTarget        = 3 * time.Second
	returnTarget     = 5 * time.Second
)

const (
	// loadShare is the load as a share of the capacity. It leaves room for the loss of one of four
	// failure domains.
	loadShare      = 0.4
	warmUpShare    = 0.1
	maxInFlight    = 1000
	requestTimeout = 5 * time.Second
	// repeatEvery is the number of answered keyed requests of which one is sent again with its key.
	repeatEvery = 20
	// portOffset keeps the ports apart from those of the up, compare, slope and faults commands.
	portOffset = 2000
	// maxUnservedShare is the maximum share of requests that may be rejected or end as unknown. It is
	// above 0 although nothing is overloaded or killed: upstreams of a returned failure domain are
	// cold, and other work on the machine may delay some requests beyond their maximum wait.
	maxUnservedShare = 0.01
)

// Options selects the programs, the site and the run directory of the demo.
type Options struct {
	Bin    string
	Config string
	Run    string
	Seed   uint64
}

// demo is one run of the demo.
type demo struct {
	Options
	out       io.Writer
	spec      deployment.Spec
	d         *deployment.Deployment
	configDir string // directory of the changed configuration
	failures  []error
	// outSubmitted and returnSubmitted are the times at which the changes of the failure domain were
	// submitted, which is no later than their acceptance.
	outSubmitted    time.Time
	returnSubmitted time.Time
}

// Run runs the demo in the subdirectory demo of the run directory.
func Run(ctx context.Context, out io.Writer, o Options) (err error) {
	o.Run = filepath.Join(o.Run, "demo")
	if err := deployment.Down(ctx, o.Run); err != nil {
		return errors.Wrap(err, "stop the previous demo")
	}
	if err := os.RemoveAll(o.Run); err != nil {
		return errors.Wrap(err, "clear the run directory")
	}
	begin := time.Now()
	m := &demo{Options: o, out: out, configDir: filepath.Join(o.Run, "config")}
	if m.spec, err = deployment.ReadSpec(o.Config); err != nil {
		return err
	}
	m.d, err = deployment.Up(ctx, deployment.Options{Bin: o.Bin, Config: o.Config, Run: o.Run, PortOffset: portOffset})
	if err != nil {
		return err
	}
	m.print("step=up processes=%d version=%d took=%s", len(m.d.Instances), m.d.ConfigVersion, elapsedSince(begin))
	if err := m.runLoad(ctx); err != nil {
		m.recordFailure(err)
	}
	stopBegin := time.Now()
	if err := deployment.Down(context.WithoutCancel(ctx), o.Run); err != nil {
		m.recordFailure(err)
	}
	m.print("step=down took=%s total=%s", elapsedSince(stopBegin), elapsedSince(begin))
	if err := errors.Join(m.failures...); err != nil {
		m.print("outcome=failed faults=%d log=%s", len(m.failures), filepath.Join(o.Run, "log"))
		return err
	}
	m.print("outcome=correct")
	return nil
}

func (m *demo) print(format string, args ...any) { _, _ = fmt.Fprintf(m.out, format+"\n", args...) }

func (m *demo) recordFailure(err error) { m.failures = append(m.failures, err) }

func elapsedSince(t time.Time) time.Duration { return time.Since(t).Round(time.Millisecond) }

// runLoad runs the load and the configuration changes concurrently, and the checks after both.
func (m *demo) runLoad(ctx context.Context) error {
	if err := deployment.CopyConfig(m.Config, m.configDir); err != nil {
		return err
	}
	if err := m.d.WaitAllWarm(ctx); err != nil {
		return err
	}
	mix, arrivals := m.schedule()
	g := load.New(load.Options{EntryAddrs: m.d.FrontAddrs(), MaxInFlight: maxInFlight, Timeout: requestTimeout, WarmUp: warmUpDuration, RepeatEvery: repeatEvery})
	changed := make(chan error, 1)
	begin := time.Now()
	go func() { changed <- m.applyChanges(ctx, begin) }()
	rep := g.Run(ctx, mix, arrivals)
	if err := <-changed; err != nil {
		m.recordFailure(err)
	}
	_, _ = io.WriteString(m.out, rep.Summary())
	entries, err := journal.ReadDir(filepath.Join(m.Run, "journal"))
	if err != nil {
		return err
	}
	m.checkOutcomes(rep, entries)
	m.checkService(ctx, rep)
	m.checkDomain(entries)
	return nil
}

// schedule returns the request mix and the scheduled requests of the warm-up and of the load.
func (m *demo) schedule() ([]load.Route, []load.Arrival) {
	capacity, weight := m.spec.Capacity()
	mix := load.Mix(weight)
	plan := load.Plan{Seed: 2 * m.Seed, Rate: capacity * warmUpShare, Duration: warmUpDuration, Mix: mix}
	warmUp := load.Schedule(plan)
	plan.Seed, plan.Rate, plan.Duration = 2*m.Seed+1, capacity*loadShare, loadDuration-warmUpDuration
	return mix, load.Concat(warmUp, load.Schedule(plan), warmUpDuration)
}

// applyChanges applies the changes at their times: a change of a retry setting, then the failure
// domain out of service and its return.
func (m *demo) applyChanges(ctx context.Context, begin time.Time) error {
	service, domain := "service "+m.spec.Services[0].Name, "domain "+m.spec.OutDomain()
	_, err := m.applyChange(ctx, begin.Add(retryChangeAt), "demo-service", service, "retry", "15")
	if err != nil {
		return err
	}
	if m.outSubmitted, err = m.applyChange(ctx, begin.Add(domainOutAt), "demo-out", domain, "state", "out"); err != nil {
		return err
	}
	m.returnSubmitted, err = m.applyChange(ctx, begin.Add(domainInAt), "demo-back", domain, "state", "in")
	return err
}

// applyChange waits until at, sets one key of the copied configuration and applies it. It measures
// how long the accepted version takes to become active on every node, and returns the time at which
// it submitted the change.
func (m *demo) applyChange(ctx context.Context, at time.Time, changeID, section, key, value string) (time.Time, error) {
	select {
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	case <-time.After(time.Until(at)):
	}
	if err := deployment.SetConfigKey(m.configDir, section, key, value); err != nil {
		return time.Time{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, activationTarget)
	defer cancel()
	begin := time.Now()
	applied, err := m.d.Apply(ctx, m.configDir, m.d.ConfigVersion, changeID)
	if err != nil {
		return begin, err
	}
	if applied.Outcome != "accepted" {
		return begin, errors.Newf("change %s was not accepted: outcome=%s", changeID, applied.Outcome)
	}
	accepted := time.Now()
	m.d.ConfigVersion = applied.Version
	took, err := m.d.WaitConfigVersion(ctx, applied.Version)
	if err != nil {
		return begin, errors.Wrapf(err, "change %s is not active on every node within %s", changeID, activationTarget)
	}
	m.print("step=change change=%s version=%d accepted=%s active=%s", changeID, applied.Version,
		accepted.Sub(begin).Round(time.Millisecond), took.Round(time.Millisecond))
	return begin, nil
}

// checkOutcomes compares the outcomes that callers got with the journals of the upstreams.
func (m *demo) checkOutcomes(rep *load.Report, entries []journal.Entry) {
	v := load.Check(rep, entries)
	m.print("step=check %s", v)
	for _, note := range v.Notes {
		m.print("fault=%q", note)
	}
	if !v.OK() {
		m.recordFailure(errors.Newf("outcomes are not correct: %s", v))
	}
}

// checkService checks that the requests were served, and that no upstream was overloaded in its cold
// start.
func (m *demo) checkService(ctx context.Context, rep *load.Report) {
	for _, r := range rep.Routes {
		if r.Answered == 0 {
			m.recordFailure(errors.Newf("no request to %s was answered", r.Route.Name()))
		}
		if r.Missed+r.Failed > 0 {
			m.recordFailure(errors.Newf("%s: %d requests were not sent and %d were answered with an error", r.Route.Name(), r.Missed, r.Failed))
		}
	}
	t := rep.Total()
	if unserved := t.NotRun + t.Unknown; float64(unserved) > maxUnservedShare*float64(t.Sent) {
		m.recordFailure(errors.Newf("%d of %d requests were rejected or ended as unknown, more than %g%%", unserved, t.Sent, 100*maxUnservedShare))
	}
	for _, u := range m.d.OfKind(deployment.KindUpstream) {
		s, err := deployment.UpstreamStats(ctx, u.Addr)
		if err != nil {
			m.recordFailure(errors.Wrap(err, u.Name))
		}
		if s.Overloads > 0 {
			m.recordFailure(errors.Newf("%s was overloaded %d times in its cold start", u.Name, s.Overloads))
		}
	}
}
