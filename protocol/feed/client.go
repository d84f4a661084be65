package feed

import (
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
	// Host is the name of a control host that follows another one, empty on a
	// node.
	Host string
	// Fixed keeps the client at its seeds; it ignores other addresses.
	Fixed     bool
	Directory *directory.Directory
	// Adopt is called with each newer committed state. It may be nil.
	Adopt func(*document.State)
	// Name is the name of the own node, whose record is not taken from others.
	Name string
	Log  *log.Logger
}

// Client follows one control host at a time.
type Client struct {
	cfg   ClientConfig
	heard atomic.Int64 // Unix nanoseconds

	mu    sync.Mutex
	hosts []string
	self  *mulberrylink.Node
	wake  chan struct{}
	state *document.State
}

// NewClient returns a client that starts with Run.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, hosts: slices.Clone(cfg.Seeds), wake: make(chan struct{}, 1), state: &document.State{}}
}

// Seeds adds addresses to try, because the settings name others now.
func (c *Client) Seeds(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addrs {
		if !slices.Contains(c.hosts, a) {
			c.hosts = append(c.hosts, a)
		}
	}
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

// Heard returns when a control host in touch with a leader was last heard from.
func (c *Client) Heard() time.Time { return time.Unix(0, c.heard.Load()) }

// Run follows control hosts until ctx ends.
func (c *Client) Run(ctx context.Context) {
	behind := 0 // control hosts in a row that were behind
	for i := rand.IntN(8); ctx.Err() == nil; i++ {
		pause := dialPause
		c.mu.Lock()
		hosts := c.hosts
		c.mu.Unlock()
		if len(hosts) > 0 {
			addr := hosts[i%len(hosts)]
			began := time.Now()
			err := c.follow(ctx, addr)
			if time.Since(began) > silentTime {
				c.cfg.Log.Warn().Str("host", addr).Err(err).Msg("feed of control host lost")
			} else {
				c.cfg.Log.Debug().Str("host", addr).Err(err).Msg("control host not followed")
			}
			if behind++; !errors.Is(err, errBehind) {
				behind = 0
			}
			if behind >= len(hosts) {
				pause = beatInterval // there is no leader to be found
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
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
	silent := time.AfterFunc(silentTime, func() { cancel(); _ = conn.Close() })
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
	first := &upMessage{Node: sent, Host: c.cfg.Host, Version: c.state.Version, Serial: c.state.Serial}
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
		if !m.Behind {
			c.heard.Store(time.Now().UnixNano())
		} else if c.cfg.Host == "" {
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
		if n.Name != c.cfg.Name {
			c.cfg.Directory.Put(n, addr, now)
		}
	}
	c.mu.Lock()
	if len(m.Hosts) > 0 && !c.cfg.Fixed {
		c.hosts = m.Hosts
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
	if next != nil && c.cfg.Adopt != nil {
		c.cfg.Adopt(next)
	}
	return err
}

// next returns the state after a message, nil when it brings nothing newer.
func (c *Client) next(m *downMessage) (*document.State, error) {
	switch {
	case m.Serial <= c.state.Serial:
		return nil, nil
	case m.Full != nil:
		return m.Full, nil
	}
	next := *c.state
	if m.Change != nil {
		if m.Change.Base != c.state.Version {
			c.state = &document.State{} // the next stream brings the whole
			return nil, errGap
		}
		next = *c.state.Apply(m.Change)
	}
	next.Out, next.Serial = m.Out, m.Serial
	return &next, nil
}
