package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/mulberrylink/mulberrylink/transport/exchange"
)

const (
	// busyProbeInterval is the age of the last load report at which an upstream with
	// requests is probed. Disturbances of a host begin and end several times a second.
	busyProbeInterval = 60 * time.Millisecond
	// idleProbeInterval is the same for an upstream without requests.
	idleProbeInterval = 500 * time.Millisecond
	// maxLoadAge is the age up to which a load report is used to admit or place a request.
	// An older one is refreshed first: a health probe of the upstream beside the node
	// takes a millisecond, while a request on a disturbed host is late.
	maxLoadAge = 35 * time.Millisecond
	// refreshTimeout bounds the wait for a refreshed load report.
	refreshTimeout = 20 * time.Millisecond
	// firstReportTimeout is the same for the first response of an instance, without which the
	// node does not know what the instance has stated to an earlier process of the node.
	firstReportTimeout = 100 * time.Millisecond
	// minProbeDelay is the minimum time between two checks of the age of the load report.
	minProbeDelay = 5 * time.Millisecond
	// probeTimeout bounds one health probe.
	probeTimeout = 400 * time.Millisecond
)

// requestProbe makes probeLoop send a probe at once.
func (u *Upstream) requestProbe() {
	select {
	case u.probeNow <- struct{}{}:
	default:
	}
}

// refreshLoad probes the upstream when it has not sent a response to this process yet, or when
// its load report is older than maxLoadAge. Concurrent requests share one probe.
func (u *Upstream) refreshLoad(ctx context.Context) {
	u.mu.Lock()
	timeout := refreshTimeout
	if !u.heard {
		timeout = firstReportTimeout
	}
	if u.down || u.heard && (!u.reportsLoad || time.Since(u.loadReportedAt) < maxLoadAge) {
		u.mu.Unlock()
		return
	}
	done := u.refreshDone
	if done == nil {
		done = make(chan struct{})
		u.refreshDone = done
		go func() {
			_ = u.probe(context.WithoutCancel(ctx)) // logged
			u.mu.Lock()
			u.refreshDone = nil
			u.mu.Unlock()
			close(done)
		}()
	}
	u.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// probeLoop probes the upstream when no recent response has reported its load.
func (u *Upstream) probeLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-u.probeNow:
			_ = u.probe(ctx) // logged
		}
		interval := idleProbeInterval
		if !u.g.admission.Idle() {
			interval = busyProbeInterval
		}
		u.mu.Lock()
		age := time.Since(u.loadReportedAt)
		u.mu.Unlock()
		if age >= interval {
			_ = u.probe(ctx) // logged
			age = 0          // a failed probe is not repeated at once
		}
		timer.Reset(max(interval-age, minProbeDelay))
	}
}

// errNoHealthPath reports that the path of the health probes is not known.
var errNoHealthPath = errors.New("no health path is configured")

// sendProbe sends a health probe to an instance.
func (u *Upstream) sendProbe(ctx context.Context, hb *Heartbeat) (*exchange.Response, error) {
	active := u.g.active.Load()
	if active == nil || hb.Addr == "" {
		return nil, errNoHealthPath
	}
	path := active.table.Services[hb.Service].HealthPath
	if path == "" {
		return nil, errNoHealthPath
	}
	u.g.stats.count("probes")
	return u.g.upstreamPool.Do(ctx, &exchange.Request{
		Addr: hb.Addr, Method: "GET", Target: path, Host: hb.Addr, Deadline: time.Now().Add(probeTimeout),
	})
}

// isRunning reports whether the instance itself responds at its address.
func (u *Upstream) isRunning(hb *Heartbeat) bool {
	resp, err := u.sendProbe(context.Background(), hb)
	if err != nil {
		u.g.log.Debug().Str("upstream", hb.ID).Err(err).Msg("health probe failed")
		return false
	}
	defer resp.Close()
	return u.g.cfg.Headers.ParseResponse(resp.Status, resp.Header).UpstreamID == hb.ID
}

// probe sends one health probe and applies the response. It returns the error of a probe without one.
func (u *Upstream) probe(ctx context.Context) error {
	hb := u.current()
	resp, err := u.sendProbe(ctx, &hb)
	var stageErr *exchange.StageError
	switch {
	case err == nil:
	case errors.Is(err, errNoHealthPath):
		return err
	case errors.As(err, &stageErr) && stageErr.ConnectionRefused:
		u.markDown(hb.ID)
		return err
	default:
		u.g.log.Debug().Str("upstream", hb.ID).Err(err).Msg("health probe failed")
		return err
	}
	defer resp.Close()
	info := u.g.cfg.Headers.ParseResponse(resp.Status, resp.Header)
	u.updateIdentity(&hb, resp.Status, info)
	u.recordResponse(&hb, info, true)
	return nil
}

// updateIdentity applies the identity in the response to a health probe. A status other
// than 200 is ignored, because some upstreams report failures that they don't have.
func (u *Upstream) updateIdentity(probed *Heartbeat, status int, info ResponseInfo) {
	if status != 200 || info.UpstreamID == "" {
		return
	}
	u.mu.Lock()
	if u.instance.ID != probed.ID || u.instance.Addr != probed.Addr {
		u.mu.Unlock()
		return // a heartbeat arrived during the probe
	}
	changed := u.down || u.instance.ID != info.UpstreamID
	if changed {
		previousID := u.instance.ID
		switch {
		case previousID == info.UpstreamID:
		case u.replaced.ID == info.UpstreamID:
			// The heartbeats of the other instance were late. The service is that of this one.
			u.instance, u.replaced = u.replaced, Heartbeat{}
			u.deregistered = false
			u.forgetResponses(true)
		case previousID != "":
			// The address may belong to another service now. The heartbeat of the instance tells.
			u.mu.Unlock()
			u.markDisplaced(probed, info.UpstreamID)
			return
		default:
			u.instance.ID, u.instance.Seq, u.instance.Incarnation = info.UpstreamID, 0, 0
			u.instance.Draining, u.deregistered = false, false
			u.forgetResponses(true)
		}
		u.down, u.displaced, u.instanceSince = false, false, time.Now()
		if u.instance.Slots == 0 {
			u.instance.Slots = max(1, info.Slots)
		}
		u.g.log.Info().Str("upstream", info.UpstreamID).Str("before", previousID).Int("slots", u.instance.Slots).Msg("upstream answers")
	}
	u.mu.Unlock()
	if changed {
		u.publish()
	}
}

// hasEnded reports whether another instance has taken the place of an upstream instance.
func (u *Upstream) hasEnded(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.instance.ID != id || u.displaced
}

// markDisplaced records that another instance responds at the address of the known one. Nothing is
// sent to it before its heartbeat states its service.
func (u *Upstream) markDisplaced(known *Heartbeat, id string) {
	u.mu.Lock()
	first := u.instance.ID == known.ID && !u.displaced
	if first {
		u.down, u.displaced = true, true
	}
	u.mu.Unlock()
	if !first {
		return
	}
	u.g.stats.count("upstream_displaced")
	u.g.log.Info().Str("upstream", id).Str("before", known.ID).Msg("another upstream answers; its heartbeat is awaited")
	u.publish()
}
