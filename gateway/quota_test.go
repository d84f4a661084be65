package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink/controlhost"
	"github.com/mulberrylink/mulberrylink/coordination/accounts"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/quota"
	"github.com/mulberrylink/mulberrylink/internal/testaddr"
)

// controlHosts runs control hosts in one process.
type controlHosts struct {
	t          testing.TB
	hosts      map[string]*controlhost.Host
	registries map[string]metrics.Registry
	stops      map[string]func()
}

// useControlHosts replaces the hub of a deployment by three control hosts, before any node starts.
func (d *deployment) useControlHosts() *controlHosts {
	c := &controlHosts{t: d.t, hosts: make(map[string]*controlhost.Host), registries: make(map[string]metrics.Registry), stops: make(map[string]func())}
	seeds := []string{testaddr.Free(d.t), testaddr.Free(d.t), testaddr.Free(d.t)}
	for _, addr := range seeds {
		registry := metrics.NewRegistry()
		h, err := controlhost.Open(controlhost.Config{
			Registry: registry, Name: addr, Dir: d.t.TempDir(), Addr: addr, Seeds: seeds, Bootstrap: true, GroupSize: 3, Log: discardLogger(),
			Validate: func(*document.State, *document.Change) error { return nil },
			Limits: func(*document.State) (map[string]quota.Limit, error) {
				limits := make(map[string]quota.Limit)
				for name, a := range d.table.Accounts.All() {
					limits[name] = quota.Limit{Rate: a.Rate, Burst: a.Burst}
				}
				return limits, nil
			},
		})
		if err != nil {
			d.t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = h.Serve(ctx) }()
		c.hosts[addr], c.registries[addr] = h, registry
		c.stops[addr] = sync.OnceFunc(func() { cancel(); <-done; _ = h.Stop(context.Background()) })
		d.t.Cleanup(c.stops[addr])
	}
	d.hubAddr = seeds[0]
	change := document.Change{Version: 1, Replace: true}
	waitFor(d.t, 10*time.Second, "configuration", func() bool {
		for _, h := range c.hosts {
			if h.ApplyChange(context.Background(), &change).Status == controlhost.Done {
				return true
			}
		}
		return false
	})
	return c
}

// leader returns the address of the leader, empty without one.
func (c *controlHosts) leader() string {
	for addr, r := range c.registries {
		if metrics.GetOrRegisterGauge("control.leads", r).Value() == 1 {
			return addr
		}
	}
	return ""
}

// tally counts the responses to requests with a key.
type tally struct {
	mu        sync.Mutex
	counts    map[string]int // by status and reason
	untimed   int            // refusals without Retry-After
	responses []time.Time    // of those that ran
}

func (a *tally) add(r response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	reason := r.header.Get("Mulberry-Reason")
	a.counts[strings.TrimSpace(fmt.Sprint(r.status, " ", reason))]++
	if r.status == http.StatusOK {
		a.responses = append(a.responses, time.Now())
		return
	}
	if s, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); err != nil || s <= 0 {
		a.untimed++
	}
}

// flood sends requests with a key to all nodes at a rate for some time. They run at most once, so that each
// takes one token.
func flood(nodes []*node, key string, rate float64, d time.Duration) *tally {
	a := &tally{counts: make(map[string]int)}
	var wg sync.WaitGroup
	for i := range int(rate * d.Seconds()) {
		wg.Add(1)
		time.AfterFunc(time.Duration(float64(i)/rate*float64(time.Second)), func() {
			defer wg.Done()
			a.add(nodes[i%len(nodes)].sendWithKey("POST", "/write/"+strconv.Itoa(i), key, key))
		})
	}
	wg.Wait()
	return a
}

// Guards against requests above the limit of an account that run, requests within it that are refused,
// refusals that reach an upstream or name no time, messages for accounts without a limit, and a deployment
// that refuses requests for good after the leader is lost.
func TestQuotaOverAllNodes(t *testing.T) {
	is := is.New(t)
	d := newDeploymentWithoutConfig(t)
	d.useAccounts(
		accounts.Definition{Account: accounts.Account{Name: "hot", Rate: 20, Burst: 20}, Keys: []string{"key-hot"}},
		accounts.Definition{Account: accounts.Account{Name: "calm", Rate: 100, Burst: 100}, Keys: []string{"key-calm"}},
		accounts.Definition{Account: accounts.Account{Name: "free"}, Keys: []string{"key-free"}},
	)
	d.table.Match("shop", "/write/").Objective = 2 * time.Second // an eighth of it is a long wait for a token
	c := d.useControlHosts()
	nodes := []*node{d.addNode("n1", "d1", "archive", 16), d.addNode("n2", "d2", "archive", 16)}
	for _, n := range nodes {
		waitFor(t, 10*time.Second, "first response", func() bool { return n.sendWithKey("GET", "/read/0", "first", "key-free").status == http.StatusOK })
		is.Equal(n.registry.Get("quota.asked").(metrics.Gauge).Value(), int64(0)) // the account without a limit asks for nothing
	}
	waitFor(t, 5*time.Second, "full bucket", func() bool { return nodes[0].sendWithKey("GET", "/read/1", "probe", "key-hot").status == http.StatusOK })
	time.Sleep(1500 * time.Millisecond) // the bucket of a new leader fills within 1.5 s
	var wg sync.WaitGroup
	var hot, calm *tally
	began := time.Now()
	wg.Go(func() { hot = flood(nodes, "key-hot", 150, 3*time.Second) })
	wg.Go(func() { calm = flood(nodes, "key-calm", 40, 3*time.Second) })
	wg.Wait()
	t.Log(hot.counts, calm.counts)
	is.Equal(calm.counts["200"], 120)
	is.True(hot.counts["200"] >= 60 && float64(hot.counts["200"]) <= 20+20*time.Since(began).Seconds()+1)
	is.Equal(hot.counts["200"]+hot.counts["429 overquota"], 450)
	is.Equal(hot.untimed, 0)
	ran := nodes[0].upstream.runsOf("key-hot") + nodes[1].upstream.runsOf("key-hot")
	is.Equal(ran, hot.counts["200"])

	leader := c.leader()
	c.stops[leader]()
	started := time.Now()
	waitFor(t, 5*time.Second, "response after the loss of the leader", func() bool {
		return nodes[0].sendWithKey("GET", "/read/1", "after", "key-calm").status == http.StatusOK
	})
	t.Log("served again after", time.Since(started))
	again := flood(nodes, "key-hot", 100, 2*time.Second)
	all := slices.Concat(hot.responses, again.responses)
	t.Log(again.counts)
	is.True(again.counts["200"] > 0)
	bound, first := (20*5+20)*1.1+20, 0
	slices.SortFunc(all, time.Time.Compare)
	for i, at := range all {
		for at.Sub(all[first]) > 5*time.Second {
			first++
		}
		is.True(float64(i-first+1) <= bound)
	}
}

// Guards against attempts of one request that run on the token of another, and against tokens that are lost
// although the request did not run.
func TestEachAttemptTakesAToken(t *testing.T) {
	is := is.New(t)
	d := newDeploymentWithoutConfig(t)
	d.useAccounts(
		accounts.Definition{Account: accounts.Account{Name: "small", Rate: 0.01, Burst: 6}, Keys: []string{"key-small"}},
		accounts.Definition{Account: accounts.Account{Name: "free"}, Keys: []string{"key-free"}},
	)
	d.useControlHosts()
	n, other := d.addNode("n1", "d1", "archive", 4), d.addNode("n2", "d2", "archive", 4)
	granted := func() int64 { return n.registry.Get("quota.granted").(metrics.Gauge).Value() }
	runs := func(id string) int { return n.upstream.runsOf(id) + other.upstream.runsOf(id) }
	handle := func(h http.HandlerFunc) { n.upstream.setHandler(h); other.upstream.setHandler(h) }
	waitFor(t, 10*time.Second, "two upstreams", func() bool {
		return n.sendWithKey("GET", "/read/0", "first", "key-free").status == http.StatusOK && len(n.g.ServiceNodes("archive")) >= 1
	})
	waitFor(t, 5*time.Second, "token", func() bool { return n.sendWithKey("GET", "/read/0", "first", "key-small").status == http.StatusOK })

	handle(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	waitFor(t, 5*time.Second, "repeated request", func() bool {
		n.sendWithKey("GET", "/read/0", "free", "key-free")
		return runs("free") >= 2
	})
	is.Equal(n.sendWithKey("GET", "/read/0", "small", "key-small").status, http.StatusInternalServerError)
	is.Equal(runs("small"), 1) // no token for another attempt

	handle(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Test-Notrun", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	start, before := time.Now(), granted()
	is.Equal(n.sendWithKey("GET", "/read/0", "notrun", "key-small").status, http.StatusServiceUnavailable)
	handle(nil)
	is.Equal(n.sendWithKey("GET", "/read/0", "next", "key-small").status, http.StatusOK)
	if time.Since(start) < quota.TokenTTL {
		is.Equal(granted(), before+1) // both with one token
	}
}
