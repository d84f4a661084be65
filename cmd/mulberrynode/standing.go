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
	isolationTime = 3 * time.Second
	// standingInterval is how often the standing is looked at for a return.
	standingInterval = 100 * time.Millisecond
)

// standing tells whether the node may take new work.
type standing struct {
	domain   string
	active   *active
	upstream *upstream
	// heard is when any control host or peer was last heard from. It is nil
	// when none is configured.
	heard   func() time.Time
	now     func() time.Time
	log     *log.Logger
	leaving atomic.Bool

	mu     sync.Mutex
	last   time.Time // as reported
	lastAt time.Time // when that value was first seen
}

// entry returns the reason to refuse callers. A node whose domain is out still
// forwards to other domains.
func (s *standing) entry() mulberrylink.Reason {
	switch {
	case s.leaving.Load():
		return mulberrylink.ReasonLeaving
	case s.active.config() == nil:
		return mulberrylink.ReasonNoConfig
	default:
		return mulberrylink.ReasonNone
	}
}

// admit returns the reason to refuse work of a service for the local upstream.
func (s *standing) admit(service string) mulberrylink.Reason {
	if reason := s.entry(); reason != mulberrylink.ReasonNone {
		return reason
	}
	if reason := s.place(); reason != mulberrylink.ReasonNone {
		return reason
	}
	return s.upstream.refuse(service)
}

// place returns the reason that lies in the failure domain or the network.
func (s *standing) place() mulberrylink.Reason {
	switch {
	case s.active.config().DomainOut(s.domain):
		return mulberrylink.ReasonDomainOut
	case s.isolated():
		return mulberrylink.ReasonIsolated
	default:
		return mulberrylink.ReasonNone
	}
}

// isolated notes on the monotonic clock when the time of the last message
// changes, because the wall clocks of hosts jump.
func (s *standing) isolated() bool {
	if s.heard == nil {
		return false
	}
	last, now := s.heard(), s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !last.Equal(s.last) {
		s.last = last
		s.lastAt = now
	}
	return now.Sub(s.lastAt) > isolationTime
}

// watch calls back whenever the node may take work again, until ctx ends.
func (s *standing) watch(ctx context.Context, back func()) {
	tick := time.NewTicker(standingInterval)
	defer tick.Stop()
	was := mulberrylink.ReasonNone
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.active.config() == nil {
			continue
		}
		now := s.place()
		if now == was {
			continue
		}
		s.log.Info().Str("from", was.String()).Str("to", now.String()).Msg("standing changed")
		if now == mulberrylink.ReasonNone {
			back()
		}
		was = now
	}
}
