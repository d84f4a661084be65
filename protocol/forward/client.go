package forward

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

// Pool provides connections to other nodes.
type Pool interface {
	// Idle returns an idle connection to addr, if there is one.
	Idle(addr string) (drpc.Conn, bool)
	// Dial returns a new connection.
	Dial(ctx context.Context, addr string) (drpc.Conn, error)
	// Put returns a connection to the pool. Its last call must have ended cleanly.
	Put(addr string, conn drpc.Conn)
	// Drop closes the idle connections to addr.
	Drop(addr string)
}

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	Pool Pool
	// OnResolved is called with the outcome and reason of each exchange that had
	// to be resolved over a new connection. It may be nil.
	OnResolved func(mulberrylink.Outcome, mulberrylink.Reason)
}

// Client forwards requests from the entry node.
type Client struct {
	cfg ClientConfig
}

// NewClient returns a client that takes its connections from cfg.Pool.
func NewClient(cfg ClientConfig) *Client { return &Client{cfg: cfg} }

// Forward runs r on the upstream beside n, as the given attempt of the request. If alone
// is true, the upstream runs no other request at the same time. A request without Replay
// must not be forwarded again once its body was read.
func (c *Client) Forward(ctx context.Context, n mulberrylink.Node, r *mulberrylink.Request, attempt int, alone bool) mulberrylink.Result {
	x, err := c.openExchange(ctx, n)
	if err != nil {
		return notRunResult(n, connectReason(ctx))
	}
	x.id, x.attempt, x.deadline = r.ID, attempt, r.Deadline
	res := x.run(ctx, r, alone)
	res.Node = n.Name
	return res
}

// Config returns the version of the committed configuration of n, and the
// configuration itself if it is newer than version.
func (c *Client) Config(ctx context.Context, n mulberrylink.Node, version uint64) (newest uint64, data []byte, err error) {
	var reply configReply
	err = c.invoke(ctx, n.Addr, methodConfig, &configRequest{Version: version}, &reply)
	return reply.Version, reply.Data, err
}

// invoke makes a unary call on a new connection, because an idle one may have
// stopped working unnoticed and would delay the call.
func (c *Client) invoke(ctx context.Context, addr, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, inactivityTimeout)
	defer cancel()
	conn, err := c.cfg.Pool.Dial(ctx, addr)
	if err != nil {
		return err
	}
	if err := conn.Invoke(ctx, method, codec.Encoding{}, in, out); err != nil {
		go closeConn(conn)
		return errors.Wrapf(err, "call %s on %s", method, addr)
	}
	c.cfg.Pool.Put(addr, conn)
	return nil
}

// openExchange opens the stream of an exchange. It doesn't send the request, so
// that an error proves that the request was not run.
func (c *Client) openExchange(ctx context.Context, n mulberrylink.Node) (*clientExchange, error) {
	if conn, ok := c.cfg.Pool.Idle(n.Addr); ok {
		st, err := conn.NewStream(context.Background(), methodExchange, codec.Encoding{})
		if err == nil {
			return newClientExchange(c, n, conn, st, true), nil
		}
		go closeConn(conn)
	}
	conn, err := c.cfg.Pool.Dial(ctx, n.Addr)
	if err != nil {
		return nil, err
	}
	st, err := conn.NewStream(context.Background(), methodExchange, codec.Encoding{})
	if err != nil {
		go closeConn(conn)
		return nil, errors.Wrapf(err, "open exchange on %s", n.Addr)
	}
	return newClientExchange(c, n, conn, st, false), nil
}

func closeConn(conn drpc.Conn) { _ = conn.Close() }

func connectReason(ctx context.Context) mulberrylink.Reason {
	if ctx.Err() != nil {
		return contextReason(ctx)
	}
	return mulberrylink.ReasonConnect
}

func contextReason(ctx context.Context) mulberrylink.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return mulberrylink.ReasonDeadline
	}
	return mulberrylink.ReasonCanceled
}

func notRunResult(n mulberrylink.Node, reason mulberrylink.Reason) mulberrylink.Result {
	return mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: reason, Node: n.Name}
}

func unknownResult(reason mulberrylink.Reason) mulberrylink.Result {
	return mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: reason}
}

// newOpenFrame returns the first frame of an exchange. A body that can be replayed
// and fits into one chunk is sent in this frame.
func newOpenFrame(r *mulberrylink.Request, body io.Reader, attempt int, alone bool) (*frame, error) {
	f := &frame{Kind: frameOpen, Open: newOpenMessage(r, attempt, alone, time.Now())}
	if body == nil {
		f.Open.Length = 0
		f.Last = true
		return f, nil
	}
	if r.Replay == nil || r.Length < 0 || r.Length > chunkBytes {
		return f, nil
	}
	f.Data = make([]byte, r.Length)
	if _, err := io.ReadFull(body, f.Data); err != nil {
		return nil, errors.Wrap(err, "read buffered body")
	}
	f.Last = true
	return f, nil
}
