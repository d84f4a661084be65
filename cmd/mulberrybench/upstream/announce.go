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

// Announced states.
const (
	stateReady    = "ready"
	stateCold     = "cold"
	stateDraining = "draining"
)

// announceRetry is the wait after an announcement that failed, so that an
// upstream started before its node is known soon after the node is up.
const announceRetry = 200 * time.Millisecond

// announceTick is how soon a change of state is announced.
const announceTick = 50 * time.Millisecond

// announceLoop renews the announcement at a third of its time to live and
// sends it at once when the state changes.
func (s *Server) announceLoop(ctx context.Context) {
	tick := time.NewTicker(announceTick)
	defer tick.Stop()
	last, next := "", time.Now()
	for {
		state := s.state()
		if state != last || !time.Now().Before(next) {
			next = time.Now().Add(s.cfg.Node.TTL / 3)
			if err := s.announce(ctx, state); err != nil {
				s.log.Debug().Err(err).Msg("announcement failed")
				next = time.Now().Add(announceRetry)
			}
			last = state
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
		"incarnation": {strconv.FormatInt(s.started.UnixNano(), 10)},
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	target := "http://" + s.cfg.Node.Admin + "/announce"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(form.Encode()))
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	resp, err := s.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return errors.Newf("announce: node answered %s", resp.Status)
	}
	return nil
}

// state returns the state to announce.
func (s *Server) state() string {
	if s.draining.Load() {
		return stateDraining
	}
	if s.cold.active(time.Now()) && s.cfg.Cold.Announced && !s.silent.Load() {
		return stateCold
	}
	return stateReady
}
