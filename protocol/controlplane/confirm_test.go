package controlplane_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mulberrylink/mulberrylink/coordination/control"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
)

// unconfirmedLog considers itself the leader, but its read barriers fail.
type unconfirmedLog struct{ *controlplane.LocalLog }

func (unconfirmedLog) ReadBarrier(context.Context) bool { return false }

// Guards against a host that reports itself as leading, or returns an outdated history, although no
// quorum confirms it.
func TestUnconfirmedHostDoesNotAnswerAsLeader(t *testing.T) {
	is := is.New(t)
	c := newClient(t, serve(t, func(m *control.Machine) controlplane.Log {
		return unconfirmedLog{controlplane.NewLocalLog("", m)}
	}))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s, err := c.Status(ctx)
	is.NoErr(err)
	is.True(!s.Leading)
	_, err = c.History(ctx, 10)
	is.True(err != nil)
}
