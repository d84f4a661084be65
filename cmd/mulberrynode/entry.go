package main

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/protocol/forward"
)

// forwarder runs a request on a node: on this one directly, on another one
// over rpc.
type forwarder struct {
	self   string
	local  *admitter
	client *forward.Client
}

// Forward implements dispatch.Forwarder.
func (f *forwarder) Forward(ctx context.Context, n mulberrylink.Node, r *mulberrylink.Request, attempt int, alone bool) mulberrylink.Result {
	if n.Name != f.self {
		return f.client.Forward(ctx, n, r, attempt, alone)
	}
	own := *r
	if r.Replay != nil {
		body, err := r.Replay()
		if err != nil {
			return mulberrylink.Result{
				Outcome: mulberrylink.NotRun, Reason: mulberrylink.ReasonBadRequest, Node: n.Name,
			}
		}
		own.Body = body
	}
	res := f.local.Run(ctx, &own, alone, func() {})
	res.Node = n.Name
	res.Load = f.local.Load()
	return res
}

// Resolve implements dispatch.Forwarder. A request of this node's own has no
// connection that could go silent.
func (f *forwarder) Resolve(ctx context.Context, n mulberrylink.Node, id string, attempt int) mulberrylink.Result {
	if n.Name == f.self {
		return mulberrylink.Result{Outcome: mulberrylink.Unknown, Reason: mulberrylink.ReasonLost, Node: n.Name}
	}
	return f.client.Resolve(ctx, n, id, attempt)
}

// maxDirectTries bounds the tries of a basicDispatcher.
const maxDirectTries = 3

// basicDispatcher chooses nodes by a baseline policy and repeats what was not
// run on another node.
type basicDispatcher struct {
	policy string
	group  group
	fwd    *forwarder
	turn   atomic.Uint64
}

// Do runs r on one of the nodes of its service.
func (d *basicDispatcher) Do(ctx context.Context, r *mulberrylink.Request) mulberrylink.Result {
	res := mulberrylink.Result{Outcome: mulberrylink.NotRun, Reason: mulberrylink.ReasonNoUpstream}
	nodes := usable(d.group.Nodes(r.Service))
	for try := range min(maxDirectTries, len(nodes)) {
		i := d.pick(len(nodes))
		n := nodes[i]
		nodes = append(nodes[:i:i], nodes[i+1:]...)
		res = d.fwd.Forward(ctx, n, r, try, false)
		if res.Outcome != mulberrylink.NotRun || ctx.Err() != nil || bodyStarted(r) {
			return res
		}
		r.Tries++
	}
	return res
}

func (d *basicDispatcher) pick(n int) int {
	if d.policy == "roundrobin" {
		return int(d.turn.Add(1) % uint64(n))
	}
	return rand.IntN(n)
}

func usable(nodes []mulberrylink.Node) []mulberrylink.Node {
	out := make([]mulberrylink.Node, 0, len(nodes))
	for _, n := range nodes {
		if n.Usable() {
			out = append(out, n)
		}
	}
	return out
}

// bodyStarted reports whether the streamed body of r was read: it cannot be
// sent again.
func bodyStarted(r *mulberrylink.Request) bool {
	s, ok := r.Body.(interface{ Started() bool })
	return ok && s.Started()
}
