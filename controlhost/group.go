package controlhost

import (
	"context"
	"maps"
	"net/netip"
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

	// rosterInterval is how often the leader checks the group, and joinInterval how often a host
	// without a group asks to join. Both are short compared to the 4 s within which the replacement
	// of a host must be a voter.
	rosterInterval = 200 * time.Millisecond
	// changeInterval is how often the leader checks the group while it is being changed: the successors
	// of several lost members must be voters within the same few seconds.
	changeInterval = 20 * time.Millisecond
	joinInterval   = 200 * time.Millisecond
	// joinRequestTTL is how long a join request stays valid unless it is repeated.
	joinRequestTTL = time.Second
	// maxLearnedAddrs bounds the addresses that are learned from messages of the replicated log.
	maxLearnedAddrs = 64
	// maxKnownHosts bounds the hosts that are asked to join, as far as other hosts have named them.
	maxKnownHosts = 128
	// noLeaderTimeout is how long a member has no leader before it asks other control hosts whether
	// it is still a member.
	noLeaderTimeout = 2 * time.Second
	// steadyLeaderTime is how long a leader must be known to count. A message that a leader sent before
	// it removed this member, and that arrives late, is followed for one election timeout.
	steadyLeaderTime = time.Second
	// memberChangeTimeout bounds one membership change.
	memberChangeTimeout = time.Second
	// peerTimeout is the time without a message from another control host that knows a leader, after
	// which the nodes that subscribed to it are marked as gone. It is longer than the grace period of
	// protocol/feed (2 s), within which they move to another control host.
	peerTimeout = 4 * time.Second
)

var (
	errStale     = errors.New("the version of the change is not higher than the current version")
	errMalformed = errors.New("the change could not be decoded")
)

// joinRequest asks whether ID is a member of the group. If Blank is true, the sender has no group and
// also asks to be added.
type joinRequest struct {
	ID    uint64 `cbor:"i"`
	Addr  string `cbor:"a"`
	Blank bool   `cbor:"b,omitempty"`
}

// joinReply is the reply to a joinRequest. IsMember is valid only if IsLeader is true.
type joinReply struct {
	// IsLeader is true if the replying host is the leader, confirmed by a majority.
	IsLeader bool `cbor:"l,omitempty"`
	// IsMember is true if the identity belongs to the group, or its removal is not committed.
	IsMember bool `cbor:"m,omitempty"`
	// Hosts are the addresses of the members that the replying host knows.
	Hosts []string `cbor:"h,omitempty"`
}

// joiners holds the hosts that asked to join, until their requests expire.
type joiners struct {
	mu     sync.Mutex
	expiry map[roster.Joiner]time.Time
}

func (j *joiners) add(joiner roster.Joiner, now, expiresAt time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.expiry == nil {
		j.expiry = make(map[roster.Joiner]time.Time)
	}
	// Only the leader calls active.
	maps.DeleteFunc(j.expiry, func(_ roster.Joiner, at time.Time) bool { return now.After(at) })
	j.expiry[joiner] = expiresAt
}

// forget drops the requests of an identity that has left the group.
func (j *joiners) forget(id uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	maps.DeleteFunc(j.expiry, func(joiner roster.Joiner, _ time.Time) bool { return joiner.ID == id })
}

// active drops expired requests and returns the others, sorted by address.
func (j *joiners) active(now time.Time) []roster.Joiner {
	j.mu.Lock()
	defer j.mu.Unlock()
	var all []roster.Joiner
	for joiner, expiresAt := range j.expiry {
		if now.After(expiresAt) {
			delete(j.expiry, joiner)
			continue
		}
		all = append(all, joiner)
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
	return methodJoin, func(stream drpc.Stream) error {
		var req joinRequest
		if err := stream.MsgRecv(&req, codec.Encoding{}); err != nil {
			return err
		}
		return stream.MsgSend(h.handleJoin(stream.Context(), &req), codec.Encoding{})
	}
}

// handleJoin answers a join request. Only the leader records the joiner.
func (h *Host) handleJoin(ctx context.Context, req *joinRequest) *joinReply {
	r := h.replica.Load()
	reply := &joinReply{Hosts: h.memberAddrs()}
	if _, leads := isLeader(r.quorumHost); !leads {
		return reply
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if reply.IsLeader = r.quorumHost.ReadBarrier(ctx); !reply.IsLeader {
		return reply
	}
	status := r.quorumHost.Status()
	reply.IsMember = status.IsMember(req.ID)
	if req.Blank {
		now := time.Now()
		h.joiners.add(roster.Joiner{ID: req.ID, Addr: req.Addr}, now, now.Add(joinRequestTTL))
	}
	return reply
}

// joinLoop sends join requests to the known control hosts while this host has no group, or has had
// no steady leader for noLeaderTimeout and may have been removed.
func (h *Host) joinLoop(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	contact := leaderContact{steadyAt: time.Now()}
	hosts := slices.Clone(h.cfg.Seeds)
	addSeeds := func() {
		h.seedMu.Lock()
		defer h.seedMu.Unlock()
		hosts = appendNew(hosts, h.addedSeeds)
	}
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			status := h.replica.Load().quorumHost.Status()
			contact.observe(status.Leader != 0 && len(status.Members) > 0 && !errors.Is(status.Err, quorum.ErrStopped), now)
			blank := len(status.Members) == 0
			if !blank && !contact.isMissing(now) {
				continue
			}
			addSeeds()
			hosts = h.sendJoinRequests(ctx, &status, blank, hosts)
		}
	}
}

// leaderContact tells whether a member has had no steady leader for some time.
type leaderContact struct {
	since    time.Time // since when a leader is known, zero without one
	steadyAt time.Time // when a steady leader was last known
}

func (l *leaderContact) observe(hasLeader bool, now time.Time) {
	switch {
	case !hasLeader:
		l.since = time.Time{}
	case l.since.IsZero():
		l.since = now
	case now.Sub(l.since) >= steadyLeaderTime:
		l.steadyAt = now
	}
}

func (l *leaderContact) isMissing(now time.Time) bool { return now.Sub(l.steadyAt) >= noLeaderTimeout }

// AddSeeds adds addresses that join requests are sent to, for example after the settings changed.
func (h *Host) AddSeeds(addrs []string) {
	h.seedMu.Lock()
	defer h.seedMu.Unlock()
	h.addedSeeds = appendNew(h.addedSeeds, addrs)
}

// receive passes a message on to the log. A host without a group learns from it the address of a member:
// members go on sending to the former identity of a host that lost its disk, while the hosts in its
// settings may all have been replaced.
func (h *Host) receive(m quorum.Message) {
	quorumHost := h.replica.Load().quorumHost
	if _, err := netip.ParseAddrPort(m.FromAddr); err == nil && m.To != quorumHost.Status().ID {
		h.addLearned(m.FromAddr)
	}
	quorumHost.Receive(m)
}

// addLearned adds the address of a member. Any process can send one, so their number is limited.
func (h *Host) addLearned(addr string) {
	h.seedMu.Lock()
	defer h.seedMu.Unlock()
	if len(h.addedSeeds) < maxLearnedAddrs {
		h.addedSeeds = appendNew(h.addedSeeds, []string{addr})
	}
}

// appendNew appends the addresses that are not in list yet.
func appendNew(list, addrs []string) []string {
	for _, a := range addrs {
		if !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}

// sendJoinRequests sends a join request to every known host and waits for the replies. It resets the
// identity if the leader replies that this host is no longer a member, and returns the known hosts
// including those that the replies named.
func (h *Host) sendJoinRequests(ctx context.Context, status *quorum.MemberStatus, blank bool, hosts []string) []string {
	var mu sync.Mutex
	var wg sync.WaitGroup
	removed := false
	knownHosts := slices.Clone(hosts)
	for _, m := range status.Members {
		knownHosts = appendNew(knownHosts, []string{m.Addr})
	}
	for _, addr := range slices.Clone(knownHosts) {
		if addr == h.cfg.Addr {
			continue
		}
		wg.Go(func() {
			reply, err := h.sendJoinRequest(ctx, addr, &joinRequest{ID: status.ID, Addr: h.cfg.Addr, Blank: blank})
			if err != nil {
				h.cfg.Log.Debug().Str("host", addr).Err(err).Msg("join request failed")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			knownHosts = appendNew(knownHosts, reply.Hosts[:min(len(reply.Hosts), max(0, maxKnownHosts-len(knownHosts)))])
			removed = removed || reply.IsLeader && !reply.IsMember
		})
	}
	wg.Wait()
	if removed && !blank {
		h.cfg.Log.Warn().Uint64("identity", status.ID).Msg("this host was removed from the group; joining with a new identity")
		if err := h.resetIdentity(ctx); err != nil {
			h.cfg.Log.Error().Err(err).Msg("data directory not reset after removal from the group")
		}
	}
	return knownHosts
}

func (h *Host) sendJoinRequest(ctx context.Context, addr string, req *joinRequest) (*joinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := h.pool.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	var reply joinReply
	return &reply, conn.Invoke(ctx, methodJoin, codec.Encoding{}, req, &reply)
}

// maintainGroup adds and removes members while this host is the leader. On every host, it keeps a
// feed open to each other member, which sends the records of the nodes subscribed there.
func (h *Host) maintainGroup(ctx context.Context) {
	timer := time.NewTimer(rosterInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			status := h.replica.Load().quorumHost.Status()
			h.clock.check(now)
			h.peerFeeds.update(ctx, h, &status, now)
			interval := rosterInterval
			if h.changeGroup(ctx, now) {
				interval = changeInterval
			}
			timer.Reset(interval)
		}
	}
}

// changeGroup carries out the next change of the group if this host is the leader. It reports whether
// the next one may follow soon: after a completed change, and while a learner waits for its vote.
func (h *Host) changeGroup(ctx context.Context, now time.Time) bool {
	h.changeMu.Lock()
	defer h.changeMu.Unlock()
	r := h.replica.Load()
	status := r.quorumHost.Status()
	if status.Role != quorum.Leader {
		return false
	}
	members := rosterMembers(&status)
	addOwnEvidence(members, &h.clock, h.peerFeeds.lastMessage, status.LastHeard, now)
	markConnected(members, h.peerFeeds.lastMessage, now)
	action := roster.Next(members, h.joiners.active(now), h.cfg.GroupSize, now)
	if action.Kind == roster.None {
		return slices.ContainsFunc(members, func(m roster.Member) bool { return m.Learner })
	}
	return h.applyAction(ctx, r, action)
}

// applyAction carries out and logs one change of the group. It reports whether the change is complete.
func (h *Host) applyAction(ctx context.Context, r *replica, action roster.Action) bool {
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	var err error
	switch action.Kind {
	case roster.Add:
		// Not AddMember: its wait for the vote could delay a removal that the vote waits for.
		err = r.quorumHost.AddLearner(ctx, quorum.Member{ID: action.ID, Addr: action.Addr})
	case roster.Replace:
		if err = r.quorumHost.ReplaceMember(ctx, action.ID, action.Successor); errors.Is(err, quorum.ErrNotCaughtUp) {
			return true
		}
	default:
		err = r.quorumHost.RemoveMember(ctx, action.ID)
	}
	h.cfg.Log.Info().Str("action", action.Kind.String()).Str("cause", action.Cause.String()).
		Uint64("identity", action.ID).Str("host", action.Addr).Err(err).Msg("group of control hosts changed")
	return err == nil
}

// peerFeeds holds the feeds to the other control hosts.
type peerFeeds struct {
	mu     sync.Mutex
	byAddr map[string]*peerFeed
}

// domain returns the failure domain of a member. It is empty if it is not known yet.
func (p *peerFeeds) domain(addr string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.byAddr[addr]; peer != nil {
		return peer.client.HostDomain()
	}
	return ""
}

// peerFeed is the feed to one other control host.
type peerFeed struct {
	client *feed.Client
	cancel context.CancelFunc
	lost   bool // silent for peerTimeout; its nodes have been marked as gone
}

// update opens a feed to each new member, closes the feeds to former members, and marks the nodes of
// a member that has been silent for peerTimeout as gone.
func (p *peerFeeds) update(ctx context.Context, h *Host, status *quorum.MemberStatus, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAddr == nil {
		p.byAddr = make(map[string]*peerFeed)
	}
	current := make(map[string]bool)
	for _, m := range status.Members {
		if m.Addr == h.cfg.Addr {
			continue
		}
		current[m.Addr] = true
		if p.byAddr[m.Addr] == nil {
			p.byAddr[m.Addr] = p.open(ctx, h, m.Addr)
		}
	}
	for addr, peer := range p.byAddr {
		lastHeard := peer.client.LastHeard()
		switch {
		case !lastHeard.IsZero() && now.Sub(lastHeard) < peerTimeout:
			peer.lost = false
		case !lastHeard.IsZero() && !peer.lost:
			peer.lost = true
			names := h.nodes.MarkSourceGone(addr, now)
			// A host that runs without a leader is not gone: its own log tells why.
			noLeader := now.Sub(peer.client.LastMessage()) < peerTimeout
			h.cfg.Log.Warn().Str("host", addr).Bool("noleader", noLeader).Int("nodes", len(names)).Msg("control host silent; marking its nodes as gone")
		}
		if !current[addr] && len(current) > 0 {
			peer.cancel()
			delete(p.byAddr, addr)
			h.nodes.MarkSourceGone(addr, now)
		}
	}
}

func (p *peerFeeds) open(ctx context.Context, h *Host, addr string) *peerFeed {
	ctx, cancel := context.WithCancel(ctx)
	client := feed.NewClient(feed.ClientConfig{
		Dialer: h.pool, Seeds: []string{addr}, HostName: h.cfg.Name, SeedsOnly: true, Directory: h.nodes, Suspects: h.suspects, Reports: h.reports, Log: h.cfg.Log,
	})
	h.wg.Go(func() { client.Run(ctx) })
	return &peerFeed{client: client, cancel: cancel}
}
