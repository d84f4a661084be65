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

// dependencies are the parts of a node that tests replace.
type dependencies struct {
	group nodeGroup
	// controlPlane is the client of the control hosts, nil when none are configured.
	controlPlane *controlplane.Client
	// control and claimer are set by newNode when controlPlane is not nil.
	control controlHosts
	claimer dispatch.Claimer
	gate    gate
	decode  func(version uint64, data []byte) (*overlay.Config, error)
	// probe sends a load probe to the node at addr. It may be nil.
	probe func(addr string)
}

// node is one node with its servers and clients.
type node struct {
	cfg           *nodeSettings
	deps          dependencies
	log           *log.Logger
	stats         *stats
	active        *activeConfig
	availability  *availability
	upstream      *upstream
	backend       *backend.Backend
	admitter      *admitter
	peerPool      *rpc.Pool
	forwardClient *forward.Client
	forwarder     *forwarder
	forwardServer *forward.Server
	rpcServer     *rpc.Server
	lis           net.Listener
	front         *front.Server
	admin         *adminServer
	suspects      *crashSuspects
	policy        selection.Policy
}

// newNode returns a node that uses lis for RPC and doesn't serve yet; start starts it.
func newNode(cfg *nodeSettings, deps dependencies, lis net.Listener, l *log.Logger) (*node, error) {
	n := &node{cfg: cfg, deps: deps, log: l, lis: lis, stats: newStats()}
	n.upstream = &upstream{onChange: n.onUpstreamChange, log: l}
	n.active = &activeConfig{decode: deps.decode, onChange: n.onConfigChange, log: l}
	if deps.controlPlane != nil {
		control := &controlAdapter{client: deps.controlPlane, active: n.active, log: l}
		n.deps.control, n.deps.claimer = control, control
	}
	n.availability = &availability{
		domain: cfg.Node.Domain, active: n.active, upstream: n.upstream,
		lastHeard: n.lastHeardFunc(), now: time.Now, log: l,
	}
	n.suspects = &crashSuspects{
		list: suspect.New(suspect.Config{Clock: systemClock{}}), group: deps.group,
		service: func() string { return n.upstream.current().Service }, log: l,
	}
	n.backend = backend.New(backend.Config{
		OnCrash: n.onUpstreamCrash,
		OnDown:  func(t backend.Target) { n.upstream.markDown(t.Addr, t.Incarnation) },
	})
	n.admitter = &admitter{
		rejectReason: n.availability.admitRejectReason, gate: deps.gate, backend: n.backend, suspects: n.suspects, stats: n.stats,
	}
	if n.deps.control != nil {
		n.admitter.recorder = n.deps.control
	}
	n.peerPool = rpc.NewPool(rpc.PoolConfig{DialTimeout: cfg.Limits.Dial, IdlePerAddr: cfg.Limits.Idle})
	n.forwardClient = forward.NewClient(forward.ClientConfig{Pool: n.peerPool, OnResolved: n.stats.exchangeResolved})
	n.forwarder = &forwarder{localName: cfg.Node.Name, local: n.admitter, client: n.forwardClient}
	n.forwardServer = forward.NewServer(forward.ServerConfig{Runner: n.admitter, Config: n.active.encoded})
	n.rpcServer = rpc.NewServer(func(err error) { l.Debug().Err(err).Msg("RPC connection failed") })
	n.forwardServer.Register(func(method string, h forward.Handler) { n.rpcServer.Handle(method, rpc.Handler(h)) })
	n.registerGauges()
	return n, n.buildServers()
}

// buildServers creates the selection policy, the dispatcher and both HTTP servers.
func (n *node) buildServers() (err error) {
	if n.policy, err = n.newPolicy(); err != nil {
		return err
	}
	dispatcher := dispatch.New(dispatch.Config{
		Clock: systemClock{}, Forwarder: n.forwarder, Claimer: n.claimerOrUnavailable(), Picker: n.policy,
		Suspects: n.suspects.list,
		Budget: retry.New(retry.Config{
			Clock: systemClock{}, Registry: n.stats.registry, Percent: n.retryPercent,
		}),
		Broadcast: func(notices []suspect.Notice) { n.suspects.broadcast("", notices) },
	})
	n.front, err = front.New(front.Config{
		Name: n.cfg.Node.Name, Addr: n.cfg.Listen.Front, Dispatch: dispatcher.Do,
		ActiveConfig: n.active.config, RejectReason: n.availability.entryRejectReason, OnDone: n.stats.requestDone,
		MaxHeaderBytes: n.cfg.Limits.Header, MaxKeyedBodyBytes: int64(n.cfg.Limits.Keyed),
		MaxConns: n.cfg.Limits.Connections, MaxDepth: n.cfg.Limits.Depth,
	})
	if err != nil {
		return err
	}
	n.admin, err = newAdminServer(n, n.cfg.Listen.Admin)
	return err
}

// claimerOrUnavailable returns the claimer of the control hosts, or one that grants no claim when no
// control hosts are configured.
func (n *node) claimerOrUnavailable() dispatch.Claimer {
	if n.deps.claimer == nil {
		return unavailableClaimer{}
	}
	return n.deps.claimer
}

// unavailableClaimer is the claimer of a node without control hosts: no claim is granted.
type unavailableClaimer struct{}

// Claim implements dispatch.Claimer.
func (unavailableClaimer) Claim(context.Context, *mulberrylink.Request) dispatch.Claim {
	return dispatch.Claim{State: dispatch.Unavailable}
}

// Release implements dispatch.Claimer.
func (unavailableClaimer) Release(context.Context, *mulberrylink.Request) {}

// lastHeardFunc returns a function that returns when a peer or a control host was last heard from.
// It returns nil when neither peers nor control hosts are configured.
func (n *node) lastHeardFunc() func() time.Time {
	if len(n.cfg.Control.Hosts) == 0 && len(n.cfg.Peers.Seeds) == 0 {
		return nil
	}
	return func() time.Time {
		heardAt := n.deps.group.LastHeard()
		if n.deps.control == nil {
			return heardAt
		}
		if controlHeardAt := n.deps.control.LastHeard(); controlHeardAt.After(heardAt) {
			return controlHeardAt
		}
		return heardAt
	}
}

// start starts the goroutines of the node, which run until ctx ends, and returns when both HTTP
// servers are listening. The results of the servers are sent to serveErr.
func (n *node) start(ctx context.Context, serveErr chan<- error) error {
	go func() { serveErr <- n.rpcServer.Serve(ctx, n.lis) }()
	go func() { serveErr <- n.admin.serve() }()
	go func() { serveErr <- n.front.Serve() }()
	go n.upstream.expireLoop(ctx, time.Now)
	go n.availability.watchReturns(ctx, n.deps.gate.Ramp)
	go n.probeLoop(ctx)
	if n.deps.controlPlane != nil {
		go n.reportLoop(ctx, n.deps.controlPlane)
	}
	go n.active.run(ctx, n.deps.control, n.deps.group, n.forwardClient)
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	for _, ready := range []<-chan struct{}{n.front.Ready(), n.admin.listening} {
		select {
		case <-ready:
		case <-timer.C:
			return errors.Newf("node is not listening after %s", startTimeout)
		}
	}
	n.deps.group.Update(func(self *mulberrylink.Node) {
		self.Front = n.front.Addr()
		self.State = mulberrylink.NodeReady
	})
	n.log.Info().Str("front", n.front.Addr()).Str("rpc", n.lis.Addr().String()).
		Str("admin", n.admin.addr).Msg("node started")
	return nil
}

// startTimeout is the maximum time until both HTTP servers listen.
const startTimeout = 5 * time.Second

// onConfigChange passes the queue timeout of the service to the gate and the version to the group.
func (n *node) onConfigChange(_, next *configVersion) {
	if s, ok := next.cfg.Service(n.upstream.current().Service); ok {
		n.deps.gate.Configure(s.Queue)
	}
	n.deps.group.Update(func(self *mulberrylink.Node) { self.Version = next.version })
}

// onUpstreamChange passes the state of the upstream to the backend, the gate and the group.
func (n *node) onUpstreamChange(a announcement) {
	if a.State == mulberrylink.UpstreamDown {
		n.backend.ClearTarget()
	} else {
		n.backend.SetTarget(backend.Target{Addr: a.Addr, MaxConnections: a.Connections, Incarnation: a.Incarnation})
	}
	n.deps.gate.Announce(a)
	if cfg := n.active.config(); cfg != nil {
		if s, ok := cfg.Service(a.Service); ok {
			n.deps.gate.Configure(s.Queue)
		}
	}
	n.deps.group.Update(func(self *mulberrylink.Node) {
		self.Service = a.Service
		self.Slots = a.Slots
		self.Upstream = a.State
	})
}

// onUpstreamCrash makes crash suspects of the requests that were in flight when the upstream crashed.
func (n *node) onUpstreamCrash(fingerprints []uint64) {
	n.stats.count("upstream_died")
	n.log.Warn().Int("inflight", len(fingerprints)).Msg("upstream crashed; the requests in flight are crash suspects")
	n.suspects.recordCrash(fingerprints)
}

func (n *node) registerGauges() {
	n.stats.gauge("front_inflight", func() int64 { return int64(n.front.InFlight()) })
	n.stats.gauge("forward_pending", func() int64 { return int64(n.forwardServer.Pending()) })
	n.stats.gauge("admit_inflight", func() int64 { return int64(n.deps.gate.Load().InFlight) })
	n.stats.gauge("admit_limit", func() int64 { return int64(n.deps.gate.Load().Limit) })
	n.stats.gauge("configuration_version", func() int64 { return int64(n.active.version()) })
}
