// Package gateway implements a node: a proxy beside an upstream that accepts
// requests from callers and is the only process that sends requests to that
// upstream. What differs between deployments is the HeaderCodec, which reads and
// writes their headers, and how upstreams send their heartbeats.
//
// A request may enter at any node. The entry node matches its route, chooses an
// upstream with coordination/placement and forwards the request to the node beside
// that upstream, the admitting node. That node admits the request with
// coordination/capacity, or rejects it before any byte has reached the upstream.
// The entry node then chooses again for a rejected request. A non-idempotent
// request is sent to another upstream only after such a rejection, or after the
// upstream itself has reported that it did not run the request.
//
// When an upstream crashes, the requests that it was running become suspects (coordination/suspect).
// A suspect is sent to one node of the service only, which runs one suspect at a time. When its
// upstream crashes too, the suspect is refused everywhere; when the suspect completes, it is
// cleared. Nodes tell each other with the request, its response, and through protocol/feed.
//
// A node may hold its knowledge of the client accounts under a lease (Config.Revoke): a node that control
// hosts have not confirmed for too long refuses requests with a key, which may have been revoked.
//
// While a rollout of a service runs, the entry node draws for each request whether it goes to the new
// software version, and the node beside an upstream reports the results (coordination/rollout).
//
// # Usage
//
//	g := gateway.New(gateway.Config{Name: "node-7", Domain: "d1", …})
//	go g.Serve(ctx)
//	g.Upstream().HandleHeartbeat(gateway.Heartbeat{ID: "i-1", Service: "archive", …})
//	g.Shutdown(ctx)
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/capacity"
	"github.com/mulberrylink/mulberrylink/coordination/directory"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/lease"
	"github.com/mulberrylink/mulberrylink/coordination/placement"
	"github.com/mulberrylink/mulberrylink/coordination/retry"
	"github.com/mulberrylink/mulberrylink/coordination/rollout"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/coordination/servicetime"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
	"github.com/mulberrylink/mulberrylink/protocol/feed"
	"github.com/mulberrylink/mulberrylink/protocol/quotas"
	"github.com/mulberrylink/mulberrylink/state/memory"
	"github.com/mulberrylink/mulberrylink/transport/exchange"
	"github.com/mulberrylink/mulberrylink/transport/ingress"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

const (
	// dialTimeout bounds connecting to another node or to the upstream, which are
	// at most a few milliseconds away.
	dialTimeout = 250 * time.Millisecond
	// peerIdleTimeout is below the idle timeout of transport/ingress, so that this
	// node closes an idle connection before the other node does.
	peerIdleTimeout = 60 * time.Second
	// upstreamIdleTimeout limits the keep-alive timeout that an upstream announces.
	upstreamIdleTimeout  = 30 * time.Second
	peerMaxIdleConns     = 16
	upstreamMaxIdleConns = 32
	// maxBufferedResponse is the size up to which a response is read completely
	// before it is relayed, so that a truncated one can be replaced by a retry.
	maxBufferedResponse = 64 << 10
	// maxUndelimitedResponse limits a response body without a stated length. Callers may
	// stream bodies of at least 64 MiB.
	maxUndelimitedResponse = 64 << 20
)

// RequestInfo is the information about a request that its upstream receives.
type RequestInfo struct {
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// UpstreamID identifies the upstream instance that the request is meant for.
	UpstreamID string
	// CallerService is the service of the upstream beside the entry node.
	CallerService string
	// Account is the name of the client account, empty without one.
	Account string
}

// ResponseInfo is the information in the header of an upstream's response.
type ResponseInfo struct {
	// NotRun is true when the upstream reports that it did not run the request.
	NotRun bool
	// Signed is true when the response carries the stamp of the upstream.
	Signed bool
	// UpstreamID identifies the upstream instance that answered a health probe.
	UpstreamID string
	// Slowdown is the current service time of requests relative to the usual
	// one, 0 when not reported.
	Slowdown float64
	// Running is the number of requests that the upstream was running when it
	// reported Slowdown. Slots is its concurrency limit, 0 when not reported.
	Running, Slots int
	// Warmup is the remaining warm-up time. It is valid only when WarmupKnown is
	// true.
	Warmup      time.Duration
	WarmupKnown bool
	// FromInstance is true when the upstream instance for which the request was meant made
	// the response. RateLimited, RateLimit and Leaving are valid only then.
	FromInstance bool
	// RateLimited is true when the upstream accepts only RateLimit requests per second from
	// all nodes together.
	RateLimited bool
	RateLimit   float64
	// Leaving is true when the upstream is about to stop.
	Leaving bool
}

// HeaderCodec reads and writes the headers that the callers and upstreams of a
// deployment use.
type HeaderCodec interface {
	// RequestID returns the request identifier that the caller chose.
	RequestID(h http.Header) string
	// SetRequestID sets the request identifier in the header of a response that the
	// node itself generates.
	SetRequestID(h http.Header, id string)
	// Timeout returns how long the caller waits for the response. The second result
	// is false when the header doesn't state it.
	Timeout(h http.Header) (time.Duration, bool)
	// Credential returns the key that the caller shows, empty without one.
	Credential(h http.Header) string
	// RemoveCredential removes the key, and what a caller may have sent in its place: the header
	// that tells an upstream the account.
	RemoveCredential(h http.Header)
	// SetUpstreamHeaders sets the headers that an upstream expects in a request.
	SetUpstreamHeaders(h http.Header, info RequestInfo)
	// ParseResponse reads the header of a response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// MatchesRequest reports whether a response belongs to the request with the given
	// identifier.
	MatchesRequest(id string, h http.Header) bool
}

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	Name, Domain string
	// OutboundAddr is the listen address for callers, InboundAddr the one for other
	// nodes.
	OutboundAddr, InboundAddr string
	// AdvertisedAddr is the address at which other nodes reach this node, when it
	// differs from InboundAddr.
	AdvertisedAddr string
	// Seeds are addresses of control hosts.
	Seeds []string
	// Service and UpstreamAddr are the service and the address of the upstream beside
	// the node until its first heartbeat.
	Service, UpstreamAddr string
	// DecodeTable builds the route table from a committed document.
	DecodeTable func(*document.State) (*routes.Table, error)
	Headers     HeaderCodec
	// GracePeriod is the time from the stop signal until the process is killed.
	GracePeriod time.Duration
	// MemoryBytes is the memory that the host allows the process. All buffers together get a part
	// of it (state/memory). With 0, memory.DefaultProcessBytes applies.
	MemoryBytes int64
	// Revoke is the time after the acknowledgement of a configuration that removed a key from which no
	// request with this key may be accepted on any node, also if the node has not received the
	// configuration. 0 sets no limit.
	Revoke time.Duration
	// LeaseClock measures Revoke, boottime.Clock if it is nil.
	LeaseClock lease.Clock
	// LinkMbps is the speed of the host's link in Mbit/s, 0 if it is not known. Below slowLinkMbps,
	// coordination/overflow limits what leaves the failure domain.
	LinkMbps float64
	Tuning   Tuning
	Log      *log.Logger
	Registry metrics.Registry
}

// Tuning holds the parameters of placement, retries and warm-up.
type Tuning struct {
	// TransferCostPerKiB is the cost of sending one KiB to another failure domain,
	// where 1 is the value of one response in time.
	TransferCostPerKiB float64
	// CrossDomainRTT is the round-trip time to another failure domain.
	CrossDomainRTT time.Duration
	// CallerRTT is the round-trip time between a caller and the node. Latency
	// objectives are shortened by it.
	CallerRTT time.Duration
	// RetryPercent is the retry budget as a percentage of requests.
	// RetryRefillInterval is the interval at which one additional retry is allowed, and
	// MaxRetryTokens the number of unused retries that the node may save for a service: all
	// nodes may spend theirs at the same time.
	RetryPercent        int
	RetryRefillInterval time.Duration
	MaxRetryTokens      int
	// NonIdempotentValue is the value of a response to a non-idempotent request relative
	// to an idempotent one.
	NonIdempotentValue float64
	// WarmupRateScale scales the request rate that cold upstreams receive, and WarmupBurst
	// is the number of requests beyond it that each of them takes at once.
	WarmupRateScale, WarmupBurst float64
	// Rollback is the time after the 50th bad result from which a bad version must get no request. It is
	// 0 if a rollout has no such limit.
	Rollback time.Duration
}

// activeConfig is the configuration in force on the node.
type activeConfig struct {
	state *document.State
	table *routes.Table
}

// Gateway is one node.
type Gateway struct {
	cfg       Config
	log       *log.Logger
	epoch     string // random identifier of this process, for the resolution of lost exchanges
	startedAt time.Time

	directory     *directory.Directory
	feed          *feed.Client
	quotas        *quotas.Client
	active        atomic.Pointer[activeConfig]
	configured    chan struct{} // closed when the first configuration is active
	lease         *lease.Lease  // of the client accounts, nil without Config.Revoke
	leaving       atomic.Bool
	exitDeadline  atomic.Pointer[time.Time] // when a process that is shutting down must have exited
	exiting       chan struct{}             // closed when the remaining requests have to end
	exchangeSeq   atomic.Uint64
	splitter      *routes.Splitter
	balancer      *placement.Balancer
	overflow      *overflowControl // nil if the link is fast or not known
	serviceTimes  *servicetime.Estimator
	transferSizes *servicetime.Estimator // response size by route; one second stands for one KiB
	admission     *capacity.Controller
	retryBudgets  *retry.Budgets
	upstream      *Upstream
	upstreamPool  *exchange.Pool
	runs          *runTable
	suspects      *suspect.List
	suspectTurns  *turnQueue
	returns       *returnTable
	internalCalls *internalCalls
	peerPool      *exchange.Pool
	outcomes      *outcomeStore
	peerEpochs    peerEpochs
	stats         *stats
	memory        *memory.Budget
	routeShares   routeShares
	streamed      atomic.Int64 // requests in flight whose body is incomplete for lack of memory
	shortage      shortageLog
	results       *rollout.Recorder // of the upstream, by version
	rolloutSet    chan struct{}     // signals a change of the rollouts
	outbound      *ingress.Server
	inbound       *ingress.Server
}

// New returns a node that doesn't listen yet; Serve starts it.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg: cfg, log: cfg.Log, startedAt: time.Now(), epoch: strconv.FormatUint(rand.Uint64(), 16),
		configured: make(chan struct{}), exiting: make(chan struct{}),
		directory: directory.New(), splitter: routes.NewSplitter(), serviceTimes: servicetime.New(), transferSizes: servicetime.New(),
		balancer:  placement.New(placement.Config{TransferCostPerKiB: cfg.Tuning.TransferCostPerKiB, CrossDomainRTT: cfg.Tuning.CrossDomainRTT, Domain: cfg.Domain}),
		admission: capacity.New(time.Now), outcomes: newOutcomeStore(), runs: newRunTable(), suspects: suspect.New(suspect.Config{Clock: systemClock{}}), suspectTurns: newTurnQueue(), returns: newReturnTable(), internalCalls: newInternalCalls(), stats: newStats(cfg.Registry),
		rolloutSet: make(chan struct{}, 1),
	}
	g.lease = newLease(&cfg)
	g.results = rollout.NewRecorder(cfg.Name, g.epoch)
	g.retryBudgets = retry.New(retry.Config{
		Clock: systemClock{}, Registry: cfg.Registry, Reserve: 1, RefillInterval: cfg.Tuning.RetryRefillInterval, MaxTokens: cfg.Tuning.MaxRetryTokens,
		Percent: func(string) int { return cfg.Tuning.RetryPercent },
	})
	g.memory = memory.NewBudget(memory.Config{ProcessBytes: cfg.MemoryBytes, OnShort: g.closeIdleConns, OnFull: g.memoryFull, OnRelieved: g.memoryRelieved})
	g.outcomes.budget = g.memory
	g.upstreamPool = exchange.NewPool(exchange.Config{
		DialTimeout: dialTimeout, MaxIdlePerAddr: upstreamMaxIdleConns, IdleTimeout: upstreamIdleTimeout, BufferBytes: maxBufferedResponse,
		MaxUndelimitedBytes: maxUndelimitedResponse,
		OnConnect:           func() { g.stats.count("upstream_connections") },
		OnExhausted:         g.freeDescriptors, Memory: g.memory,
	})
	budget, err := newDescriptorBudget()
	if err != nil {
		g.log.Warn().Err(err).Msg("limit of open descriptors unknown")
	}
	g.peerPool = exchange.NewPool(exchange.Config{
		DialTimeout: dialTimeout, MaxIdlePerAddr: peerMaxIdleConns, MaxIdle: budget.idlePeers, IdleTimeout: peerIdleTimeout, BufferBytes: maxBufferedResponse,
		MaxUndelimitedBytes: maxUndelimitedResponse, OnExhausted: g.freeDescriptors, Memory: g.memory,
	})
	g.feed = feed.NewClient(feed.ClientConfig{
		Dialer: rpc.NewPool(rpc.PoolConfig{DialTimeout: dialTimeout}), Seeds: cfg.Seeds,
		Directory: g.directory, Suspects: g.suspects, OnState: g.applyState, Probe: g.leaseProbe(), OnConfirmed: g.renewLease, NodeName: cfg.Name, Domain: cfg.Domain, Log: cfg.Log,
	})
	g.quotas = g.newQuotaClient()
	g.upstream = newUpstream(g)
	g.overflow = newOverflowControl(g)
	g.outbound = ingress.New(ingress.Config{Addr: cfg.OutboundAddr, Handler: g.serveCaller, MaxConns: budget.callers, OnExhausted: g.freeDescriptors, Memory: g.memory, Log: cfg.Log})
	g.inbound = ingress.New(ingress.Config{Addr: cfg.InboundAddr, Handler: g.servePeer, MaxConns: budget.inbound, OnExhausted: g.freeDescriptors, Memory: g.memory, Log: cfg.Log})
	return g
}

// systemClock implements retry.Clock and suspect.Clock.
type systemClock struct{}

// Now implements retry.Clock and suspect.Clock.
func (systemClock) Now() time.Time { return time.Now() }

// Upstream returns the upstream beside the node. It is given the upstream's heartbeats.
func (g *Gateway) Upstream() *Upstream { return g.upstream }

// AddSeeds adds addresses of control hosts to connect to.
func (g *Gateway) AddSeeds(addrs []string) { g.feed.AddSeeds(addrs) }

// ServiceNodes returns the known nodes whose upstream belongs to a service.
func (g *Gateway) ServiceNodes(service string) []mulberrylink.Node {
	return g.directory.ServiceNodes(service)
}

// InFlight returns the number of requests that this node has sent to another node
// and that haven't finished yet.
func (g *Gateway) InFlight(node string) int { return g.balancer.InFlight(node) }

// Load returns the current load of the upstream beside the node.
func (g *Gateway) Load() placement.Load { return g.admission.Load() }

// Ready reports whether callers should send requests to this node: it accepts their
// connections, has a configuration, has had its first lease or done without, and isn't shutting down.
func (g *Gateway) Ready() bool {
	active := g.active.Load()
	return !g.leaving.Load() && active != nil && g.hasFirstLease(active) && g.outbound.Listening()
}

// Serve runs the node until ctx ends or a listener fails.
func (g *Gateway) Serve(ctx context.Context) error {
	serveErr := make(chan error, 2)
	go func() { serveErr <- g.outbound.Serve(ctx) }()
	go func() { serveErr <- g.inbound.Serve(ctx) }()
	go g.feed.Run(ctx)
	go g.quotas.Run(ctx)
	go g.upstream.probeLoop(ctx)
	go g.forgetLoop(ctx)
	go g.leaseLoop(ctx)
	go g.overflow.run(ctx)
	go g.reportLoop(ctx)
	g.upstream.publish()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
		return nil
	}
}

// applyState puts a committed state into force. States that aren't newer than the
// current one are ignored.
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
		return // only failure domains are set; without a configuration there is nothing to serve
	default:
		table, err := g.cfg.DecodeTable(s)
		if err != nil {
			g.log.Error().Uint64("version", s.Version).Err(err).Msg("failed to decode configuration; keeping the current one")
			return
		}
		next.table = table
	}
	g.active.Store(next)
	if old != nil && old.state.Version != s.Version {
		g.quotas.DropStandby() // they are those of the former limits
	}
	g.noteRollouts(old, s)
	oldVersion := uint64(0)
	if old != nil {
		oldVersion = old.state.Version
	} else {
		close(g.configured)
		g.upstream.forgetUnknownService()
		g.upstream.requestProbe() // the path of the probes is a part of the configuration
	}
	g.log.Info().Uint64("version", s.Version).Uint64("before", oldVersion).Strs("out", s.DomainsOut).Msg("configuration in force")
	g.upstream.publish()
}
