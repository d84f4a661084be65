// Package controlhost assembles a control host: the replicated log with the
// document of the configuration, the group of control hosts that keeps itself
// complete, and the feed for nodes. The programs differ only in the interface
// that they give operators.
//
// # Usage
//
//	h, err := controlhost.Open(controlhost.Config{Name: "core-1", Dir: dir, Addr: addr, Seeds: seeds, …})
//	go h.Serve(ctx)
//	res := h.ApplyChange(ctx, &change)
//	state, ok := h.ReadState(ctx)
//	err = h.Stop(ctx)
package controlhost

import (
	"context"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink/coordination/directory"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/quorum"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/protocol/feed"
	"github.com/mulberrylink/mulberrylink/state/storage"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

const (
	// dialTimeout is below the shortest election timeout.
	dialTimeout = 300 * time.Millisecond
	// heartbeat and the election timeouts give a new leader within a second and a
	// half, and show a host within the same time that it is cut off from the
	// majority: its nodes have to move before the next change has to be in force.
	heartbeat   = 100 * time.Millisecond
	electionMin = 450 * time.Millisecond
	electionMax = 800 * time.Millisecond
	// firstElection is above a heartbeat of a leader that may be there.
	firstElection = 150 * time.Millisecond
	// stopTime bounds an orderly stop.
	stopTime = 2 * time.Second
)

// Config is what a Host is opened with.
type Config struct {
	Name, Domain string
	// Dir is the data directory.
	Dir string
	// Addr is the address for the other control hosts and for nodes.
	Addr string
	// Seeds are such addresses of the control hosts that form the first group,
	// and of those to ask later on.
	Seeds []string
	// Bootstrap is true at the first start of a new deployment.
	Bootstrap bool
	// GroupSize is the number of voters that the group should have.
	GroupSize int
	// Validate returns an error if the change is invalid for the base state.
	Validate func(base *document.State, c *document.Change) error
	Log      *log.Logger
}

// Host is an open control host.
type Host struct {
	cfg     Config
	dir     *directory.Directory
	hub     *feed.Hub
	rpc     *rpc.Server
	pool    *rpc.Pool
	store   atomic.Pointer[store]
	joiners joiners
	peers   peers
	seedMu  sync.Mutex
	seeds   []string // named by the settings since the start
	done    sync.WaitGroup
}

// store is the replicated log on one identity. A host that was removed from the
// group opens another one.
type store struct {
	host    *quorum.Host
	machine *document.Machine
	links   *controlplane.Links
}

// Open opens the data directory. A seed at the first start forms the group.
func Open(cfg Config) (*Host, error) {
	h := &Host{cfg: cfg, dir: directory.New()}
	h.pool = rpc.NewPool(rpc.PoolConfig{DialTimeout: dialTimeout})
	if err := h.format(); err != nil {
		return nil, err
	}
	if err := h.openStore(); err != nil {
		return nil, err
	}
	h.hub = feed.NewHub(feed.HubConfig{
		Directory: h.dir, State: h.source, HasLeader: h.current, Hosts: h.known, Domain: cfg.Domain, Log: cfg.Log,
	})
	h.rpc = rpc.NewServer(func(err error) { cfg.Log.Debug().Err(err).Msg("connection lost") })
	for _, add := range []func() (string, rpc.Handler){h.stepMethod, h.hubMethod, h.joinMethod} {
		h.rpc.Handle(add())
	}
	return h, nil
}

func (h *Host) stepMethod() (string, rpc.Handler) {
	name, f := controlplane.StepMethod(func(m quorum.Message) { h.store.Load().host.Receive(m) })
	return name, f
}

func (h *Host) hubMethod() (string, rpc.Handler) {
	name, f := h.hub.Method()
	return name, f
}

// identity derives the identity of a first member from its address, so that
// all seeds format the same group without having to agree on it.
func identity(addr string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(addr))
	return f.Sum64() | 1
}

func (h *Host) quorumConfig() quorum.Config {
	return quorum.Config{
		Dir: h.cfg.Dir, ID: identity(h.cfg.Addr), Addr: h.cfg.Addr,
		HeartbeatInterval: heartbeat, ElectionTimeoutMin: electionMin, ElectionTimeoutMax: electionMax, FirstElectionTimeout: firstElection,
	}
}

// format writes the first group on a seed at the first start. Every other host
// starts without a group and asks to join.
func (h *Host) format() error {
	if !h.cfg.Bootstrap {
		return nil
	}
	seeds := h.cfg.Seeds
	if len(seeds)%2 == 0 {
		seeds = seeds[:max(0, len(seeds)-1)] // an even group bears no more losses
	}
	var members []quorum.Member
	self := false
	for _, addr := range seeds {
		members = append(members, quorum.Member{ID: identity(addr), Addr: addr})
		self = self || addr == h.cfg.Addr
	}
	if !self {
		return nil
	}
	err := quorum.Format(h.quorumConfig(), members)
	if errors.Is(err, storage.ErrExists) {
		return nil // the process has been restarted since
	}
	return errors.Wrapf(err, "format data directory %s", h.cfg.Dir)
}

func (h *Host) openStore() error {
	s := &store{machine: document.NewMachine(), links: controlplane.NewLinks(h.pool)}
	cfg := h.quorumConfig()
	cfg.Machine, cfg.Sender = s.machine, s.links
	host, err := quorum.Open(cfg)
	if err != nil {
		s.links.Close()
		return errors.Wrapf(err, "open data directory %s", h.cfg.Dir)
	}
	s.host = host
	h.store.Store(s)
	st := host.Status()
	h.cfg.Log.Info().Uint64("identity", st.ID).Int("members", len(st.Members)).
		Uint64("term", st.Term).Uint64("commit", st.Commit).Msg("data directory opened")
	return nil
}

// renew gives up an identity that was removed from the group: the directory is
// emptied, and the host asks to join with a new identity.
func (h *Host) renew(ctx context.Context) error {
	old := h.store.Load()
	ctx, cancel := context.WithTimeout(ctx, stopTime)
	defer cancel()
	if err := old.host.Stop(ctx); err != nil {
		return err
	}
	old.links.Close()
	files, err := os.ReadDir(h.cfg.Dir)
	if err != nil {
		return errors.Wrap(err, "empty data directory")
	}
	for _, f := range files {
		if err := os.RemoveAll(filepath.Join(h.cfg.Dir, f.Name())); err != nil {
			return errors.Wrap(err, "empty data directory")
		}
	}
	return h.openStore()
}

// Serve runs the host until ctx ends.
func (h *Host) Serve(ctx context.Context) error {
	var lc net.ListenConfig
	lis, err := lc.Listen(ctx, "tcp", h.cfg.Addr)
	if err != nil {
		return errors.Wrap(err, "listen for control hosts and nodes")
	}
	h.done.Go(func() { h.join(ctx) })
	h.done.Go(func() { h.keepRoster(ctx) })
	h.done.Go(func() { h.watchLeader(ctx) })
	err = h.rpc.Serve(ctx, lis)
	h.done.Wait()
	return err
}

// Stop hands leadership over and closes the log.
func (h *Host) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTime)
	defer cancel()
	s := h.store.Load()
	err := s.host.Stop(ctx)
	s.links.Close()
	return err
}

func (h *Host) source() (*document.State, <-chan struct{}) {
	return h.store.Load().machine.Current()
}

// current reports whether this host follows a leader, or leads a majority.
func (h *Host) current() bool {
	st := h.store.Load().host.Status()
	return st.Err == nil && st.Leader != 0
}

// hosts returns the addresses of the members.
func (h *Host) hosts() []string {
	var addrs []string
	for _, m := range h.store.Load().host.Status().Members {
		addrs = append(addrs, m.Addr)
	}
	return addrs
}

// known returns the members with their failure domains, as far as these are
// known.
func (h *Host) known() []feed.Host {
	var hosts []feed.Host
	for _, addr := range h.hosts() {
		x := feed.Host{Addr: addr, Domain: h.peers.domain(addr)}
		if addr == h.cfg.Addr {
			x.Domain = h.cfg.Domain
		}
		hosts = append(hosts, x)
	}
	return hosts
}

// watchLeader logs each change of the leader as this host sees it.
func (h *Host) watchLeader(ctx context.Context) {
	tick := time.NewTicker(rosterInterval)
	defer tick.Stop()
	var leader, term uint64
	var failed bool
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		st := h.store.Load().host.Status()
		if st.Leader != leader || st.Term != term {
			h.cfg.Log.Info().Uint64("leader", st.Leader).Uint64("before", leader).Uint64("term", st.Term).
				Str("role", st.Role.String()).Uint64("commit", st.Commit).Msg("leader changed")
			leader, term = st.Leader, st.Term
		}
		if st.Err != nil && !failed {
			failed = true
			h.cfg.Log.Error().Err(st.Err).Msg("this host no longer takes part in the group")
		}
	}
}
