package gateway

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/capacity"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/transport/exchange"
)

const (
	// busyProbe is the age of the newest report at which an upstream with work is
	// asked for its load: disturbances begin and end several times a second.
	busyProbe = 60 * time.Millisecond
	// idleProbe is that age without work.
	idleProbe = 500 * time.Millisecond
	// freshTime is the age up to which a report of the load decides about a
	// request. An older one is renewed first: a health request next door takes
	// a millisecond, and a request placed on a disturbed host is late.
	freshTime = 35 * time.Millisecond
	// freshWait bounds the wait for the report.
	freshWait = 20 * time.Millisecond
	// minWatch is the shortest pause between two looks at the age.
	minWatch = 5 * time.Millisecond
	// probeTime bounds one such request.
	probeTime = 400 * time.Millisecond
)

// Heartbeat is what an upstream says of itself.
type Heartbeat struct {
	ID, Service, Addr string
	Slots             int
	Draining          bool
	// Warmup is how long it stays cold.
	Warmup time.Duration
	// Seq grows with every beat of one incarnation, Incarnation with every incarnation.
	Seq         uint64
	Incarnation int64
}

// Upstream is the upstream beside the node.
type Upstream struct {
	g *Gateway

	mu        sync.Mutex
	beat      Heartbeat
	left      bool // it has said that it goes
	down      bool // nothing listens at its address
	coldUntil time.Time
	reported  time.Time // of the newest report of its load
	factor    float64
	last      mulberrylink.Node
	tells     bool          // its answers tell the load
	renewing  chan struct{} // closed when the probe under way ends
	probeNow  chan struct{}
}

func newUpstream(g *Gateway) *Upstream {
	return &Upstream{
		g: g, factor: 1, probeNow: make(chan struct{}, 1),
		// Nothing is sent before the upstream has told its identity, to a probe or
		// by a beat.
		beat: Heartbeat{Service: g.cfg.Service, Addr: g.cfg.UpstreamAddr},
	}
}

// HandleHeartbeat takes an announcement. One that is older than what is known is ignored.
func (u *Upstream) HandleHeartbeat(b Heartbeat) {
	u.mu.Lock()
	cur := u.beat
	same := b.ID == cur.ID && (b.Incarnation == cur.Incarnation || cur.Incarnation == 0 || b.Incarnation == 0)
	stale := b.Incarnation != 0 && b.Incarnation < cur.Incarnation || same && cur.Seq != 0 && b.Seq <= cur.Seq
	if stale {
		u.mu.Unlock()
		u.g.log.Info().Str("upstream", b.ID).Uint64("seq", b.Seq).Uint64("known", cur.Seq).Msg("late announcement ignored")
		return
	}
	b.Draining = b.Draining || same && cur.Draining
	if !same {
		u.left = false
		u.g.backend.Drop(cur.Addr)
	}
	changed := !same || b.Draining != cur.Draining || b.Slots != cur.Slots || b.Addr != cur.Addr || u.down
	u.beat, u.down = b, false
	u.coldUntil = time.Now().Add(b.Warmup)
	u.mu.Unlock()
	if changed {
		u.g.log.Info().Str("upstream", b.ID).Str("before", cur.ID).Str("service", b.Service).Str("addr", b.Addr).
			Int("slots", b.Slots).Bool("draining", b.Draining).Dur("warmup", b.Warmup).Uint64("seq", b.Seq).Msg("upstream announced")
	}
	u.publish()
}

// Deregister records that an upstream is about to stop.
func (u *Upstream) Deregister(id string, born int64) {
	u.mu.Lock()
	hit := id == u.beat.ID && (born == 0 || u.beat.Incarnation == 0 || born >= u.beat.Incarnation)
	if hit {
		u.left = true
	}
	u.mu.Unlock()
	u.g.log.Info().Str("upstream", id).Bool("known", hit).Msg("upstream deregistered")
	u.publish()
}

// current returns the upstream as it is now.
func (u *Upstream) current() Heartbeat {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.beat
}

// record returns the record of the node as other nodes see it.
func (u *Upstream) record() mulberrylink.Node {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := u.last
	n.Upstream = u.state(time.Now())
	return n
}

// refused notes that nothing listens at the address of an upstream.
func (u *Upstream) refused(id string) {
	u.mu.Lock()
	hit := u.beat.ID == id && !u.down
	if hit {
		u.down = true
	}
	u.mu.Unlock()
	if hit {
		u.g.log.Warn().Str("upstream", id).Msg("upstream down: connection refused")
		u.publish()
	}
}

// state returns the state that other nodes are told. The caller holds mu.
func (u *Upstream) state(now time.Time) mulberrylink.UpstreamState {
	switch {
	case u.down || u.beat.ID == "" || u.beat.Slots == 0:
		return mulberrylink.UpstreamDown
	case u.left || u.beat.Draining:
		return mulberrylink.UpstreamDraining
	case now.Before(u.coldUntil):
		return mulberrylink.UpstreamCold
	}
	return mulberrylink.UpstreamUp
}

// publish brings the gate and the record of the node up to date.
func (u *Upstream) publish() {
	now := time.Now()
	v := u.g.view.Load()
	var svc routes.Service
	out := false
	if v != nil {
		svc = v.table.Services[u.current().Service]
		out = v.state.IsDomainOut(u.g.cfg.Domain)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	state := u.state(now)
	n := mulberrylink.Node{
		Name: u.g.cfg.Name, Domain: u.g.cfg.Domain, Service: u.beat.Service, Addr: cmp.Or(u.g.cfg.AdvertisedAddr, u.g.cfg.InboundAddr),
		State: mulberrylink.NodeReady, Upstream: state, Slots: u.beat.Slots,
		Incarnation: uint64(now.UnixMicro()),
	}
	if u.g.leaving.Load() {
		n.State = mulberrylink.NodeLeaving
	}
	if out || state == mulberrylink.UpstreamDown || state == mulberrylink.UpstreamDraining {
		u.g.gate.Close()
	} else {
		u.g.gate.Open(capacity.Upstream{
			Slots: u.beat.Slots, ColdUntil: u.coldUntil, WarmupRate: svc.WarmupRate * u.g.cfg.Tuning.WarmupRateScale,
		})
	}
	known := u.last
	known.Incarnation = n.Incarnation
	if known != n {
		u.last = n
		u.g.feed.Announce(n)
	}
}

// report takes what the header of an answer says of the upstream.
func (u *Upstream) report(s ResponseInfo) {
	u.mu.Lock()
	now := time.Now()
	publish := false
	before := u.factor
	if s.SlowdownFactor > 0 {
		u.reported, u.factor, u.tells = now, s.SlowdownFactor, true
	}
	if s.WarmupKnown {
		publish = (s.Warmup > 0) != now.Before(u.coldUntil)
		u.coldUntil = now.Add(s.Warmup)
	}
	factor := u.factor
	u.mu.Unlock()
	if s.SlowdownFactor > 0 {
		u.g.gate.ReportSlowdown(factor, s.Running)
		if placement.Disturbed(factor) != placement.Disturbed(before) {
			u.g.log.Debug().Float64("factor", factor).Float64("before", before).Int("running", s.Running).Msg("pace of the upstream changed")
		}
	}
	if publish {
		u.g.log.Info().Dur("warmup", s.Warmup).Msg("upstream warmth changed")
		u.publish()
	}
}

// ask makes the next probe start at once.
func (u *Upstream) ask() {
	select {
	case u.probeNow <- struct{}{}:
	default:
	}
}

// refresh renews the report of the load when it is too old to decide about a
// request. Requests that come together share one probe.
func (u *Upstream) refresh(ctx context.Context) {
	u.mu.Lock()
	if !u.tells || u.down || time.Since(u.reported) < freshTime {
		u.mu.Unlock()
		return
	}
	done := u.renewing
	if done == nil {
		done = make(chan struct{})
		u.renewing = done
		go func() {
			u.probe(context.WithoutCancel(ctx))
			u.mu.Lock()
			u.renewing = nil
			u.mu.Unlock()
			close(done)
		}()
	}
	u.mu.Unlock()
	timer := time.NewTimer(freshWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// watch asks the upstream for its load when no answer has told it lately.
func (u *Upstream) watch(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-u.probeNow:
			u.probe(ctx)
		}
		wait := idleProbe
		if !u.g.gate.Idle() {
			wait = busyProbe
		}
		u.mu.Lock()
		age := time.Since(u.reported)
		u.mu.Unlock()
		if age >= wait {
			u.probe(ctx)
			age = 0 // a probe without an answer is not repeated at once
		}
		timer.Reset(max(wait-age, minWatch))
	}
}

// probe sends one health request.
func (u *Upstream) probe(ctx context.Context) {
	b := u.current()
	v := u.g.view.Load()
	if v == nil || b.Addr == "" {
		return
	}
	path := v.table.Services[b.Service].HealthPath
	if path == "" {
		return
	}
	u.g.stats.count("probes")
	ans, err := u.g.backend.Do(ctx, &exchange.Call{
		Addr: b.Addr, Method: "GET", Target: path, Host: b.Addr, Deadline: time.Now().Add(probeTime),
	})
	var f *exchange.StageError
	switch {
	case err == nil:
	case errors.As(err, &f) && f.Refused:
		u.refused(b.ID)
		return
	default:
		u.g.log.Debug().Str("upstream", b.ID).Err(err).Msg("health request failed")
		return
	}
	defer ans.Close()
	signs := u.g.cfg.Headers.ParseResponse(ans.Status, ans.Header)
	u.identify(&b, ans.Status, signs)
	u.report(signs)
}

// identify takes the identity from the answer to a health request. A health
// status other than 200 proves nothing by itself: some upstreams report failures
// that they do not have.
func (u *Upstream) identify(asked *Heartbeat, status int, s ResponseInfo) {
	if status != 200 || s.UpstreamID == "" {
		return
	}
	u.mu.Lock()
	if u.beat.ID != asked.ID || u.beat.Addr != asked.Addr {
		u.mu.Unlock()
		return // an announcement came first
	}
	changed := u.down || u.beat.ID != s.UpstreamID
	if changed {
		was := u.beat.ID
		u.down = false
		if was != s.UpstreamID {
			u.beat.ID, u.beat.Seq, u.beat.Incarnation = s.UpstreamID, 0, 0
			u.beat.Draining, u.left = false, false
		}
		if u.beat.Slots == 0 {
			u.beat.Slots = max(1, s.Slots)
		}
		u.g.log.Info().Str("upstream", s.UpstreamID).Str("before", was).Int("slots", u.beat.Slots).Msg("upstream answers")
	}
	u.mu.Unlock()
	if changed {
		u.publish()
	}
}
