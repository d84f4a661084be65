package controlplane

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

const (
	// tryTimeout bounds one try at one host, so that a silent host costs less
	// than an election.
	tryTimeout = 700 * time.Millisecond
	// callTimeout bounds one call over all tries: an election of 1.5 s and a
	// silent host.
	callTimeout = 3 * time.Second
	// retryPause is the wait after every host has failed once.
	retryPause = 50 * time.Millisecond
)

// ConnPool provides connections to control hosts. *rpc.Pool implements it.
type ConnPool interface {
	// Get returns an idle or new connection.
	Get(ctx context.Context, addr string) (drpc.Conn, error)
	// Put keeps a connection whose last call ended cleanly.
	Put(addr string, conn drpc.Conn)
	// Drop closes the idle connections to an address that was found silent.
	Drop(addr string)
}

// Client calls the control hosts. It is safe for concurrent use.
type Client struct {
	dial  ConnPool
	hosts []string
	heard atomic.Int64 // nanoseconds since 1970 of the last frame of a watch

	// Watches and reports take the hosts in turn, each by its own count.
	watchTurn  atomic.Uint32
	reportTurn atomic.Uint32

	mu     sync.Mutex
	next   int
	leader string // empty when unknown
}

// NewClient returns a client of the hosts at these addresses.
func NewClient(dial ConnPool, hosts []string) *Client {
	return &Client{dial: dial, hosts: hosts}
}

// call runs one method until a host has served it, the call's time is up or
// ctx ends. The status is StatusCommitted, StatusUnavailable when no try can
// have taken effect, or StatusIndeterminate.
func call[T any, P interface {
	*T
	reply
}](ctx context.Context, c *Client, method string, in any,
) (*T, Status) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status := StatusUnavailable
	for failed := 1; ; failed++ {
		addr := c.pick()
		out := new(T)
		switch st := c.try(ctx, addr, method, in, P(out)); st {
		case StatusCommitted:
			return out, st
		case StatusIndeterminate:
			status = st
		default: // certainly not done
		}
		c.failed(addr, P(out).head().Leader)
		if failed%max(len(c.hosts), 1) == 0 && !pause(ctx) || ctx.Err() != nil {
			return out, status
		}
	}
}

// try runs one method on one host.
func (c *Client) try(ctx context.Context, addr, method string, in any, out reply) Status {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	conn, err := c.dial.Get(ctx, addr)
	if err != nil {
		return StatusUnavailable // nothing was sent
	}
	if err := conn.Invoke(ctx, method, codec.Encoding{}, in, out); err != nil {
		_ = conn.Close()
		if ctx.Err() != nil {
			c.dial.Drop(addr) // the other connections share the silent path
		}
		return StatusIndeterminate
	}
	c.dial.Put(addr, conn)
	return out.head().Status
}

// pick returns the leader when it is known, and the hosts in turn otherwise.
func (c *Client) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	if len(c.hosts) == 0 {
		return ""
	}
	return c.hosts[c.next%len(c.hosts)]
}

// failed makes the next try go to the hint, or to the next host when there is
// none.
func (c *Client) failed(addr, hint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hint != "" && hint != addr {
		c.leader = hint
		return
	}
	c.leader = ""
	c.next++
}

// pause waits before the next round. It returns false when ctx has ended.
func pause(ctx context.Context) bool {
	t := time.NewTimer(retryPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// ConfirmedConfig returns the current configuration, read with the confirmation of a quorum, in the
// encoding of overlay.Decode. The version is 0 before the first change.
func (c *Client) ConfirmedConfig(ctx context.Context) (version uint64, raw []byte, err error) {
	out, status := call[confirmedReply](ctx, c, methodConfirmed, &emptyRequest{})
	if status != StatusCommitted {
		return 0, nil, errors.New("no control host could confirm the configuration with a quorum")
	}
	return out.Version, out.Raw, nil
}
