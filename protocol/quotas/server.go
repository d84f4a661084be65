package quotas

import (
	"context"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink/coordination/quota"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

// Leader is the control host that a Server runs on.
type Leader interface {
	// Draw answers the asks of a node. It returns false if this host is not the leader, or its
	// leadership could not be confirmed.
	Draw(ctx context.Context, node uint32, asks []quota.Ask) ([]quota.Grant, bool)
	// LeaderAddr returns the address of the leader. It is empty if this host knows none, or is the
	// leader.
	LeaderAddr() string
}

// Server answers the asks of nodes on one control host.
type Server struct {
	leader   Leader
	lastNode atomic.Uint32
	streams  atomic.Int64
}

// NewServer returns a server.
func NewServer(l Leader) *Server { return &Server{leader: l} }

// Method returns the name and the handler of the RPC method.
func (s *Server) Method() (string, func(drpc.Stream) error) { return methodDraw, s.serve }

func (s *Server) serve(stream drpc.Stream) error {
	node := s.lastNode.Add(1)
	s.streams.Add(1)
	defer s.streams.Add(-1)
	for {
		var m drawMessage
		if err := stream.MsgRecv(&m, codec.Encoding{}); err != nil {
			return err
		}
		answer := s.answer(stream.Context(), node, &m)
		if err := stream.MsgSend(answer, codec.Encoding{}); err != nil {
			return err
		}
	}
}

// answer waits for up to leaderWait for a leader that the node has not just failed to reach, and then names
// that one again: it may have been slow only once, or the node itself.
func (s *Server) answer(ctx context.Context, node uint32, m *drawMessage) *answerMessage {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	ticker := time.NewTicker(leaderPoll)
	defer ticker.Stop()
	asks := decodeAsks(m.Asks)
	for {
		if grants, ok := s.leader.Draw(ctx, node, asks); ok {
			return &answerMessage{At: m.At, Leads: true, Grants: encodeGrants(grants), Pace: s.pace().Microseconds()}
		}
		addr := s.leader.LeaderAddr()
		if addr != "" && addr != m.Avoid {
			return &answerMessage{At: m.At, Leader: addr}
		}
		select {
		case <-ctx.Done():
			return &answerMessage{At: m.At, Leader: addr}
		case <-ticker.C:
		}
	}
}

// pace returns the minimum time between two messages of a node.
func (s *Server) pace() time.Duration {
	return minPace + time.Duration(s.streams.Load())*pacePerStream
}
