package controlplane

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

// watchIdleTimeout is the maximum time without a frame on a watch stream, three times
// keepAliveInterval.
const watchIdleTimeout = 3 * time.Second

// Watch calls onVersion with committed versions of the configuration above knownVersion, in ascending
// order, in the encoding of overlay.Decode. It returns an error when the stream is lost, receives no
// frame for 3 s, or ctx ends. A version may be skipped if a later one is committed before it is sent.
// Callers call Watch in a loop, and each call selects the next host.
func (c *Client) Watch(ctx context.Context, knownVersion uint64, onVersion func(version uint64, encoded []byte)) error {
	if len(c.hosts) == 0 {
		return errors.New("no control hosts are configured")
	}
	addr := c.hosts[int(c.watchCount.Add(1))%len(c.hosts)]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(watchIdleTimeout, cancel)
	defer idleTimer.Stop()
	conn, err := c.pool.Get(ctx, addr)
	if err != nil {
		return errors.Wrapf(err, "watch %s", addr)
	}
	defer func() { _ = conn.Close() }()
	st, err := openWatch(ctx, conn, knownVersion)
	if err != nil {
		return errors.Wrapf(err, "watch %s", addr)
	}
	for {
		var frame watchFrame
		if err := st.MsgRecv(&frame, codec.Encoding{}); err != nil {
			c.pool.Drop(addr)
			return errors.Wrapf(err, "watch %s", addr)
		}
		idleTimer.Reset(watchIdleTimeout)
		now := time.Now()
		c.lastFrameAt.Store(&now)
		if frame.Version > knownVersion {
			knownVersion = frame.Version
			onVersion(frame.Version, frame.EncodedConfig)
		}
	}
}

// LastHeard returns when the last frame of any watch stream arrived, keep-alives included. It
// returns the zero time before the first frame.
func (c *Client) LastHeard() time.Time {
	if at := c.lastFrameAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func openWatch(ctx context.Context, conn drpc.Conn, knownVersion uint64) (drpc.Stream, error) {
	st, err := conn.NewStream(ctx, methodWatch, codec.Encoding{})
	if err != nil {
		return nil, err
	}
	return st, st.MsgSend(&watchRequest{KnownVersion: knownVersion}, codec.Encoding{})
}
