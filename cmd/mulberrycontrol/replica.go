package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink/coordination/control"
	"github.com/mulberrylink/mulberrylink/coordination/quorum"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/state/storage"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

// linkDialTimeout is below the minimum election timeout of 500 ms.
const linkDialTimeout = 300 * time.Millisecond

// replica is this host's copy of the replicated log, with the links to the other control hosts.
type replica struct {
	replicatedLog controlplane.Log
	quorumHost    *quorum.Host
	links         *controlplane.Links
	logger        *log.Logger
}

func openReplica(cfg controlSettings, machine *control.Machine, logger *log.Logger) (*replica, error) {
	pool := rpc.NewPool(rpc.PoolConfig{DialTimeout: linkDialTimeout})
	r := &replica{links: controlplane.NewLinks(pool), logger: logger}
	quorumCfg := quorumConfig(cfg)
	quorumCfg.Machine, quorumCfg.Sender = machine, r.links
	quorumHost, err := quorum.Open(quorumCfg)
	if err != nil {
		r.links.Close()
		return nil, errors.Wrapf(err, "open data directory %s", cfg.Control.Data)
	}
	r.quorumHost = quorumHost
	r.replicatedLog = quorumLog{host: quorumHost}
	return r, nil
}

func quorumConfig(cfg controlSettings) quorum.Config {
	self := cfg.self()
	return quorum.Config{Dir: cfg.Control.Data, ID: self.id, Addr: self.addr}
}

func (r *replica) register(srv *rpc.Server) {
	method, h := controlplane.StepMethod(r.quorumHost.Receive)
	srv.Handle(method, h)
}

// stop transfers leadership and closes the log. It closes the links last, because the transfer uses
// them.
func (r *replica) stop(ctx context.Context) {
	if err := r.quorumHost.Stop(ctx); err != nil {
		r.logger.Warn().Err(err).Msg("stopping the replicated log failed; continuing with the shutdown")
	}
	r.links.Close()
}

// formatDataDir writes the identity of an initial member to its data directory. It fails if another
// member reports that the group is already formed: this host has then lost its directory, and with
// its old identity it could vote twice.
func formatDataDir(cfg controlSettings) error {
	if err := checkGroupNotFormed(cfg); err != nil {
		return err
	}
	var members []quorum.Member
	for _, m := range cfg.members {
		members = append(members, quorum.Member{ID: m.id, Addr: m.addr})
	}
	err := quorum.Format(quorumConfig(cfg), members)
	if errors.Is(err, storage.ErrExists) {
		return errors.Newf("data directory %s already holds a member; it was not changed", cfg.Control.Data)
	}
	return errors.Wrapf(err, "format data directory %s", cfg.Control.Data)
}

// checkGroupNotFormed returns an error if any other member reports that the group is already formed.
// It ignores members that don't respond.
func checkGroupNotFormed(cfg controlSettings) error {
	pool := rpc.NewPool(rpc.PoolConfig{DialTimeout: linkDialTimeout})
	defer pool.Close()
	client := controlplane.NewClient(pool, nil)
	for _, m := range cfg.members {
		if m.name == cfg.Control.Name {
			continue
		}
		identity, err := client.Identity(context.Background(), m.addr)
		if err == nil && identity.Formed {
			return errors.Newf("control host %s at %s reports that the cluster is already formed; data directory %s was not changed: "+
				"start this host with \"mulberrycontrol run\" and add it with \"mulberryctl members add --control %s --name %s --addr %s\"",
				m.name, m.addr, cfg.Control.Data, m.addr, cfg.Control.Name, cfg.self().addr)
		}
	}
	return nil
}

// quorumLog implements controlplane.Log with a quorum.Host.
type quorumLog struct{ host *quorum.Host }

func (q quorumLog) Propose(ctx context.Context, data []byte) ([]byte, controlplane.Status) {
	res, status := q.host.Propose(ctx, data)
	switch status {
	case quorum.Committed:
		return res, controlplane.StatusCommitted
	case quorum.NotLeader:
		return nil, controlplane.StatusNotLeader
	case quorum.Unavailable:
		return nil, controlplane.StatusUnavailable
	default:
		return nil, controlplane.StatusIndeterminate
	}
}

func (q quorumLog) ReadBarrier(ctx context.Context) bool { return q.host.ReadBarrier(ctx) }

func (q quorumLog) Leader() (id uint64, addr string, isLeader bool) { return q.host.Leader() }

func (q quorumLog) Members() []controlplane.Member {
	st := q.host.Status()
	var members []controlplane.Member
	for _, m := range st.Members {
		members = append(members, controlplane.Member{
			ID: m.ID, Addr: m.Addr, Learner: m.Learner, Leader: m.ID == st.Leader, Self: m.ID == st.ID,
		})
	}
	return members
}
