package feed_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/rollout"
	"github.com/mulberrylink/mulberrylink/protocol/feed"
)

func (h *host) startRollout(service, to string) {
	order := &document.Rollout{Service: service, To: to, Duration: 12_000}
	h.machine.Apply(0, document.Encode(document.Command{Start: order}))
}

func (h *host) stepRollout(service string, share int) {
	s, _ := h.machine.Current()
	next := *s.Rollout(service)
	next.Share = share
	h.machine.Apply(0, document.Encode(document.Command{Step: &next}))
}

// Guards against a node that does not learn of a step, or that loses the rollouts of other services with
// a step or with a change of the document.
func TestRolloutsReachNodes(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	h.change(1, 0, "r")
	h.startRollout("archive", "v2")
	f := startFollower(t, "n1", h)
	share := func(service string) int {
		s := f.state.Load()
		if s == nil || s.Rollout(service) == nil {
			return -1
		}
		return s.Rollout(service).Share
	}
	waitFor(t, 2*time.Second, "rollout before the subscription", func() bool { return share("archive") == 0 })
	h.startRollout("desk", "v3")
	h.stepRollout("archive", 50)
	waitFor(t, 2*time.Second, "step", func() bool { return share("archive") == 50 && share("desk") == 0 })
	h.change(2, 1, "s")
	waitFor(t, 2*time.Second, "change", func() bool { return f.version() == 2 })
	is.Equal(share("archive"), 50)
	is.Equal(share("desk"), 0)
	late := startFollower(t, "n2", h)
	waitFor(t, 2*time.Second, "late subscriber", func() bool { return late.version() == 2 })
	is.Equal(late.state.Load().Rollout("archive").Share, 50)
}

// Guards against reports that do not reach the leader when it is another control host than that of the
// node, that a node sends about another one, or that are lost when the node moves to another host.
func TestReportsReachAllControlHosts(t *testing.T) {
	is := is.New(t)
	a, b := newHost(t), newHost(t)
	a.change(1, 0, "r")
	b.change(1, 0, "r")
	startFollowerWith(t, feed.ClientConfig{HostName: "b", SeedsOnly: true, Seeds: []string{a.addr}, Directory: b.nodes, Reports: b.reports})
	f := startFollower(t, "n1", a)
	results := func(h *host) uint32 {
		n := uint32(0)
		for _, r := range h.reports.Reports("archive", 7, time.Now()) {
			for _, c := range r.Report.Counts {
				n += c.Failed
			}
		}
		return n
	}
	rec := rollout.NewRecorder("n1", "e1")
	rec.Track("archive", 7)
	for i := range uint32(3) {
		rec.Record(rollout.Result{Release: "v2", Route: "r", Failed: true})
		f.client.SendReport(rec.Report())
		waitFor(t, 2*time.Second, "report at both hosts", func() bool { return results(a) == i+1 && results(b) == i+1 })
	}
	forged := rollout.NewRecorder("n2", "e1")
	forged.Track("archive", 7)
	forged.Record(rollout.Result{Release: "v2", Route: "r", Failed: true})
	f.client.SendReport(forged.Report())
	f.client.Announce(mulberrylink.Node{Name: "n1", Service: "desk", State: mulberrylink.NodeReady})
	waitFor(t, 2*time.Second, "message after the report", func() bool { return len(a.nodes.ServiceNodes("desk")) == 1 })
	is.Equal(results(a), uint32(3))
	f.client.SendReport(rec.Report())
	a.stop()
	f.client.AddSeeds([]string{b.addr})
	rec.Record(rollout.Result{Release: "v2", Route: "r", Failed: true})
	f.client.SendReport(rec.Report())
	waitFor(t, 5*time.Second, "report after the move", func() bool { return results(b) == 4 })
}
