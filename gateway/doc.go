// Package gateway assembles a node: the entry point for callers beside each
// upstream and the only way to that upstream. The programs differ only in the
// Dialect in which callers and upstreams of a deployment mark their requests,
// and in how upstreams announce themselves.
//
// A request enters at any node. The node matches its route, chooses an upstream
// with coordination/placement and sends the request to the node beside it, which
// admits it with coordination/capacity or refuses it before any byte has reached
// the upstream. A refused request is placed again. A request that may run at most
// once is sent on only after such a refusal, or after the upstream itself has
// said that it did not run it.
//
// # Usage
//
//	g, err := gateway.New(gateway.Config{Name: "node-7", Domain: "d1", …})
//	go g.Serve(ctx)
//	g.Upstream().Beat(gateway.Beat{ID: "i-1", Service: "archive", …})
//	g.Leave(ctx)
package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/capacity"
	"github.com/mulberrylink/mulberrylink/coordination/directory"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
	"github.com/mulberrylink/mulberrylink/coordination/retry"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/coordination/servicetime"
	"github.com/mulberrylink/mulberrylink/protocol/feed"
	"github.com/mulberrylink/mulberrylink/transport/exchange"
	"github.com/mulberrylink/mulberrylink/transport/ingress"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

const (
	// dialTime bounds a connection to another node or to the upstream. Both are
	// at most some milliseconds away.
	dialTime = 250 * time.Millisecond
	// peerKeep is below the idle time of ingress.
	peerKeep = 60 * time.Second
	// upstreamKeep bounds what an upstream announces.
	upstreamKeep = 30 * time.Second
	peerIdle     = 16
	upstreamIdle = 32
	// bufferedAnswer is the size up to which an answer is read whole before it
	// is passed on, so that a broken one can be replaced.
	bufferedAnswer = 64 << 10
)

// Forwarded is what an upstream is told about a request.
type Forwarded struct {
	// Left is the time that the caller still waits.
	Left time.Duration
	// Identity is the upstream for which the request is meant.
	Identity string
	// Caller is the service beside the node where the request entered.
	Caller string
}

// Signs are what the header of an upstream's answer says.
type Signs struct {
	// NotRun is true when the upstream says that it did not run the request.
	NotRun bool
	// Signed is true when the answer is marked as the upstream's own.
	Signed bool
	// Identity is the upstream that answered a health request.
	Identity string
	// Factor is how much longer than usual work takes now, 0 when not told.
	Factor float64
	// Running is the number of requests that it runs, with Factor. Slots is how
	// many it runs at most, 0 when not told.
	Running, Slots int
	// Warmup is how long the upstream stays cold, when WarmupKnown.
	Warmup      time.Duration
	WarmupKnown bool
}

// Dialect is how callers and upstreams of a deployment mark requests and
// answers.
type Dialect interface {
	// RequestID returns the caller's identifier of the request.
	RequestID(h http.Header) string
	// Name puts the identifier of the request into the header of an answer that
	// the node makes itself.
	Name(h http.Header, id string)
	// Wait returns how long the caller waits.
	Wait(h http.Header) (time.Duration, bool)
	// Mark sets the headers that an upstream expects.
	Mark(h http.Header, f Forwarded)
	// Signs reads the header of an answer.
	Signs(status int, h http.Header) Signs
	// Belongs reports whether an answer belongs to the request with this
	// identifier.
	Belongs(id string, answer http.Header) bool
}

// Config is what a Gateway is built from.
type Config struct {
	Name, Domain string
	// Outbound is the address for callers, Inbound the one for other nodes.
	Outbound, Inbound string
	// Advertised is where other nodes reach Inbound, when that is another
	// address.
	Advertised string
	// Seeds are addresses of control hosts.
	Seeds []string
	// Service and Upstream are what the settings say of the upstream beside the
	// node, until it announces itself.
	Service, Upstream string
	// Decode reads a committed document.
	Decode  func(*document.State) (*routes.Table, error)
	Dialect Dialect
	// Grace is the time after a request to stop at which the process is killed.
	Grace    time.Duration
	Tuning   Tuning
	Log      *log.Logger
	Registry metrics.Registry
}

// Tuning holds the settings of the node's decisions.
type Tuning struct {
	// Transfer is the charge for a KiB that leaves the failure domain, in units
	// of one request answered in time.
	Transfer float64
	// Hop is the time to another failure domain and back.
	Hop time.Duration
	// CallerLink is the time of a request and its answer on the way between the
	// caller and the node; objectives are shortened by it.
	CallerLink time.Duration
	// RetryPercent is the share of requests that may be sent once more, and
	// RetryRefill the interval at which one more try is allowed in addition.
	RetryPercent int
	RetryRefill  time.Duration
	// Once is the worth of a request that may run at most once, relative to one
	// that may be repeated.
	Once float64
	// WarmRate scales the rate that cold upstreams are sent.
	WarmRate float64
}

// view is the configuration in force on the node.
type view struct {
	state *document.State
	table *routes.Table
}

// Gateway is one node.
type Gateway struct {
	cfg   Config
	log   *log.Logger
	epoch string // of this process, for the resolution of lost exchanges
	// started is when the process began to serve.
	started time.Time

	dir      *directory.Directory
	feed     *feed.Client
	view     atomic.Pointer[view]
	leaving  atomic.Bool
	leaveAt  atomic.Pointer[time.Time] // when a leaving process must have ended
	next     atomic.Uint64
	splits   *routes.Splitter
	board    *placement.Balancer
	works    *servicetime.Estimator
	sizes    *servicetime.Estimator // bytes of request and answer, as seconds per KiB
	gate     *capacity.Controller
	budgets  *retry.Budgets
	upstream *Upstream
	backend  *exchange.Pool
	peers    *exchange.Pool
	runs     *runs
	epochs   epochs
	stats    *stats
	outbound *ingress.Server
	inbound  *ingress.Server
}

// New returns a node that does not listen yet.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg: cfg, log: cfg.Log, started: time.Now(), epoch: fmt.Sprintf("%x", time.Now().UnixMicro()),
		dir: directory.New(), splits: routes.NewSplitter(), works: servicetime.New(), sizes: servicetime.New(),
		board: placement.New(placement.Config{TransferCost: cfg.Tuning.Transfer, RoundTrip: cfg.Tuning.Hop, Domain: cfg.Domain}),
		gate:  capacity.New(time.Now), runs: newRuns(), stats: newStats(cfg.Registry),
	}
	g.budgets = retry.New(retry.Config{
		Clock: systemClock{}, Registry: cfg.Registry, Reserve: 1, RefillInterval: cfg.Tuning.RetryRefill, MaxTokens: savedRetries,
		Percent: func(string) int { return cfg.Tuning.RetryPercent },
	})
	g.backend = exchange.NewPool(exchange.Config{
		Dial: dialTime, Idle: upstreamIdle, Keep: upstreamKeep, Buffer: bufferedAnswer,
		Opened: func() { g.stats.count("upstream_connections") },
	})
	g.peers = exchange.NewPool(exchange.Config{Dial: dialTime, Idle: peerIdle, Keep: peerKeep, Buffer: bufferedAnswer})
	g.feed = feed.NewClient(feed.ClientConfig{
		Dialer: rpc.NewPool(rpc.PoolConfig{DialTimeout: dialTime}), Seeds: cfg.Seeds,
		Directory: g.dir, OnState: g.adopt, NodeName: cfg.Name, Domain: cfg.Domain, Log: cfg.Log,
	})
	g.upstream = newUpstream(g)
	g.outbound = ingress.New(ingress.Config{Addr: cfg.Outbound, Handler: g.serveCaller, Log: cfg.Log})
	g.inbound = ingress.New(ingress.Config{Addr: cfg.Inbound, Handler: g.servePeer, Log: cfg.Log})
	return g
}

// savedRetries is the number of saved tries of one node: many nodes that use up
// their savings at once must stay within the budget that they share.
const savedRetries = 3

// systemClock implements retry.Clock.
type systemClock struct{}

// Now implements retry.Clock.
func (systemClock) Now() time.Time { return time.Now() }

// Upstream returns the upstream beside the node, for its announcements.
func (g *Gateway) Upstream() *Upstream { return g.upstream }

// Seeds adds addresses of control hosts.
func (g *Gateway) Seeds(addrs []string) { g.feed.AddSeeds(addrs) }

// Known returns the nodes beside upstreams of a service that this node knows.
func (g *Gateway) Known(service string) []mulberrylink.Node { return g.dir.ServiceNodes(service) }

// Underway returns the number of requests that this node has sent to a node and
// that have not ended.
func (g *Gateway) Underway(node string) int { return g.board.InFlight(node) }

// Ready reports whether callers should send requests here.
func (g *Gateway) Ready() bool { return !g.leaving.Load() && g.view.Load() != nil }

// Serve runs the node until ctx ends or a listener fails.
func (g *Gateway) Serve(ctx context.Context) error {
	failed := make(chan error, 2)
	go func() { failed <- g.outbound.Serve(ctx) }()
	go func() { failed <- g.inbound.Serve(ctx) }()
	go g.feed.Run(ctx)
	go g.upstream.watch(ctx)
	g.upstream.publish()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

// adopt puts a committed state in force. It never goes back.
func (g *Gateway) adopt(s *document.State) {
	old := g.view.Load()
	if old != nil && s.Revision <= old.state.Revision {
		return
	}
	next := &view{state: s}
	switch {
	case old != nil && old.state.Version == s.Version:
		next.table = old.table
	case s.Version == 0:
		return // failure domains without a configuration: there is nothing to serve
	default:
		table, err := g.cfg.Decode(s)
		if err != nil {
			g.log.Error().Uint64("version", s.Version).Err(err).Msg("configuration not usable")
			return
		}
		next.table = table
	}
	g.view.Store(next)
	before := uint64(0)
	if old != nil {
		before = old.state.Version
	}
	g.log.Info().Uint64("version", s.Version).Uint64("before", before).Strs("out", s.DomainsOut).Msg("configuration in force")
	g.upstream.publish()
}

const (
	// leaveTime is how long a leaving node stays at least: callers are told by
	// the second of two failed checks, one second apart.
	leaveTime = 2500 * time.Millisecond
	// refuseTime before the process must have ended, callers are refused: their
	// requests might not be finished.
	refuseTime = 3400 * time.Millisecond
	// leaveSlack is kept between the last answer and the end of the grace time.
	leaveSlack = 600 * time.Millisecond
	// leaveInterval is how often a leaving node looks for open requests.
	leaveInterval = 50 * time.Millisecond
)

// leavesIn returns how long the process still runs, a long time while it does
// not leave.
func (g *Gateway) leavesIn(now time.Time) time.Duration {
	if at := g.leaveAt.Load(); at != nil {
		return at.Sub(now)
	}
	return time.Hour
}

// Leave ends the node in order: it takes no more work of other nodes, goes on
// serving callers that do not know yet, and returns when nothing is open.
func (g *Gateway) Leave(ctx context.Context) {
	began := time.Now()
	end := began.Add(g.cfg.Grace - leaveSlack)
	g.leaveAt.Store(&end)
	g.leaving.Store(true)
	g.log.Info().Int64("callers", g.outbound.Active()).Int64("peers", g.inbound.Active()).Msg("node leaving")
	g.upstream.publish()
	g.outbound.Drain()
	g.inbound.Drain()
	for ctx.Err() == nil {
		open := g.outbound.Active() + g.inbound.Active()
		if now := time.Now(); now.After(end) || now.Sub(began) > leaveTime && open == 0 {
			break
		}
		time.Sleep(leaveInterval)
	}
	ctx, cancel := context.WithTimeout(ctx, leaveSlack/2)
	defer cancel()
	for _, s := range []*ingress.Server{g.outbound, g.inbound} {
		if err := s.Close(ctx); err != nil {
			g.log.Warn().Err(err).Msg("requests were open at the end of the grace time")
		}
	}
	g.log.Info().Dur("took", time.Since(began)).Msg("node left")
}
