package controlplane

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

// watchSilence is the longest time without a frame on a watch stream: three
// keep-alives.
const watchSilence = 3 * time.Second

// Watch calls f with each committed version above have, in rising order, until
// the stream is lost, stays silent for 3 s, or ctx ends; raw is what
// overlay.Decode reads. The caller loops, and each call goes to the next host.
func (c *Client) Watch(ctx context.Context, have uint64, f func(version uint64, raw []byte)) error {
	if len(c.hosts) == 0 {
		return errors.New("no control hosts are configured")
	}
	addr := c.hosts[int(c.watchTurn.Add(1))%len(c.hosts)]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	conn, err := c.dial.Get(ctx, addr)
	if err != nil {
		return errors.Wrapf(err, "watch %s", addr)
	}
	defer func() { _ = conn.Close() }()
	st, err := openWatch(ctx, conn, have)
	if err != nil {
		return errors.Wrapf(err, "watch %s", addr)
	}
	for {
		var frame watchFrame
		if err := st.MsgRecv(&frame, codec.Encoding{}); err != nil {
			c.dial.Drop(addr)
			return errors.Wrapf(err, "watch %s", addr)
		}
		silence.Reset(watchSilence)
		c.heard.Store(time.Now().UnixNano())
		if frame.Version > have {
			have = frame.Version
			f(frame.Version, frame.Raw)
		}
	}
}

// LastHeard returns when the last frame of any watch stream arrived, keep-alives included. It
// returns the zero time before the first frame.
func (c *Client) LastHeard() time.Time {
	if ns := c.heard.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

func openWatch(ctx context.Context, conn drpc.Conn, have uint64) (drpc.Stream, error) {
	st, err := conn.NewStream(ctx, methodWatch, codec.Encoding{})
	if err != nil {
		return nil, err
	}
	return st, st.MsgSend(&watchRequest{Have: have}, codec.Encoding{})
}
