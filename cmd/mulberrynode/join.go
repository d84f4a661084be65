package main

import (
	"context"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/membership"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/protocol/gossip"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// joinGroup creates the node and joins its node group.
func joinGroup(ctx context.Context, cfg *nodeSettings, lis net.Listener, l *log.Logger) (*node, error) {
	conn, err := gossip.Listen(cfg.Listen.RPC)
	if err != nil {
		return nil, errors.Wrap(err, "listen for gossip")
	}
	// The callbacks use n only after it is set: notes and loads of other nodes arrive after Run and
	// Serve have been started below.
	var n *node
	group := membership.NewGroup(membership.Config{
		Self: mulberrylink.Node{
			Name: cfg.Node.Name, Domain: cfg.Node.Domain, Addr: cfg.Listen.RPC, Front: cfg.Listen.Front,
		},
		Seeds:  cfg.Peers.Seeds,
		Rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		OnNote: func(kind uint8, data []byte) { n.suspects.handleNote(kind, data) },
	}, conn)
	n, err = newNode(cfg, dependencies{
		controlPlane: newControlPlaneClient(cfg), group: group, gate: newGate(cfg.Measure.Policy), probe: conn.Probe, decode: decodeConfig,
	}, lis, l)
	if err != nil {
		return nil, err
	}
	go group.Run(ctx)
	go conn.Serve(gossip.Handlers{
		Name: cfg.Node.Name, Deliver: group.Deliver,
		Load: n.admitter.Load, OnLoad: n.policy.ReportLoad,
	})
	n.stats.gauge("gossip_bytes", func() int64 { return int64(group.SentBytes()) })
	n.stats.gauge("gossip_probes", func() int64 {
		probes, _, _ := conn.Counts()
		return int64(probes)
	})
	return n, nil
}

// controlMaxIdleConns is the maximum number of idle connections to one control host.
const controlMaxIdleConns = 8

// newControlPlaneClient returns the client of the control hosts, nil when none are configured.
func newControlPlaneClient(cfg *nodeSettings) *controlplane.Client {
	if len(cfg.Control.Hosts) == 0 {
		return nil
	}
	pool := rpc.NewPool(rpc.PoolConfig{DialTimeout: cfg.Limits.Dial, IdlePerAddr: controlMaxIdleConns})
	return controlplane.NewClient(pool, cfg.Control.Hosts)
}
