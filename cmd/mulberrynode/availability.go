package main

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink"
)

const (
	// isolationTimeout is how long a node may hear from no peer and no control host before it
	// rejects new requests: its failure domain may have been taken out of service in the meantime.
	isolationTimeout = 3 * time.Second
	// availabilityCheckInterval is how often watchReturns checks for a return to service.
	availabilityCheckInterval = 100 * time.Millisecond
)

// availability decides whether the node may accept new requests.
type availability struct {
	domain   string
	active   *activeConfig
	upstream *upstream
	// lastHeard returns when a control host or peer was last heard from. It is nil when none is
	// configured.
	lastHeard func() time.Time
	now       func() time.Time
	log       *log.Logger
	leaving   atomic.Bool

	mu             sync.Mutex
	prevHeard      time.Time // result of lastHeard at the previous check
	heardChangedAt time.Time // when prevHeard was first returned, with the monotonic clock
}

// entryRejectReason returns why requests of callers are rejected, ReasonNone while they are
// accepted. A node whose failure domain is out of service still forwards to other domains.
func (a *availability) entryRejectReason() mulberrylink.Reason {
	switch {
	case a.leaving.Load():
		return mulberrylink.ReasonLeaving
	case a.active.config() == nil:
		return mulberrylink.ReasonNoConfig
	default:
		return mulberrylink.ReasonNone
	}
}

// admitRejectReason returns why requests for the service are not admitted to the local upstream,
// ReasonNone while they are.
func (a *availability) admitRejectReason(service string) mulberrylink.Reason {
	if reason := a.entryRejectReason(); reason != mulberrylink.ReasonNone {
		return reason
	}
	if reason := a.outOfServiceReason(); reason != mulberrylink.ReasonNone {
		return reason
	}
	return a.upstream.rejectReason(service)
}

// outOfServiceReason returns ReasonDomainOut while the failure domain is out of service,
// ReasonIsolated while the node is isolated, and ReasonNone otherwise.
func (a *availability) outOfServiceReason() mulberrylink.Reason {
	switch {
	case a.active.config().DomainOut(a.domain):
		return mulberrylink.ReasonDomainOut
	case a.isolated():
		return mulberrylink.ReasonIsolated
	default:
		return mulberrylink.ReasonNone
	}
}

// isolated reports whether nothing has been heard for longer than isolationTimeout. It measures with
// the monotonic clock since the result of lastHeard last changed, because the wall clock of a host
// may jump.
func (a *availability) isolated() bool {
	if a.lastHeard == nil {
		return false
	}
	heardAt, now := a.lastHeard(), a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !heardAt.Equal(a.prevHeard) {
		a.prevHeard = heardAt
		a.heardChangedAt = now
	}
	return now.Sub(a.heardChangedAt) > isolationTimeout
}

// watchReturns calls onReturn whenever the node returns to service, until ctx ends.
func (a *availability) watchReturns(ctx context.Context, onReturn func()) {
	tick := time.NewTicker(availabilityCheckInterval)
	defer tick.Stop()
	previous := mulberrylink.ReasonNone
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if a.active.config() == nil {
			continue
		}
		current := a.outOfServiceReason()
		if current == previous {
			continue
		}
		a.log.Info().Str("from", previous.String()).Str("to", current.String()).Msg("availability changed")
		if current == mulberrylink.ReasonNone {
			onReturn()
		}
		previous = current
	}
}
