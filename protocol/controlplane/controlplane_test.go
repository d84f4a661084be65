package controlplane_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/control"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/state/overlay"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

const baseText = "[service registry]\n[route registry POST /filings]\nkeyed = true\n[domain d1]\nregion = delta\n"

// fakeLog is a Log with a fixed leader and an optional replacement for Propose.
type fakeLog struct {
	*controlplane.LocalLog
	leader string
	self   bool
	// propose replaces LocalLog.Propose if it is set.
	propose func(data []byte) ([]byte, controlplane.Status)
}

func (f *fakeLog) Propose(ctx context.Context, data []byte) ([]byte, controlplane.Status) {
	if f.propose != nil {
		return f.propose(data)
	}
	return f.LocalLog.Propose(ctx, data)
}

func (f *fakeLog) ReadBarrier(context.Context) bool { return f.self }

func (f *fakeLog) Leader() (uint64, string, bool) { return 1, f.leader, f.self }

// serve starts a control host on loopback and returns its address.
func serve(t *testing.T, log func(m *control.Machine) controlplane.Log) string {
	t.Helper()
	m := control.NewMachine()
	return serveMethods(t, controlplane.NewServer(controlplane.ServerConfig{Name: "c1", Log: log(m), Machine: m, Now: time.Now}))
}

func localLog(m *control.Machine) controlplane.Log { return controlplane.NewLocalLog("", m) }

func newClient(t *testing.T, hosts ...string) *controlplane.Client {
	t.Helper()
	pool := rpc.NewPool(rpc.PoolConfig{DialTimeout: time.Second, IdlePerAddr: 2})
	t.Cleanup(pool.Close)
	return controlplane.NewClient(pool, hosts)
}

func newChange(id string, baseVersion uint64, extraConfig string) controlplane.Change {
	return controlplane.Change{ID: id, BaseVersion: baseVersion, Base: overlay.File{Name: "base.ini", Data: []byte(baseText + extraConfig)}}
}

// Guards against a watch that skips an accepted version or delivers one twice.
func TestWatchDeliversAcceptedVersions(t *testing.T) {
	is := is.New(t)
	c := newClient(t, serve(t, localLog))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	delivered := make(chan uint64, 10)
	ended := make(chan error, 1)
	go func() {
		ended <- c.Watch(ctx, 0, func(v uint64, encoded []byte) {
			if cfg, err := overlay.Decode(encoded); err == nil && cfg.Version == v {
				delivered <- v
			}
		})
	}()
	for v := uint64(1); v <= 3; v++ {
		r := c.Apply(ctx, newChange(string(rune('a'+v)), v-1, ""))
		is.Equal(r.State, controlplane.ApplyAccepted)
		is.Equal(r.Version, v)
		is.Equal(<-delivered, v)
	}
	is.True(time.Since(c.LastHeard()) < time.Minute)
	cancel()
	is.True(<-ended != nil)
}

// Guards against two changes accepted for the same base version, a resent change that is applied
// again, a reused change identifier, and invalid files that are accepted.
func TestApplyOutcomes(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newClient(t, serve(t, localLog))
	is.Equal(c.Apply(ctx, newChange("a", 0, "")).State, controlplane.ApplyAccepted)
	conflict := c.Apply(ctx, newChange("b", 0, ""))
	is.Equal(conflict, controlplane.ApplyReply{State: controlplane.ApplyConflict, Version: 1})
	is.Equal(c.Apply(ctx, newChange("c", 1, "")).Version, uint64(2))
	resent := c.Apply(ctx, newChange("a", 0, ""))
	is.Equal(resent, controlplane.ApplyReply{State: controlplane.ApplyAccepted, Version: 1})
	reused := c.Apply(ctx, newChange("a", 2, ""))
	is.Equal(reused.State, controlplane.ApplyInvalid)
	invalid := c.Apply(ctx, newChange("d", 2, "[domain d2]\n"))
	is.Equal(invalid.State, controlplane.ApplyInvalid)
	is.Equal(invalid.Problems, []string{`base.ini:6: section "domain d2" key "region": required key is missing`})
	v, encoded, err := c.ConfirmedConfig(ctx)
	is.NoErr(err)
	is.Equal(v, uint64(2))
	files, err := c.SourceFiles(ctx, 1)
	is.NoErr(err)
	is.True(len(files) == 1 && bytes.Equal(files[0].Data, []byte(baseText)))
	is.True(len(encoded) > 0)
}

func newClaim(requestID string) controlplane.Claim {
	return controlplane.Claim{Service: "registry", Key: "k1", Fingerprint: 7, Holder: "n1", RequestID: requestID, Deadline: time.Now().Add(time.Hour)}
}

// Guards against a keyed request that runs twice and against a lost first response.
func TestClaimLifecycle(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newClient(t, serve(t, localLog))
	is.Equal(c.Claim(ctx, newClaim("r1")).State, controlplane.Granted)
	is.Equal(c.Claim(ctx, newClaim("r1")).State, controlplane.Granted)
	is.Equal(c.Claim(ctx, newClaim("r2")), controlplane.ClaimReply{State: controlplane.Pending, Holder: "n1", RequestID: "r1"})
	other := newClaim("r3")
	other.Fingerprint = 8
	is.Equal(c.Claim(ctx, other).State, controlplane.Mismatch)
	is.Equal(c.Finish(ctx, newClaim("r1"), &controlplane.Response{Status: 201, Body: []byte("first")}), controlplane.StatusCommitted)
	finished := c.Claim(ctx, newClaim("r2"))
	is.Equal(finished.State, controlplane.Finished)
	is.Equal(string(finished.Response.Body), "first")
}

// Guards against a client that keeps calling a follower, or a host that is down, while another host
// leads.
func TestClientFindsTheLeader(t *testing.T) {
	is := is.New(t)
	leader := serve(t, localLog)
	follower := serve(t, func(m *control.Machine) controlplane.Log {
		return &fakeLog{LocalLog: controlplane.NewLocalLog("", m), leader: leader, propose: func([]byte) ([]byte, controlplane.Status) {
			return nil, controlplane.StatusNotLeader
		}}
	})
	c := newClient(t, "127.0.0.1:1", follower)
	is.Equal(c.Apply(context.Background(), newChange("a", 0, "")).State, controlplane.ApplyAccepted)
	is.Equal(c.Claim(context.Background(), newClaim("r1")).State, controlplane.Granted)
	v, _, err := newClient(t, follower).ConfirmedConfig(context.Background())
	is.NoErr(err)
	is.Equal(v, uint64(1))
}

// Guards against an indeterminate claim that is reported as not granted because a later attempt was
// rejected.
func TestIndeterminateClaimStaysIndeterminate(t *testing.T) {
	is := is.New(t)
	attempts := 0
	addr := serve(t, func(m *control.Machine) controlplane.Log {
		return &fakeLog{LocalLog: controlplane.NewLocalLog("", m), self: true, propose: func([]byte) ([]byte, controlplane.Status) {
			if attempts++; attempts == 1 {
				return nil, controlplane.StatusIndeterminate
			}
			return nil, controlplane.StatusUnavailable
		}}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	is.Equal(newClient(t, addr).Claim(ctx, newClaim("r1")).State, controlplane.Indeterminate)
	is.True(attempts > 1)
	is.Equal(newClient(t, "127.0.0.1:1").Claim(ctx, newClaim("r1")).State, controlplane.Unavailable)
}

// Guards against reports that are returned after they expire or that lose a field.
func TestReportsExpire(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newClient(t, serve(t, localLog))
	expiresAt := time.Now().Add(200 * time.Millisecond)
	is.Equal(c.Report(ctx, controlplane.NodeReport{
		Name: "n1", Domain: "d1", Service: "registry", Version: 4,
		Upstream: mulberrylink.UpstreamCold, Load: mulberrylink.Load{InFlight: 2, Limit: 6}, ExpiresAt: expiresAt,
	}), controlplane.StatusCommitted)
	s, err := c.Status(ctx)
	is.NoErr(err)
	is.Equal(len(s.Nodes), 1)
	is.Equal(s.Nodes[0].Upstream, mulberrylink.UpstreamCold)
	is.Equal(s.Nodes[0].Load.Limit, 6)
	time.Sleep(time.Until(expiresAt) + 10*time.Millisecond)
	s, err = c.Status(ctx)
	is.NoErr(err)
	is.Equal(len(s.Nodes), 0)
}
