package upstream

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// States that an upstream announces to its node.
const (
	stateReady    = "ready"
	stateCold     = "cold"
	stateDraining = "draining"
)

// announceRetryDelay is the delay after a failed announcement. It is short so that the node knows
// an upstream that started first soon after it is up itself.
const announceRetryDelay = 200 * time.Millisecond

// stateCheckInterval bounds the delay until a changed state is announced.
const stateCheckInterval = 50 * time.Millisecond

// announceLoop renews the announcement after a third of its TTL, and immediately when the state
// changes.
func (s *Server) announceLoop(ctx context.Context) {
	tick := time.NewTicker(stateCheckInterval)
	defer tick.Stop()
	lastState, nextAt := "", time.Now()
	for {
		state := s.announcedState()
		if state != lastState || !time.Now().Before(nextAt) {
			nextAt = time.Now().Add(s.cfg.Node.TTL / 3)
			if err := s.announce(ctx, state); err != nil {
				s.log.Debug().Err(err).Msg("announcement failed; retrying")
				nextAt = time.Now().Add(announceRetryDelay)
			}
			lastState = state
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *Server) announce(ctx context.Context, state string) error {
	form := url.Values{
		"service":     {s.cfg.Upstream.Service},
		"addr":        {s.cfg.Listen.HTTP},
		"slots":       {strconv.Itoa(s.cfg.Upstream.Slots)},
		"connections": {strconv.Itoa(s.cfg.Upstream.Connections)},
		"state":       {state},
		"ttl":         {strconv.FormatInt(s.cfg.Node.TTL.Milliseconds(), 10)},
		"incarnation": {strconv.FormatInt(s.started.UnixNano(), 10)}, //nolint:forbidigo // upstreams announce their start time
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	target := "http://" + s.cfg.Node.Admin + "/announce"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(form.Encode()))
	if err != nil {
		return errors.Wrap(err, "build announcement")
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	resp, err := s.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send announcement")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return errors.Newf("node rejected the announcement with status %s", resp.Status)
	}
	return nil
}

// announcedState returns the state to announce.
func (s *Server) announcedState() string {
	if s.draining.Load() {
		return stateDraining
	}
	if s.cold.active(time.Now()) && s.cfg.Cold.Announced && !s.hideCold.Load() {
		return stateCold
	}
	return stateReady
}
