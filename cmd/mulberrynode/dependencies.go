package main

import (
	"context"
	"time"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/admission"
)

// nodeGroup is this node's view of the node group.
type nodeGroup interface {
	Nodes(service string) []mulberrylink.Node
	All() []mulberrylink.Node
	Update(change func(self *mulberrylink.Node))
	Broadcast(kind uint8, data []byte)
	BroadcastService(service string, kind uint8, data []byte)
	MaxVersion() (version uint64, addr string)
	LastHeard() time.Time
}

// permit is the permission to run one request on the upstream. It holds one slot until Done.
type permit interface {
	Sent()
	Responded()
	Done(admission.Completion)
}

// gate admits requests to the upstream up to a concurrency limit. adaptiveGate and fixedLimitGate
// implement it.
type gate interface {
	// Acquire returns a nil permit and the reason when it rejects the request.
	Acquire(ctx context.Context, r *mulberrylink.Request, alone bool) (permit, mulberrylink.Reason)
	Load() mulberrylink.Load
	// Announce applies an announcement of the upstream.
	Announce(a announcement)
	// Ramp resets the limit to its cold-start value, from which it grows again.
	Ramp()
	// Configure sets the queue timeout.
	Configure(timeout time.Duration)
}

// systemClock implements the Clock interfaces of the coordination packages.
type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// responseRecorder records the response to a claimed request. With a nil response it records only
// that the request may have run.
type responseRecorder interface {
	Finish(ctx context.Context, r *mulberrylink.Request, resp *mulberrylink.Answer)
}

// controlHosts is what the node uses of the control hosts.
type controlHosts interface {
	responseRecorder
	// Confirmed returns the newest configuration, confirmed by a quorum.
	Confirmed(ctx context.Context) (version uint64, data []byte, err error)
	// Watch calls push with newly committed versions until ctx ends.
	Watch(ctx context.Context, push func(version uint64, data []byte))
	// LastHeard returns when a control host was last heard from.
	LastHeard() time.Time
}
