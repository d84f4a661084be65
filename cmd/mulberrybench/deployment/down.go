package deployment

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Down ends the processes that run/processes lists and removes the file. Nodes
// go first, so that they can finish requests while their upstreams still run.
func Down(ctx context.Context, run string) error {
	all, err := ReadProcesses(run)
	if err != nil {
		return err
	}
	for _, kind := range []string{KindNode, KindUpstream, KindControl} {
		var some []Process
		for _, p := range all {
			if p.Kind == kind {
				some = append(some, p)
			}
		}
		err = errors.Join(err, stop(ctx, run, some))
	}
	if err != nil {
		return err
	}
	if err := os.Remove(filepath.Join(run, "processes")); err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "remove processes file")
	}
	return nil
}

// stop sends SIGTERM to the processes, and SIGKILL to those that still run
// after a bound.
func stop(ctx context.Context, run string, some []Process) error {
	if waitGone(ctx, run, some, syscall.SIGTERM, termTimeout) == nil {
		return nil
	}
	return waitGone(ctx, run, some, syscall.SIGKILL, killTimeout)
}

func waitGone(ctx context.Context, run string, some []Process, sig syscall.Signal, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, p := range some {
		// A process that ended since the check needs no signal.
		_ = p.Signal(run, sig)
	}
	return poll(ctx, func() error {
		for _, p := range some {
			if p.Alive(run) {
				return errors.Newf("%s (pid %d) still runs", p.Name, p.PID)
			}
		}
		return nil
	})
}
