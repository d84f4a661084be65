package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink/coordination/directory"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/gateway"
	"github.com/mulberrylink/mulberrylink/protocol/feed"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// words is the dialect of the tests.
type words struct{}

func (words) RequestID(h http.Header) string { return h.Get("Test-Id") }

func (words) Name(h http.Header, id string) { h.Set("Test-Id", id) }

func (words) Wait(h http.Header) (time.Duration, bool) {
	n, err := strconv.Atoi(h.Get("Test-Wait"))
	return time.Duration(n) * time.Millisecond, err == nil
}

func (words) Mark(h http.Header, f gateway.Forwarded) {
	h.Set("Test-Wait", strconv.Itoa(int(f.Left.Milliseconds())))
	h.Set("Test-For", f.Identity)
	h.Set("Test-Caller", f.Caller)
}

func (words) Belongs(id string, h http.Header) bool { return h.Get("Test-Id") == id }

func (words) Signs(_ int, h http.Header) gateway.Signs {
	factor, _ := strconv.ParseFloat(h.Get("Test-Pace"), 64)
	return gateway.Signs{NotRun: h.Get("Test-Notrun") != "", Signed: h.Get("Test-Signed") != "", Identity: h.Get("Test-Identity"), Factor: factor}
}

// upstream is a stand-in that counts what it runs.
type upstream struct {
	id, service, addr string
	handler           http.HandlerFunc // replaces the usual answer
	srv               *http.Server

	mu   sync.Mutex
	runs map[string]int // by request identifier
	seen http.Header
	gone int // requests whose caller left
	now  int // running
	most int
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		u.mu.Lock()
		defer u.mu.Unlock()
		w.Header().Set("Test-Identity", u.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	u.runs[r.Header.Get("Test-Id")]++
	u.seen = r.Header.Clone()
	u.now++
	u.most = max(u.most, u.now)
	h := u.handler
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.now--
		if r.Context().Err() != nil {
			u.gone++
		}
	}()
	w.Header().Set("Test-Id", r.Header.Get("Test-Id"))
	w.Header().Set("Test-Signed", "yes")
	if h != nil {
		h(w, r)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %d", u.id, r.Method, r.RequestURI, len(body))
}

func (u *upstream) total() (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.runs {
		n += c
	}
	return n
}

func (u *upstream) count(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

func (u *upstream) header() http.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.seen
}

func (u *upstream) mostAtOnce() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.most
}

func (u *upstream) rename(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.id = id
}

func (u *upstream) set(h http.HandlerFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.handler = h
}

// deployment is a control host with nodes, in one process.
type deployment struct {
	t       *testing.T
	machine *document.Machine
	hub     string
	table   *routes.Table
}

func quiet() *log.Logger { return &log.Logger{Level: log.FatalLevel} }

func addr(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

func deploy(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, machine: document.NewMachine()}
	route := func(name, prefix string, kind routes.Kind) routes.Route {
		return routes.Route{
			Name: name, Host: "shop", Prefix: prefix, Kind: kind, Timeout: 2 * time.Second, Objective: 500 * time.Millisecond,
			MaxAttempts: 2, Split: []routes.WeightedService{{Service: "archive", Weight: 1}},
		}
	}
	d.table = routes.NewTable(1, []routes.Route{
		route("read", "/read/", routes.Safe), route("write", "/write/", routes.Unsafe), route("put", "/put/", routes.Upload),
	}, []routes.Service{{Name: "archive", HealthPath: "/health"}, {Name: "desk", HealthPath: "/health"}}, routes.Limits{MaxBodyBytes: 64 << 20})
	hub := feed.NewHub(feed.HubConfig{
		Directory: directory.New(), State: d.machine.Current, HasLeader: func() bool { return true },
		Hosts: func() []feed.Host { return nil }, Log: quiet(),
	})
	s := rpc.NewServer(nil)
	name, f := hub.Method()
	s.Handle(name, f)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.hub = lis.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx, lis) }()
	t.Cleanup(func() { cancel(); <-done })
	c := document.Change{Version: 1, Replace: true}
	d.machine.Apply(0, document.Encode(document.Command{Change: &c}))
	return d
}

func (d *deployment) out(domain string, out bool) {
	d.machine.Apply(0, document.Encode(document.Command{Domain: domain, DomainOut: out}))
}

// node is a node with its upstream.
type node struct {
	g        *gateway.Gateway
	up       *upstream
	outbound string
	beat     gateway.Beat
}

func (d *deployment) node(name, domain, service string, slots int) *node {
	d.t.Helper()
	return d.nodeBehind(nil, name, domain, service, slots)
}

// nodeBehind is a node that others reach through a relay.
func (d *deployment) nodeBehind(r *relay, name, domain, service string, slots int) *node {
	d.t.Helper()
	inbound, advertised := addr(d.t), ""
	if r != nil {
		r.mu.Lock()
		r.target = inbound
		r.mu.Unlock()
		advertised = r.lis.Addr().String()
	}
	u := &upstream{id: "i-" + name, service: service, addr: addr(d.t), runs: make(map[string]int)}
	u.srv = &http.Server{Handler: http.HandlerFunc(u.serve)}
	lis, err := net.Listen("tcp", u.addr)
	if err != nil {
		d.t.Fatal(err)
	}
	go func() { _ = u.srv.Serve(lis) }()
	n := &node{up: u, outbound: addr(d.t)}
	n.g = gateway.New(gateway.Config{
		Name: name, Domain: domain, Outbound: n.outbound, Inbound: inbound, Advertised: advertised, Seeds: []string{d.hub},
		Service: service, Upstream: u.addr, Dialect: words{}, Grace: 6 * time.Second,
		Decode: func(*document.State) (*routes.Table, error) { return d.table, nil },
		Tuning: gateway.Tuning{Hop: 4 * time.Millisecond, Transfer: 0.02, RetryPercent: 50, RetryRefill: time.Second, WarmRate: 1, Once: 2},
		Log:    quiet(), Registry: metrics.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = n.g.Serve(ctx) }()
	d.t.Cleanup(func() { cancel(); _ = u.srv.Close() })
	n.announce(gateway.Beat{ID: u.id, Service: service, Addr: u.addr, Slots: slots, Seq: 1, Born: 1})
	return n
}

func (n *node) announce(b gateway.Beat) {
	n.beat = b
	n.g.Upstream().Beat(b)
}

// ready waits until a request through the node reaches an upstream of archive.
func (d *deployment) ready(nodes ...*node) {
	d.t.Helper()
	for _, n := range nodes {
		within(d.t, 5*time.Second, "first answer", func() bool {
			a := n.call("GET", "/read/first", "first", "")
			return a.status == http.StatusOK
		})
	}
}

func within(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %s", what, limit)
		}
	}
}

// answer is what a caller gets.
type answer struct {
	status int
	body   string
	header http.Header
	close  bool
	err    error
}

func (n *node) call(method, path, id, body string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return n.callWith(ctx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}, method, path, id, body)
}

func (n *node) callWith(ctx context.Context, c *http.Client, method, path, id, body string) answer {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.outbound+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = "shop"
	r.Header.Set("Test-Id", id)
	r.Header.Set("Test-Wait", "2000")
	resp, err := c.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(data), header: resp.Header, close: resp.Close, err: err}
}
