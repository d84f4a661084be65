package main

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/dispatch"
	"github.com/mulberrylink/mulberrylink/coordination/retry"
	"github.com/mulberrylink/mulberrylink/coordination/selection"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/protocol/forward"
	"github.com/mulberrylink/mulberrylink/state/overlay"
	"github.com/mulberrylink/mulberrylink/transport/backend"
	"github.com/mulberrylink/mulberrylink/transport/front"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// parts are what a node is built from and tests replace.
type parts struct {
	group group
	// hosts is the client of the control hosts, nil without any.
	hosts *controlplane.Client
	// link and claims are made from hosts when they are nil.
	link   controlLink
	claims dispatch.Claimer
	gate   gate
	decode func(version uint64, data []byte) (*overlay.Config, error)
	// probe asks the node at an address for its load. It may be nil.
	probe func(addr string)
}

// node is one running node.
type node struct {
	cfg      *nodeSettings
	parts    parts
	log      *log.Logger
	stats    *stats
	active   *active
	standing *standing
	upstream *upstream
	backend  *backend.Backend
	admitter *admitter
	pool     *rpc.Pool
	client   *forward.Client
	fwd      *forwarder
	server   *forward.Server
	rpc      *rpc.Server
	lis      net.Listener
	front    *front.Server
	admin    *admin
	suspects *suspects
	policy   selection.Policy
}

// newNode builds a node on the listener for rpc.
func newNode(cfg *nodeSettings, p parts, lis net.Listener, l *log.Logger) (*node, error) {
	n := &node{cfg: cfg, parts: p, log: l, lis: lis, stats: newStats()}
	n.upstream = &upstream{changed: n.upstreamChanged, log: l}
	n.active = &active{decode: p.decode, changed: n.configChanged, log: l}
	if p.hosts != nil {
		link := &hostLink{client: p.hosts, active: n.active, log: l}
		n.parts.link, n.parts.claims = link, link
	}
	n.standing = &standing{
		domain: cfg.Node.Domain, active: n.active, upstream: n.upstream,
		heard: n.heard(), now: time.Now, log: l,
	}
	n.suspects = &suspects{
		list: suspect.New(suspect.Config{Clock: systemClock{}}), group: p.group,
		service: func() string { return n.upstream.current().Service }, log: l,
	}
	n.backend = backend.New(backend.Config{
		OnCrash: n.upstreamDied,
		OnDown:  func(t backend.Target) { n.upstream.down(t.Addr, t.Incarnation) },
	})
	n.admitter = &admitter{
		refuse: n.standing.admit, gate: p.gate, backend: n.backend, suspects: n.suspects, stats: n.stats,
	}
	if n.parts.link != nil {
		n.admitter.claims = n.parts.link
	}
	n.pool = rpc.NewPool(rpc.PoolConfig{DialTimeout: cfg.Limits.Dial, IdlePerAddr: cfg.Limits.Idle})
	n.client = forward.NewClient(forward.ClientConfig{Pool: n.pool, OnResolved: n.stats.resolved})
	n.fwd = &forwarder{self: cfg.Node.Name, local: n.admitter, client: n.client}
	n.server = forward.NewServer(forward.ServerConfig{Runner: n.admitter, Config: n.active.committed})
	n.rpc = rpc.NewServer(func(err error) { l.Debug().Err(err).Msg("rpc connection failed") })
	n.server.Register(func(method string, h forward.Handler) { n.rpc.Handle(method, rpc.Handler(h)) })
	n.gauges()
	return n, n.servers()
}

func (n *node) servers() (err error) {
	if n.policy, err = n.newPolicy(); err != nil {
		return err
	}
	d := dispatch.New(dispatch.Config{
		Clock: systemClock{}, Forwarder: n.fwd, Claimer: n.claimer(), Picker: n.policy,
		Suspects: n.suspects.list,
		Budget: retry.New(retry.Config{
			Clock: systemClock{}, Registry: n.stats.registry, Percent: n.retryPercent,
		}),
		Broadcast: func(notices []suspect.Notice) { n.suspects.spread("", notices) },
	})
	n.front, err = front.New(front.Config{
		Name: n.cfg.Node.Name, Addr: n.cfg.Listen.Front, Dispatch: d.Do,
		ActiveConfig: n.active.config, RejectReason: n.standing.entry, OnDone: n.stats.finished,
		MaxHeaderBytes: n.cfg.Limits.Header, MaxKeyedBodyBytes: int64(n.cfg.Limits.Keyed),
		MaxConns: n.cfg.Limits.Connections, MaxDepth: n.cfg.Limits.Depth,
	})
	if err != nil {
		return err
	}
	n.admin, err = newAdmin(n, n.cfg.Listen.Admin)
	return err
}

// claimer refuses every claim when there are no control hosts.
func (n *node) claimer() dispatch.Claimer {
	if n.parts.claims == nil {
		return noClaims{}
	}
	return n.parts.claims
}

// noClaims implements dispatch.Claimer without a quorum.
type noClaims struct{}

// Claim implements dispatch.Claimer.
func (noClaims) Claim(context.Context, *mulberrylink.Request) dispatch.Claim {
	return dispatch.Claim{State: dispatch.Unavailable}
}

// Release implements dispatch.Claimer.
func (noClaims) Release(context.Context, *mulberrylink.Request) {}

// heard returns when anyone was last heard from, nil when nobody is
// configured.
func (n *node) heard() func() time.Time {
	if len(n.cfg.Control.Hosts) == 0 && len(n.cfg.Peers.Seeds) == 0 {
		return nil
	}
	return func() time.Time {
		at := n.parts.group.LastHeard()
		if n.parts.link == nil {
			return at
		}
		if c := n.parts.link.LastHeard(); c.After(at) {
			return c
		}
		return at
	}
}

// start runs the node's goroutines until ctx ends. It returns when the node
// listens. Errors of the servers are sent to failed.
func (n *node) start(ctx context.Context, failed chan<- error) error {
	go func() { failed <- n.rpc.Serve(ctx, n.lis) }()
	go func() { failed <- n.admin.serve() }()
	go func() { failed <- n.front.Serve() }()
	go n.upstream.watch(ctx, time.Now)
	go n.standing.watch(ctx, n.parts.gate.Ramp)
	go n.probe(ctx)
	if n.parts.hosts != nil {
		go n.report(ctx, n.parts.hosts)
	}
	go n.active.follow(ctx, n.parts.link, n.parts.group, n.client)
	timer := time.NewTimer(startTime)
	defer timer.Stop()
	for _, ready := range []<-chan struct{}{n.front.Ready(), n.admin.ready} {
		select {
		case <-ready:
		case <-timer.C:
			return errors.Newf("node does not listen after %s", startTime)
		}
	}
	n.parts.group.Update(func(self *mulberrylink.Node) {
		self.Front = n.front.Addr()
		self.State = mulberrylink.NodeReady
	})
	n.log.Info().Str("front", n.front.Addr()).Str("rpc", n.lis.Addr().String()).
		Str("admin", n.admin.addr).Msg("node started")
	return nil
}

// startTime bounds the start of the listeners.
const startTime = 5 * time.Second

func (n *node) configChanged(_, next *committed) {
	if s, ok := next.cfg.Service(n.upstream.current().Service); ok {
		n.parts.gate.Configure(s.Queue)
	}
	n.parts.group.Update(func(self *mulberrylink.Node) { self.Version = next.version })
}

func (n *node) upstreamChanged(a announcement) {
	if a.State == mulberrylink.UpstreamDown {
		n.backend.ClearTarget()
	} else {
		n.backend.SetTarget(backend.Target{Addr: a.Addr, MaxConnections: a.Connections, Incarnation: a.Incarnation})
	}
	n.parts.gate.Announce(a)
	if cfg := n.active.config(); cfg != nil {
		if s, ok := cfg.Service(a.Service); ok {
			n.parts.gate.Configure(s.Queue)
		}
	}
	n.parts.group.Update(func(self *mulberrylink.Node) {
		self.Service = a.Service
		self.Slots = a.Slots
		self.Upstream = a.State
	})
}

func (n *node) upstreamDied(prints []uint64) {
	n.stats.count("upstream_died")
	n.log.Warn().Int("inflight", len(prints)).Msg("upstream died")
	n.suspects.crashed(prints)
}

func (n *node) gauges() {
	n.stats.gauge("front_inflight", func() int64 { return int64(n.front.InFlight()) })
	n.stats.gauge("forward_pending", func() int64 { return int64(n.server.Pending()) })
	n.stats.gauge("admit_inflight", func() int64 { return int64(n.parts.gate.Load().InFlight) })
	n.stats.gauge("admit_limit", func() int64 { return int64(n.parts.gate.Load().Limit) })
	n.stats.gauge("configuration_version", func() int64 { return int64(n.active.version()) })
}
