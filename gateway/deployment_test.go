package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink/coordination/accounts"
	"github.com/mulberrylink/mulberrylink/coordination/directory"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/lease"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
	"github.com/mulberrylink/mulberrylink/gateway"
	"github.com/mulberrylink/mulberrylink/internal/testaddr"
	"github.com/mulberrylink/mulberrylink/protocol/feed"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// testHeaders implements gateway.HeaderCodec with headers of the tests.
type testHeaders struct{}

func (testHeaders) RequestID(h http.Header) string { return h.Get("Test-Id") }

func (testHeaders) SetRequestID(h http.Header, id string) { h.Set("Test-Id", id) }

func (testHeaders) Timeout(h http.Header) (time.Duration, bool) {
	n, err := strconv.Atoi(h.Get("Test-Wait"))
	return time.Duration(n) * time.Millisecond, err == nil
}

func (testHeaders) SetUpstreamHeaders(h http.Header, info gateway.RequestInfo) {
	h.Set("Test-Wait", strconv.Itoa(int(info.Remaining.Milliseconds())))
	h.Set("Test-For", info.UpstreamID)
	h.Set("Test-Caller", info.CallerService)
	if info.Account != "" {
		h.Set("Test-Account", info.Account)
	}
}

func (testHeaders) Credential(h http.Header) string { return h.Get("Test-Key") }

func (testHeaders) RemoveCredential(h http.Header) {
	h.Del("Test-Key")
	h.Del("Test-Account")
}

func (testHeaders) MatchesRequest(id string, h http.Header) bool { return h.Get("Test-Id") == id }

func (testHeaders) ParseResponse(_ int, h http.Header) gateway.ResponseInfo {
	slowdown, _ := strconv.ParseFloat(h.Get("Test-Pace"), 64)
	limit, err := strconv.ParseFloat(h.Get("Test-Limit"), 64)
	return gateway.ResponseInfo{
		NotRun: h.Get("Test-Notrun") != "", Signed: h.Get("Test-Signed") != "", UpstreamID: h.Get("Test-Identity"), Slowdown: slowdown,
		FromInstance: true, RateLimited: err == nil, RateLimit: limit, Leaving: h.Get("Test-Leaving") != "",
	}
}

// deployment runs the state machine and the feed of a control host and the nodes that
// follow it in one process.
type deployment struct {
	t       testing.TB
	machine *document.Machine
	hubAddr string
	table   *routes.Table
	// memoryBytes is the memory of the nodes that are started from now on, 0 for the default.
	memoryBytes int64
	// accountsOf returns the accounts of a version of the configuration instead of those of table, if set.
	accountsOf func(version uint64) (*accounts.Table, error)
	// revoke and leaseClock are those of the nodes that are started from now on. noMajority makes the
	// quorum reads of the control host fail.
	revoke     time.Duration
	leaseClock lease.Clock
	noMajority atomic.Bool
	// linkMbps is the speed of the links of the nodes that are started from now on, 0 if not known.
	linkMbps float64
	noLeader atomic.Bool
}

// systemClock implements suspect.Clock.
type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// discardLogger formats all lines, so that the tests also run what is logged.
func discardLogger() *log.Logger {
	return &log.Logger{Level: log.DebugLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}

func newDeployment(t testing.TB) *deployment {
	t.Helper()
	d := newDeploymentWithoutConfig(t)
	d.configure()
	return d
}

func (d *deployment) configure() {
	c := document.Change{Version: 1, Replace: true}
	d.machine.Apply(0, document.Encode(document.Command{Change: &c}))
}

func newDeploymentWithoutConfig(t testing.TB) *deployment {
	t.Helper()
	d := &deployment{t: t, machine: document.NewMachine()}
	route := func(name, prefix string, kind routes.Kind) routes.Route {
		return routes.Route{
			Name: name, Host: "shop", Prefix: prefix, Kind: kind, Timeout: 2 * time.Second, Objective: 500 * time.Millisecond,
			MaxAttempts: 2, Split: []routes.WeightedService{{Service: "archive", Weight: 1}},
		}
	}
	longRead, longWrite, longPut := route("longread", "/longread/", routes.Safe), route("longwrite", "/longwrite/", routes.Unsafe), route("longput", "/longput/", routes.Upload)
	longRead.Timeout, longWrite.Timeout, longPut.Timeout = 8*time.Second, 8*time.Second, 8*time.Second
	d.table = routes.NewTable(1, []routes.Route{
		route("read", "/read/", routes.Safe), route("write", "/write/", routes.Unsafe), route("put", "/put/", routes.Upload), longRead, longWrite, longPut,
	}, []routes.Service{{Name: "archive", HealthPath: "/health"}, {Name: "desk", HealthPath: "/health"}}, routes.Limits{MaxBodyBytes: 64 << 20})
	hub := feed.NewHub(feed.HubConfig{
		Directory: directory.New(), Suspects: suspect.New(suspect.Config{Clock: systemClock{}}), State: d.machine.Current, HasLeader: func() bool { return !d.noLeader.Load() },
		ConfirmedState: func(context.Context) (*document.State, bool) {
			state, _ := d.machine.Current()
			return state, !d.noMajority.Load()
		},
		Hosts: func() []feed.Host { return nil }, Log: discardLogger(),
	})
	s := rpc.NewServer(nil)
	name, f := hub.Method()
	s.Handle(name, f)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.hubAddr = lis.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx, lis) }()
	t.Cleanup(func() { cancel(); <-done })
	return d
}

func (d *deployment) setDomainOut(domain string, out bool) {
	d.machine.Apply(0, document.Encode(document.Command{Domain: domain, DomainOut: out}))
}

func (d *deployment) decodeTable(s *document.State) (*routes.Table, error) {
	if d.accountsOf == nil {
		return d.table, nil
	}
	table := *d.table
	var err error
	table.Accounts, err = d.accountsOf(s.Version)
	return &table, err
}

// node is a gateway with its upstream.
type node struct {
	inbound   string
	name      string
	domain    string
	stop      func()
	g         *gateway.Gateway
	upstream  *fakeUpstream
	outbound  string
	heartbeat gateway.Heartbeat
	registry  metrics.Registry
}

func (d *deployment) addNode(name, domain, service string, slots int) *node {
	d.t.Helper()
	return d.addNodeBehindRelay(nil, name, domain, service, slots)
}

// addNodeBehindRelay starts a node that other nodes reach through a relay. Without a
// relay they connect to it directly.
func (d *deployment) addNodeBehindRelay(r *relay, name, domain, service string, slots int) *node {
	d.t.Helper()
	inbound, advertised := testaddr.Free(d.t), ""
	if r != nil {
		r.mu.Lock()
		r.target = inbound
		r.mu.Unlock()
		advertised = r.lis.Addr().String()
	}
	u := &fakeUpstream{id: "i-" + name, service: service, addr: testaddr.Free(d.t), runs: make(map[string]int)}
	u.srv = &http.Server{Handler: http.HandlerFunc(u.serve)}
	lis, err := net.Listen("tcp", u.addr)
	if err != nil {
		d.t.Fatal(err)
	}
	go func() { _ = u.srv.Serve(lis) }()
	d.t.Cleanup(func() { _ = u.srv.Close() })
	n := d.startNode(name, domain, inbound, advertised, u)
	n.announce(gateway.Heartbeat{ID: u.id, Service: service, Addr: u.addr, Slots: slots, Seq: 1, Incarnation: 1})
	return n
}

// restartNode starts a process of a node anew, and repeats the last heartbeat of its upstream, which
// keeps running.
func (d *deployment) restartNode(n *node) *node {
	d.t.Helper()
	restarted := d.restartNodeWithoutHeartbeat(n)
	restarted.announce(n.heartbeat)
	return restarted
}

func (d *deployment) restartNodeWithoutHeartbeat(n *node) *node {
	d.t.Helper()
	n.stop()
	restarted := d.startNode(n.name, n.domain, testaddr.Free(d.t), "", n.upstream)
	waitFor(d.t, 2*time.Second, "listener", func() bool {
		conn, err := net.Dial("tcp", restarted.outbound)
		if err != nil {
			return false
		}
		return conn.Close() == nil
	})
	return restarted
}

// startNode starts a node beside an upstream.
func (d *deployment) startNode(name, domain, inbound, advertised string, u *fakeUpstream) *node {
	d.t.Helper()
	n := &node{name: name, domain: domain, upstream: u, inbound: inbound, outbound: testaddr.Free(d.t), registry: metrics.NewRegistry()}
	n.g = gateway.New(gateway.Config{
		Name: name, Domain: domain, OutboundAddr: n.outbound, InboundAddr: inbound, AdvertisedAddr: advertised, Seeds: []string{d.hubAddr},
		Service: u.service, UpstreamAddr: u.addr, Headers: testHeaders{}, GracePeriod: 6 * time.Second,
		DecodeTable: d.decodeTable, Revoke: d.revoke, LeaseClock: d.leaseClock,
		Tuning: gateway.Tuning{CrossDomainRTT: 4 * time.Millisecond, TransferCostPerKiB: 0.02, RetryPercent: 50, RetryRefillInterval: time.Second, MaxRetryTokens: 3, WarmupRateScale: 1, NonIdempotentValue: 2},
		Log:    discardLogger(), Registry: n.registry, MemoryBytes: d.memoryBytes, LinkMbps: d.linkMbps,
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { _ = n.g.Serve(ctx) }()
	d.t.Cleanup(cancel)
	return n
}

func (n *node) announce(hb gateway.Heartbeat) {
	n.heartbeat = hb
	if err := n.g.Upstream().HandleHeartbeat(hb); err != nil {
		panic(err)
	}
}

// waitReady waits until requests to each of the nodes reach an upstream of archive.
func (d *deployment) waitReady(nodes ...*node) {
	d.t.Helper()
	for _, n := range nodes {
		waitFor(d.t, 5*time.Second, "first response", func() bool {
			resp := n.send("GET", "/read/first", "first", "")
			return resp.status == http.StatusOK
		})
	}
}

func waitFor(t testing.TB, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %s", what, limit)
		}
	}
}

// response is a response as the caller receives it.
type response struct {
	status int
	body   string
	header http.Header
	close  bool
	err    error
}

func (n *node) send(method, path, id, body string) response {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return n.sendWith(ctx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}, method, path, id, body)
}

func (n *node) sendWith(ctx context.Context, c *http.Client, method, path, id, body string) response {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.outbound+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	return sendRequest(c, r, id, 2*time.Second)
}

func sendRequest(c *http.Client, r *http.Request, id string, wait time.Duration) response {
	r.Host = "shop"
	r.Header.Set("Test-Id", id)
	r.Header.Set("Test-Wait", strconv.FormatInt(wait.Milliseconds(), 10))
	resp, err := c.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(data), header: resp.Header, close: resp.Close, err: err}
}
