package main

import (
	"bytes"
	"context"
	"io"
	"strings"
	"time"

	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/dispatch"
	"github.com/mulberrylink/mulberrylink/protocol/controlplane"
	"github.com/mulberrylink/mulberrylink/transport/front"
)

const (
	// watchPause is the pause before the next control host is watched.
	watchPause = 200 * time.Millisecond
	// defaultKeyTTL is how long a claim is kept when the service names no
	// time.
	defaultKeyTTL = 24 * time.Hour
	// reportInterval is how often the node reports to the control hosts, and
	// reportTTL when an old report expires.
	reportInterval = 2 * time.Second
	reportTTL      = 8 * time.Second
)

// hostLink connects the node to the control hosts. It implements controlLink
// and dispatch.Claimer.
type hostLink struct {
	client *controlplane.Client
	active *active
	log    *log.Logger
}

// Confirmed implements controlLink.
func (h *hostLink) Confirmed(ctx context.Context) (version uint64, data []byte, err error) {
	return h.client.ConfirmedConfig(ctx)
}

// Watch implements controlLink.
func (h *hostLink) Watch(ctx context.Context, push func(version uint64, data []byte)) {
	for ctx.Err() == nil {
		err := h.client.Watch(ctx, h.active.version(), push)
		h.log.Debug().Err(err).Msg("watch ended")
		select {
		case <-ctx.Done():
		case <-time.After(watchPause):
		}
	}
}

// LastHeard implements controlLink.
func (h *hostLink) LastHeard() time.Time { return h.client.LastHeard() }

// Claim implements dispatch.Claimer.
func (h *hostLink) Claim(ctx context.Context, r *mulberrylink.Request) dispatch.Claim {
	reply := h.client.Claim(ctx, h.claim(r))
	c := dispatch.Claim{State: claimStates[reply.State]}
	if c.State == dispatch.Finished && reply.Response == nil {
		c.State = dispatch.AnswerNotStored
	}
	if c.State == dispatch.Finished {
		c.Answer = &mulberrylink.Answer{
			Status: reply.Response.Status, Header: reply.Response.Header.Clone(),
			Body: io.NopCloser(bytes.NewReader(reply.Response.Body)), Length: int64(len(reply.Response.Body)),
		}
	}
	return c
}

var claimStates = map[controlplane.ClaimState]dispatch.ClaimState{
	controlplane.Granted:       dispatch.Granted,
	controlplane.Pending:       dispatch.Pending,
	controlplane.Finished:      dispatch.Finished,
	controlplane.Ran:           dispatch.AnswerNotStored,
	controlplane.Mismatch:      dispatch.Conflict,
	controlplane.Unavailable:   dispatch.Unavailable,
	controlplane.Indeterminate: dispatch.Indeterminate,
}

// Release implements dispatch.Claimer.
func (h *hostLink) Release(ctx context.Context, r *mulberrylink.Request) {
	if s := h.client.Release(ctx, h.claim(r)); s != controlplane.StatusCommitted {
		h.log.Warn().Str("request", r.ID).Str("status", s.String()).Msg("claim not released")
	}
}

// Finish implements answerRecorder.
func (h *hostLink) Finish(ctx context.Context, r *mulberrylink.Request, a *mulberrylink.Answer) {
	var first *controlplane.Response
	if a != nil {
		body, err := io.ReadAll(a.Body)
		if err == nil {
			header := a.Header.Clone()
			header.Del(front.HeaderUpstreamTime)
			first = &controlplane.Response{Status: a.Status, Header: header, Body: body}
		}
	}
	if s := h.client.Finish(ctx, h.claim(r), first); s != controlplane.StatusCommitted {
		h.log.Warn().Str("request", r.ID).Str("status", s.String()).Msg("first answer not recorded")
	}
}

// claim names the claim of r in the same way on the entry node and on the
// admitting node: the request identifier starts with the entry node's name.
func (h *hostLink) claim(r *mulberrylink.Request) controlplane.Claim {
	holder, _, _ := strings.Cut(r.ID, "/")
	return controlplane.Claim{
		Service: r.Service, Key: r.Key, Fingerprint: r.Fingerprint,
		Holder: holder, RequestID: r.ID, Deadline: time.Now().Add(h.keyTTL(r.Service)),
	}
}

func (h *hostLink) keyTTL(service string) time.Duration {
	if cfg := h.active.config(); cfg != nil {
		if s, ok := cfg.Service(service); ok && s.KeyTTL > 0 {
			return s.KeyTTL
		}
	}
	return defaultKeyTTL
}

// report tells the control hosts about this node until ctx ends, for
// operators.
func (n *node) report(ctx context.Context, c *controlplane.Client) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		n.reportOnce(ctx, c)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (n *node) reportOnce(ctx context.Context, c *controlplane.Client) {
	up := n.upstream.current()
	state := mulberrylink.NodeReady
	if n.standing.leaving.Load() {
		state = mulberrylink.NodeLeaving
	}
	c.Report(ctx, controlplane.NodeReport{
		Name: n.cfg.Node.Name, Domain: n.cfg.Node.Domain, Service: up.Service,
		Version: n.active.version(), State: state, Upstream: up.State,
		Load: n.admitter.Load(), ExpiresAt: time.Now().Add(reportTTL),
	})
}
