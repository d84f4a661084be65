package gateway_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink/coordination/accounts"
	"github.com/mulberrylink/mulberrylink/coordination/document"
)

const revoke = 5 * time.Second

// leaseClock is a clock that tests set ahead, so that a lease does not depend on delays of the machine.
// Each reading is a microsecond later than the one before, since probes must differ.
type leaseClock struct{ now atomic.Int64 }

func (c *leaseClock) Now() time.Duration { return time.Duration(c.now.Add(int64(time.Microsecond))) }

func (c *leaseClock) advance(d time.Duration) { c.now.Add(int64(d)) }

var errNoTable = errors.New("the table cannot be decoded")

// newLeaseDeployment returns a deployment of which version 1 has the keys key-1 and key-2, version 2
// cannot be decoded, and all others have key-2. Its nodes follow the control host through a relay, and
// hold leases by the returned clock.
func newLeaseDeployment(t *testing.T) (*deployment, *relay, *leaseClock) {
	t.Helper()
	d, clock := newDeployment(t), &leaseClock{}
	clock.advance(time.Hour)
	d.table.Match("shop", "/put/").Public = true
	d.revoke, d.leaseClock = revoke, clock
	d.accountsOf = func(version uint64) (*accounts.Table, error) {
		list := []accounts.Definition{{Account: accounts.Account{Name: "south"}, Keys: []string{"key-2"}}}
		switch version {
		case 1:
			list = append(list, accounts.Definition{Account: accounts.Account{Name: "north"}, Keys: []string{"key-1"}})
		case 2:
			return nil, errNoTable
		}
		return accounts.NewTable(list)
	}
	r := newRelay(t)
	r.mu.Lock()
	r.target, d.hubAddr = d.hubAddr, r.lis.Addr().String()
	r.mu.Unlock()
	return d, r, clock
}

// change makes the control host acknowledge a version.
func (d *deployment) change(version, base uint64) {
	c := document.Change{BaseVersion: base, Version: version, Replace: true}
	d.machine.Apply(0, document.Encode(document.Command{Change: &c}))
}

func (n *node) waitForStatus(t *testing.T, key string, status int) {
	t.Helper()
	waitFor(t, 5*time.Second, key+" gives "+strconv.Itoa(status), func() bool { return n.sendWithKey("GET", "/read/0", "wait", key).status == status })
}

func (n *node) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, n.registry).Count()
}

func isRefused(is *is.I, resp response, status int, reason string) {
	is.Helper()
	is.Equal(resp.status, status)
	is.Equal(resp.header.Get("Mulberry-Reason"), reason)
	is.Equal(resp.header.Get("Mulberry-Outcome"), "notrun")
	is.Equal(resp.header.Get("Retry-After") != "", status == http.StatusServiceUnavailable)
}

// Guards against a node without a path to the control hosts that runs requests with a revoked key, that
// stops to serve too early, or that refuses what needs no key.
func TestRevokedKeyOnANodeThatIsCutOff(t *testing.T) {
	is := is.New(t)
	d, r, clock := newLeaseDeployment(t)
	n := d.addNode("n1", "d1", "archive", 4)
	n.waitForStatus(t, "key-1", http.StatusOK)
	is.True(n.g.Ready())
	r.cut()
	d.change(3, 1)
	clock.advance(revoke * 6 / 10)
	is.Equal(n.sendWithKey("GET", "/read/1", "early", "key-1").status, http.StatusOK)
	clock.advance(revoke * 4 / 10)
	for _, key := range []string{"key-1", "key-2", ""} {
		isRefused(is, n.sendWithKey("GET", "/read/1", "late", key), http.StatusServiceUnavailable, "leaseended")
	}
	isRefused(is, n.sendWithKey("PUT", "/put/1", "late", "key-1"), http.StatusServiceUnavailable, "leaseended")
	is.Equal(n.upstream.runsOf("late"), 0)
	is.Equal(n.sendWithKey("PUT", "/put/1", "public", "").status, http.StatusOK)
	is.True(n.g.Ready()) // callers still reach public routes
	waitFor(t, time.Second, "report of the end", func() bool { return n.counter("lease_ended") == 1 })
	r.heal()
	n.waitForStatus(t, "key-2", http.StatusOK)
	isRefused(is, n.sendWithKey("GET", "/read/1", "late", "key-1"), http.StatusUnauthorized, "unknownkey")
	is.Equal(n.counter("lease_regained"), int64(1))
}

// Guards against a node that has resumed after it was suspended or frozen and runs requests with a key
// that was revoked meanwhile, on the strength of confirmations that waited for it.
func TestRevokedKeyOnANodeThatWasSuspended(t *testing.T) {
	is := is.New(t)
	d, r, clock := newLeaseDeployment(t)
	n := d.addNode("n1", "d1", "archive", 4)
	n.waitForStatus(t, "key-1", http.StatusOK)
	r.gate.Lock()                      // confirmations wait in the relay from here
	time.Sleep(500 * time.Millisecond) // more than one heartbeat, less than the silence that ends a feed
	d.change(3, 1)
	clock.advance(revoke)
	isRefused(is, n.sendWithKey("GET", "/read/1", "late", "key-1"), http.StatusServiceUnavailable, "leaseended")
	r.gate.Unlock()
	waitFor(t, 5*time.Second, "newer configuration", func() bool {
		resp := n.sendWithKey("GET", "/read/1", "late", "key-1")
		return resp.status == http.StatusUnauthorized
	})
	is.Equal(n.upstream.runsOf("late"), 0)
	is.Equal(n.sendWithKey("GET", "/read/1", "k", "key-2").status, http.StatusOK)
}

// Guards against a restarted node that trusts the configuration of a control host without a majority, and
// against one that refuses requests in the moment until its first confirmation.
func TestRestartedNodeWaitsForItsLease(t *testing.T) {
	is := is.New(t)
	d, _, _ := newLeaseDeployment(t)
	n := d.addNode("n1", "d1", "archive", 4)
	n.waitForStatus(t, "key-1", http.StatusOK)
	n = d.restartNode(n)
	is.Equal(n.sendWithKey("GET", "/read/1", "k", "key-1").status, http.StatusOK)
	d.noMajority.Store(true)
	start := time.Now()
	n = d.restartNode(n)
	is.Equal(n.sendWithKey("PUT", "/put/1", "k", "").status, http.StatusOK)
	isRefused(is, n.sendWithKey("GET", "/read/1", "late", "key-1"), http.StatusServiceUnavailable, "leaseended")
	is.Equal(n.upstream.runsOf("late"), 0)
	waitFor(t, 5*time.Second, "readiness for public routes", n.g.Ready)
	is.True(time.Since(start) >= 1500*time.Millisecond) // not before the wait for the lease is over
	d.noMajority.Store(false)
	n.waitForStatus(t, "key-1", http.StatusOK)
}

// Guards against a lease that is renewed for a configuration that the node could not put into force.
func TestUndecodedConfigurationRenewsNothing(t *testing.T) {
	is := is.New(t)
	d, _, clock := newLeaseDeployment(t)
	n := d.addNode("n1", "d1", "archive", 4)
	n.waitForStatus(t, "key-1", http.StatusOK)
	d.change(2, 1)
	waitFor(t, 5*time.Second, "confirmation of the undecoded version", func() bool { return n.counter("lease_unapplied") > 0 })
	clock.advance(revoke)
	unapplied := n.counter("lease_unapplied")
	waitFor(t, 5*time.Second, "confirmations after the end", func() bool { return n.counter("lease_unapplied") > unapplied+1 })
	isRefused(is, n.sendWithKey("GET", "/read/1", "late", "key-1"), http.StatusServiceUnavailable, "leaseended")
	is.Equal(n.upstream.runsOf("late"), 0)
	d.change(3, 2)
	n.waitForStatus(t, "key-2", http.StatusOK)
	is.Equal(n.sendWithKey("GET", "/read/1", "late", "key-1").status, http.StatusUnauthorized)
}

// Guards against a request that runs after its key was revoked, or the lease has ended, while its body
// was on its way.
func TestKeyIsCheckedAgainAfterTheBody(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		reason string
		change func(*deployment, *relay, *leaseClock)
	}{
		"revoked": {http.StatusUnauthorized, "unknownkey", func(d *deployment, _ *relay, _ *leaseClock) { d.change(3, 1) }},
		"ended":   {http.StatusServiceUnavailable, "leaseended", func(_ *deployment, r *relay, c *leaseClock) { r.cut(); c.advance(revoke) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, r, clock := newLeaseDeployment(t)
			n := d.addNode("n1", "d1", "archive", 4)
			n.waitForStatus(t, "key-1", http.StatusOK)
			body, w := io.Pipe()
			req, err := http.NewRequestWithContext(context.Background(), "POST", "http://"+n.outbound+"/longwrite/1", body)
			is.NoErr(err)
			req.Header.Set("Test-Key", "key-1")
			done := make(chan response, 1)
			go func() {
				done <- sendRequest(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, req, "waiting", 7*time.Second)
			}()
			_, err = w.Write([]byte("part"))
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond) // the first part is with the node; a later one is refused as well
			c.change(d, r, clock)
			n.waitForStatus(t, "key-1", c.status)
			is.NoErr(w.Close())
			isRefused(is, <-done, c.status, c.reason)
			is.Equal(n.upstream.runsOf("waiting"), 0)
		})
	}
}

// Guards against a lease that matters where the configuration has no client accounts.
func TestNoLeaseWithoutAccounts(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	d.revoke, d.leaseClock = revoke, &leaseClock{}
	d.noMajority.Store(true)
	n := d.addNode("n1", "d1", "archive", 4)
	d.waitReady(n)
	is.True(n.g.Ready())
	is.Equal(n.sendWithKey("GET", "/read/1", "k", "key-1").status, http.StatusOK)
}

// Guards against a repeated attempt of a request whose key was revoked during the first one.
func TestKeyIsCheckedBeforeEachAttempt(t *testing.T) {
	is := is.New(t)
	d, _, _ := newLeaseDeployment(t)
	entry, a, b := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d2", "archive", 4), d.addNode("n3", "d3", "archive", 4)
	entry.waitForStatus(t, "key-1", http.StatusOK)
	var once sync.Once
	busy := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Test-Id") == "repeated" {
			once.Do(func() { d.change(3, 1); entry.waitForStatus(t, "key-1", http.StatusUnauthorized) })
		}
		w.Header().Set("Test-Notrun", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	a.upstream.setHandler(busy)
	b.upstream.setHandler(busy)
	is.Equal(entry.sendWithKey("GET", "/read/1", "repeated", "key-1").status, http.StatusServiceUnavailable)
	is.Equal(a.upstream.runsOf("repeated")+b.upstream.runsOf("repeated"), 1)
}

// Guards against a lease that is not measured with the clock of the host: no request that is sent later
// than the bound after the revocation runs on a node that is cut off.
func TestBoundByTheClockOfTheHost(t *testing.T) {
	is := is.New(t)
	const bound = time.Second
	d, r, _ := newLeaseDeployment(t)
	d.revoke, d.leaseClock = bound, nil
	n := d.addNode("n1", "d1", "archive", 4)
	n.waitForStatus(t, "key-1", http.StatusOK)
	r.cut()
	cutAt := time.Now()
	d.change(3, 1)
	ackedAt := time.Now()
	servedFor := time.Duration(0)
	for sentAt := time.Now(); sentAt.Before(ackedAt.Add(bound * 3 / 2)); sentAt = time.Now() {
		if n.sendWithKey("GET", "/read/1", "k", "key-1").status == http.StatusOK {
			is.True(sentAt.Sub(ackedAt) <= bound)
			servedFor = sentAt.Sub(cutAt)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("served for %s of a bound of %s", servedFor, bound)
}
