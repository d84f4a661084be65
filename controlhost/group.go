package controlhost

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink/coordination/quorum"
	"github.com/mulberrylink/mulberrylink/coordination/roster"
	"github.com/mulberrylink/mulberrylink/protocol/feed"
	"github.com/mulberrylink/mulberrylink/state/codec"
	"github.com/mulberrylink/mulberrylink/transport/rpc"
)

const (
	methodJoin = "roster/join"

	// rosterInterval is how often the leader looks at the group, and joinInterval
	// how often a host that belongs to none asks to join. Both are small
	// against the four seconds within which a replaced host has to count again.
	rosterInterval = 200 * time.Millisecond
	joinInterval   = 200 * time.Millisecond
	// joinTime is how long a request to join stands without being repeated.
	joinTime = time.Second
	// lonelyTime is how long a member hears of no leader before it asks whether
	// it still belongs to the group.
	lonelyTime = 2 * time.Second
	// changeTime bounds one change of the group.
	changeTime = time.Second
	// orphanTime is how long the nodes that subscribed at another control host
	// are kept after that host was lost. They move within graceTime of the feed.
	orphanTime = 4 * time.Second
)

var (
	errStale     = errors.New("the version is not above the current one")
	errMalformed = errors.New("the change could not be decoded")
)

// joinRequest asks the leader to be a member.
type joinRequest struct {
	ID    uint64 `cbor:"i"`
	Addr  string `cbor:"a"`
	Blank bool   `cbor:"b,omitempty"`
}

type joinReply struct {
	// Leads is true when the leader answers and a majority confirmed it.
	Leads bool `cbor:"l,omitempty"`
	// Member is true when the identity belongs to the group.
	Member bool     `cbor:"m,omitempty"`
	Hosts  []string `cbor:"h,omitempty"`
}

// joiners are the hosts that asked to join.
type joiners struct {
	mu    sync.Mutex
	until map[roster.Joiner]time.Time
}

func (j *joiners) put(r roster.Joiner, until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.until == nil {
		j.until = make(map[roster.Joiner]time.Time)
	}
	j.until[r] = until
}

func (j *joiners) list(now time.Time) []roster.Joiner {
	j.mu.Lock()
	defer j.mu.Unlock()
	var all []roster.Joiner
	for r, until := range j.until {
		if now.After(until) {
			delete(j.until, r)
			continue
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b roster.Joiner) int {
		if a.Addr < b.Addr {
			return -1
		}
		return 1
	})
	return all
}

func (h *Host) joinMethod() (string, rpc.Handler) {
	return methodJoin, func(st drpc.Stream) error {
		var in joinRequest
		if err := st.MsgRecv(&in, codec.Encoding{}); err != nil {
			return err
		}
		return st.MsgSend(h.answerJoin(st.Context(), &in), codec.Encoding{})
	}
}

func (h *Host) answerJoin(ctx context.Context, in *joinRequest) *joinReply {
	s := h.store.Load()
	out := &joinReply{Hosts: h.hosts()}
	if _, self := leads(s.host); !self {
		return out
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if out.Leads = s.host.ReadBarrier(ctx); !out.Leads {
		return out
	}
	out.Member = slices.ContainsFunc(s.host.Status().Members, func(m quorum.Member) bool { return m.ID == in.ID })
	if in.Blank {
		h.joiners.put(roster.Joiner{ID: in.ID, Addr: in.Addr}, time.Now().Add(joinTime))
	}
	return out
}

// join asks the known control hosts to be a member while this host has no
// group, and whether it still is one while it hears of no leader.
func (h *Host) join(ctx context.Context) {
	tick := time.NewTicker(joinInterval)
	defer tick.Stop()
	lonely := time.Now()
	known := slices.Clone(h.cfg.Seeds)
	seeds := func() {
		h.seedMu.Lock()
		defer h.seedMu.Unlock()
		known = appendNew(known, h.seeds)
	}
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			st := h.store.Load().host.Status()
			if st.Leader != 0 && len(st.Members) > 0 {
				lonely = now
			}
			blank := len(st.Members) == 0
			if !blank && now.Sub(lonely) < lonelyTime {
				continue
			}
			seeds()
			known = h.ask(ctx, &st, blank, known)
		}
	}
}

// AddSeeds adds addresses that join requests are sent to, for example after the settings changed.
func (h *Host) AddSeeds(addrs []string) {
	h.seedMu.Lock()
	defer h.seedMu.Unlock()
	h.seeds = appendNew(h.seeds, addrs)
}

// appendNew appends the addresses that are not in the list yet.
func appendNew(list, addrs []string) []string {
	for _, a := range addrs {
		if !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}

// ask asks every known host once and returns the hosts known then.
func (h *Host) ask(ctx context.Context, st *quorum.MemberStatus, blank bool, known []string) []string {
	var mu sync.Mutex
	var wg sync.WaitGroup
	removed := false
	found := slices.Clone(known)
	for _, m := range st.Members {
		found = appendNew(found, []string{m.Addr})
	}
	for _, addr := range slices.Clone(found) {
		if addr == h.cfg.Addr {
			continue
		}
		wg.Go(func() {
			out, err := h.askOne(ctx, addr, &joinRequest{ID: st.ID, Addr: h.cfg.Addr, Blank: blank})
			if err != nil {
				h.cfg.Log.Debug().Str("host", addr).Err(err).Msg("request to join not answered")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			found = appendNew(found, out.Hosts)
			removed = removed || out.Leads && !out.Member
		})
	}
	wg.Wait()
	if removed && !blank {
		h.cfg.Log.Warn().Uint64("identity", st.ID).Msg("this host was removed from the group; joining with a new identity")
		if err := h.renew(ctx); err != nil {
			h.cfg.Log.Error().Err(err).Msg("identity not renewed")
		}
	}
	return found
}

func (h *Host) askOne(ctx context.Context, addr string, in *joinRequest) (*joinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	conn, err := h.pool.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	var out joinReply
	return &out, conn.Invoke(ctx, methodJoin, codec.Encoding{}, in, &out)
}

// keepRoster changes the group while this host leads it, and follows the other
// members to learn of their nodes.
func (h *Host) keepRoster(ctx context.Context) {
	tick := time.NewTicker(rosterInterval)
	defer tick.Stop()
	silent := make(map[uint64]time.Time)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s := h.store.Load()
			st := s.host.Status()
			h.peers.follow(ctx, h, &st, now)
			if st.Role != quorum.Leader {
				clear(silent)
				continue
			}
			h.act(ctx, s, roster.Next(h.members(&st, silent, now), h.joiners.list(now), h.cfg.GroupSize, now))
		}
	}
}

func (h *Host) members(st *quorum.MemberStatus, silent map[uint64]time.Time, now time.Time) []roster.Member {
	var members []roster.Member
	for _, m := range st.Members {
		switch _, was := silent[m.ID]; {
		case !slices.Contains(st.Unresponsive, m.ID):
			delete(silent, m.ID)
		case !was:
			silent[m.ID] = now
		}
		members = append(members, roster.Member{ID: m.ID, Addr: m.Addr, Learner: m.Learner, SilentSince: silent[m.ID]})
	}
	return members
}

func (h *Host) act(ctx context.Context, s *store, a roster.Action) {
	if a.Kind == roster.None {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTime)
	defer cancel()
	var err error
	if a.Kind == roster.Add {
		err = s.host.AddMember(ctx, quorum.Member{ID: a.ID, Addr: a.Addr})
	} else {
		err = s.host.RemoveMember(ctx, a.ID)
	}
	h.cfg.Log.Info().Str("action", a.Kind.String()).Str("cause", a.Cause.String()).
		Uint64("identity", a.ID).Str("host", a.Addr).Err(err).Msg("group of control hosts changed")
}

// peers are the feeds of the other control hosts.
type peers struct {
	mu      sync.Mutex
	clients map[string]*peer
}

// domain returns the failure domain of a member, empty when it is not known.
func (p *peers) domain(addr string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[addr]; c != nil {
		return c.client.HostDomain()
	}
	return ""
}

type peer struct {
	client *feed.Client
	cancel context.CancelFunc
	lost   bool
}

// follow opens a feed to each member, ends the feeds of former members, and
// gives up the nodes of a member that has been silent for orphanTime.
func (p *peers) follow(ctx context.Context, h *Host, st *quorum.MemberStatus, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients == nil {
		p.clients = make(map[string]*peer)
	}
	current := make(map[string]bool)
	for _, m := range st.Members {
		if m.Addr == h.cfg.Addr {
			continue
		}
		current[m.Addr] = true
		if p.clients[m.Addr] == nil {
			p.clients[m.Addr] = p.open(ctx, h, m.Addr)
		}
	}
	for addr, c := range p.clients {
		heard := c.client.LastHeard()
		switch {
		case heard.Unix() > 0 && now.Sub(heard) < orphanTime:
			c.lost = false
		case heard.Unix() > 0 && !c.lost:
			c.lost = true
			names := h.dir.MarkSourceGone(addr, now)
			h.cfg.Log.Warn().Str("host", addr).Int("nodes", len(names)).Msg("control host silent; its nodes are taken as lost")
		}
		if !current[addr] && len(current) > 0 {
			c.cancel()
			delete(p.clients, addr)
			h.dir.MarkSourceGone(addr, now)
		}
	}
}

func (p *peers) open(ctx context.Context, h *Host, addr string) *peer {
	ctx, cancel := context.WithCancel(ctx)
	c := feed.NewClient(feed.ClientConfig{
		Dialer: h.pool, Seeds: []string{addr}, HostName: h.cfg.Name, SeedsOnly: true, Directory: h.dir, Log: h.cfg.Log,
	})
	h.done.Go(func() { c.Run(ctx) })
	return &peer{client: c, cancel: cancel}
}
