package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Guards against a refused caller that returns at its time and is taken for a new one, and
// against a new request that is taken for one that returns.
func TestRefusedCallerIsKnownWhenItReturns(t *testing.T) {
	d := newDeployment(t)
	entry, limited := d.addNode("n1", "d1", "desk", 4), d.addNode("n2", "d1", "archive", 4)
	d.waitReady(entry, limited)
	limited.upstream.state("Test-Limit", "4")
	returned := func() int64 { return metrics.GetOrRegisterCounter("returned", entry.registry).Count() }
	waitFor(t, 10*time.Second, "refused caller that returns", func() bool {
		path := fmt.Sprint("/read/", time.Now().Nanosecond())
		resp := entry.send("GET", path, "refused", "")
		if resp.status != http.StatusServiceUnavailable {
			go entry.send("GET", "/read/others", "others", "")
			return false
		}
		seconds, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		if err != nil {
			t.Fatal(err)
		}
		if entry.send("GET", path+"0", "new", ""); returned() > 0 {
			t.Fatal("a new request is taken for one that returns")
		}
		time.Sleep(time.Duration(seconds * float64(time.Second)))
		entry.send("GET", path, "returned", "")
		return returned() > 0
	})
}
