package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/gateway"
)

// Guards against a heartbeat with a service that the configuration does not name, which another
// sender wrote and which takes over the node.
func TestHeartbeatOfUnknownServiceIsIgnored(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	n, other := d.addNode("n1", "d1", "archive", 4), d.addNode("n2", "d2", "archive", 4)
	d.waitReady(n, other)
	odd := gateway.Heartbeat{ID: "i-odd", Service: "unnamed", Addr: freeAddr(t), Slots: 4, Seq: 9, Incarnation: 9}
	is.Equal(n.g.Upstream().HandleHeartbeat(odd), gateway.ErrUnknownService)
	odd.Seq++
	is.Equal(n.g.Upstream().HandleHeartbeat(odd), gateway.ErrUnknownService)
	for range 5 {
		n.send("GET", "/read/1", "r", "")
		is.Equal(n.upstream.header().Get("Test-Caller"), "archive")
	}
	is.True(n.upstream.runsOf("r") > 0)
}

// Guards against a node that keeps such a heartbeat when it has arrived before the configuration.
func TestUnknownServiceIsForgottenWithTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	d := newDeploymentWithoutConfig(t)
	n := d.addNode("n1", "d1", "archive", 4)
	is.NoErr(n.g.Upstream().HandleHeartbeat(gateway.Heartbeat{ID: "i-odd", Service: "unnamed", Addr: freeAddr(t), Slots: 4, Seq: 9, Incarnation: 9}))
	d.configure()
	waitFor(t, 5*time.Second, "own upstream", func() bool { return n.send("GET", "/read/1", "r", "").status == http.StatusOK })
	is.Equal(n.upstream.header().Get("Test-Caller"), "archive")
}
