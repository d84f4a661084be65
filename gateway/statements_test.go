package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// limitSpan is the time span of the bound that users set for an upstream with a rate limit.
const limitSpan = 4 * time.Second

// allowedUnderLimit returns the largest number of requests that the bound allows in limitSpan.
func allowedUnderLimit(limit float64) int { return int(1.5*limit*limitSpan.Seconds()) + 5 }

// load sends requests to the nodes in turn, one each interval, and returns the number of
// responses by status.
func load(interval, total time.Duration, nodes ...*node) map[int]int {
	var mu sync.Mutex
	var done sync.WaitGroup
	byStatus := make(map[int]int)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := range int(total / interval) {
		<-ticker.C
		done.Go(func() {
			resp := nodes[i%len(nodes)].send("GET", "/read/1", fmt.Sprintf("load%d", i), "")
			mu.Lock()
			defer mu.Unlock()
			byStatus[resp.status]++
		})
	}
	done.Wait()
	return byStatus
}

// Guards against an upstream that gets more requests than the rate limit that it states.
func TestStatedRateLimitIsKept(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	entry, limited, free := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d1", "archive", 8), d.addNode("n3", "d2", "archive", 8)
	d.waitReady(entry, limited, free)
	waitFor(t, 5*time.Second, "both upstreams known", func() bool { return len(entry.g.ServiceNodes("archive")) == 2 })
	limited.upstream.state("Test-Limit", "4")
	is.Equal(limited.send("GET", "/read/1", "told", "").status, http.StatusOK)
	byStatus := load(20*time.Millisecond, limitSpan+time.Second, entry, limited, free)
	is.Equal(byStatus, map[int]int{http.StatusOK: 250}) // the other upstream has room for the rest
	is.True(limited.upstream.maxRunsWithin(limitSpan) <= allowedUnderLimit(4))
	is.True(limited.upstream.maxRunsWithin(limitSpan) >= 8) // the limit is used
}

// Guards against requests to an upstream that says in its responses, and in no heartbeat, that
// it is about to stop, and against one that gets none after its restart.
func TestNoWorkForUpstreamThatStatesItLeaves(t *testing.T) {
	for _, source := range []string{"response", "probe"} {
		t.Run(source, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t)
			entry, a, b := d.addNode("n1", "d2", "desk", 4), d.addNode("n2", "d1", "archive", 4), d.addNode("n3", "d2", "archive", 4)
			d.waitReady(entry, a, b)
			waitFor(t, 5*time.Second, "both upstreams known", func() bool { return len(entry.g.ServiceNodes("archive")) == 2 })
			a.upstream.state("Test-Leaving", "1")
			if source == "response" {
				is.Equal(a.send("GET", "/read/1", "told", "").status, http.StatusOK)
			} else {
				time.Sleep(700 * time.Millisecond) // idle upstreams are probed every 0.5 s
			}
			before := a.upstream.totalRuns()
			is.Equal(load(10*time.Millisecond, time.Second, entry, a, b), map[int]int{http.StatusOK: 100})
			is.Equal(a.upstream.totalRuns(), before)
			ready := a.heartbeat
			ready.Seq = 2
			a.announce(ready) // sent before the upstream began to leave
			is.Equal(a.send("GET", "/read/1", "late", "").status, http.StatusOK)
			is.Equal(a.upstream.totalRuns(), before)

			a.upstream.state("Test-Leaving", "")
			restarted := a.heartbeat
			restarted.Incarnation, restarted.Seq = 2, 1
			a.announce(restarted)
			waitFor(t, 2*time.Second, "request to the restarted upstream", func() bool {
				a.send("GET", "/read/1", "again", "")
				return a.upstream.totalRuns() > before
			})
		})
	}
}

// sendAtOnce sends n requests to a node at the same time.
func sendAtOnce(n int, to *node) {
	var done sync.WaitGroup
	for i := range n {
		done.Go(func() { to.send("GET", "/read/1", fmt.Sprintf("once%d", i), "") })
	}
	done.Wait()
}

// Guards against a node that has restarted and sends requests to its upstream before it knows what
// the upstream has stated to the process before.
func TestRestartedNodeKeepsStatedRateLimit(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 40)
	d.waitReady(n)
	n.upstream.setProbeDelay(30 * time.Millisecond)
	n.upstream.state("Test-Limit", "2")
	is.Equal(n.send("GET", "/read/1", "told", "").status, http.StatusOK)
	n.upstream.setHandler(func(http.ResponseWriter, *http.Request) { time.Sleep(200 * time.Millisecond) })
	sendAtOnce(40, d.restartNode(n))
	is.True(n.upstream.maxRunsWithin(limitSpan) <= allowedUnderLimit(2))
}

// Guards against a restarted node that sends requests to an upstream that states in its responses
// that it leaves, because a heartbeat from before arrives late.
func TestRestartedNodeKnowsThatItsUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 4)
	d.waitReady(n)
	n.upstream.state("Test-Leaving", "1")
	waitFor(t, 2*time.Second, "the first process knows", func() bool {
		return n.send("GET", "/read/1", "told", "").status == http.StatusServiceUnavailable
	})
	before := n.upstream.totalRuns()
	n.upstream.setProbeDelay(30 * time.Millisecond)
	sendAtOnce(10, d.restartNode(n))
	is.Equal(n.upstream.totalRuns(), before)
}

// Guards against a first heartbeat after a restart of the node that ends the rate limit for the
// requests that wait under it. The node knew the upstream by a health probe only.
func TestFirstHeartbeatKeepsStatedRateLimit(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n := d.addNode("n1", "d1", "archive", 40)
	d.waitReady(n)
	n.upstream.state("Test-Limit", "40")
	restarted := d.restartNodeWithoutHeartbeat(n)
	waitFor(t, 2*time.Second, "first response", func() bool {
		return restarted.send("GET", "/read/1", "first", "").status == http.StatusOK
	})
	n.upstream.setHandler(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) })
	var clients sync.WaitGroup
	clients.Go(func() { sendAtOnce(60, restarted) })
	time.Sleep(100 * time.Millisecond)
	before := n.upstream.totalRuns()
	restarted.announce(n.heartbeat)
	time.Sleep(50 * time.Millisecond)
	is.True(n.upstream.totalRuns()-before <= 5) // 2 by the rate of 40 a second
	clients.Wait()
}
