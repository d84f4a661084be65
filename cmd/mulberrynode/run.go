package main

import (
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/transport/events"
)

const (
	// gcPercent makes collections rarer. In a prototype at 6,000 requests a
	// second it lowered the p99 latency of two relays from 40 to 11 ms.
	gcPercent = 400
	// memoryLimit makes collections more frequent again before the node
	// reaches the 256 MB that it may use.
	memoryLimitBytes = 192 << 20
	// leaveTime is how long a leaving node still refuses requests in so many
	// words. Entry nodes choose it until they have heard that it leaves; a
	// request that met a closed connection instead would end as unknown.
	minShutdownTime = 3 * time.Second
	// drainInterval is how often a leaving node looks for open exchanges.
	drainPollInterval = 20 * time.Millisecond
)

func runNode(path string, logs io.Writer) error {
	cfg, err := loadSettings(path)
	if err != nil {
		return err
	}
	l := events.New(logs, cfg.Log.Level, "mulberrynode", cfg.Node.Name)
	// go-zero takes the signals over when it is loaded and would close the
	// listeners one second after the first one.
	signal.Reset(syscall.SIGTERM, syscall.SIGINT)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	lis, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", cfg.Listen.RPC)
	if err != nil {
		return errors.Wrap(err, "listen for rpc")
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n, err := joinGroup(ctx, cfg, lis, l)
	if err != nil {
		return err
	}
	events.RedirectGoZero(l) // go-zero has set up its own log meanwhile
	return n.run(ctx, signals)
}

// run serves until a signal arrives and every request has ended.
func (n *node) run(ctx context.Context, signals <-chan os.Signal) error {
	serveErr := make(chan error, 3)
	if err := n.start(ctx, serveErr); err != nil {
		select {
		case serveFailure := <-serveErr:
			return errors.CombineErrors(serveFailure, err)
		default:
			return err
		}
	}
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "server ended")
	case s := <-signals:
		n.log.Info().Str("signal", s.String()).Msg("node leaving")
	}
	return n.shutdown(ctx)
}

// leave refuses new work and waits for every request in flight, however long
// it takes. Further signals change nothing.
func (n *node) shutdown(ctx context.Context) error {
	n.availability.leaving.Store(true)
	n.deps.group.Update(func(self *mulberrylink.Node) { self.State = mulberrylink.NodeLeaving })
	rejectUntil := time.Now()
	if len(n.deps.group.All()) > 1 {
		rejectUntil = rejectUntil.Add(minShutdownTime)
	}
	for {
		n.front.Drain(ctx)
		if n.forwardServer.Pending() == 0 && n.front.InFlight() == 0 && !time.Now().Before(rejectUntil) {
			break
		}
		time.Sleep(drainPollInterval)
	}
	if err := n.front.Shutdown(ctx); err != nil {
		return err
	}
	n.admitter.recordings.Wait()
	n.log.Info().Msg("node left")
	return nil
}
