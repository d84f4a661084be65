package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink/coordination/overflow"
	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
)

// sendFrom sends a request to a node as an entry node of another failure domain does.
func (n *node) sendFrom(t *testing.T, origin hop.Origin, id string) hop.ResponseMeta {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+n.inbound+"/read/1", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Test-Id", id)
	r.Header.Set(hop.Header, hop.RequestMeta{
		ExchangeID: id, Service: "archive", Route: "read", Kind: routes.Safe, Objective: 2 * time.Second, Timeout: 3 * time.Second, ServiceTime: time.Millisecond, Origin: origin,
	}.Encode())
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	meta, err := hop.ParseResponseMeta(resp.Header.Get(hop.Header))
	if err != nil {
		t.Fatal(err)
	}
	return meta
}

// Guards against requests that leave a domain with room, and against requests that are refused because
// the domain has lost its upstreams while another one is idle. The requests are not idempotent, because
// there is no other upstream in the domain to which one could be hedged.
func TestRequestsLeaveADomainWithoutUpstreams(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	d.linkMbps = 4
	entry, home, other := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d1", "archive", 4), d.addNode("n3", "d2", "archive", 4)
	for _, n := range []*node{home, other} {
		n.upstream.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(3 * time.Millisecond)
			_, _ = w.Write([]byte("ok"))
		})
	}
	d.waitReady(home, other, entry)
	before := other.upstream.totalRuns()
	for i := range 20 {
		is.Equal(entry.send("POST", "/write/1", fmt.Sprintf("home%d", i), "").status, http.StatusOK)
	}
	is.Equal(other.upstream.totalRuns(), before)
	is.NoErr(home.upstream.srv.Close())
	for i := range 20 {
		is.Equal(entry.send("POST", "/write/1", fmt.Sprintf("away%d", i), "").status, http.StatusOK)
	}
	is.Equal(other.upstream.totalRuns(), before+20)
	out := metrics.GetOrRegisterCounter("bytes_out.noupstream", entry.registry).Count() + metrics.GetOrRegisterCounter("bytes_out.shortage", entry.registry).Count()
	is.True(out >= 20*500) // bytes of headers
}

// Guards against a request of another domain that takes the place of one that waits, against one that is
// refused while there is room, and against nodes with fast links that state or check anything.
func TestRequestsOfOtherDomainsAreRejectedFirst(t *testing.T) {
	for _, mbps := range []float64{4, 1000} {
		t.Run(fmt.Sprint(mbps), func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t)
			d.linkMbps = mbps
			n := d.addNode("n1", "d1", "archive", 1)
			d.waitReady(n)
			origin := hop.Origin{Domain: "d2", Home: overflow.Estimate{Domain: "d2", Demand: 9, Usable: 4, Used: 4}}
			meta := n.sendFrom(t, origin, "idle")
			is.Equal(meta.RejectReason, "")
			is.Equal(len(meta.Domains) > 0, mbps < 100)
			if len(meta.Domains) > 0 {
				is.Equal(meta.Domains[0].Domain, "d1")
			}
			release := make(chan struct{})
			n.upstream.setHandler(func(http.ResponseWriter, *http.Request) { <-release })
			for i := range 2 {
				go n.send("GET", "/read/1", fmt.Sprintf("busy%d", i), "")
			}
			waitFor(t, time.Second, "a request that waits", func() bool { return n.g.Load().Waiting == 1 })
			time.AfterFunc(200*time.Millisecond, func() { close(release) })
			meta = n.sendFrom(t, origin, "busy")
			is.Equal(meta.RejectReason == "foreign", mbps < 100)
			is.Equal(meta.RetryAfter > 0, mbps < 100)
		})
	}
}
