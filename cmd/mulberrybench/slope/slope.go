// Package slope measures how the cost of each part of the system grows with its size, and
// extrapolates the cost to the size that the system is designed for. docs/CAPACITY.md cites its
// output.
//
// # Usage
//
//	err := slope.Run(ctx, os.Stdout, slope.Options{Parts: slope.Parts(), Duration: 10 * time.Second})
//
// Each part is measured at three or more sizes on loopback, in this process except for the part
// request, which runs a deployment. It prints one line for each size and one for each fitted line:
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

// Sizes that the system is designed for.
const (
	designNodes    = 1400
	designServices = 230
	designClaims   = 1_000_000
)

// Options configures a measurement.
type Options struct {
	// Parts holds the names of the parts to measure, see the function Parts.
	Parts []string
	// Duration is the measured time at each size.
	Duration time.Duration
	// Dir is the directory for the files of the run.
	Dir string
	// Bin is the directory of the programs and Config that of the site. The part request, which
	// runs a deployment, uses both.
	Bin    string
	Config string
}

// sample holds the metrics measured at one size.
type sample struct {
	size   float64
	values map[string]float64
}

// part is the measurement of one part of the system.
type part struct {
	name string
	// sizeName is the name of the size in the output, such as nodes. designSize is the size that
	// the system is designed for.
	sizeName   string
	designSize float64
	sizes      []int
	// metrics holds the names of the metrics in the order of the output.
	metrics []string
	run     func(ctx context.Context, o Options, size int) (map[string]float64, error)
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

// Run measures the parts of o and prints the results to out.
func Run(ctx context.Context, out io.Writer, o Options) error {
	for _, name := range o.Parts {
		p, ok := findPart(name)
		if !ok {
			return errors.Newf("unknown part %q, known are %s", name, strings.Join(Parts(), ", "))
		}
		if err := p.measure(ctx, out, o); err != nil {
			return errors.Wrapf(err, "measure %s", name)
		}
	}
	return nil
}

func findPart(name string) (part, bool) {
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
		_, _ = fmt.Fprintf(out, "part=%s %s=%d", p.name, p.sizeName, size)
		for _, metric := range p.metrics {
			_, _ = fmt.Fprintf(out, " %s=%.4g", metric, values[metric])
		}
		_, _ = fmt.Fprintln(out)
	}
	for _, metric := range p.metrics {
		base, per := fit(samples, metric)
		_, _ = fmt.Fprintf(out, "slope=%s x=%s y=%s base=%.4g per=%.4g at=%.0f value=%.4g\n",
			p.name, p.sizeName, metric, base, per, p.designSize, base+per*p.designSize)
	}
	return nil
}

// fit fits the line base + per*size to metric y of the samples by least squares.
func fit(samples []sample, metric string) (base, per float64) {
	n := float64(len(samples))
	var sumX, sumY, sumXX, sumXY float64
	for _, s := range samples {
		v := s.values[metric]
		sumX += s.size
		sumY += v
		sumXX += s.size * s.size
		sumXY += s.size * v
	}
	denominator := n*sumXX - sumX*sumX
	if denominator == 0 {
		return sumY / n, 0
	}
	per = (n*sumXY - sumX*sumY) / denominator
	return (sumY - per*sumX) / n, per
}

// usage is the processor time that the process has used up to a point in time.
type usage struct {
	at  time.Time
	cpu time.Duration
}

func currentUsage() usage {
	var ru syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	cpu := time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
	return usage{at: time.Now(), cpu: cpu}
}

// since returns the processor time and the wall-clock time spent since u.
func (u usage) since() (cpu, wall time.Duration) {
	end := currentUsage()
	return end.cpu - u.cpu, end.at.Sub(u.at)
}

// liveHeap returns the size of all live heap objects in bytes.
func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func sleep(ctx context.Context, d time.Duration) error {
	if !pause.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}

// waitUntil polls condition until it returns true or the timeout passes.
func waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !condition() {
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return errors.Newf("not ready after %s", timeout)
		}
	}
	return nil
}
