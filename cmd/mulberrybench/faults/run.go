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
	site     = "association"
	inFlight = 2000
	// repeat is every how many answered keyed requests one is sent again.
	repeat = 10
	// The load before that of the scenario; its seed is above the 32 bits of
	// the seeds of scenarios.
	warmSeed  = 1 << 40
	warmShare = 0.3
	warmFor   = 3 * time.Second
	// settle lets executions of requests that were given up reach the journal.
	settle = 300 * time.Millisecond
)

// Options say which programs to run and where.
type Options struct {
	Bin string
	// Config is the directory that holds one directory for each site.
	Config string
	Run    string
	// Shift is added to every port.
	Shift int
	// Policy replaces the selection policy of the nodes when it is not empty.
	Policy string
	// Seed replaces the seed of the scenario when it is not 0.
	Seed uint64
}

// run is one scenario in progress. Steps run one after another; only tasks run
// beside them.
type run struct {
	Options
	script Scenario
	d      *deployment.Deployment
	config string
	relays map[string][]*relay
	roles  map[string]string
	down   map[string]bool // processes that the scenario ended
	hit    map[string]bool // addresses of nodes that it killed or froze
	falls  int             // of upstreams that the scenario killed
	done   map[time.Duration]time.Time
	tasks  sync.WaitGroup

	mu     sync.Mutex
	out    io.Writer
	faults []error
}

// Run runs one scenario, prints its steps and figures, stops everything it
// started and returns an error unless every expectation held.
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
		Options: o, script: s, out: out, config: filepath.Join(o.Run, "config"),
		relays: make(map[string][]*relay), down: make(map[string]bool), hit: make(map[string]bool), done: make(map[time.Duration]time.Time),
	}
	defer r.closeRelays()
	if err := r.up(ctx); err != nil {
		return err
	}
	r.fault(r.underLoad(ctx))
	r.fault(r.stop(context.WithoutCancel(ctx)))
	if err := errors.Join(r.faults...); err != nil {
		r.print("scenario=%s seed=%d outcome=failed faults=%d log=%s", s.Name, s.Load.Seed, len(r.faults), filepath.Join(o.Run, "log"))
		return errors.Wrapf(err, "scenario %s seed %d", s.Name, s.Load.Seed)
	}
	r.print("scenario=%s seed=%d outcome=correct", s.Name, s.Load.Seed)
	return nil
}

func (r *run) up(ctx context.Context) (err error) {
	dir := filepath.Join(r.Config, site)
	if r.d, err = deployment.Up(ctx, deployment.Options{
		Bin: r.Bin, Config: dir, Run: r.Run, PortOffset: r.Shift, Policy: r.Policy,
		EditSettings: func(name string, f *ini.File) error { return r.interpose(ctx, name, f) },
	}); err != nil {
		return err
	}
	err = deployment.CopyConfig(dir, r.config)
	if err == nil && !r.script.Load.StartCold {
		err = r.warm(ctx)
	}
	if err != nil {
		return errors.Join(err, r.stop(context.WithoutCancel(ctx)))
	}
	return nil
}

// warm waits for the end of the cold starts and sends a light load, so that the
// limits of the nodes have grown before the load of the scenario.
func (r *run) warm(ctx context.Context) error {
	if err := r.d.WaitAllWarm(ctx); err != nil {
		return err
	}
	spec, err := deployment.ReadSpec(filepath.Join(r.Config, site))
	if err != nil {
		return err
	}
	capacity, weight := spec.Capacity()
	mix := load.Mix(weight)
	shots := load.Schedule(load.Plan{Seed: warmSeed, Rate: capacity * warmShare, Duration: warmFor, Mix: mix})
	load.New(load.Options{EntryAddrs: r.d.FrontAddrs(), MaxInFlight: inFlight, Timeout: r.script.Load.Timeout}).Run(ctx, mix, shots)
	return nil
}

// interpose puts relays between a node and its control hosts when the scenario
// asks for it.
func (r *run) interpose(ctx context.Context, name string, f *ini.File) error {
	for _, n := range r.script.Relays {
		if n != name {
			continue
		}
		key := f.Section("control").Key("hosts")
		var addrs []string
		for _, to := range key.Strings(",") {
			l, err := newRelay(ctx, to)
			if err != nil {
				return err
			}
			r.relays[name] = append(r.relays[name], l)
			addrs = append(addrs, l.addr())
		}
		key.SetValue(strings.Join(addrs, ", "))
	}
	return nil
}

func (r *run) closeRelays() {
	for _, relays := range r.relays {
		for _, l := range relays {
			l.close()
		}
	}
}

// stop continues processes that a scenario left stopped and stops all.
func (r *run) stop(ctx context.Context) error {
	for _, u := range r.d.Instances {
		_ = u.Signal(r.Run, syscall.SIGCONT) // an ended process needs no signal
	}
	return deployment.Down(ctx, r.Run)
}

func (r *run) underLoad(ctx context.Context) error {
	spec, err := deployment.ReadSpec(filepath.Join(r.Config, site))
	if err != nil {
		return err
	}
	l := r.script.Load
	_, weight := spec.Capacity()
	mix := keyedShare(load.Mix(weight), l.KeyedShare)
	header := make(map[string]string)
	if l.ServiceTime > 0 {
		header[upstream.HeaderServiceTime] = l.ServiceTime.String()
	}
	shots := load.Schedule(load.Plan{Seed: l.Seed, Rate: l.Rate, Duration: l.Duration, Mix: mix})
	g := load.New(load.Options{EntryAddrs: r.d.FrontAddrs(), MaxInFlight: inFlight, Timeout: l.Timeout, RepeatEvery: repeat, Header: header})
	begin := time.Now()
	r.tasks.Go(func() { r.steps(ctx, begin) })
	rep := g.Run(ctx, mix, shots)
	r.tasks.Wait()
	pause.For(ctx, settle)
	lines, err := journal.ReadDir(filepath.Join(r.Run, "journal"))
	if err != nil {
		return err
	}
	r.judge(ctx, rep, lines, begin, r.resend(ctx, rep, header))
	return nil
}

// keyedShare gives keyed routes the share of all requests, so that a fault
// meets several keyed requests in flight.
func keyedShare(mix []load.Route, share float64) []load.Route {
	if share == 0 {
		return mix
	}
	sum := make(map[bool]float64)
	for _, m := range mix {
		sum[m.Keyed] += m.Weight
	}
	for i, m := range mix {
		part := 1 - share
		if m.Keyed {
			part = share
		}
		mix[i].Weight *= part / sum[m.Keyed]
	}
	return mix
}

// steps runs the steps at their times. A step that fails is a fault, because
// the scenario then shows nothing.
func (r *run) steps(ctx context.Context, begin time.Time) {
	for _, s := range r.script.Steps {
		if !pause.For(ctx, time.Until(begin.Add(s.At))) {
			return
		}
		err := verbs[s.Verb](r, ctx, s)
		r.done[s.At] = time.Now()
		r.print("step=%s at=%s done=%s target=%q", s.Verb, s.At, since(begin), strings.Join(s.Args, " "))
		r.fault(errors.Wrapf(err, "line %d: %s", s.Line, s.Verb))
	}
}

func (r *run) print(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *run) fault(err error) {
	if err == nil {
		return
	}
	r.print("fault=%q", err.Error())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, err)
}

func since(t time.Time) time.Duration { return time.Since(t).Round(time.Millisecond) }
