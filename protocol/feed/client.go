package feed

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/directory"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/rollout"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

var (
	errPeerSilent     = errors.New("the other side has been silent for too long")
	errNoLeader       = errors.New("the control host is not in touch with a leader")
	errNotConfirmed   = errors.New("the control host confirms no probes")
	errNearerHost     = errors.New("another control host is in the failure domain of the subscriber")
	errOtherNode      = errors.New("the record is not that of the subscriber")
	errRecordTooLarge = errors.New("the record is too large")
	errBaseMismatch   = errors.New("the change has another base version than the local document")
)

// Dialer opens connections to control hosts.
type Dialer interface {
	Dial(ctx context.Context, addr string) (drpc.Conn, error)
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Dialer Dialer
	// Seeds are the addresses of control hosts that are known at the start.
	Seeds []string
	// HostName is the name of the control host that runs the client. It is empty on a node. The client
	// of a control host also follows a control host that has no leader.
	HostName string
	// SeedsOnly restricts the client to its seeds: it ignores the addresses that a hub sends.
	SeedsOnly bool
	// Directory stores the records that the hubs send.
	Directory *directory.Directory
	// Suspects holds the records of crash suspects. A node also sends its records to the hub. It
	// may be nil.
	Suspects *suspect.List
	// Reports holds the reports of nodes that the hub sends to a control host. It may be nil.
	Reports *rollout.Board
	// OnState is called with each newer committed state. It may be nil.
	OnState func(*document.State)
	// Probe returns the current reading of a clock of the subscriber. The hub is asked to confirm it:
	// that the subscriber has the state that was committed when the hub received the reading. No
	// confirmations are asked for if it is nil.
	Probe func() time.Duration
	// OnConfirmed is called with the probe that a hub has confirmed and the revision of the state to
	// which the confirmation applies. The caller has to check that the state is in force. OnConfirmed
	// may be nil if Probe is.
	OnConfirmed func(probe time.Duration, revision uint64)
	// Domain is the failure domain of the subscriber. Control hosts in this domain are preferred.
	Domain string
	// NodeName is the name of the subscribing node. The client ignores records of this node that a
	// hub sends.
	NodeName string
	// Now returns the current time, time.Now if it is nil.
	Now func() time.Time
	Log *log.Logger
}

// Client subscribes to the hub of one control host at a time.
type Client struct {
	cfg       ClientConfig
	lastHeard atomic.Pointer[time.Time]
	lastWord  atomic.Pointer[time.Time] // last message, also of a control host that knows no leader

	leftUnconfirmedAt time.Time // when a control host that confirmed no probes was last left, used by Run

	mu    sync.Mutex
	hosts []Host
	// failedAt is when following a control host last failed, by address.
	failedAt    map[string]time.Time
	hostDomain  string             // failure domain of the control host, as sent by its hub
	self        *mulberrylink.Node // the node's own record, replaced on every change
	selfChanged chan struct{}      // signals a change of self or of report
	report      *rollout.Report    // last report of the node, replaced on every change
	state       *document.State
}

// NewClient returns a client that subscribes once Run is called.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	c := &Client{cfg: cfg, failedAt: make(map[string]time.Time), selfChanged: make(chan struct{}, 1), state: &document.State{}}
	c.AddSeeds(cfg.Seeds)
	return c
}

// AddSeeds adds addresses of control hosts, for example after the settings changed.
func (c *Client) AddSeeds(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addrs {
		if !slices.ContainsFunc(c.hosts, func(h Host) bool { return h.Addr == a }) {
			c.hosts = append(c.hosts, Host{Addr: a})
		}
	}
}

// HostDomain returns the failure domain of the control host that the client last followed. It is
// empty until a control host has sent it.
func (c *Client) HostDomain() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hostDomain
}

// HostAddrs returns the addresses of the known control hosts in the order in which they are tried.
func (c *Client) HostAddrs() []string { return c.hostsByPreference() }

// hostsByPreference returns the addresses of the control hosts in the order in which they are tried,
// sorted by rank. Control hosts of the same rank are in random order, so that subscribers are spread
// over them.
func (c *Client) hostsByPreference() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := slices.Clone(c.hosts)
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	slices.SortStableFunc(hosts, func(a, b Host) int { return cmp.Compare(c.rank(a), c.rank(b)) })
	var addrs []string
	for _, h := range hosts {
		addrs = append(addrs, h.Addr)
	}
	return addrs
}

// hasNearerHost reports whether addr is outside of the subscriber's failure domain while another
// control host is inside. A control host that failed within failedHostPenalty is not counted.
func (c *Client) hasNearerHost(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := false
	for _, h := range c.hosts {
		if h.Addr == addr && h.Domain == c.cfg.Domain {
			return false
		}
		if c.rank(h) > 0 {
			continue
		}
		found = true
	}
	return found
}

// rank returns the preference of a control host; the lowest rank is tried first.
func (c *Client) rank(h Host) int {
	if at, ok := c.failedAt[h.Addr]; ok && c.cfg.Now().Sub(at) < failedHostPenalty {
		return 2 // an unresponsive host still accepts connections and delays the subscriber
	}
	if c.cfg.Domain != "" && h.Domain == c.cfg.Domain {
		return 0
	}
	return 1
}

// Announce sends n as the record of this node, at once and again to each control host that the client
// moves to. If the incarnation of n is not above that of the last record, Announce raises it.
func (c *Client) Announce(n mulberrylink.Node) {
	c.mu.Lock()
	if c.self != nil && n.Incarnation <= c.self.Incarnation {
		n.Incarnation = c.self.Incarnation + 1
	}
	c.self = &n
	c.mu.Unlock()
	select {
	case c.selfChanged <- struct{}{}:
	default:
	}
}

// LastHeard returns when the client last received a message from a control host that knows a leader.
func (c *Client) LastHeard() time.Time {
	if at := c.lastHeard.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// LastMessage returns when the client last received a message from a control host, whether that knows
// a leader or not.
func (c *Client) LastMessage() time.Time {
	if at := c.lastWord.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Run follows one control host after another until ctx is done.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		noLeaderCount, addrs := 0, c.hostsByPreference()
		for _, addr := range addrs {
			start := c.cfg.Now()
			err := c.follow(ctx, addr)
			longLived := c.cfg.Now().Sub(start) > silenceTimeout
			if longLived {
				c.cfg.Log.Warn().Str("host", addr).Err(err).Msg("feed of control host lost")
			} else {
				c.cfg.Log.Debug().Str("host", addr).Err(err).Msg("subscription to control host failed")
			}
			if errors.Is(err, errNearerHost) {
				break
			}
			c.recordFailure(addr)
			if errors.Is(err, errNoLeader) {
				noLeaderCount++
			}
			sleep(ctx, retryDelay)
			if longLived || ctx.Err() != nil {
				break
			}
		}
		if noLeaderCount == len(addrs) {
			sleep(ctx, retryDelay) // no control host has a leader, or no address is known
		}
	}
}

// recordFailure remembers that following a control host failed.
func (c *Client) recordFailure(addr string) {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= failedHostPenalty })
	c.failedAt[addr] = now
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// follow subscribes to the hub at addr and handles its messages until the stream fails, the control
// host has no leader, or a nearer control host is known.
func (c *Client) follow(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := c.cfg.Dialer.Dial(ctx, addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	silenceTimer := time.AfterFunc(firstMessageTimeout, func() { cancel(); _ = conn.Close() })
	defer silenceTimer.Stop()
	stream, err := conn.NewStream(ctx, methodWatch, codec.Encoding{})
	if err != nil {
		return err
	}
	c.mu.Lock()
	if c.self != nil {
		// The higher incarnation makes every control host store the record with its new source.
		next := *c.self
		next.Incarnation++
		c.self = &next
	}
	sentRecord := c.self
	first := &subscriberMessage{Node: sentRecord, HostName: c.cfg.HostName, Version: c.state.Version, Revision: c.state.Revision, Probe: c.newestProbe()}
	c.mu.Unlock()
	if err := stream.MsgSend(first, codec.Encoding{}); err != nil {
		return err
	}
	go c.sendHeartbeats(ctx, stream, addr, sentRecord)
	confirmedAt := c.cfg.Now()
	for {
		var m hubMessage
		if err := stream.MsgRecv(&m, codec.Encoding{}); err != nil {
			if ctx.Err() != nil {
				return errPeerSilent
			}
			return err
		}
		silenceTimer.Reset(silenceTimeout)
		if err := c.handleMessage(&m, addr); err != nil {
			return err
		}
		if c.hasNearerHost(addr) {
			return errNearerHost
		}
		now := c.cfg.Now()
		if m.ConfirmedProbe != 0 {
			confirmedAt = now
		} else if c.leavesUnconfirmed(confirmedAt, now) {
			return errNotConfirmed
		}
		c.lastWord.Store(&now)
		if !m.NoLeader {
			c.lastHeard.Store(&now)
		} else if c.cfg.HostName == "" {
			return errNoLeader
		}
	}
}

func (c *Client) selfRecord() *mulberrylink.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self
}

// sendHeartbeats sends the node's own record and the records of crash suspects when they change,
// and an empty message every heartbeatInterval otherwise.
func (c *Client) sendHeartbeats(ctx context.Context, stream drpc.Stream, addr string, sentRecord *mulberrylink.Node) {
	suspects := suspectCursor{list: c.cfg.Suspects}
	var sentReport *rollout.Report
	if c.cfg.HostName != "" {
		suspects.list = nil // control hosts receive them from the hubs of each other
	}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		m := subscriberMessage{Probe: c.newestProbe()}
		if n := c.selfRecord(); n != sentRecord {
			m.Node, sentRecord = n, n
		}
		if r := c.currentReport(); r != sentReport {
			m.Report, sentReport = r, r
		}
		suspectsChanged := suspects.next(&m.Suspects, func(source string) bool { return source != addr })
		if err := stream.MsgSend(&m, codec.Encoding{}); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-suspectsChanged:
		case <-c.selfChanged:
		case <-ticker.C:
		}
	}
}

// handleMessage applies a message of the hub at addr.
func (c *Client) handleMessage(m *hubMessage, addr string) error {
	now := c.cfg.Now()
	for _, n := range m.Nodes {
		if n.Name != c.cfg.NodeName {
			c.cfg.Directory.Put(n, addr, now)
		}
	}
	mergeSuspects(c.cfg.Suspects, addr, m.Suspects)
	c.storeReports(m.Reports, addr)
	c.mu.Lock()
	if len(m.Hosts) > 0 && !c.cfg.SeedsOnly {
		c.hosts = m.Hosts
	}
	if m.Domain != "" {
		c.hostDomain = m.Domain
	}
	if m.StoredIncarnation != 0 && c.self != nil && c.self.Incarnation <= m.StoredIncarnation {
		next := *c.self
		next.Incarnation = m.StoredIncarnation + 1
		c.self = &next
		select {
		case c.selfChanged <- struct{}{}:
		default:
		}
	}
	next, err := c.nextState(m)
	if next != nil {
		c.state = next
	}
	c.mu.Unlock()
	if next != nil && c.cfg.OnState != nil {
		c.cfg.OnState(next)
	}
	if err == nil {
		c.handleConfirmation(m)
	}
	return err
}

// nextState returns the state after a message, or nil if the message has no newer one.
func (c *Client) nextState(m *hubMessage) (*document.State, error) {
	if m.Revision <= c.state.Revision {
		return nil, nil
	}
	next := *c.state
	if len(m.CompressedUpdate) > 0 {
		update, err := decompressUpdate(m.CompressedUpdate)
		switch {
		case err != nil:
			return nil, err
		case update.Full != nil:
			next = *update.Full
		case update.Change == nil || update.Change.BaseVersion != c.state.Version:
			c.state = &document.State{} // makes the next hub send the whole state
			return nil, errBaseMismatch
		default:
			next = *c.state.Apply(update.Change)
		}
	}
	// A cached update may be older than the last change of the failure domains and of the rollouts.
	next.DomainsOut, next.Revision = m.DomainsOut, m.Revision
	next.Rollouts = document.MergeRollouts(c.state.Rollouts, m.Rollouts)
	return &next, nil
}
