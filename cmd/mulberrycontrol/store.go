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

// linkDialTimeout is below the shortest election timeout.
const linkDialTimeout = 300 * time.Millisecond

// store is the replicated log of this host with its links to the others.
type store struct {
	replicatedLog controlplane.Log
	quorumHost    *quorum.Host
	links         *controlplane.Links
	logger        *log.Logger
}

func openStore(cfg controlSettings, machine *control.Machine, logger *log.Logger) (*store, error) {
	pool := rpc.NewPool(rpc.PoolConfig{DialTimeout: linkDialTimeout})
	s := &store{links: controlplane.NewLinks(pool), logger: logger}
	quorumCfg := quorumConfig(cfg)
	quorumCfg.Machine, quorumCfg.Sender = machine, s.links
	quorumHost, err := quorum.Open(quorumCfg)
	if err != nil {
		s.links.Close()
		return nil, errors.Wrapf(err, "open data directory %s", cfg.Control.Data)
	}
	s.quorumHost = quorumHost
	s.replicatedLog = quorumLog{host: quorumHost}
	return s, nil
}

func quorumConfig(cfg controlSettings) quorum.Config {
	self := cfg.self()
	return quorum.Config{Dir: cfg.Control.Data, ID: self.id, Addr: self.addr}
}

func (s *store) register(srv *rpc.Server) {
	method, h := controlplane.StepMethod(s.quorumHost.Receive)
	srv.Handle(method, h)
}

// stop hands leadership over and closes the log. The links end last, because
// the transfer uses them.
func (s *store) stop(ctx context.Context) {
	if err := s.quorumHost.Stop(ctx); err != nil {
		s.logger.Warn().Err(err).Msg("control log did not stop cleanly")
	}
	s.links.Close()
}

// format writes the identity of a first member to its data directory. It
// refuses when another member answers that the group exists: this host then
// lost its directory, and under its old identity it could vote twice.
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
			return errors.Newf("control host %s at %s answers that the cluster is already formed; data directory %s was not changed: "+
				"start this host with \"mulberrycontrol run\" and add it with \"mulberryctl members add --control %s --name %s --addr %s\"",
				m.name, m.addr, cfg.Control.Data, m.addr, cfg.Control.Name, cfg.self().addr)
		}
	}
	return nil
}

// quorumLog makes a quorum.Host the log of a server.
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
