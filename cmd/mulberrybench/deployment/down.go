package deployment

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Down stops the processes that run/processes lists and removes the file. It stops nodes first, so
// that they can finish their requests while the upstreams are still running.
func Down(ctx context.Context, run string) error {
	processes, err := ReadProcesses(run)
	if err != nil {
		return err
	}
	for _, kind := range []string{KindNode, KindUpstream, KindControl} {
		var ofKind []Process
		for _, p := range processes {
			if p.Kind == kind {
				ofKind = append(ofKind, p)
			}
		}
		err = errors.Join(err, stopProcesses(ctx, run, ofKind))
	}
	if err != nil {
		return err
	}
	if err := os.Remove(filepath.Join(run, "processes")); err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "remove processes file")
	}
	return nil
}

// stopProcesses sends SIGTERM to the processes, and SIGKILL to those that are still running after
// terminateTimeout.
func stopProcesses(ctx context.Context, run string, processes []Process) error {
	if signalAndWait(ctx, run, processes, syscall.SIGTERM, terminateTimeout) == nil {
		return nil
	}
	return signalAndWait(ctx, run, processes, syscall.SIGKILL, killTimeout)
}

// signalAndWait sends sig to the processes and waits until all have exited.
func signalAndWait(ctx context.Context, run string, processes []Process, sig syscall.Signal, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, p := range processes {
		// Ignore the error: a process that has already exited needs no signal, and the poll below
		// reports one that is still running.
		_ = p.Signal(run, sig)
	}
	return poll(ctx, func() error {
		for _, p := range processes {
			if p.Alive(run) {
				return errors.Newf("%s (pid %d) is still running", p.Name, p.PID)
			}
		}
		return nil
	})
}
