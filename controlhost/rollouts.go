package controlhost

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/coordination/quorum"
	"github.com/mulberrylink/mulberrylink/coordination/rollout"
)

const (
	// rolloutInterval is how often the leader decides about the rollouts that run.
	rolloutInterval = 100 * time.Millisecond
	// rolloutTimeout bounds the proposal of one step. The next pass proposes the step that is due then.
	rolloutTimeout = 400 * time.Millisecond
	// maxRolloutDuration bounds the duration of an order.
	maxRolloutDuration = 24 * time.Hour
)

var (
	errOrderInvalid   = errors.New("a rollout needs a service, a version and a positive duration of at most 24h")
	errUnknownService = errors.New("the service is not configured")
	errNoDocument     = errors.New("no configuration has been accepted yet")
)

// StartRollout starts moving the requests of a service to the upstreams of a software version. An order
// that is sent again is Done, also after its end. The result is Conflict while another one runs.
func (h *Host) StartRollout(ctx context.Context, service, to string, duration time.Duration) Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := h.replica.Load()
	if res, ok := isLeader(r.quorumHost); !ok {
		return res
	}
	if service == "" || to == "" || duration < time.Millisecond || duration > maxRolloutDuration {
		return Result{Status: Invalid, Err: errOrderInvalid}
	}
	// Without the barrier, a host that has lost its leadership would reject an order on the basis of an
	// outdated state.
	if !r.quorumHost.ReadBarrier(ctx) {
		return Result{Status: Unavailable, Err: refusal(r.quorumHost, errNotConfirmed)}
	}
	order := &document.Rollout{Service: service, To: to, Duration: duration.Milliseconds()}
	state, _ := r.machine.Current()
	switch current := state.Rollout(service); {
	case current != nil && current.SameOrder(order):
		return Result{Status: Done}
	case state.Version == 0:
		return Result{Status: Unavailable, Err: errNoDocument}
	case h.cfg.HasService != nil && !h.cfg.HasService(state, service):
		return Result{Status: Invalid, Err: errUnknownService}
	}
	return propose(ctx, r.quorumHost, document.Command{Start: order})
}

// ReadRollout performs a linearizable read of the last rollout of a service, nil if it never had one.
func (h *Host) ReadRollout(ctx context.Context, service string) (*document.Rollout, error) {
	state, err := h.ReadState(ctx)
	if err != nil {
		return nil, err
	}
	return state.Rollout(service), nil
}

// rollouts holds the controllers of the rollouts that run, by service. Only rolloutLoop uses it.
type rollouts struct {
	host        *Host
	controllers map[string]*rollout.Controller
}

// rolloutLoop follows the rollouts on every host, and decides about them on the leader.
func (h *Host) rolloutLoop(ctx context.Context) {
	r := &rollouts{host: h, controllers: make(map[string]*rollout.Controller)}
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.pass(ctx)
		}
	}
}

func (r *rollouts) pass(ctx context.Context) {
	rep := r.host.replica.Load()
	state, _ := rep.machine.Current()
	status := rep.quorumHost.Status()
	running := make(map[string]bool)
	for i := range state.Rollouts {
		order := state.Rollouts[i]
		if order.State != document.RolloutRunning {
			continue
		}
		running[order.Service] = true
		now := time.Now()
		c := r.controllers[order.Service]
		if c == nil || c.Number() != order.Number {
			c = rollout.NewController(r.host.cfg.Rollout, &order, now)
			r.controllers[order.Service] = c
		}
		c.Observe(&order, now)
		if status.Role != quorum.Leader {
			c.Follow()
			continue
		}
		r.step(ctx, rep, c, state, &order, now)
	}
	for service := range r.controllers {
		if !running[service] {
			delete(r.controllers, service)
		}
	}
}

// step proposes the next entry of a rollout, if one is due.
func (r *rollouts) step(ctx context.Context, rep *replica, c *rollout.Controller, state *document.State, order *document.Rollout, now time.Time) {
	h := r.host
	var nodes []mulberrylink.Node
	for _, n := range h.nodes.ServiceNodes(order.Service) {
		if !state.IsDomainOut(n.Domain) {
			nodes = append(nodes, n)
		}
	}
	d := c.Step(now, rollout.Input{Order: *order, Nodes: nodes, Reports: h.reports.Reports(order.Service, order.Number, now)})
	if d.Reason == rollout.ReasonNone {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	res := propose(ctx, rep.quorumHost, document.Command{Step: &d.Next})
	if d.Reason == rollout.ReasonProgress && res.Status == Done {
		return
	}
	metrics.GetOrRegisterCounter("control.rollout_steps."+d.Reason.String(), h.cfg.Registry).Inc(1)
	h.cfg.Log.Info().Str("service", order.Service).Str("to", order.To).Uint64("rollout", order.Number).Str("reason", d.Reason.String()).
		Str("state", d.Next.State.String()).Int("share", d.Next.Share).Int("before", order.Share).Int64("left", d.Next.Left).
		Uint32("results", d.Results).Uint32("bad", d.Bad).Float64("excess", d.Excess).Str("route", d.Route).
		Str("status", res.Status.String()).Err(res.Err).Msg("rollout step")
}
