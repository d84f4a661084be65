package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/routes"
	"github.com/mulberrylink/mulberrylink/internal/testaddr"
	"github.com/mulberrylink/mulberrylink/protocol/hop"
)

// writes sends non-idempotent requests to a node, one after the other, until stop is closed. It
// returns their statuses by identifier.
func writes(n *node, stop <-chan struct{}) map[string]int {
	statuses := make(map[string]int)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return statuses
		default:
		}
		id := fmt.Sprintf("%s-%d", n.name, i)
		statuses[id] = n.send("POST", "/write/1", id, "x").status
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a failure domain that stops serving its callers while it is cut off from the others
// and from the control hosts, against requests that run twice or run after they were refused around
// the cut, and against a domain that keeps its old configuration after the cut.
func TestFailureDomainIsCutOffAndReturns(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	toNear, toFar, toHub := newRelay(t), newRelay(t), newRelay(t)
	near := d.addNodeBehindRelay(toNear, "near", "d1", "archive", 4)
	hubAddr := d.hubAddr
	toHub.mu.Lock()
	toHub.target = hubAddr
	toHub.mu.Unlock()
	d.hubAddr = toHub.lis.Addr().String()
	far := d.addNodeBehindRelay(toFar, "far", "d2", "archive", 4)
	d.hubAddr = hubAddr
	nodes := []*node{near, far}
	d.waitReady(nodes...)
	waitFor(t, 5*time.Second, "both upstreams known", func() bool {
		return len(near.g.ServiceNodes("archive")) >= 1 && len(far.g.ServiceNodes("archive")) >= 1
	})

	var clients sync.WaitGroup
	stop := make(chan struct{})
	statuses := make([]map[string]int, len(nodes))
	for i, n := range nodes {
		clients.Go(func() { statuses[i] = writes(n, stop) })
	}
	time.Sleep(200 * time.Millisecond)
	for _, r := range []*relay{toNear, toFar, toHub} {
		r.cut()
	}
	d.setDomainOut("d2", true) // far cannot know
	time.Sleep(1500 * time.Millisecond)
	served := far.upstream.totalRuns()
	for _, n := range nodes {
		is.Equal(n.send("GET", "/read/1", "during-"+n.name, "").status, http.StatusOK)
	}
	time.Sleep(time.Second)
	is.True(far.upstream.totalRuns() > served+20) // far goes on with the configuration that it has
	for _, r := range []*relay{toNear, toFar, toHub} {
		r.heal()
	}
	// In force everywhere within 2 s.
	time.Sleep(2 * time.Second)
	served = far.upstream.totalRuns()
	time.Sleep(300 * time.Millisecond)
	close(stop)
	clients.Wait()
	is.Equal(far.upstream.totalRuns(), served)
	is.Equal(far.send("GET", "/read/1", "after", "").status, http.StatusOK) // runs on near

	answered := 0
	for i := range nodes {
		for id, status := range statuses[i] {
			runs := near.upstream.runsOf(id) + far.upstream.runsOf(id)
			if runs > 1 || status == http.StatusServiceUnavailable && runs > 0 || status == http.StatusOK && runs == 0 {
				t.Errorf("request %s ended with status %d and ran %d times", id, status, runs)
			}
			if status == http.StatusOK {
				answered++
			}
		}
	}
	t.Logf("%d and %d requests, %d answered", len(statuses[0]), len(statuses[1]), answered)
	is.True(answered >= (len(statuses[0])+len(statuses[1]))*9/10)
}

// Guards against a non-idempotent request that runs twice, or is refused after it ran, because the
// restarted process of a node was asked for the outcome of an exchange that its former process
// received.
func TestRestartedNodeDoesNotKnowFormerExchanges(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	toFirst := newRelay(t)
	entry := d.addNode("n1", "d1", "desk", 4)
	first := d.addNodeBehindRelay(toFirst, "n2", "d2", "archive", 4)
	d.waitReady(entry)
	first.upstream.setHandler(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Test-Id") == "w" {
			time.Sleep(1500 * time.Millisecond)
		}
	})
	lost := make(chan response, 1)
	go func() { lost <- entry.send("POST", "/write/1", "w", "x") }()
	waitFor(t, time.Second, "run", func() bool { return first.upstream.runsOf("w") == 1 })

	toFirst.blackhole()
	first.stop()
	inbound := testaddr.Free(t)
	toFirst.mu.Lock()
	toFirst.target = inbound
	toFirst.mu.Unlock()
	d.startNode(first.name, first.domain, inbound, toFirst.lis.Addr().String(), first.upstream).announce(first.heartbeat)
	// The reads overlap because the pool may hold another connection that is cut. The second upstream
	// starts after them, so that they have one choice only.
	var reads sync.WaitGroup
	waitFor(t, 650*time.Millisecond, "response of the restarted node", func() bool {
		reads.Go(func() { entry.send("GET", "/read/1", "r", "") })
		return first.upstream.runsOf("r") > 0
	})
	second := d.addNode("n3", "d1", "archive", 4)
	waitFor(t, 650*time.Millisecond, "second upstream known", func() bool { return len(entry.g.ServiceNodes("archive")) == 2 })

	resp := <-lost
	reads.Wait()
	is.Equal(resp.status, http.StatusBadGateway)
	is.Equal(first.upstream.runsOf("w")+second.upstream.runsOf("w"), 1)
}

// sendHop sends a request to the inbound address of a node as another node does.
func (n *node) sendHop(t *testing.T, method, target, exchangeID string) hop.ResponseMeta {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+n.inbound+target, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Test-Id", exchangeID)
	r.Header.Set(hop.Header, hop.RequestMeta{
		ExchangeID: exchangeID, Service: "archive", Route: "write", Kind: routes.Unsafe, Objective: time.Second, Timeout: time.Second, ServiceTime: time.Millisecond,
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

// Guards against a non-idempotent request that runs twice because the node that ran it has dropped its
// outcome and states that it does not run, and against one that runs after that was stated. An entry
// node that was suspended asks late.
func TestExpiredOutcomeIsUnknown(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 4)
	d.waitReady(n)
	is.Equal(n.sendHop(t, "POST", "/write/1", "entry-1-7a-1").RejectReason, "")
	is.Equal(n.sendHop(t, "GET", hop.ResolvePath+"entry-1-7a-2", "").RejectReason, "barred")
	is.Equal(n.sendHop(t, "POST", "/write/1", "entry-1-7a-2").RejectReason, "barred")
	time.Sleep(5100 * time.Millisecond)
	late := n.sendHop(t, "GET", hop.ResolvePath+"entry-1-7a-1", "")
	is.Equal(late.RejectReason, "")
	is.True(late.ExchangeFailed)
	is.Equal(n.sendHop(t, "POST", "/write/1", "entry-1-7a-2").RejectReason, "barred")
	is.Equal(n.upstream.runsOf("entry-1-7a-2"), 0)
	is.Equal(n.sendHop(t, "GET", hop.ResolvePath+"entry-1-7a-3", "").RejectReason, "barred") // never seen
	is.Equal(n.sendHop(t, "GET", hop.ResolvePath+"entry-1-9c-1", "").RejectReason, "barred") // of another process
	is.Equal(n.sendHop(t, "POST", "/write/1", "entry-1-7a-4").RejectReason, "")
}

// Guards against an expired outcome that is stated as "does not run" because a late request of the
// former process of the entry node expired after it.
func TestExpiredOutcomesOfTwoProcesses(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 4)
	d.waitReady(n)
	for _, id := range []string{"entry-1-7a-1", "entry-1-9c-1", "entry-1-7a-2"} {
		is.Equal(n.sendHop(t, "POST", "/write/1", id).RejectReason, "")
	}
	time.Sleep(5100 * time.Millisecond)
	for _, id := range []string{"entry-1-7a-1", "entry-1-9c-1", "entry-1-7a-2"} {
		is.True(n.sendHop(t, "GET", hop.ResolvePath+id, "").ExchangeFailed)
	}
}
