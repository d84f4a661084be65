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
	// watchRetryDelay is the delay before the next control host is watched.
	watchRetryDelay = 200 * time.Millisecond
	// defaultKeyTTL is how long a claim is kept when the service doesn't configure a time.
	defaultKeyTTL = 24 * time.Hour
	// reportInterval is how often the node sends its state to a control host, reportTTL how long a
	// report is valid.
	reportInterval = 2 * time.Second
	reportTTL      = 8 * time.Second
)

// controlAdapter adapts controlplane.Client to controlHosts and dispatch.Claimer.
type controlAdapter struct {
	client *controlplane.Client
	active *activeConfig
	log    *log.Logger
}

// Confirmed implements controlHosts.
func (c *controlAdapter) Confirmed(ctx context.Context) (version uint64, data []byte, err error) {
	return c.client.ConfirmedConfig(ctx)
}

// Watch implements controlHosts. It watches one control host after the other.
func (c *controlAdapter) Watch(ctx context.Context, push func(version uint64, data []byte)) {
	for ctx.Err() == nil {
		err := c.client.Watch(ctx, c.active.version(), push)
		c.log.Debug().Err(err).Msg("configuration watch ended; watching the next control host")
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryDelay):
		}
	}
}

// LastHeard implements controlHosts.
func (c *controlAdapter) LastHeard() time.Time { return c.client.LastHeard() }

// Claim implements dispatch.Claimer.
func (c *controlAdapter) Claim(ctx context.Context, r *mulberrylink.Request) dispatch.Claim {
	reply := c.client.Claim(ctx, c.claim(r))
	claim := dispatch.Claim{State: claimStates[reply.State]}
	if claim.State == dispatch.Finished && reply.Response == nil {
		claim.State = dispatch.AnswerNotStored
	}
	if claim.State == dispatch.Finished {
		claim.Answer = &mulberrylink.Answer{
			Status: reply.Response.Status, Header: reply.Response.Header.Clone(),
			Body: io.NopCloser(bytes.NewReader(reply.Response.Body)), Length: int64(len(reply.Response.Body)),
		}
	}
	return claim
}

// claimStates maps the claim states of the control plane protocol to those of the dispatcher.
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
func (c *controlAdapter) Release(ctx context.Context, r *mulberrylink.Request) {
	if status := c.client.Release(ctx, c.claim(r)); status != controlplane.StatusCommitted {
		c.log.Warn().Str("request", r.ID).Str("status", status.String()).Msg("failed to release claim")
	}
}

// Finish implements responseRecorder.
func (c *controlAdapter) Finish(ctx context.Context, r *mulberrylink.Request, resp *mulberrylink.Answer) {
	var recorded *controlplane.Response
	if resp != nil {
		body, err := io.ReadAll(resp.Body)
		if err == nil {
			header := resp.Header.Clone()
			header.Del(front.HeaderUpstreamTime)
			recorded = &controlplane.Response{Status: resp.Status, Header: header, Body: body}
		}
	}
	if status := c.client.Finish(ctx, c.claim(r), recorded); status != controlplane.StatusCommitted {
		c.log.Warn().Str("request", r.ID).Str("status", status.String()).Msg("failed to record the response to a claimed request")
	}
}

// claim returns the claim of r. Its holder is the entry node, also on the admitting node: a request
// identifier starts with the name of the entry node.
func (c *controlAdapter) claim(r *mulberrylink.Request) controlplane.Claim {
	holder, _, _ := strings.Cut(r.ID, "/")
	return controlplane.Claim{
		Service: r.Service, Key: r.Key, Fingerprint: r.Fingerprint,
		Holder: holder, RequestID: r.ID, Deadline: time.Now().Add(c.keyTTL(r.Service)),
	}
}

// keyTTL returns how long claims of the service are kept.
func (c *controlAdapter) keyTTL(service string) time.Duration {
	if cfg := c.active.config(); cfg != nil {
		if s, ok := cfg.Service(service); ok && s.KeyTTL > 0 {
			return s.KeyTTL
		}
	}
	return defaultKeyTTL
}

// reportLoop sends the state of this node to the control hosts until ctx ends, so that operators can
// see it there.
func (n *node) reportLoop(ctx context.Context, c *controlplane.Client) {
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
	if n.availability.leaving.Load() {
		state = mulberrylink.NodeLeaving
	}
	c.Report(ctx, controlplane.NodeReport{
		Name: n.cfg.Node.Name, Domain: n.cfg.Node.Domain, Service: up.Service,
		Version: n.active.version(), State: state, Upstream: up.State,
		Load: n.admitter.Load(), ExpiresAt: time.Now().Add(reportTTL),
	})
}
