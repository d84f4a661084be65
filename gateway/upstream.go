package gateway

import (
	"cmp"
	"errors"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/capacity"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
)

const (
	// warmupRateShare and warmupBurstShare are the shares of the rate and the burst of a
	// cold upstream that are used. Requests that are admitted one after the other may
	// reach the upstream together, when the node is short of processor time in between.
	warmupRateShare  = 0.9
	warmupBurstShare = 0.8
)

// ErrUnknownService is the error for a heartbeat of a service that is not configured.
var ErrUnknownService = errors.New("the service is not configured")

// Heartbeat is the state that an upstream instance reports about itself.
type Heartbeat struct {
	ID, Service, Addr string
	// Release is the version of the software of the instance, empty if it is not known.
	Release  string
	Slots    int
	Draining bool
	// Warmup is the remaining warm-up time.
	Warmup time.Duration
	// Seq grows with every heartbeat of one incarnation. Incarnation is the start time of
	// the instance by its own clock, 0 when it is not known. It grows with every restart,
	// unless the clock was set back in between.
	Seq         uint64
	Incarnation int64
}

// Upstream tracks the upstream beside the node.
type Upstream struct {
	g *Gateway

	mu             sync.Mutex
	instance       Heartbeat
	instanceSince  time.Time // when the node first knew the instance
	earlier        Heartbeat // last heartbeat of an instance with an earlier start time
	replaced       Heartbeat // the instance known before one with an earlier start time was accepted
	deregistered   bool      // the instance has announced that it stops
	down           bool      // nothing listens at its address, or another instance does
	displaced      bool      // another instance, whose service is not known, responds at its address
	coldUntil      time.Time
	loadReportedAt time.Time
	slowdown       float64
	announced      mulberrylink.Node // the last record sent to the control hosts
	reportsLoad    bool              // responses of the upstream contain its load
	rateLimit      rateLimit
	heard          bool          // the instance has sent a response to this process
	leaving        bool          // the instance has stated in a response that it stops
	refreshDone    chan struct{} // closed when the running refresh ends, nil without one
	crashCheck     crashCheck
	probeNow       chan struct{}
}

func newUpstream(g *Gateway) *Upstream {
	return &Upstream{
		g: g, slowdown: 1, probeNow: make(chan struct{}, 1),
		// The upstream gets no request until a health probe or a heartbeat has provided
		// its identity.
		instance: Heartbeat{Service: g.cfg.Service, Addr: g.cfg.UpstreamAddr},
	}
}

// HandleHeartbeat applies a heartbeat. One that is older than the last known state is
// ignored. The error is ErrUnknownService for one of a service that is not configured, which
// another sender may have written.
func (u *Upstream) HandleHeartbeat(hb Heartbeat) error {
	if !u.g.knowsService(hb.Service) {
		return ErrUnknownService
	}
	u.mu.Lock()
	cur := u.instance
	same := hb.ID == cur.ID && (hb.Incarnation == cur.Incarnation || cur.Incarnation == 0 || hb.Incarnation == 0)
	if same && cur.Seq != 0 && hb.Seq <= cur.Seq || u.startedEarlier(&hb) {
		u.mu.Unlock()
		u.g.log.Info().Str("upstream", hb.ID).Uint64("seq", hb.Seq).Uint64("known", cur.Seq).
			Int64("started", hb.Incarnation).Int64("known_started", cur.Incarnation).Msg("stale heartbeat ignored")
		return nil
	}
	if !same && hb.Incarnation != 0 && hb.Incarnation < cur.Incarnation {
		// Two heartbeats of a former instance may have been held up and arrive together.
		u.mu.Unlock()
		running := hb.ID != cur.ID && u.isRunning(&cur)
		u.mu.Lock()
		if running || u.instance.ID != cur.ID {
			u.mu.Unlock()
			u.g.log.Info().Str("upstream", hb.ID).Str("known", cur.ID).Msg("late heartbeat of a former upstream ignored")
			return nil
		}
		u.replaced = cur
	} else {
		u.replaced = Heartbeat{}
	}
	u.earlier = Heartbeat{}
	hb.Draining = hb.Draining || same && cur.Draining
	if !same {
		u.deregistered = false
		u.g.upstreamPool.CloseIdle(cur.Addr)
	}
	switch {
	case !same:
		u.forgetResponses(false)
	case hb.Incarnation != cur.Incarnation:
		u.heard = false // an instance known by its identity only may have restarted since
	}
	changed := !same || hb.Draining != cur.Draining || hb.Slots != cur.Slots || hb.Addr != cur.Addr || u.down
	if !same || u.down {
		u.instanceSince = time.Now()
	}
	u.instance, u.down, u.displaced = hb, false, false
	u.coldUntil = time.Now().Add(hb.Warmup)
	u.mu.Unlock()
	if changed {
		u.g.log.Info().Str("upstream", hb.ID).Str("before", cur.ID).Str("service", hb.Service).Str("release", hb.Release).Str("addr", hb.Addr).
			Int("slots", hb.Slots).Bool("draining", hb.Draining).Dur("warmup", hb.Warmup).Uint64("seq", hb.Seq).Msg("upstream announced")
	}
	u.publish()
	return nil
}

// knowsService reports whether a service is that of the settings or is configured. Until there is
// a configuration, every service may be.
func (g *Gateway) knowsService(name string) bool {
	active := g.active.Load()
	if active == nil || name == g.cfg.Service {
		return true
	}
	_, found := active.table.Services[name]
	return found
}

// forgetUnknownService discards the identity of an upstream whose service turns out not to be
// configured.
func (u *Upstream) forgetUnknownService() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.g.knowsService(u.instance.Service) {
		u.instance = Heartbeat{Service: u.g.cfg.Service, Addr: u.g.cfg.UpstreamAddr}
	}
}

// startedEarlier reports whether a heartbeat is ignored because its instance started before
// the known one, and was delayed on its way. An instance that sends a second heartbeat while
// the known one sends none is running: the clock of the host was set back before it
// started. The caller holds mu.
func (u *Upstream) startedEarlier(hb *Heartbeat) bool {
	if hb.Incarnation == 0 || hb.Incarnation >= u.instance.Incarnation {
		return false
	}
	running := u.earlier.ID == hb.ID && u.earlier.Incarnation == hb.Incarnation && u.earlier.Seq < hb.Seq
	u.earlier = *hb
	return !running
}

// Deregister records that an upstream instance is about to stop.
func (u *Upstream) Deregister(id string, incarnation int64) {
	u.mu.Lock()
	known := id == u.instance.ID && (incarnation == 0 || u.instance.Incarnation == 0 || incarnation >= u.instance.Incarnation)
	if known {
		u.deregistered = true
	}
	u.mu.Unlock()
	u.g.log.Info().Str("upstream", id).Bool("known", known).Msg("upstream deregistered")
	u.publish()
}

// current returns the last known state of the upstream instance.
func (u *Upstream) current() Heartbeat {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.instance
}

// nodeRecord returns the record of this node with the current state of the upstream.
func (u *Upstream) nodeRecord() mulberrylink.Node {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := u.announced
	n.Upstream = u.state(time.Now())
	return n
}

// markDown records that nothing listens at the address of an upstream instance.
func (u *Upstream) markDown(id string) {
	u.mu.Lock()
	wasUp := u.instance.ID == id && !u.down
	if wasUp {
		u.down = true
	}
	now := time.Now()
	known, warmup := now.Sub(u.instanceSince), u.coldUntil.Sub(now)
	planned := u.deregistered || u.instance.Draining || u.leaving
	u.mu.Unlock()
	if !wasUp {
		return
	}
	u.g.stats.count("upstream_down")
	u.g.log.Warn().Str("upstream", id).Dur("known", known).Dur("warmup", max(0, warmup)).Msg("upstream down: connection refused")
	if !planned {
		u.g.recordCrash(id, now)
	}
	u.publish()
}

// state returns the state of the upstream for the node record. The caller holds mu.
func (u *Upstream) state(now time.Time) mulberrylink.UpstreamState {
	switch {
	case u.down || u.instance.ID == "" || u.instance.Slots == 0:
		return mulberrylink.UpstreamDown
	case u.deregistered || u.instance.Draining || u.leaving:
		return mulberrylink.UpstreamDraining
	case now.Before(u.coldUntil):
		return mulberrylink.UpstreamCold
	}
	return mulberrylink.UpstreamUp
}

// publish applies the current state to admission and announces the node record when it
// has changed.
func (u *Upstream) publish() {
	now := time.Now()
	active := u.g.active.Load()
	var service routes.Service
	domainOut := false
	if active != nil {
		service = active.table.Services[u.current().Service]
		domainOut = active.state.IsDomainOut(u.g.cfg.Domain)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	state := u.state(now)
	n := mulberrylink.Node{
		Name: u.g.cfg.Name, Domain: u.g.cfg.Domain, Service: u.instance.Service, Release: u.instance.Release, Addr: cmp.Or(u.g.cfg.AdvertisedAddr, u.g.cfg.InboundAddr),
		State: mulberrylink.NodeReady, Upstream: state, Slots: u.instance.Slots,
	}
	if u.g.leaving.Load() {
		n.State = mulberrylink.NodeLeaving
	}
	if domainOut || state == mulberrylink.UpstreamDown || state == mulberrylink.UpstreamDraining {
		u.g.admission.Close()
	} else {
		u.g.admission.Open(capacity.Upstream{
			Slots: u.instance.Slots, ColdUntil: u.coldUntil, WarmupRate: u.g.warmupRate(service), WarmupBurst: warmupBurstShare * u.g.cfg.Tuning.WarmupBurst,
			ID: u.instance.ID, Incarnation: u.instance.Incarnation,
		})
	}
	if u.announced != n {
		u.announced = n
		u.g.feed.Announce(n)
	}
}

// warmupRate returns the request rate of a cold upstream of a service.
func (g *Gateway) warmupRate(s routes.Service) float64 {
	return warmupRateShare * s.WarmupRate * g.cfg.Tuning.WarmupRateScale
}

// recordResponse applies what a response to a request of an upstream instance reports: its load,
// its warm-up time, its rate limit and whether it leaves. probe is true for the response to a
// health probe.
func (u *Upstream) recordResponse(hb *Heartbeat, info ResponseInfo, probe bool) {
	u.mu.Lock()
	now := time.Now()
	publish := false
	if info.FromInstance && u.isCurrent(hb, info) {
		u.applyRateLimit(info, probe, now)
		publish = u.applyLeaving(info, probe)
		u.heard = true
	}
	previous := u.slowdown
	if info.Slowdown > 0 {
		u.loadReportedAt, u.slowdown, u.reportsLoad = now, info.Slowdown, true
	}
	if info.WarmupKnown {
		if (info.Warmup > 0) != now.Before(u.coldUntil) {
			publish = true
			u.g.log.Info().Dur("warmup", info.Warmup).Msg("warm-up state of the upstream changed")
		}
		u.coldUntil = now.Add(info.Warmup)
	}
	slowdown := u.slowdown
	u.mu.Unlock()
	if info.Slowdown > 0 {
		u.g.admission.ReportSlowdown(slowdown, info.Running)
		if placement.Disturbed(slowdown) != placement.Disturbed(previous) {
			u.g.log.Debug().Float64("factor", slowdown).Float64("before", previous).Int("running", info.Running).Msg("pace of the upstream changed")
		}
	}
	if publish {
		u.publish()
	}
}
