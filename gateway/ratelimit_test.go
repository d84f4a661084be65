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
