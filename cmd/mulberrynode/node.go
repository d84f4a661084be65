package main

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/protocol/forward"
	"github.com/mulberrylink/mulberrylink/state/overlay"
	"github.com/mulberrylink/mulberrylink/transport/backend"
	"github.com/mulberrylink/mulberrylink/transport/front"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// parts are what a node is built from and tests replace.
type parts struct {
	group  group
	link   controlLink // nil without control hosts
	gate   gate
	decode func(version uint64, data []byte) (*overlay.Config, error)
	// dispatch runs a request of a caller. Nil means the baseline policy of
	// the settings.
	dispatch func(ctx context.Context, r *mulberrylink.Request) mulberrylink.Result
	// died is called with the fingerprints in flight when the upstream died.
	died func(prints []uint64)
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
	front    *front.Front
	admin    *admin
}

// newNode builds a node on the listener for rpc.
func newNode(cfg *nodeSettings, p parts, lis net.Listener, l *log.Logger) (*node, error) {
	n := &node{cfg: cfg, parts: p, log: l, lis: lis, stats: newStats()}
	n.upstream = &upstream{changed: n.upstreamChanged, log: l}
	n.active = &active{decode: p.decode, changed: n.configChanged, log: l}
	n.standing = &standing{
		domain: cfg.Node.Domain, active: n.active, upstream: n.upstream,
		heard: n.heard(), now: time.Now, log: l,
	}
	n.backend = backend.New(backend.Config{Died: n.upstreamDied})
	n.admitter = &admitter{refuse: n.standing.admit, gate: p.gate, backend: n.backend, stats: n.stats}
	if p.link != nil {
		n.admitter.claims = p.link
	}
	n.pool = rpc.NewPool(rpc.PoolConfig{DialTimeout: cfg.Limits.Dial, IdlePerAddr: cfg.Limits.Idle})
	n.client = forward.NewClient(forward.ClientConfig{Pool: n.pool, Resolved: n.stats.resolved})
	n.fwd = &forwarder{self: cfg.Node.Name, local: n.admitter, client: n.client}
	n.server = forward.NewServer(forward.ServerConfig{Runner: n.admitter, Config: n.active.committed})
	n.rpc = rpc.NewServer(func(err error) { l.Debug().Err(err).Msg("rpc connection failed") })
	n.server.Register(func(method string, h forward.Handler) { n.rpc.Handle(method, rpc.Handler(h)) })
	n.gauges()
	return n, n.servers()
}

func (n *node) servers() (err error) {
	dispatch := n.parts.dispatch
	if dispatch == nil {
		d := &basicDispatcher{policy: n.cfg.Measure.Policy, group: n.parts.group, fwd: n.fwd}
		dispatch = d.Do
	}
	n.front, err = front.New(front.Config{
		Addr: n.cfg.Listen.Front, Dispatch: dispatch,
		Settings: n.active.config, Refuse: n.standing.entry, Done: n.stats.finished,
		MaxHeaderBytes: n.cfg.Limits.Header, MaxKeyedBytes: int64(n.cfg.Limits.Keyed),
		MaxConns: n.cfg.Limits.Connections, MaxDepth: n.cfg.Limits.Depth,
	})
	if err != nil {
		return err
	}
	n.admin, err = newAdmin(n, n.cfg.Listen.Admin)
	return err
}

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
	n.parts.group.Update(func(self *mulberrylink.Node) { self.Version = next.version })
}

func (n *node) upstreamChanged(a announcement) {
	if a.State == mulberrylink.UpstreamDown {
		n.backend.Clear()
	} else {
		n.backend.Use(backend.Target{Addr: a.Addr, Connections: a.Connections})
	}
	n.parts.gate.Announce(a)
	n.parts.group.Update(func(self *mulberrylink.Node) {
		self.Service = a.Service
		self.Slots = a.Slots
		self.Upstream = a.State
	})
}

func (n *node) upstreamDied(prints []uint64) {
	n.stats.count("upstream_died")
	n.log.Warn().Int("inflight", len(prints)).Msg("upstream died")
	if n.parts.died != nil {
		n.parts.died(prints)
	}
}

func (n *node) gauges() {
	n.stats.gauge("front_inflight", func() int64 { return int64(n.front.InFlight()) })
	n.stats.gauge("forward_pending", func() int64 { return int64(n.server.Pending()) })
	n.stats.gauge("admit_inflight", func() int64 { return int64(n.parts.gate.Load().InFlight) })
	n.stats.gauge("admit_limit", func() int64 { return int64(n.parts.gate.Load().Limit) })
	n.stats.gauge("configuration_version", func() int64 { return int64(n.active.version()) })
}
