// Package gateway assembles a node: the entry point for callers beside each
// upstream and the only way to that upstream. The programs differ only in the
// HeaderCodec for the headers of a deployment and in how upstreams announce
// themselves.
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
//	g.Upstream().HandleHeartbeat(gateway.Heartbeat{ID: "i-1", Service: "archive", …})
//	g.Shutdown(ctx)
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
	dialTimeout = 250 * time.Millisecond
	// peerKeep is below the idle time of ingress.
	peerIdleTimeout = 60 * time.Second
	// upstreamKeep bounds what an upstream announces.
	upstreamIdleTimeout  = 30 * time.Second
	peerMaxIdleConns     = 16
	upstreamMaxIdleConns = 32
	// bufferedAnswer is the size up to which an answer is read whole before it
	// is passed on, so that a broken one can be replaced.
	maxBufferedResponse = 64 << 10
)

// RequestInfo is what an upstream is told about a request.
type RequestInfo struct {
	// Remaining is the time until the deadline of the caller.
	Remaining time.Duration
	// UpstreamID is the upstream for which the request is meant.
	UpstreamID string
	// CallerService is the service beside the node where the request entered.
	CallerService string
}

// ResponseInfo is what the header of an upstream's response says.
type ResponseInfo struct {
	// NotRun is true when the upstream says that it did not run the request.
	NotRun bool
	// Signed is true when the answer is marked as the upstream's own.
	Signed bool
	// UpstreamID is the upstream that answered a health request.
	UpstreamID string
	// SlowdownFactor is how much longer than usual work takes now, 0 when not told.
	SlowdownFactor float64
	// Running is the number of requests that it runs, with SlowdownFactor. Slots is how
	// many it runs at most, 0 when not told.
	Running, Slots int
	// Warmup is how long the upstream stays cold, when WarmupKnown.
	Warmup      time.Duration
	WarmupKnown bool
}

// HeaderCodec reads and writes the headers by which callers and upstreams of a
// deployment describe requests and responses.
type HeaderCodec interface {
	// RequestID returns the caller's identifier of the request.
	RequestID(h http.Header) string
	// SetRequestID puts the identifier of the request into the header of an answer that
	// the node makes itself.
	SetRequestID(h http.Header, id string)
	// Timeout returns how long the caller waits.
	Timeout(h http.Header) (time.Duration, bool)
	// SetUpstreamHeaders sets the headers that an upstream expects.
	SetUpstreamHeaders(h http.Header, f RequestInfo)
	// ParseResponse reads the header of a response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// MatchesRequest reports whether a response belongs to the request with this
	// identifier.
	MatchesRequest(id string, answer http.Header) bool
}

// Config is what a Gateway is built from.
type Config struct {
	Name, Domain string
	// OutboundAddr is the address for callers, InboundAddr the one for other nodes.
	OutboundAddr, InboundAddr string
	// AdvertisedAddr is where other nodes reach InboundAddr, when that is another
	// address.
	AdvertisedAddr string
	// Seeds are addresses of control hosts.
	Seeds []string
	// Service and UpstreamAddr are what the settings say of the upstream beside the
	// node, until it announces itself.
	Service, UpstreamAddr string
	// DecodeTable reads a committed document.
	DecodeTable func(*document.State) (*routes.Table, error)
	Headers     HeaderCodec
	// GracePeriod is the time after a request to stop at which the process is killed.
	GracePeriod time.Duration
	Tuning      Tuning
	Log         *log.Logger
	Registry    metrics.Registry
}

// Tuning holds the settings of the node's decisions.
type Tuning struct {
	// TransferCostPerKiB is the charge for a KiB that leaves the failure domain, in units
	// of one request answered in time.
	TransferCostPerKiB float64
	// CrossDomainRTT is the time to another failure domain and back.
	CrossDomainRTT time.Duration
	// CallerRTT is the time of a request and its answer on the way between the
	// caller and the node; objectives are shortened by it.
	CallerRTT time.Duration
	// RetryPercent is the share of requests that may be sent once more, and
	// RetryRefillInterval the interval at which one more try is allowed in addition.
	RetryPercent        int
	RetryRefillInterval time.Duration
	// NonIdempotentWeight is the weight of a request that may run at most once, relative to one
	// that may be repeated.
	NonIdempotentWeight float64
	// WarmupRateScale scales the rate that cold upstreams are sent.
	WarmupRateScale float64
}

// view is the configuration in force on the node.
type activeConfig struct {
	state *document.State
	table *routes.Table
}

// Gateway is one node.
type Gateway struct {
	cfg   Config
	log   *log.Logger
	epoch string // of this process, for the resolution of lost exchanges
	// started is when the process began to serve.
	startedAt time.Time

	directory     *directory.Directory
	feed          *feed.Client
	active        atomic.Pointer[activeConfig]
	leaving       atomic.Bool
	exitDeadline  atomic.Pointer[time.Time] // when a leaving process must have ended
	exchangeSeq   atomic.Uint64
	splits        *routes.Splitter
	placer        *placement.Balancer
	serviceTimes  *servicetime.Estimator
	transferSizes *servicetime.Estimator // bytes of request and answer, as seconds per KiB
	admission     *capacity.Controller
	retryBudgets  *retry.Budgets
	upstream      *Upstream
	upstreamPool  *exchange.Pool
	peerPool      *exchange.Pool
	outcomes      *outcomeStore
	peerEpochs    peerEpochs
	stats         *stats
	outbound      *ingress.Server
	inbound       *ingress.Server
}

// New returns a node that does not listen yet.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg: cfg, log: cfg.Log, startedAt: time.Now(), epoch: fmt.Sprintf("%x", time.Now().UnixMicro()),
		directory: directory.New(), splits: routes.NewSplitter(), serviceTimes: servicetime.New(), transferSizes: servicetime.New(),
		placer:    placement.New(placement.Config{TransferCost: cfg.Tuning.TransferCostPerKiB, RoundTrip: cfg.Tuning.CrossDomainRTT, Domain: cfg.Domain}),
		admission: capacity.New(time.Now), outcomes: newOutcomeStore(), stats: newStats(cfg.Registry),
	}
	g.retryBudgets = retry.New(retry.Config{
		Clock: systemClock{}, Registry: cfg.Registry, Reserve: 1, RefillInterval: cfg.Tuning.RetryRefillInterval, MaxTokens: maxSavedRetries,
		Percent: func(string) int { return cfg.Tuning.RetryPercent },
	})
	g.upstreamPool = exchange.NewPool(exchange.Config{
		Dial: dialTimeout, Idle: upstreamMaxIdleConns, Keep: upstreamIdleTimeout, Buffer: maxBufferedResponse,
		Opened: func() { g.stats.count("upstream_connections") },
	})
	g.peerPool = exchange.NewPool(exchange.Config{Dial: dialTimeout, Idle: peerMaxIdleConns, Keep: peerIdleTimeout, Buffer: maxBufferedResponse})
	g.feed = feed.NewClient(feed.ClientConfig{
		Dialer: rpc.NewPool(rpc.PoolConfig{DialTimeout: dialTimeout}), Seeds: cfg.Seeds,
		Directory: g.directory, Adopt: g.applyState, Name: cfg.Name, Domain: cfg.Domain, Log: cfg.Log,
	})
	g.upstream = newUpstream(g)
	g.outbound = ingress.New(ingress.Config{Addr: cfg.OutboundAddr, Handler: g.serveCaller, Log: cfg.Log})
	g.inbound = ingress.New(ingress.Config{Addr: cfg.InboundAddr, Handler: g.servePeer, Log: cfg.Log})
	return g
}

// savedRetries is the number of saved tries of one node: many nodes that use up
// their savings at once must stay within the budget that they share.
const maxSavedRetries = 3

// systemClock implements retry.Clock.
type systemClock struct{}

// Now implements retry.Clock.
func (systemClock) Now() time.Time { return time.Now() }

// Upstream returns the upstream beside the node, for its announcements.
func (g *Gateway) Upstream() *Upstream { return g.upstream }

// AddSeeds adds addresses of control hosts.
func (g *Gateway) AddSeeds(addrs []string) { g.feed.Seeds(addrs) }

// ServiceNodes returns the nodes beside upstreams of a service that this node knows.
func (g *Gateway) ServiceNodes(service string) []mulberrylink.Node {
	return g.directory.ServiceNodes(service)
}

// InFlight returns the number of requests that this node has sent to a node and
// that have not ended.
func (g *Gateway) InFlight(node string) int { return g.placer.InFlight(node) }

// Ready reports whether callers should send requests here.
func (g *Gateway) Ready() bool { return !g.leaving.Load() && g.active.Load() != nil }

// Serve runs the node until ctx ends or a listener fails.
func (g *Gateway) Serve(ctx context.Context) error {
	serveErr := make(chan error, 2)
	go func() { serveErr <- g.outbound.Serve(ctx) }()
	go func() { serveErr <- g.inbound.Serve(ctx) }()
	go g.feed.Run(ctx)
	go g.upstream.probeLoop(ctx)
	g.upstream.publish()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
		return nil
	}
}

// adopt puts a committed state in force. It never goes back.
func (g *Gateway) applyState(s *document.State) {
	old := g.active.Load()
	if old != nil && s.Revision <= old.state.Revision {
		return
	}
	next := &activeConfig{state: s}
	switch {
	case old != nil && old.state.Version == s.Version:
		next.table = old.table
	case s.Version == 0:
		return // failure domains without a configuration: there is nothing to serve
	default:
		table, err := g.cfg.DecodeTable(s)
		if err != nil {
			g.log.Error().Uint64("version", s.Version).Err(err).Msg("configuration not usable")
			return
		}
		next.table = table
	}
	g.active.Store(next)
	oldVersion := uint64(0)
	if old != nil {
		oldVersion = old.state.Version
	}
	g.log.Info().Uint64("version", s.Version).Uint64("before", oldVersion).Strs("out", s.DomainsOut).Msg("configuration in force")
	g.upstream.publish()
}

const (
	// leaveTime is how long a leaving node stays at least: callers are told by
	// the second of two failed checks, one second apart.
	minShutdownTime = 2500 * time.Millisecond
	// refuseTime before the process must have ended, callers are refused: their
	// requests might not be finished.
	rejectBeforeExit = 3400 * time.Millisecond
	// leaveSlack is kept between the last answer and the end of the grace time.
	shutdownMargin = 600 * time.Millisecond
	// leaveInterval is how often a leaving node looks for open requests.
	drainPollInterval = 50 * time.Millisecond
)

// leavesIn returns how long the process still runs, a long time while it does
// not leave.
func (g *Gateway) timeToExit(now time.Time) time.Duration {
	if at := g.exitDeadline.Load(); at != nil {
		return at.Sub(now)
	}
	return time.Hour
}

// Shutdown ends the node in order: it takes no more work of other nodes, goes on
// serving callers that do not know yet, and returns when nothing is open.
func (g *Gateway) Shutdown(ctx context.Context) {
	start := time.Now()
	deadline := start.Add(g.cfg.GracePeriod - shutdownMargin)
	g.exitDeadline.Store(&deadline)
	g.leaving.Store(true)
	g.log.Info().Int64("callers", g.outbound.Active()).Int64("peers", g.inbound.Active()).Msg("node leaving")
	g.upstream.publish()
	g.outbound.Drain()
	g.inbound.Drain()
	for ctx.Err() == nil {
		inFlight := g.outbound.Active() + g.inbound.Active()
		if now := time.Now(); now.After(deadline) || now.Sub(start) > minShutdownTime && inFlight == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	ctx, cancel := context.WithTimeout(ctx, shutdownMargin/2)
	defer cancel()
	for _, s := range []*ingress.Server{g.outbound, g.inbound} {
		if err := s.Close(ctx); err != nil {
			g.log.Warn().Err(err).Msg("requests were open at the end of the grace time")
		}
	}
	g.log.Info().Dur("took", time.Since(start)).Msg("node left")
}
