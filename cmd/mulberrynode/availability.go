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
	// isolationTime is how long a node may hear from nobody before it refuses
	// new work: its failure domain may have been taken out of service.
	isolationTimeout = 3 * time.Second
	// standingInterval is how often the standing is looked at for a return.
	availabilityCheckInterval = 100 * time.Millisecond
)

// standing tells whether the node may take new work.
type availability struct {
	domain   string
	active   *activeConfig
	upstream *upstream
	// heard is when any control host or peer was last heard from. It is nil
	// when none is configured.
	lastHeard func() time.Time
	now       func() time.Time
	log       *log.Logger
	leaving   atomic.Bool

	mu             sync.Mutex
	prevHeard      time.Time // as reported
	heardChangedAt time.Time // when that value was first seen
}

// entry returns the reason to refuse callers. A node whose domain is out still
// forwards to other domains.
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

// admit returns the reason to refuse work of a service for the local upstream.
func (a *availability) admitRejectReason(service string) mulberrylink.Reason {
	if reason := a.entryRejectReason(); reason != mulberrylink.ReasonNone {
		return reason
	}
	if reason := a.outOfServiceReason(); reason != mulberrylink.ReasonNone {
		return reason
	}
	return a.upstream.rejectReason(service)
}

// place returns the reason that lies in the failure domain or the network.
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

// isolated notes on the monotonic clock when the time of the last message
// changes, because the wall clocks of hosts jump.
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

// watch calls back whenever the node may take work again, until ctx ends.
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
		a.log.Info().Str("from", previous.String()).Str("to", current.String()).Msg("standing changed")
		if current == mulberrylink.ReasonNone {
			onReturn()
		}
		previous = current
	}
}
