package feed

import (
	"cmp"
	"context"
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
	"github.com/mulberrylink/mulberrylink/state/codec"
)

var (
	errSilent = errors.New("the other side has been silent for too long")
	errBehind = errors.New("the control host is not in touch with a leader")
	errNearer = errors.New("a control host in the own failure domain is known")
	errGap    = errors.New("the change does not build on the version held")
)

// Dialer opens connections to control hosts.
type Dialer interface {
	Dial(ctx context.Context, addr string) (drpc.Conn, error)
}

// ClientConfig is what a Client is built from.
type ClientConfig struct {
	Dialer Dialer
	// Seeds are the first addresses to try.
	Seeds []string
	// HostName is the name of the control host that runs the client. It is empty on a node.
	HostName string
	// SeedsOnly restricts the client to its seeds: it ignores the addresses that a hub sends.
	SeedsOnly bool
	Directory *directory.Directory
	// OnState is called with each newer committed state. It may be nil.
	OnState func(*document.State)
	// Domain is the failure domain of the subscriber. Control hosts there are
	// preferred.
	Domain string
	// NodeName is the name of the subscribing node. The client ignores records of this node that a
	// hub sends.
	NodeName string
	Log      *log.Logger
}

// Client follows one control host at a time.
type Client struct {
	cfg   ClientConfig
	heard atomic.Int64 // Unix nanoseconds

	mu    sync.Mutex
	hosts []Host
	// failed is when a control host could last not be followed.
	failed map[string]time.Time
	told   string // the failure domain that the control host told
	self   *mulberrylink.Node
	wake   chan struct{}
	state  *document.State
}

// NewClient returns a client that starts with Run.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, failed: make(map[string]time.Time), wake: make(chan struct{}, 1), state: &document.State{}}
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
	return c.told
}

// order returns the control hosts in the order in which they are tried: those in
// the own failure domain first, otherwise by chance, so that the others share
// the subscribers.
func (c *Client) order() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := slices.Clone(c.hosts)
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	slices.SortStableFunc(hosts, func(a, b Host) int { return cmp.Compare(c.distance(a), c.distance(b)) })
	var addrs []string
	for _, h := range hosts {
		addrs = append(addrs, h.Addr)
	}
	return addrs
}

// nearer reports whether another control host is in the own failure domain and
// addr is not. One that could not be followed lately does not count.
func (c *Client) nearer(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := false
	for _, h := range c.hosts {
		if h.Addr == addr && h.Domain == c.cfg.Domain {
			return false
		}
		if c.distance(h) > 0 {
			continue
		}
		found = true
	}
	return found
}

func (c *Client) distance(h Host) int {
	if at, ok := c.failed[h.Addr]; ok && time.Since(at) < farTime {
		return 2 // a host that stands still accepts connections and costs time
	}
	if c.cfg.Domain != "" && h.Domain == c.cfg.Domain {
		return 0
	}
	return 1
}

// Announce sends the own record, now and after each change of the host. It
// sets the incarnation when n is not above the last one.
func (c *Client) Announce(n mulberrylink.Node) {
	c.mu.Lock()
	if c.self != nil && n.Incarnation <= c.self.Incarnation {
		n.Incarnation = c.self.Incarnation + 1
	}
	c.self = &n
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// LastHeard returns when the client last received a message from a control host that knows a leader.
func (c *Client) LastHeard() time.Time { return time.Unix(0, c.heard.Load()) }

// Run follows control hosts until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		behind, tried := 0, c.order()
		for _, addr := range tried {
			began := time.Now()
			err := c.follow(ctx, addr)
			lasted := time.Since(began) > silentTime
			if lasted {
				c.cfg.Log.Warn().Str("host", addr).Err(err).Msg("feed of control host lost")
			} else {
				c.cfg.Log.Debug().Str("host", addr).Err(err).Msg("control host not followed")
			}
			if errors.Is(err, errNearer) {
				break
			}
			c.mu.Lock()
			c.failed[addr] = time.Now()
			c.mu.Unlock()
			if errors.Is(err, errBehind) {
				behind++
			}
			pause(ctx, dialPause)
			if lasted || ctx.Err() != nil {
				break
			}
		}
		if behind == len(tried) {
			pause(ctx, dialPause) // there is no leader to be found, or no address
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// follow keeps one stream until it fails.
func (c *Client) follow(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := c.cfg.Dialer.Dial(ctx, addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	silent := time.AfterFunc(firstTime, func() { cancel(); _ = conn.Close() })
	defer silent.Stop()
	st, err := conn.NewStream(ctx, methodWatch, codec.Encoding{})
	if err != nil {
		return err
	}
	c.mu.Lock()
	if c.self != nil {
		// Every control host learns from a newer record where the node is now.
		next := *c.self
		next.Incarnation++
		c.self = &next
	}
	sent := c.self
	first := &upMessage{Node: sent, Host: c.cfg.HostName, Version: c.state.Version, Serial: c.state.Revision}
	c.mu.Unlock()
	if err := st.MsgSend(first, codec.Encoding{}); err != nil {
		return err
	}
	go c.beat(ctx, st, sent)
	for {
		var m downMessage
		if err := st.MsgRecv(&m, codec.Encoding{}); err != nil {
			if ctx.Err() != nil {
				return errSilent
			}
			return err
		}
		silent.Reset(silentTime)
		if err := c.take(&m, addr); err != nil {
			return err
		}
		if c.nearer(addr) {
			return errNearer
		}
		if !m.Behind {
			c.heard.Store(time.Now().UnixNano())
		} else if c.cfg.HostName == "" {
			return errBehind
		}
	}
}

func (c *Client) record() *mulberrylink.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self
}

// beat sends the own record when it changes and an empty message otherwise.
func (c *Client) beat(ctx context.Context, st drpc.Stream, sent *mulberrylink.Node) {
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	for {
		var m upMessage
		if n := c.record(); n != sent {
			m.Node, sent = n, n
		}
		if err := st.MsgSend(&m, codec.Encoding{}); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-tick.C:
		}
	}
}

// take applies a message of the control host.
func (c *Client) take(m *downMessage, addr string) error {
	now := time.Now()
	for _, n := range m.Nodes {
		if n.Name != c.cfg.NodeName {
			c.cfg.Directory.Put(n, addr, now)
		}
	}
	c.mu.Lock()
	if len(m.Hosts) > 0 && !c.cfg.SeedsOnly {
		c.hosts = m.Hosts
	}
	if m.Domain != "" {
		c.told = m.Domain
	}
	if m.Raise != 0 && c.self != nil && c.self.Incarnation <= m.Raise {
		raised := *c.self
		raised.Incarnation = m.Raise + 1
		c.self = &raised
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	next, err := c.next(m)
	if next != nil {
		c.state = next
	}
	c.mu.Unlock()
	if next != nil && c.cfg.OnState != nil {
		c.cfg.OnState(next)
	}
	return err
}

// next returns the state after a message, nil when it brings nothing newer.
func (c *Client) next(m *downMessage) (*document.State, error) {
	if m.Serial <= c.state.Revision {
		return nil, nil
	}
	next := *c.state
	if len(m.Packed) > 0 {
		n, err := unpack(m.Packed)
		switch {
		case err != nil:
			return nil, err
		case n.Full != nil:
			return n.Full, nil
		case n.Change == nil || n.Change.BaseVersion != c.state.Version:
			c.state = &document.State{} // the next stream brings the whole
			return nil, errGap
		}
		next = *c.state.Apply(n.Change)
	}
	next.DomainsOut, next.Revision = m.Out, m.Serial
	return &next, nil
}
