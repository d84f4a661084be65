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
	// attemptTimeout bounds one attempt at one host, so that an unresponsive host costs less time
	// than an election.
	attemptTimeout = 700 * time.Millisecond
	// callTimeout bounds all attempts of a call. It allows for an election of 1.5 s and an
	// unresponsive host.
	callTimeout = 3 * time.Second
	// retryDelay is the delay after each host has failed once.
	retryDelay = 50 * time.Millisecond
)

// ConnPool provides connections to control hosts. *rpc.Pool implements it.
type ConnPool interface {
	// Get returns an idle or new connection to addr.
	Get(ctx context.Context, addr string) (drpc.Conn, error)
	// Put returns a connection whose last call ended cleanly to the pool.
	Put(addr string, conn drpc.Conn)
	// Drop closes the idle connections to addr after one of them was unresponsive.
	Drop(addr string)
}

// Client calls the control hosts. It is safe for concurrent use.
type Client struct {
	pool        ConnPool
	hosts       []string
	lastFrameAt atomic.Pointer[time.Time] // arrival of the last watch frame

	// Watch and Report each select the hosts round-robin by the count of their calls.
	watchCount  atomic.Uint32
	reportCount atomic.Uint32

	mu       sync.Mutex
	nextHost int
	leader   string // empty if unknown
}

// NewClient returns a client of the control hosts at the given addresses.
func NewClient(pool ConnPool, hosts []string) *Client {
	return &Client{pool: pool, hosts: hosts}
}

// call retries a method until a host has served it, callTimeout has elapsed or ctx ends. The status is
// StatusCommitted, StatusUnavailable if no attempt can have taken effect, or StatusIndeterminate.
func call[T any, P interface {
	*T
	reply
}](ctx context.Context, c *Client, method string, in any,
) (*T, Status) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status := StatusUnavailable
	for failures := 1; ; failures++ {
		addr := c.selectHost()
		out := new(T)
		switch attemptStatus := c.attempt(ctx, addr, method, in, P(out)); attemptStatus {
		case StatusCommitted:
			return out, attemptStatus
		case StatusIndeterminate:
			status = attemptStatus
		default: // the attempt had no effect
		}
		c.recordFailure(addr, P(out).header().Leader)
		if failures%max(len(c.hosts), 1) == 0 && !waitRetryDelay(ctx) || ctx.Err() != nil {
			return out, status
		}
	}
}

// attempt calls a method of one host once.
func (c *Client) attempt(ctx context.Context, addr, method string, in any, out reply) Status {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	conn, err := c.pool.Get(ctx, addr)
	if err != nil {
		return StatusUnavailable // nothing was sent
	}
	if err := conn.Invoke(ctx, method, codec.Encoding{}, in, out); err != nil {
		_ = conn.Close()
		if ctx.Err() != nil {
			c.pool.Drop(addr) // the other connections to the host share its network path
		}
		return StatusIndeterminate
	}
	c.pool.Put(addr, conn)
	return out.header().Status
}

// selectHost returns the leader if it is known, and otherwise the next host in round-robin order.
func (c *Client) selectHost() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	if len(c.hosts) == 0 {
		return ""
	}
	return c.hosts[c.nextHost%len(c.hosts)]
}

// recordFailure directs the next attempt to the leader that the failed host named, or to the next
// host if it named none.
func (c *Client) recordFailure(addr, leaderHint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leaderHint != "" && leaderHint != addr {
		c.leader = leaderHint
		return
	}
	c.leader = ""
	c.nextHost++
}

// waitRetryDelay waits for retryDelay. It returns false if ctx ends first.
func waitRetryDelay(ctx context.Context) bool {
	t := time.NewTimer(retryDelay)
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
func (c *Client) ConfirmedConfig(ctx context.Context) (version uint64, encoded []byte, err error) {
	out, status := call[confirmedReply](ctx, c, methodConfirmed, &emptyRequest{})
	if status != StatusCommitted {
		return 0, nil, errors.New("no control host could confirm the configuration with a quorum")
	}
	return out.Version, out.EncodedConfig, nil
}
