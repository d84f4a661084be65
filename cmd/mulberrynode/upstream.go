package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/mulberrylink/mulberrylink"
)

// Limits of an announcement, and how often its expiry is checked.
const (
	maxSlots            = 100_000
	minTTL              = 100 * time.Millisecond
	maxTTL              = 10 * time.Minute
	expiryCheckInterval = 50 * time.Millisecond
)

// announcement is the state that the upstream announces.
type announcement struct {
	Service     string
	Addr        string
	Slots       int
	Connections int
	State       mulberrylink.UpstreamState
	Incarnation uint64
	// ExpiresAt is when the upstream counts as down unless the announcement is renewed.
	ExpiresAt time.Time
}

func (a announcement) validate() error {
	switch {
	case a.Service == "":
		return errors.New("service is missing")
	case a.Slots < 1 || a.Slots > maxSlots:
		return errors.Newf("slots %d is not in the range 1 to %d", a.Slots, maxSlots)
	case a.Connections < 0:
		return errors.Newf("connections %d is negative", a.Connections)
	case a.State == mulberrylink.UpstreamDown:
		return errors.New("state is missing")
	}
	if err := checkAddr(a.Addr); err != nil {
		return errors.Wrap(err, "invalid addr")
	}
	return nil
}

// parseState parses the state field of an announcement.
func parseState(text string) (mulberrylink.UpstreamState, error) {
	switch text {
	case "ready":
		return mulberrylink.UpstreamUp, nil
	case "cold":
		return mulberrylink.UpstreamCold, nil
	case "draining":
		return mulberrylink.UpstreamDraining, nil
	default:
		return mulberrylink.UpstreamDown, fmt.Errorf("state %q is not one of ready, cold, draining", text)
	}
}

// upstream holds the latest announcement, and marks the upstream as down when it expires.
type upstream struct {
	onChange func(announcement) // called for each change, in order
	log      *log.Logger

	mu     sync.Mutex
	latest announcement
	// published is a copy of latest for readers, which must not wait while onChange runs under mu.
	published atomic.Pointer[announcement]
}

// announce stores an announcement. A renewal that changes only the expiry isn't a change.
func (u *upstream) announce(a announcement) {
	u.mu.Lock()
	defer u.mu.Unlock()
	old := u.latest
	u.store(a)
	old.ExpiresAt = a.ExpiresAt
	if old == a {
		return
	}
	u.log.Info().Str("service", a.Service).Str("addr", a.Addr).Str("state", a.State.String()).
		Int("slots", a.Slots).Uint64("incarnation", a.Incarnation).Msg("upstream announced")
	u.onChange(a)
}

func (u *upstream) store(a announcement) {
	u.latest = a
	u.published.Store(&a)
}

// markDown marks the upstream as down until its next announcement, unless another address or
// incarnation has been announced in the meantime.
func (u *upstream) markDown(addr string, incarnation uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.latest.Addr != addr || u.latest.Incarnation != incarnation {
		return
	}
	u.setDown()
}

// setDown marks the upstream as down. The caller holds mu.
func (u *upstream) setDown() {
	if u.latest.State == mulberrylink.UpstreamDown {
		return
	}
	next := u.latest
	next.State = mulberrylink.UpstreamDown
	u.store(next)
	u.onChange(next)
}

// expire marks the upstream as down once its announcement has expired.
func (u *upstream) expire(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.latest.State == mulberrylink.UpstreamDown || now.Before(u.latest.ExpiresAt) {
		return
	}
	u.log.Warn().Str("service", u.latest.Service).Str("addr", u.latest.Addr).Msg("upstream announcement expired; marking the upstream as down")
	u.setDown()
}

func (u *upstream) expireLoop(ctx context.Context, now func() time.Time) {
	tick := time.NewTicker(expiryCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			u.expire(now())
		}
	}
}

func (u *upstream) current() announcement {
	if a := u.published.Load(); a != nil {
		return *a
	}
	return announcement{}
}

// rejectReason returns why the upstream can't run requests for the service, ReasonNone when it can.
func (u *upstream) rejectReason(service string) mulberrylink.Reason {
	cur := u.current()
	if cur.Service != service {
		return mulberrylink.ReasonNoUpstream // the entry node used an outdated record of this node
	}
	switch cur.State {
	case mulberrylink.UpstreamDown:
		return mulberrylink.ReasonNoUpstream
	case mulberrylink.UpstreamDraining:
		return mulberrylink.ReasonDraining
	default:
		return mulberrylink.ReasonNone
	}
}
