package slope

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/deployment"
	"github.com/mulberrylink/mulberrylink/cmd/mulberrybench/load"
)

const (
	// requestShift keeps the deployment apart from up, demo and compare.
	requestShift   = 6000
	requestWarm    = 2 * time.Second
	requestCap     = 2000
	requestTimeout = 5 * time.Second
	requestTarget  = 100 // calls a second and node: 140,000 over 1,400 nodes
	// clockTick is the unit of processor time in /proc on Linux.
	clockTick = 10 * time.Millisecond
)

// requestPart measures real nodes and control hosts by the rate of requests
// for one node. At rate 0 a node spends what control costs.
func requestPart() part {
	return part{
		name: "request", x: "rate", target: requestTarget, sizes: []int{0, 10, 30, 60},
		order: []string{"node_cpu_percent", "node_rss_mb", "control_cpu_percent", "control_rss_mb"},
		run:   measureRequests,
	}
}

func measureRequests(ctx context.Context, o Options, rate int) (values map[string]float64, err error) {
	d, err := deployment.Up(ctx, deployment.Options{Bin: o.Bin, Config: o.Config, Run: o.Dir, PortOffset: requestShift})
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, deployment.Down(context.WithoutCancel(ctx), o.Dir)) }()
	if err := d.WaitAllWarm(ctx); err != nil {
		return nil, err
	}
	spec, err := deployment.ReadSpec(o.Config)
	if err != nil {
		return nil, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		offer(ctx, d, spec, rate, requestWarm+o.Duration)
	}()
	if err := wait(ctx, requestWarm); err != nil {
		return nil, err
	}
	nodes, hosts := d.OfKind(deployment.KindNode), d.OfKind(deployment.KindControl)
	nodeCPU, hostCPU := processorTime(nodes), processorTime(hosts)
	begin := time.Now()
	if err := wait(ctx, o.Duration); err != nil {
		return nil, err
	}
	wall := time.Since(begin)
	values = map[string]float64{
		"node_cpu_percent":    share(processorTime(nodes)-nodeCPU, wall, len(nodes)),
		"node_rss_mb":         resident(nodes),
		"control_cpu_percent": share(processorTime(hosts)-hostCPU, wall, len(hosts)),
		"control_rss_mb":      resident(hosts),
	}
	<-done
	return values, nil
}

// offer sends the given rate of requests to each node.
func offer(ctx context.Context, d *deployment.Deployment, spec deployment.Spec, rate int, length time.Duration) {
	if rate == 0 {
		return
	}
	_, weight := spec.Capacity()
	mix := load.Mix(weight)
	shots := load.Schedule(load.Plan{
		Seed: 1, Rate: float64(rate * len(d.FrontAddrs())), Duration: length, Mix: mix,
	})
	opt := load.Options{EntryAddrs: d.FrontAddrs(), MaxInFlight: requestCap, Timeout: requestTimeout}
	load.New(opt).Run(ctx, mix, shots)
}

func share(cpu, wall time.Duration, processes int) float64 {
	return 100 * cpu.Seconds() / wall.Seconds() / float64(processes)
}

// processorTime sums the processor time of processes. The fields after the
// program name in /proc/PID/stat start with the third; user and system time are
// the 14th and 15th.
func processorTime(units []deployment.Instance) time.Duration {
	var total time.Duration
	for _, u := range units {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", u.PID))
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(data), ") ")
		fields := strings.Fields(rest)
		if len(fields) < 13 {
			continue
		}
		for _, f := range fields[11:13] {
			ticks, _ := strconv.Atoi(f)
			total += time.Duration(ticks) * clockTick
		}
	}
	return total
}

// resident returns the mean resident memory in MB.
func resident(units []deployment.Instance) float64 {
	pages := 0.0
	for _, u := range units {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", u.PID))
		if err != nil {
			continue
		}
		if fields := strings.Fields(string(data)); len(fields) > 1 {
			n, _ := strconv.ParseFloat(fields[1], 64)
			pages += n
		}
	}
	return pages * float64(os.Getpagesize()) / 1e6 / float64(len(units))
}
