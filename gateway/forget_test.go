package gateway_test

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

var replacedNodes = flag.Int("replaced", 30, "nodes that TestReplacedNodesAreForgotten replaces")

func openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// Guards against a node that keeps connections to nodes that have left, or what it knew of them: it
// would run out of descriptors or memory after many replacements.
func TestReplacedNodesAreForgotten(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	entry := d.addNode("entry", "d1", "desk", 4)
	before := 0
	for i := range *replacedNodes {
		n := d.addNode(fmt.Sprintf("n%d", i), "d1", "archive", 4)
		waitFor(t, 5*time.Second, "request on the new node", func() bool {
			resp := entry.send("GET", "/read/1", "r", "")
			return resp.status == http.StatusOK && n.upstream.runsOf("r") > 0
		})
		n.stop()
		is.NoErr(n.upstream.srv.Close())
		if i == 0 {
			before = openDescriptors(t)
		}
	}
	gauge := func(name string) int64 { return metrics.GetOrRegisterGauge(name, entry.registry).Value() }
	waitFor(t, 15*time.Second, "nodes forgotten", func() bool {
		return len(entry.g.ServiceNodes("archive")) == 0 && gauge("known_nodes") <= 1 && gauge("idle_peer_connections") == 0
	})
	// Each node in this process has one connection to the control host and one of the last request.
	is.True(openDescriptors(t) <= before+10)
}
