package main

import (
	"context"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/admission"
)

// group is the node group as this node sees it.
type nodeGroup interface {
	Nodes(service string) []mulberrylink.Node
	All() []mulberrylink.Node
	Update(change func(self *mulberrylink.Node))
	Broadcast(kind uint8, data []byte)
	BroadcastService(service string, kind uint8, data []byte)
	MaxVersion() (version uint64, addr string)
	LastHeard() time.Time
}

// ticket is a place on the upstream.
type permit interface {
	Sent()
	Responded()
	Done(admission.Completion)
}

// gate admits requests to the upstream.
type gate interface {
	Acquire(ctx context.Context, r *mulberrylink.Request, alone bool) (permit, mulberrylink.Reason)
	Load() mulberrylink.Load
	// Announce takes over what the upstream says about itself.
	Announce(a announcement)
	// Ramp makes the limit grow from its cold value again.
	Ramp()
	// Configure sets the longest wait for a place.
	Configure(timeout time.Duration)
}

// systemClock implements the clocks of the coordination packages.
type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// answerRecorder records the first answer of a claimed request. With a nil
// answer it records only that the request may have run.
type responseRecorder interface {
	Finish(ctx context.Context, r *mulberrylink.Request, resp *mulberrylink.Answer)
}

// controlLink is the connection to the control hosts.
type controlHosts interface {
	responseRecorder
	// Confirmed returns the newest version that the quorum confirms.
	Confirmed(ctx context.Context) (version uint64, data []byte, err error)
	// Watch calls push for each committed version until ctx ends.
	Watch(ctx context.Context, push func(version uint64, data []byte))
	// LastHeard is when a control host was last heard from.
	LastHeard() time.Time
}
