// Package slope measures how the cost of each part grows with its size, and
// extrapolates to the size the system is designed for. docs/CAPACITY.md cites
// its output.
//
// # Usage
//
//	err := slope.Run(ctx, os.Stdout, slope.Options{Parts: slope.Parts(), Duration: 10 * time.Second})
//
// Each part runs at three or more sizes in this process on loopback and prints
// one line for each size and one for each fitted slope:
//
//	part=membership nodes=100 cpu_percent=0.031 bytes=640 heap_bytes=41200
//	slope=membership x=nodes y=bytes base=310 per=3.3 at=1400 value=4930
package slope

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/pause"
)

// Size the system is designed for.
const (
	targetNodes    = 1400
	targetServices = 230
	targetClaims   = 1_000_000
)

// Options say what to measure.
type Options struct {
	// Parts are names of Parts.
	Parts []string
	// Duration is the measured time at each size.
	Duration time.Duration
	// Dir is a directory for what the run writes.
	Dir string
	// Bin is the directory of the programs and Config that of the site, for the
	// part that runs real processes.
	Bin    string
	Config string
}

// sample is the measurement at one size.
type sample struct {
	x      float64
	values map[string]float64
}

// part measures one part of the system.
type part struct {
	name string
	// x names the size; target is its value at the design size.
	x      string
	target float64
	sizes  []int
	// order of the values in the output.
	order []string
	run   func(ctx context.Context, o Options, size int) (map[string]float64, error)
}

func parts() []part {
	return []part{membershipPart(), churnPart(), watchPart(), configPart(), claimPart(), commitPart(), requestPart()}
}

// Parts returns the names of all parts.
func Parts() []string {
	var names []string
	for _, p := range parts() {
		names = append(names, p.name)
	}
	return names
}

// Run measures the chosen parts.
func Run(ctx context.Context, out io.Writer, o Options) error {
	for _, name := range o.Parts {
		p, ok := find(name)
		if !ok {
			return errors.Newf("unknown part %q, known are %s", name, strings.Join(Parts(), ", "))
		}
		if err := p.measure(ctx, out, o); err != nil {
			return errors.Wrapf(err, "measure %s", name)
		}
	}
	return nil
}

func find(name string) (part, bool) {
	for _, p := range parts() {
		if p.name == name {
			return p, true
		}
	}
	return part{}, false
}

func (p part) measure(ctx context.Context, out io.Writer, o Options) error {
	var samples []sample
	for _, size := range p.sizes {
		values, err := p.run(ctx, o, size)
		if err != nil {
			return err
		}
		samples = append(samples, sample{float64(size), values})
		_, _ = fmt.Fprintf(out, "part=%s %s=%d", p.name, p.x, size)
		for _, y := range p.order {
			_, _ = fmt.Fprintf(out, " %s=%.4g", y, values[y])
		}
		_, _ = fmt.Fprintln(out)
	}
	for _, y := range p.order {
		base, per := fit(samples, y)
		_, _ = fmt.Fprintf(out, "slope=%s x=%s y=%s base=%.4g per=%.4g at=%.0f value=%.4g\n",
			p.name, p.x, y, base, per, p.target, base+per*p.target)
	}
	return nil
}

// fit returns the line of least squares through the samples.
func fit(samples []sample, y string) (base, per float64) {
	n := float64(len(samples))
	var sx, sy, sxx, sxy float64
	for _, s := range samples {
		v := s.values[y]
		sx += s.x
		sy += v
		sxx += s.x * s.x
		sxy += s.x * v
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return sy / n, 0
	}
	per = (n*sxy - sx*sy) / d
	return (sy - per*sx) / n, per
}

// usage is what the process has used at one moment.
type usage struct {
	at  time.Time
	cpu time.Duration
}

func now() usage {
	var ru syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	cpu := time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
	return usage{at: time.Now(), cpu: cpu}
}

// since returns the processor time used since u and the time that has passed.
func (u usage) since() (cpu, wall time.Duration) {
	v := now()
	return v.cpu - u.cpu, v.at.Sub(u.at)
}

// heap returns the bytes of live objects.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func wait(ctx context.Context, d time.Duration) error {
	if !pause.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}

// until polls cond until it holds.
func until(ctx context.Context, limit time.Duration, cond func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !cond() {
		if err := wait(ctx, 20*time.Millisecond); err != nil {
			return errors.Newf("not ready after %s", limit)
		}
	}
	return nil
}
