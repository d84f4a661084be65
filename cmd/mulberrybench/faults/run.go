package faults

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/deployment"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/journal"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/load"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/pause"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/upstream"
)

const (
	site        = "association"
	maxInFlight = 2000
	// repeatEvery sends one of this many answered keyed requests again with the same key.
	repeatEvery = 10
	// Parameters of the warm-up load. Its seed is above the 32-bit seeds of scenarios, so that the
	// tokens of its requests differ from theirs.
	warmUpSeed     = 1 << 40
	warmUpShare    = 0.3
	warmUpDuration = 3 * time.Second
	// settleDelay lets executions of canceled requests reach the journal.
	settleDelay = 300 * time.Millisecond
)

// Options configures the runs of scenarios.
type Options struct {
	// Bin is the directory of the programs.
	Bin string
	// Config is the directory that holds one directory for each site.
	Config string
	// Run is the directory that the run directory of the scenario is created in.
	Run string
	// PortOffset is added to every port.
	PortOffset int
	// Policy replaces the selection policy of the nodes if it is not empty.
	Policy string
	// Seed replaces the seed of the scenario if it is not 0.
	Seed uint64
}

// run is one scenario in progress. Steps run sequentially; the uploads and crash requests that they
// start run concurrently as tasks.
type run struct {
	Options
	scenario       Scenario
	d              *deployment.Deployment
	configDir      string
	relays         map[string][]*relay
	controlRoles   map[string]string
	endedProcesses map[string]bool // ended by a step and not restarted
	disruptedAddrs map[string]bool // addresses of processes that a step killed or froze
	overloads      int             // of upstreams that a step has killed, counted before the kill
	stepDone       map[time.Duration]time.Time
	tasks          sync.WaitGroup

	mu       sync.Mutex
	out      io.Writer
	failures []error
}

// Run runs one scenario, prints its steps and figures, and stops all processes that it started. It
// returns an error unless every expectation is met.
func Run(ctx context.Context, out io.Writer, o Options, s Scenario) (err error) {
	o.Run = filepath.Join(o.Run, "faults-"+s.Name)
	if o.Seed != 0 {
		s.Load.Seed = o.Seed
	}
	if err := deployment.Down(ctx, o.Run); err != nil {
		return errors.Wrap(err, "stop the previous run")
	}
	if err := os.RemoveAll(o.Run); err != nil {
		return errors.Wrap(err, "clear the run directory")
	}
	r := &run{
		Options: o, scenario: s, out: out, configDir: filepath.Join(o.Run, "config"),
		relays: make(map[string][]*relay), endedProcesses: make(map[string]bool), disruptedAddrs: make(map[string]bool), stepDone: make(map[time.Duration]time.Time),
	}
	defer r.closeRelays()
	if err := r.start(ctx); err != nil {
		return err
	}
	r.recordFailure(r.runLoad(ctx))
	r.recordFailure(r.stop(context.WithoutCancel(ctx)))
	if err := errors.Join(r.failures...); err != nil {
		r.print("scenario=%s seed=%d outcome=failed faults=%d log=%s", s.Name, s.Load.Seed, len(r.failures), filepath.Join(o.Run, "log"))
		return errors.Wrapf(err, "scenario %s seed %d", s.Name, s.Load.Seed)
	}
	r.print("scenario=%s seed=%d outcome=correct", s.Name, s.Load.Seed)
	return nil
}

func (r *run) start(ctx context.Context) (err error) {
	dir := filepath.Join(r.Config, site)
	if r.d, err = deployment.Up(ctx, deployment.Options{
		Bin: r.Bin, Config: dir, Run: r.Run, PortOffset: r.PortOffset, Policy: r.Policy,
		EditSettings: func(name string, f *ini.File) error { return r.insertRelays(ctx, name, f) },
	}); err != nil {
		return err
	}
	err = deployment.CopyConfig(dir, r.configDir)
	if err == nil && !r.scenario.Load.StartCold {
		err = r.warmUp(ctx)
	}
	if err != nil {
		return errors.Join(err, r.stop(context.WithoutCancel(ctx)))
	}
	return nil
}

// warmUp waits for the end of the cold starts and sends a light load, so that the concurrency
// limits of the nodes have grown before the load of the scenario starts.
func (r *run) warmUp(ctx context.Context) error {
	if err := r.d.WaitAllWarm(ctx); err != nil {
		return err
	}
	spec, err := deployment.ReadSpec(filepath.Join(r.Config, site))
	if err != nil {
		return err
	}
	capacity, weight := spec.Capacity()
	mix := load.Mix(weight)
	arrivals := load.Schedule(load.Plan{Seed: warmUpSeed, Rate: capacity * warmUpShare, Duration: warmUpDuration, Mix: mix})
	load.New(load.Options{EntryAddrs: r.d.FrontAddrs(), MaxInFlight: maxInFlight, Timeout: r.scenario.Load.Timeout}).Run(ctx, mix, arrivals)
	return nil
}

// insertRelays puts relays between a node and its control hosts if the scenario names the node in a
// relay statement.
func (r *run) insertRelays(ctx context.Context, name string, f *ini.File) error {
	for _, n := range r.scenario.Relays {
		if n != name {
			continue
		}
		key := f.Section("control").Key("hosts")
		var addrs []string
		for _, addr := range key.Strings(",") {
			relay, err := newRelay(ctx, addr)
			if err != nil {
				return err
			}
			r.relays[name] = append(r.relays[name], relay)
			addrs = append(addrs, relay.addr())
		}
		key.SetValue(strings.Join(addrs, ", "))
	}
	return nil
}

func (r *run) closeRelays() {
	for _, relays := range r.relays {
		for _, relay := range relays {
			relay.close()
		}
	}
}

// stop ends all processes. It continues frozen ones first, so that they can handle their signals.
func (r *run) stop(ctx context.Context) error {
	for _, inst := range r.d.Instances {
		_ = inst.Signal(r.Run, syscall.SIGCONT) // fails for a process that has ended
	}
	return deployment.Down(ctx, r.Run)
}

func (r *run) runLoad(ctx context.Context) error {
	spec, err := deployment.ReadSpec(filepath.Join(r.Config, site))
	if err != nil {
		return err
	}
	l := r.scenario.Load
	_, weight := spec.Capacity()
	mix := keyedShare(load.Mix(weight), l.KeyedShare)
	headers := make(map[string]string)
	if l.ServiceTime > 0 {
		headers[upstream.HeaderServiceTime] = l.ServiceTime.String()
	}
	arrivals := load.Schedule(load.Plan{Seed: l.Seed, Rate: l.Rate, Duration: l.Duration, Mix: mix})
	g := load.New(load.Options{EntryAddrs: r.d.FrontAddrs(), MaxInFlight: maxInFlight, Timeout: l.Timeout, RepeatEvery: repeatEvery, Header: headers})
	begin := time.Now()
	r.tasks.Go(func() { r.runSteps(ctx, begin) })
	rep := g.Run(ctx, mix, arrivals)
	r.tasks.Wait()
	pause.For(ctx, settleDelay)
	entries, err := journal.ReadDir(filepath.Join(r.Run, "journal"))
	if err != nil {
		return err
	}
	r.evaluate(ctx, rep, entries, begin, r.resendLookups(ctx, rep, headers))
	return nil
}

// keyedShare adjusts the weights of mix to the given share of keyed requests, so that several of
// them are in flight when a fault occurs.
func keyedShare(mix []load.Route, share float64) []load.Route {
	if share == 0 {
		return mix
	}
	weightSum := make(map[bool]float64)
	for _, m := range mix {
		weightSum[m.Keyed] += m.Weight
	}
	for i, m := range mix {
		targetShare := 1 - share
		if m.Keyed {
			targetShare = share
		}
		mix[i].Weight *= targetShare / weightSum[m.Keyed]
	}
	return mix
}

// runSteps runs the steps at their times. A step that fails fails the scenario, which would prove
// nothing without it.
func (r *run) runSteps(ctx context.Context, begin time.Time) {
	for _, s := range r.scenario.Steps {
		if !pause.For(ctx, time.Until(begin.Add(s.At))) {
			return
		}
		err := verbs[s.Verb](r, ctx, s)
		r.stepDone[s.At] = time.Now()
		r.print("step=%s at=%s done=%s target=%q", s.Verb, s.At, elapsedSince(begin), strings.Join(s.Args, " "))
		r.recordFailure(errors.Wrapf(err, "line %d: %s", s.Line, s.Verb))
	}
}

func (r *run) print(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *run) recordFailure(err error) {
	if err == nil {
		return
	}
	r.print("fault=%q", err.Error())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, err)
}

func elapsedSince(t time.Time) time.Duration { return time.Since(t).Round(time.Millisecond) }
