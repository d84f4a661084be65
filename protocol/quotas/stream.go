package quotas

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

var (
	errNoAnswer = errors.New("asks had no answer for too long")
	errNoLeader = errors.New("the control host knows no leader")
)

// stream is the stream of a client to one control host. Its fields are guarded by the mutex of the client.
type stream struct {
	client *Client
	addr   string

	opened     bool // the first message has been sent
	unanswered int  // messages without an answer
	leads      bool // the host has answered as the leader
	pace       time.Duration
	nextAt     time.Time   // earliest time of the next message
	silence    *time.Timer // ends the stream when asks have no answer
	overdue    bool        // answerTimeout has passed since the last answer
}

// asked reports whether asks had no answer when the stream ended, or it could not be opened.
func (s *stream) asked() bool {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	return !s.opened || s.unanswered > 0
}

// run asks one control host until the stream fails or the host names the leader.
func (s *stream) run(ctx context.Context) (redirect string, err error) {
	c := s.client
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := c.cfg.Dialer.Dial(ctx, s.addr)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	c.mu.Lock()
	s.silence = time.AfterFunc(answerTimeout, func() {
		if s.isOver() {
			cancel()
			_ = conn.Close()
		}
	})
	c.mu.Unlock()
	defer s.silence.Stop()
	st, err := conn.NewStream(ctx, methodDraw, codec.Encoding{})
	if err != nil {
		return "", err
	}
	s.pace = minPace
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		defer cancel()
		s.send(ctx, st)
	}()
	// What is still sent must be part of what the client asks for again.
	defer func() { cancel(); _ = conn.Close(); <-sent }()
	for {
		var m answerMessage
		if err := st.MsgRecv(&m, codec.Encoding{}); err != nil {
			if ctx.Err() != nil {
				return "", errNoAnswer
			}
			return "", err
		}
		if m.Leader != "" {
			return m.Leader, nil
		}
		s.handle(&m)
		if !m.Leads {
			// The host may be cut off from the others for long, and another one knows the leader.
			return "", errNoLeader
		}
	}
}

// isOver reports whether the stream ends for lack of an answer. An answer may have arrived while this process
// did not run, so it gets answerGrace to be read.
func (s *stream) isOver() bool {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	if s.overdue {
		return true
	}
	s.overdue = true
	s.silence.Reset(answerGrace)
	return false
}

// handle takes an answer of a host that leads or knows no leader.
func (s *stream) handle(m *answerMessage) {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	s.unanswered--
	s.overdue = false
	if s.unanswered > 0 {
		s.silence.Reset(answerTimeout)
	} else {
		s.silence.Stop()
	}
	if !m.Leads {
		// The next message asks again for what this one asked for.
		s.leads = false
		c.cache.Reset()
		c.setLost(s.addr, errNoLeader)
		c.signal()
		return
	}
	if c.cache.Lost() || c.leader != s.addr {
		c.cfg.Log.Info().Str("host", s.addr).Msg("leader of quotas found")
	}
	s.leads, c.leader = true, s.addr
	s.pace = max(minPace, time.Duration(m.Pace)*time.Microsecond)
	c.cache.SetLost(false)
	for _, t := range c.cache.Settle(c.cfg.Now(), time.Duration(m.At), decodeGrants(m.Grants)) {
		if settled, ok := c.waiters[t]; ok {
			delete(c.waiters, t)
			close(settled)
		}
	}
	if c.cache.HasAsks() {
		c.signal()
	}
}

// send sends a message when there is something to ask for, and pace has passed since the last one.
func (s *stream) send(ctx context.Context, st drpc.Stream) {
	for {
		m, wait := s.next(time.Now())
		if m != nil {
			if err := st.MsgSend(m, codec.Encoding{}); err != nil {
				return
			}
			continue
		}
		var due <-chan time.Time
		if wait > 0 {
			due = time.After(wait)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.client.wake:
		case <-due:
		}
	}
}

// next returns the next message, or the time until one may be sent, 0 if there is nothing to ask for.
func (s *stream) next(now time.Time) (*drawMessage, time.Duration) {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !s.leads && s.unanswered > 0:
		return nil, 0 // a host that does not lead holds its answer
	case s.opened && !c.hasDemand():
		return nil, 0
	case s.leads && !c.cache.HasAsks():
		return nil, 0
	case now.Before(s.nextAt):
		return nil, s.nextAt.Sub(now)
	}
	at, asks := c.cache.Asks(c.cfg.Now())
	if s.unanswered == 0 {
		s.overdue = false
		s.silence.Reset(answerTimeout)
	}
	m := &drawMessage{Avoid: c.avoided(), At: int64(at), Asks: encodeAsks(asks)}
	if !s.opened {
		m.Node = c.node
	}
	s.opened = true
	s.unanswered++
	s.nextAt = now.Add(s.pace)
	return m, 0
}
