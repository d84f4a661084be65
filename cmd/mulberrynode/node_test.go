package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/state/overlay"
	"github.com/mulberrylink/mulberrylink/transport/events"
)

// fakeGroup is a node group in which every change is visible to all nodes at once.
type fakeGroup struct {
	mu        sync.Mutex
	nodes     map[string]mulberrylink.Node
	lastHeard time.Time // zero for the current time

	receivers []func(kind uint8, data []byte)
}

func newFakeGroup() *fakeGroup {
	return &fakeGroup{nodes: make(map[string]mulberrylink.Node)}
}

// groupView is one node's view of the group.
type groupView struct {
	*fakeGroup
	self string
}

func (g *fakeGroup) Nodes(service string) []mulberrylink.Node {
	var out []mulberrylink.Node
	for _, n := range g.All() {
		if n.Service == service {
			out = append(out, n)
		}
	}
	return out
}

func (g *fakeGroup) All() []mulberrylink.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []mulberrylink.Node
	for _, n := range g.nodes {
		out = append(out, n)
	}
	return out
}

func (g *fakeGroup) MaxVersion() (version uint64, addr string) {
	for _, n := range g.All() {
		if n.Version > version {
			version, addr = n.Version, n.Addr
		}
	}
	return version, addr
}

func (g *fakeGroup) LastHeard() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastHeard.IsZero() {
		return time.Now()
	}
	return g.lastHeard
}

func (g *fakeGroup) Broadcast(uint8, []byte) {}

func (g *fakeGroup) BroadcastService(_ string, kind uint8, data []byte) {
	g.mu.Lock()
	receivers := g.receivers
	g.mu.Unlock()
	for _, receive := range receivers {
		receive(kind, data)
	}
}

func (v groupView) Update(change func(*mulberrylink.Node)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := v.nodes[v.self]
	change(&n)
	v.nodes[v.self] = n
}

func testSettings(name, domain string) *nodeSettings {
	var cfg nodeSettings
	cfg.Node.Name, cfg.Node.Domain = name, domain
	cfg.Listen.Front, cfg.Listen.RPC, cfg.Listen.Admin = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	cfg.Peers.Seeds = []string{"127.0.0.1:1"}
	cfg.Limits.Header, cfg.Limits.Keyed = 64<<10, 1<<20
	cfg.Limits.Connections, cfg.Limits.Depth = 1000, 64
	cfg.Limits.Dial, cfg.Limits.Idle = 500*time.Millisecond, 32
	cfg.Measure.Policy = "random"
	return &cfg
}

func testConfig(version uint64) *overlay.Config {
	return &overlay.Config{
		Version: version,
		Domains: []overlay.Domain{{Name: "d1"}, {Name: "d2"}},
		Services: []overlay.Service{{
			Name: "archive", Timeout: 20 * time.Second,
			Routes: []overlay.Route{
				{Method: "GET", Path: "/patterns", Idempotent: true},
				{Method: "POST", Path: "/filings", Keyed: true},
				{Method: "PUT", Path: "/patterns", Idempotent: true},
			},
		}},
	}
}

// startNode runs a node and applies version 1 of the configuration to it.
func startNode(t testing.TB, g *fakeGroup, name, domain string) *node {
	t.Helper()
	return startNodeWith(t, g, testSettings(name, domain), nil)
}

// startNodeWith is startNode with settings and an optional change of the dependencies.
func startNodeWith(t testing.TB, g *fakeGroup, cfg *nodeSettings, change func(*dependencies)) *node {
	t.Helper()
	n := buildNode(t, g, cfg, change)
	startBuiltNode(t, n)
	n.active.apply(1, []byte("x"), "test")
	return n
}

// buildNode returns a node whose servers don't listen yet, apart from the one for other nodes.
func buildNode(t testing.TB, g *fakeGroup, cfg *nodeSettings, change func(*dependencies)) *node {
	t.Helper()
	lis, err := net.Listen("tcp", cfg.Listen.RPC)
	if err != nil {
		t.Fatal(err)
	}
	l := events.New(os.Stderr, "error", "test", cfg.Node.Name)
	l.Level = log.ErrorLevel
	v := groupView{fakeGroup: g, self: cfg.Node.Name}
	v.Update(func(n *mulberrylink.Node) {
		n.Name, n.Domain, n.Addr = cfg.Node.Name, cfg.Node.Domain, lis.Addr().String()
	})
	deps := dependencies{
		group: v, gate: newGate(cfg.Measure.Policy),
		decode: func(version uint64, _ []byte) (*overlay.Config, error) { return testConfig(version), nil },
	}
	if change != nil {
		change(&deps)
	}
	n, err := newNode(cfg, deps, lis, l)
	if err != nil {
		t.Fatal(err)
	}
	g.mu.Lock()
	g.receivers = append(g.receivers, n.suspects.handleNote)
	g.mu.Unlock()
	return n
}

func startBuiltNode(t testing.TB, n *node) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	if err := n.start(ctx, make(chan error, 3)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		n.front.Close()
		n.admin.http.Close()
	})
}

// announceUpstream starts an HTTP server and announces it to n as its upstream.
func announceUpstream(t testing.TB, n *node, h http.HandlerFunc) *httptest.Server {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	form := "service=archive&addr=" + srv.Listener.Addr().String() + "&slots=6&connections=200&state=ready&ttl=60000"
	resp, err := http.Post("http://"+n.admin.addr+"/announce", "application/x-www-form-urlencoded", strings.NewReader(form))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Fatalf("announce: status %d", resp.StatusCode)
	}
	return srv
}

// sendRequest sends a request to the front of n and returns the status, header and body of the
// response. The header arguments are pairs of names and values.
func sendRequest(t *testing.T, n *node, method, path, body string, header ...string) (int, http.Header, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+n.front.Addr()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "archive"
	for i := 0; i+1 < len(header); i += 2 {
		if header[i] == "Host" {
			req.Host = header[i+1]
			continue
		}
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(data)
}

// Guards against requests or responses that change on the way: a request to a node without an
// upstream is forwarded to the node beside one, and its response comes back. Both keep their headers.
func TestRequestIsForwardedAndAnswered(t *testing.T) {
	is := is.New(t)
	g := newFakeGroup()
	entry := startNode(t, g, "a", "d1")
	admitting := startNode(t, g, "b", "d2")
	announceUpstream(t, admitting, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Host+" "+r.Method+" "+r.URL.RequestURI()+" "+r.Header.Get("X-In")+" "+r.Header.Get("Mulberry-Depth"))
		w.WriteHeader(http.StatusCreated)
		w.Write(append([]byte("got "), body...))
	})
	for _, n := range []*node{entry, admitting} {
		status, h, body := sendRequest(t, n, "PUT", "/patterns/7?x=%2F", "loom", "X-In", "yes")
		is.Equal(status, http.StatusCreated)
		is.Equal(body, "got loom")
		is.Equal(h.Get("X-Seen"), "archive PUT /patterns/7?x=%2F yes 1")
		is.Equal(h.Get("Mulberry-Outcome"), "")
		is.Equal(h.Get("Mulberry-Took"), "")
	}
}
