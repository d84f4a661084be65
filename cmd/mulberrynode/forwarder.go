package main

import (
	"context"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/protocol/forward"
)

// forwarder runs an attempt on the chosen node: directly when it is this node, over RPC otherwise.
type forwarder struct {
	localName string
	local     *admitter
	client    *forward.Client
}

// Forward implements dispatch.Forwarder.
func (f *forwarder) Forward(ctx context.Context, n mulberrylink.Node, r *mulberrylink.Request, attempt int, alone bool) mulberrylink.Result {
	if n.Name != f.localName {
		return f.client.Forward(ctx, n, r, attempt, alone)
	}
	localReq := *r
	if r.Replay != nil {
		body, err := r.Replay()
		if err != nil {
			return mulberrylink.Result{
				Outcome: mulberrylink.NotRun, Reason: mulberrylink.ReasonBadRequest, Node: n.Name,
			}
		}
		localReq.Body = body
	}
	res := f.local.Run(ctx, &localReq, alone, func() {})
	res.Node = n.Name
	res.Load = f.local.Load()
	return res
}
