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
	// requestPortOffset keeps the ports apart from those of the up, demo, compare and faults
	// commands.
	requestPortOffset  = 6000
	requestWarmUp      = 2 * time.Second
	requestMaxInFlight = 2000
	requestTimeout     = 5 * time.Second
	requestDesignRate  = 100 // requests per second and node: 140,000 over 1,400 nodes
	// clockTick is the unit of processor time in /proc/PID/stat on Linux.
	clockTick = 10 * time.Millisecond
)

// requestPart measures the processes of nodes and control hosts by the number of requests per
// second and node. Rate 0 gives the cost of the control traffic alone.
func requestPart() part {
	return part{
		name: "request", sizeName: "rate", designSize: requestDesignRate, sizes: []int{0, 10, 30, 60},
		metrics: []string{"node_cpu_percent", "node_rss_mb", "control_cpu_percent", "control_rss_mb"},
		run:     measureRequests,
	}
}

func measureRequests(ctx context.Context, o Options, rate int) (values map[string]float64, err error) {
	d, err := deployment.Up(ctx, deployment.Options{Bin: o.Bin, Config: o.Config, Run: o.Dir, PortOffset: requestPortOffset})
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
		offerLoad(ctx, d, spec, rate, requestWarmUp+o.Duration)
	}()
	if err := sleep(ctx, requestWarmUp); err != nil {
		return nil, err
	}
	nodes, hosts := d.OfKind(deployment.KindNode), d.OfKind(deployment.KindControl)
	nodeCPU, hostCPU := cpuTime(nodes), cpuTime(hosts)
	begin := time.Now()
	if err := sleep(ctx, o.Duration); err != nil {
		return nil, err
	}
	wall := time.Since(begin)
	values = map[string]float64{
		"node_cpu_percent":    cpuPercent(cpuTime(nodes)-nodeCPU, wall, len(nodes)),
		"node_rss_mb":         meanResidentMB(nodes),
		"control_cpu_percent": cpuPercent(cpuTime(hosts)-hostCPU, wall, len(hosts)),
		"control_rss_mb":      meanResidentMB(hosts),
	}
	<-done
	return values, nil
}

// offerLoad sends the given number of requests per second to each node.
func offerLoad(ctx context.Context, d *deployment.Deployment, spec deployment.Spec, rate int, duration time.Duration) {
	if rate == 0 {
		return
	}
	_, weight := spec.Capacity()
	mix := load.Mix(weight)
	arrivals := load.Schedule(load.Plan{
		Seed: 1, Rate: float64(rate * len(d.FrontAddrs())), Duration: duration, Mix: mix,
	})
	opt := load.Options{EntryAddrs: d.FrontAddrs(), MaxInFlight: requestMaxInFlight, Timeout: requestTimeout}
	load.New(opt).Run(ctx, mix, arrivals)
}

func cpuPercent(cpu, wall time.Duration, processes int) float64 {
	return 100 * cpu.Seconds() / wall.Seconds() / float64(processes)
}

// cpuTime returns the sum of the processor times of the processes. User and system time are the
// 14th and 15th fields of /proc/PID/stat. rest starts with the third, the one after the program
// name, which may contain spaces.
func cpuTime(instances []deployment.Instance) time.Duration {
	var total time.Duration
	for _, inst := range instances {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", inst.PID))
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

// meanResidentMB returns the mean resident memory of the processes in MB.
func meanResidentMB(instances []deployment.Instance) float64 {
	pages := 0.0
	for _, inst := range instances {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", inst.PID))
		if err != nil {
			continue
		}
		if fields := strings.Fields(string(data)); len(fields) > 1 {
			n, _ := strconv.ParseFloat(fields[1], 64)
			pages += n
		}
	}
	return pages * float64(os.Getpagesize()) / 1e6 / float64(len(instances))
}
