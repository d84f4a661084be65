// Package demo runs the main workload of a site against real processes on
// loopback, changes the configuration and takes a failure domain out of service
// and back while the load runs, and checks every outcome against the journals
// of the upstreams.
//
// # Usage
//
//	err := demo.Run(ctx, os.Stdout, demo.Options{Bin: "bin", Config: "config/association", Run: "run"})
//
// Run prints key=value lines, stops everything it started and returns an error
// unless every outcome was correct.
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

// Timeline of the load, from its start. The warm-up lets the limits of cold
// upstreams grow.
const (
	warmFor  = 4 * time.Second
	changeAt = 6 * time.Second
	outAt    = 10 * time.Second
	backAt   = 18 * time.Second
	loadFor  = 26 * time.Second
)

// Targets of the design page.
const (
	activeTarget = 15 * time.Second
	outTarget    = 3 * time.Second
	backTarget   = 5 * time.Second
)

const (
	// loadShare of the capacity leaves room for the loss of one of four
	// failure domains.
	loadShare = 0.4
	warmShare = 0.1
	inFlight  = 1000
	timeout   = 5 * time.Second
	repeat    = 20
	// portShift keeps the demo apart from a deployment of mulberrybench up.
	portShift = 2000
	// refusedShare is the largest share of requests that may be refused or end
	// as unknown. Nothing is overloaded or killed, but upstreams that return
	// are cold, and a noisy machine may delay some requests past their wait.
	refusedShare = 0.01
)

// Options say which programs and which site to run.
type Options struct {
	Bin    string
	Config string
	Run    string
	Seed   uint64
}

type demo struct {
	Options
	out    io.Writer
	spec   deployment.Spec
	d      *deployment.Deployment
	config string // directory of the changed configuration
	faults []error
	// outAt and backAt are when the changes of the domain were submitted, which
	// is no later than their acceptance.
	outAt  time.Time
	backAt time.Time
}

// Run runs the demo.
func Run(ctx context.Context, out io.Writer, o Options) (err error) {
	o.Run = filepath.Join(o.Run, "demo")
	if err := deployment.Down(ctx, o.Run); err != nil {
		return errors.Wrap(err, "stop the previous demo")
	}
	if err := os.RemoveAll(o.Run); err != nil {
		return errors.Wrap(err, "clear the run directory")
	}
	begin := time.Now()
	m := &demo{Options: o, out: out, config: filepath.Join(o.Run, "config")}
	if m.spec, err = deployment.ReadSpec(o.Config); err != nil {
		return err
	}
	m.d, err = deployment.Up(ctx, deployment.Options{Bin: o.Bin, Config: o.Config, Run: o.Run, PortOffset: portShift})
	if err != nil {
		return err
	}
	m.print("step=up processes=%d version=%d took=%s", len(m.d.Instances), m.d.ConfigVersion, since(begin))
	if err := m.underLoad(ctx); err != nil {
		m.fault(err)
	}
	if err := deployment.Down(context.WithoutCancel(ctx), o.Run); err != nil {
		m.fault(err)
	}
	m.print("step=down took=%s", since(begin))
	if err := errors.Join(m.faults...); err != nil {
		m.print("outcome=failed faults=%d log=%s", len(m.faults), filepath.Join(o.Run, "log"))
		return err
	}
	m.print("outcome=correct")
	return nil
}

func (m *demo) print(format string, args ...any) { _, _ = fmt.Fprintf(m.out, format+"\n", args...) }

func (m *demo) fault(err error) { m.faults = append(m.faults, err) }

func since(t time.Time) time.Duration { return time.Since(t).Round(time.Millisecond) }

// underLoad runs the load, the changes beside it, and the checks after both.
func (m *demo) underLoad(ctx context.Context) error {
	if err := deployment.CopyConfig(m.Config, m.config); err != nil {
		return err
	}
	if err := m.d.WaitAllWarm(ctx); err != nil {
		return err
	}
	mix, shots := m.schedule()
	g := load.New(load.Options{EntryAddrs: m.d.FrontAddrs(), MaxInFlight: inFlight, Timeout: timeout, WarmUp: warmFor, RepeatEvery: repeat})
	changed := make(chan error, 1)
	begin := time.Now()
	go func() { changed <- m.changes(ctx, begin) }()
	rep := g.Run(ctx, mix, shots)
	if err := <-changed; err != nil {
		m.fault(err)
	}
	_, _ = io.WriteString(m.out, rep.Summary())
	lines, err := journal.ReadDir(filepath.Join(m.Run, "journal"))
	if err != nil {
		return err
	}
	m.checkOutcomes(rep, lines)
	m.checkService(ctx, rep)
	m.checkDomain(lines)
	return nil
}

// schedule returns the requests of the warm-up and of the load.
func (m *demo) schedule() ([]load.Route, []load.Arrival) {
	capacity, weight := m.spec.Capacity()
	mix := load.Mix(weight)
	plan := load.Plan{Seed: 2 * m.Seed, Rate: capacity * warmShare, Duration: warmFor, Mix: mix}
	first := load.Schedule(plan)
	plan.Seed, plan.Rate, plan.Duration = 2*m.Seed+1, capacity*loadShare, loadFor-warmFor
	return mix, load.Concat(first, load.Schedule(plan), warmFor)
}

// changes applies the changes at their times.
func (m *demo) changes(ctx context.Context, begin time.Time) error {
	service, domain := "service "+m.spec.Services[0].Name, "domain "+m.spec.OutDomain()
	_, err := m.change(ctx, begin.Add(changeAt), "demo-service", service, "retry", "15")
	if err != nil {
		return err
	}
	if m.outAt, err = m.change(ctx, begin.Add(outAt), "demo-out", domain, "state", "out"); err != nil {
		return err
	}
	m.backAt, err = m.change(ctx, begin.Add(backAt), "demo-back", domain, "state", "in")
	return err
}

// change edits one key, applies the files and measures how long the accepted
// version takes to be active on every node. It returns when it submitted the
// change.
func (m *demo) change(ctx context.Context, at time.Time, id, section, key, value string) (time.Time, error) {
	select {
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	case <-time.After(time.Until(at)):
	}
	if err := deployment.SetConfigKey(m.config, section, key, value); err != nil {
		return time.Time{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, activeTarget)
	defer cancel()
	begin := time.Now()
	a, err := m.d.Apply(ctx, m.config, m.d.ConfigVersion, id)
	if err != nil {
		return begin, err
	}
	if a.Outcome != "accepted" {
		return begin, errors.Newf("change %s was not accepted: outcome=%s", id, a.Outcome)
	}
	accepted := time.Now()
	m.d.ConfigVersion = a.Version
	took, err := m.d.WaitConfigVersion(ctx, a.Version)
	if err != nil {
		return begin, errors.Wrapf(err, "change %s is not active on every node after %s", id, activeTarget)
	}
	m.print("step=change change=%s version=%d accepted=%s active=%s", id, a.Version,
		accepted.Sub(begin).Round(time.Millisecond), took.Round(time.Millisecond))
	return begin, nil
}

func (m *demo) checkOutcomes(rep *load.Report, lines []journal.Entry) {
	v := load.Check(rep, lines)
	m.print("step=check %s", v)
	for _, n := range v.Notes {
		m.print("fault=%q", n)
	}
	if !v.OK() {
		m.fault(errors.Newf("outcomes are not correct: %s", v))
	}
}

// checkService checks that the requests were served, and that no upstream was
// overloaded in its cold start.
func (m *demo) checkService(ctx context.Context, rep *load.Report) {
	for _, r := range rep.Routes {
		if r.Answered == 0 {
			m.fault(errors.Newf("no request to %s was answered", r.Route.Name()))
		}
		if r.Missed+r.Failed > 0 {
			m.fault(errors.Newf("%s: %d requests were not sent and %d were answered with an error", r.Route.Name(), r.Missed, r.Failed))
		}
	}
	t := rep.Total()
	if refused := t.NotRun + t.Unknown; float64(refused) > refusedShare*float64(t.Sent) {
		m.fault(errors.Newf("%d of %d requests were refused or ended as unknown, more than %g%%", refused, t.Sent, 100*refusedShare))
	}
	for _, u := range m.d.OfKind(deployment.KindUpstream) {
		s, err := deployment.UpstreamStats(ctx, u.Addr)
		if err != nil {
			m.fault(errors.Wrap(err, u.Name))
		}
		if s.Overloads > 0 {
			m.fault(errors.Newf("%s was overloaded %d times in its cold start", u.Name, s.Overloads))
		}
	}
}
