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

// Pool holds connections to other control hosts.
type Pool interface {
	Get(ctx context.Context, addr string) (drpc.Conn, error)
	Put(addr string, conn drpc.Conn)
}

// Server answers the asks of nodes on one control host.
type Server struct {
	leader  Leader
	pool    Pool
	streams atomic.Int64
}

// NewServer returns a server. It relays asks to the leader over connections of the pool.
func NewServer(l Leader, p Pool) *Server { return &Server{leader: l, pool: p} }

// Method returns the name and the handler of the RPC method for nodes.
func (s *Server) Method() (string, func(drpc.Stream) error) { return methodDraw, s.serve }

// RelayMethod returns the name and the handler of the RPC method for other control hosts.
func (s *Server) RelayMethod() (string, func(drpc.Stream) error) { return methodRelay, s.serveRelay }

// serveRelay answers one relayed message.
func (s *Server) serveRelay(stream drpc.Stream) error {
	var m drawMessage
	if err := stream.MsgRecv(&m, codec.Encoding{}); err != nil {
		return err
	}
	answer := &answerMessage{At: m.At}
	if grants, ok := s.leader.Draw(stream.Context(), m.Node, decodeAsks(m.Asks)); ok {
		answer = s.granted(&m, grants)
	}
	return stream.MsgSend(answer, codec.Encoding{})
}

func (s *Server) serve(stream drpc.Stream) error {
	node := uint32(0)
	s.streams.Add(1)
	defer s.streams.Add(-1)
	for {
		var m drawMessage
		if err := stream.MsgRecv(&m, codec.Encoding{}); err != nil {
			return err
		}
		if m.Node == 0 {
			m.Node = node
		}
		node = m.Node
		answer := s.answer(stream.Context(), &m)
		if err := stream.MsgSend(answer, codec.Encoding{}); err != nil {
			return err
		}
	}
}

// answer waits for a leader for up to leaderWait. It relays the asks to a leader that the node cannot reach.
func (s *Server) answer(ctx context.Context, m *drawMessage) *answerMessage {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	ticker := time.NewTicker(leaderPoll)
	defer ticker.Stop()
	asks := decodeAsks(m.Asks)
	for {
		if grants, ok := s.leader.Draw(ctx, m.Node, asks); ok {
			return s.granted(m, grants)
		}
		switch addr := s.leader.LeaderAddr(); addr {
		case "":
		case m.Avoid:
			if answer, err := s.relay(ctx, addr, m); err == nil && answer.Leads {
				return answer
			}
		default:
			return &answerMessage{At: m.At, Leader: addr}
		}
		select {
		case <-ctx.Done():
			return &answerMessage{At: m.At}
		case <-ticker.C:
		}
	}
}

// granted returns the answer of the leader.
func (s *Server) granted(m *drawMessage, grants []quota.Grant) *answerMessage {
	return &answerMessage{At: m.At, Leads: true, Grants: encodeGrants(grants), Pace: s.pace().Microseconds()}
}

// relay passes a message on to the leader.
func (s *Server) relay(ctx context.Context, addr string, m *drawMessage) (*answerMessage, error) {
	conn, err := s.pool.Get(ctx, addr)
	if err != nil {
		return nil, err
	}
	var answer answerMessage
	if err := conn.Invoke(ctx, methodRelay, codec.Encoding{}, m, &answer); err != nil {
		_ = conn.Close()
		return nil, err
	}
	s.pool.Put(addr, conn)
	return &answer, nil
}

// pace returns the minimum time between two messages of a node.
func (s *Server) pace() time.Duration {
	return minPace + time.Duration(s.streams.Load())*pacePerStream
}
