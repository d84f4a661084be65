package controlhost

import (
	"context"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrylink/mulberrylink/coordination/document"
)

// confirmedState implements feed.HubConfig.ConfirmedState. The state is that of the replica that the read
// was made with: another one may take its place meanwhile.
func (h *Host) confirmedState(ctx context.Context) (*document.State, bool) {
	r := h.replica.Load()
	if len(r.quorumHost.Status().Members) == 0 || !r.quorumHost.ReadBarrier(ctx) {
		metrics.GetOrRegisterCounter("control.lease_reads_failed", h.cfg.Registry).Inc(1)
		return nil, false
	}
	metrics.GetOrRegisterCounter("control.lease_reads", h.cfg.Registry).Inc(1)
	state, _ := r.machine.Current()
	return state, true
}
