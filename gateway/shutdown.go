package gateway

import (
	"context"
	"time"

	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/transport/ingress"
)

const (
	// minShutdownTime is the minimum time that a node keeps serving while it shuts
	// down. Callers notice the shutdown at the second of two failed readiness checks,
	// which are one second apart.
	minShutdownTime = 2500 * time.Millisecond
	// safeFinishTime and serviceTimesToFinish are the time, as such and as a multiple of the mean
	// service time, within which an idempotent request is expected to finish although its own deadline
	// is later.
	safeFinishTime       = 3400 * time.Millisecond
	serviceTimesToFinish = 4
	// deadlineOverrun is how long past its deadline a request may take to get its response.
	deadlineOverrun = 100 * time.Millisecond
	// shutdownMargin is kept free between the last response and the end of the grace
	// period.
	shutdownMargin = 600 * time.Millisecond
	// drainPollInterval is how often a node that shuts down checks for requests in
	// flight.
	drainPollInterval = 50 * time.Millisecond
)

// finishesBeforeExit reports whether a request that is taken now ends before the process has to exit.
// For a request that may run only once the deadline decides: if it were cut off, its caller could not
// tell whether it has run. For an idempotent one the time that such a request usually takes is enough.
func (q *request) finishesBeforeExit(now time.Time) bool {
	exit := q.g.exitDeadline.Load()
	if exit == nil {
		return true
	}
	needed := q.deadline.Sub(now) + deadlineOverrun
	if q.route.Kind == routes.Safe && !q.serviceTimeAssumed {
		needed = min(needed, max(safeFinishTime, serviceTimesToFinish*q.serviceTime))
	}
	return !now.Add(needed).After(*exit)
}

// retryAfterShutdown returns the time until callers have noticed the shutdown and send their requests
// to other nodes.
func (g *Gateway) retryAfterShutdown(now time.Time) time.Duration {
	noticedAt := g.exitDeadline.Load().Add(shutdownMargin - g.cfg.GracePeriod + minShutdownTime)
	return max(noticedAt.Sub(now), defaultRetryAfter)
}

// Shutdown stops the node gracefully. The node rejects requests of other nodes at
// once and serves callers for at least minShutdownTime, until they have noticed the
// shutdown. It rejects those of their requests that might not finish before the exit. Shutdown returns
// when after that no request is in flight, or when the grace period is about to end: callers whose
// requests still run are then told that the outcome is unknown. It is called once.
func (g *Gateway) Shutdown(ctx context.Context) {
	start := time.Now()
	deadline := start.Add(g.cfg.GracePeriod - shutdownMargin)
	g.exitDeadline.Store(&deadline)
	g.leaving.Store(true)
	g.log.Info().Int64("callers", g.outbound.InFlight()).Int64("peers", g.inbound.InFlight()).Msg("node leaving")
	g.upstream.publish()
	g.outbound.Drain()
	g.inbound.Drain()
	exit := time.AfterFunc(time.Until(deadline), func() { close(g.exiting) })
	defer exit.Stop()
	for ctx.Err() == nil {
		inFlight := g.outbound.InFlight() + g.inbound.InFlight()
		if now := time.Now(); now.After(deadline) || now.Sub(start) > minShutdownTime && inFlight == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	// Requests may have arrived since, or are being read.
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(shutdownMargin/2))
	defer cancel()
	for _, s := range []*ingress.Server{g.outbound, g.inbound} {
		if err := s.Close(ctx); err != nil {
			g.log.Warn().Err(err).Msg("requests still in flight at the end of the grace period")
		}
	}
	g.log.Info().Dur("took", time.Since(start)).Msg("node left")
}
