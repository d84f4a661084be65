// Package controlhost assembles a control host. It runs a replica of the log that holds the
// configuration document, joins the group of control hosts and replaces lost members while it is
// the leader, and serves the feed that nodes subscribe to. The leader also decides about rollouts. The program that embeds it provides the
// interface for operators.
//
// # Usage
//
//	h, err := controlhost.Open(controlhost.Config{Name: name, Dir: dir, Addr: addr, …})
//	go h.Serve(ctx)
//	res := h.ApplyChange(ctx, &change)
//	state, err := h.ReadState(ctx)
//	err = h.Stop(ctx)
package controlhost

import (
	"context"
	"hash/fnv"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink/coordination/directory"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/quorum"
	"github.com/mulberrylink/mulberrylink/coordination/quota"
	"github.com/mulberrylink/mulberrylink/coordination/rollout"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/protocol/feed"
	"github.com/mulberrylink/mulberrylink/protocol/quotas"
	"github.com/mulberrylink/mulberrylink/state/storage"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

const (
	// dialTimeout is shorter than electionTimeoutMin.
	dialTimeout = 300 * time.Millisecond
	// heartbeatInterval and the election timeouts ensure that a new leader is elected within 1.5 s.
	// Within the same time, a host detects that it is partitioned from the majority: its nodes must
	// move to another control host before the next change has to be in force.
	heartbeatInterval  = 100 * time.Millisecond
	electionTimeoutMin = 450 * time.Millisecond
	electionTimeoutMax = 800 * time.Millisecond
	// firstElectionTimeout is longer than heartbeatInterval, so that the heartbeat of a live leader
	// arrives before the first election.
	firstElectionTimeout = 150 * time.Millisecond
	// snapshotBytes bounds the log between two snapshots. An entry may hold a whole configuration of 1 MiB, and a
	// host has 256 MB of disk and less than 300 MB of memory.
	snapshotBytes = 8 << 20
	// maxConns bounds the connections of nodes and other control hosts. Each takes about 30 KiB beside
	// its messages. With 1,400 nodes the leader has one of each for quotas, and its part of their feeds.
	maxConns = 3072
	// maxSnapshotBytes bounds an incoming snapshot, which is kept in memory until it is complete. The
	// configuration has at most 4 MiB.
	maxSnapshotBytes = 16 << 20
	// writeTimeout bounds one write to a node or a control host.
	writeTimeout = 2 * time.Second
	// stopTimeout bounds a graceful stop.
	stopTimeout = 2 * time.Second
)

// Config configures a Host.
type Config struct {
	// Name is the name of the host, and Domain its failure domain.
	Name, Domain string
	// Dir is the data directory.
	Dir string
	// Addr is the address at which other control hosts and nodes reach this host.
	Addr string
	// Seeds are the addresses of the control hosts that form the first group. Join requests are
	// sent to them first.
	Seeds []string
	// Bootstrap is true at the first start of a new deployment.
	Bootstrap bool
	// GroupSize is the number of voters that the group should have.
	GroupSize int
	// Validate returns an error if the change is invalid for the base state.
	Validate func(base *document.State, c *document.Change) error
	// Limits decodes the rate limits of all client accounts from a committed document. It is called once
	// for each version while this host is the leader. It may be nil.
	Limits func(*document.State) (map[string]quota.Limit, error)
	// HasService reports whether a service is configured. Without it, any name is a service.
	HasService func(s *document.State, service string) bool
	// Rollout are the limits of rollouts.
	Rollout rollout.Bounds
	Log     *log.Logger
	// Registry receives the gauges of the host. It may be nil.
	Registry metrics.Registry
}

// Host is an open control host.
type Host struct {
	cfg         Config
	nodes       *directory.Directory
	suspects    *suspect.List
	reports     *rollout.Board
	hub         *feed.Hub
	quotas      *quotaLeader
	quotaServer *quotas.Server
	rpc         *rpc.Server
	pool        *rpc.Pool
	replica     atomic.Pointer[replica]
	joiners     joiners
	changeMu    sync.Mutex // held from the look at the group until its change is complete
	peerFeeds   peerFeeds
	clock       runClock // used by maintainGroup
	seedMu      sync.Mutex
	addedSeeds  []string // added by AddSeeds
	wg          sync.WaitGroup
}

// systemClock implements suspect.Clock.
type systemClock struct{}

// Now implements suspect.Clock.
func (systemClock) Now() time.Time { return time.Now() }

// replica is a replica of the log under one identity. A host that was removed from the group opens
// another replica with a new identity.
type replica struct {
	quorumHost *quorum.Host
	machine    *document.Machine
	links      *controlplane.Links
}

// Open opens the data directory. With Config.Bootstrap, a seed formats it with the first group.
func Open(cfg Config) (*Host, error) {
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	if cfg.Limits == nil {
		cfg.Limits = noLimits
	}
	h := &Host{cfg: cfg, nodes: directory.New(), suspects: suspect.New(suspect.Config{Clock: systemClock{}}), reports: rollout.NewBoard()}
	h.pool = rpc.NewPool(rpc.PoolConfig{DialTimeout: dialTimeout})
	if err := h.formatDataDir(); err != nil {
		return nil, err
	}
	if err := h.openReplica(); err != nil {
		return nil, err
	}
	h.hub = feed.NewHub(feed.HubConfig{
		Directory: h.nodes, Suspects: h.suspects, Reports: h.reports, State: h.state, ConfirmedState: h.confirmedState, HasLeader: h.hasLeader, Hosts: h.memberHosts, Domain: cfg.Domain, Log: cfg.Log,
	})
	h.quotas = newQuotaLeader(h)
	h.quotaServer = quotas.NewServer(h.quotas, rpc.NewPool(rpc.PoolConfig{DialTimeout: dialTimeout, IdlePerAddr: relayConns}))
	h.rpc = rpc.NewServer(func(err error) { cfg.Log.Debug().Err(err).Msg("connection lost") })
	h.rpc.SetLimits(rpc.Limits{Conns: maxConns, WriteTimeout: writeTimeout})
	for _, method := range []func() (string, rpc.Handler){h.stepMethod, h.hubMethod, h.quotaMethod, h.quotaRelayMethod, h.joinMethod, h.leaveMethod} {
		h.rpc.Handle(method())
	}
	return h, nil
}

func (h *Host) stepMethod() (string, rpc.Handler) {
	name, handler := controlplane.StepMethod(h.receiveLimited)
	return name, handler
}

// receiveLimited passes a message of the replicated log on, unless it belongs to a snapshot that is larger
// than that of any configuration.
func (h *Host) receiveLimited(m quorum.Message) {
	if m.Kind == quorum.SnapshotChunk && (m.Offset > maxSnapshotBytes || m.Offset+uint64(len(m.Data)) > maxSnapshotBytes) {
		h.cfg.Log.Warn().Uint64("from", m.From).Uint64("offset", m.Offset).Msg("snapshot exceeds the limit; its chunk is dropped")
		return
	}
	h.receive(m)
}

func (h *Host) hubMethod() (string, rpc.Handler) {
	name, handler := h.hub.Method()
	return name, handler
}

// seedID derives the identity of a member of the first group from its address, so that all seeds
// format the same group without coordination.
func seedID(addr string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(addr))
	return hash.Sum64() | 1
}

func (h *Host) quorumConfig() quorum.Config {
	return quorum.Config{
		Dir: h.cfg.Dir, ID: seedID(h.cfg.Addr), Addr: h.cfg.Addr,
		HeartbeatInterval: heartbeatInterval, ElectionTimeoutMin: electionTimeoutMin, ElectionTimeoutMax: electionTimeoutMax, FirstElectionTimeout: firstElectionTimeout, SnapshotBytes: snapshotBytes,
	}
}

// formatDataDir writes the first group to the data directory of a seed if Config.Bootstrap is true.
// Every other host starts without a group and asks to join.
func (h *Host) formatDataDir() error {
	if !h.cfg.Bootstrap {
		return nil
	}
	seeds := h.cfg.Seeds
	if len(seeds)%2 == 0 {
		// A group of even size tolerates no more failures than a group with one member less.
		seeds = seeds[:max(0, len(seeds)-1)]
	}
	var members []quorum.Member
	isSeed := false
	for _, addr := range seeds {
		members = append(members, quorum.Member{ID: seedID(addr), Addr: addr})
		isSeed = isSeed || addr == h.cfg.Addr
	}
	if !isSeed {
		return nil
	}
	err := quorum.Format(h.quorumConfig(), members)
	if errors.Is(err, storage.ErrExists) {
		return nil // formatted by an earlier start of the process
	}
	return errors.Wrapf(err, "format data directory %s", h.cfg.Dir)
}

func (h *Host) openReplica() error {
	r := &replica{machine: document.NewMachine(), links: controlplane.NewLinks(h.pool)}
	cfg := h.quorumConfig()
	cfg.Machine, cfg.Sender = r.machine, r.links
	quorumHost, err := quorum.Open(cfg)
	if err != nil {
		r.links.Close()
		return errors.Wrapf(err, "open data directory %s", h.cfg.Dir)
	}
	r.quorumHost = quorumHost
	h.replica.Store(r)
	status := quorumHost.Status()
	h.cfg.Log.Info().Uint64("identity", status.ID).Int("members", len(status.Members)).
		Uint64("term", status.Term).Uint64("commit", status.Commit).Msg("data directory opened")
	return nil
}

// Serve runs the host until ctx is done.
func (h *Host) Serve(ctx context.Context) error {
	var lc net.ListenConfig
	lis, err := lc.Listen(ctx, "tcp", h.cfg.Addr)
	if err != nil {
		return errors.Wrap(err, "listen for control hosts and nodes")
	}
	h.wg.Go(func() { h.joinLoop(ctx) })
	h.wg.Go(func() { h.maintainGroup(ctx) })
	h.wg.Go(func() { h.watchStatus(ctx) })
	h.wg.Go(func() { h.quotas.run(ctx) })
	h.wg.Go(func() { h.rolloutLoop(ctx) })
	err = h.rpc.Serve(ctx, lis)
	h.wg.Wait()
	return err
}

// Stop leaves a group that is above its size, transfers leadership if this host is the leader, and closes
// the log.
func (h *Host) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	h.quotas.stop()
	h.leaveGroup(ctx)
	r := h.replica.Load()
	err := r.quorumHost.Stop(ctx)
	r.links.Close()
	return err
}

// state implements feed.HubConfig.State.
func (h *Host) state() (*document.State, <-chan struct{}) {
	return h.replica.Load().machine.Current()
}

// hasLeader reports whether this host follows a leader or is the leader, and applies what is committed.
func (h *Host) hasLeader() bool {
	status := h.replica.Load().quorumHost.Status()
	return isCurrent(&status, time.Now())
}

// memberAddrs returns the addresses of the members.
func (h *Host) memberAddrs() []string {
	var addrs []string
	for _, m := range h.replica.Load().quorumHost.Status().Members {
		addrs = append(addrs, m.Addr)
	}
	return addrs
}

// memberHosts returns the members with their failure domains. The domain of a member is empty until
// its feed has sent it.
func (h *Host) memberHosts() []feed.Host {
	var hosts []feed.Host
	for _, addr := range h.memberAddrs() {
		host := feed.Host{Addr: addr, Domain: h.peerFeeds.domain(addr)}
		if addr == h.cfg.Addr {
			host.Domain = h.cfg.Domain
		}
		hosts = append(hosts, host)
	}
	return hosts
}
