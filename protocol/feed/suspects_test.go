package feed_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/directory"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
	"github.com/mulberrylink/mulberrylink/protocol/feed"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func newSuspects() *suspect.List { return suspect.New(suspect.Config{Clock: systemClock{}}) }

// Guards against a node that does not learn of a crash suspect of a node at another control host,
// or serves before it knows those of its own control host.
func TestSuspectsReachAllNodes(t *testing.T) {
	is := is.New(t)
	a, b := newHost(t), newHost(t)
	a.change(1, 0, "r")
	b.change(1, 0, "r")
	startFollowerWith(t, feed.ClientConfig{HostName: "b", SeedsOnly: true, Seeds: []string{a.addr}, Directory: b.nodes, Suspects: b.suspects})
	reporter, other := newSuspects(), newSuspects()
	startFollowerWith(t, feed.ClientConfig{NodeName: "n1", Seeds: []string{a.addr}, Suspects: reporter})
	startFollowerWith(t, feed.ClientConfig{NodeName: "n2", Seeds: []string{b.addr}, Suspects: other})
	reporter.RecordCrash([]uint64{1, 2})
	waitFor(t, 2*time.Second, "suspects at the other node", func() bool { return other.Verdict(1) == suspect.Alone && other.Verdict(2) == suspect.Alone })
	reporter.ConfirmCrasher(1)
	waitFor(t, 2*time.Second, "crasher at the other node", func() bool { return other.Verdict(1) == suspect.Refuse })

	late := newSuspects()
	verdict := make(chan suspect.Verdict, 8)
	startFollowerWith(t, feed.ClientConfig{
		NodeName: "n3", Seeds: []string{b.addr}, Suspects: late, OnState: func(*document.State) { verdict <- late.Verdict(1) },
	})
	is.Equal(<-verdict, suspect.Refuse)
}

// startFollowerWith runs a client until the test ends.
func startFollowerWith(t *testing.T, cfg feed.ClientConfig) {
	t.Helper()
	cfg.Dialer, cfg.Log = rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second}), discardLogger()
	if cfg.Directory == nil {
		cfg.Directory = directory.New()
	}
	run(t, feed.NewClient(cfg))
}
