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

// Pool gives connections to other nodes.
type Pool interface {
	// Idle returns a connection that was used before, if there is one.
	Idle(addr string) (drpc.Conn, bool)
	// Dial returns a new connection.
	Dial(ctx context.Context, addr string) (drpc.Conn, error)
	// Put keeps a connection whose last call ended cleanly.
	Put(addr string, conn drpc.Conn)
	// Drop closes the idle connections to addr.
	Drop(addr string)
}

// ClientConfig sets up a Client.
type ClientConfig struct {
	Pool Pool
	// OnResolved is called with the outcome and reason of each exchange that had
	// to be resolved over a new connection. It may be nil.
	OnResolved func(mulberrylink.Outcome, mulberrylink.Reason)
}

// Client is the entry node's side.
type Client struct {
	cfg ClientConfig
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client { return &Client{cfg: cfg} }

// Forward runs r on the upstream beside n. A request whose body is streamed
// must not be forwarded again once its body was read.
func (c *Client) Forward(ctx context.Context, n mulberrylink.Node, r *mulberrylink.Request, attempt int, alone bool) mulberrylink.Result {
	x, err := c.connect(ctx, n)
	if err != nil {
		return notRun(n, connectReason(ctx))
	}
	x.id, x.attempt, x.deadline = r.ID, attempt, r.Deadline
	res := x.run(ctx, r, alone)
	res.Node = n.Name
	return res
}

// Config returns the committed configuration of n when it is newer than
// version. Data is empty otherwise.
func (c *Client) Config(ctx context.Context, n mulberrylink.Node, version uint64) (newest uint64, data []byte, err error) {
	var reply configReply
	err = c.invoke(ctx, n.Addr, methodConfig, &configRequest{Version: version}, &reply)
	return reply.Version, reply.Data, err
}

// invoke makes a unary call on a new connection, so that a connection that
// went silent while it was idle cannot delay it.
func (c *Client) invoke(ctx context.Context, addr, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, silence)
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

// connect opens the stream of an exchange. Nothing that the upstream could run
// has been sent when it returns.
func (c *Client) connect(ctx context.Context, n mulberrylink.Node) (*call, error) {
	if conn, ok := c.cfg.Pool.Idle(n.Addr); ok {
		st, err := conn.NewStream(context.Background(), methodExchange, codec.Encoding{})
		if err == nil {
			return newCall(c, n, conn, st, true), nil
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
	return newCall(c, n, conn, st, false), nil
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

func notRun(n mulberrylink.Node, reason mulberrylink.Reason) mulberrylink.Result {
	return mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: reason, Node: n.Name}
}

func unknown(reason mulberrylink.Reason) mulberrylink.Result {
	return mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: reason}
}

// openFrame returns the first frame. A short body that is in memory travels
// with it.
func openFrame(r *mulberrylink.Request, body io.Reader, attempt int, alone bool) (*frame, error) {
	f := &frame{Kind: frameOpen, Open: newOpen(r, attempt, alone, time.Now())}
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
