package forward

import (
	"time"

	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

// maxResolveWait bounds how long a resolve call waits for the end of an exchange.
// It is below inactivityTimeout, the timeout of the call, so that the entry node can
// tell a reply that waits from a failed connection.
const maxResolveWait = 500 * time.Millisecond

func (s *Server) handleResolve(st drpc.Stream) error {
	var req resolveRequest
	if err := st.MsgRecv(&req, codec.Encoding{}); err != nil {
		return err
	}
	reply := s.resolveExchange(req)
	return st.MsgSend(&reply, codec.Encoding{})
}

func (s *Server) resolveExchange(req resolveRequest) resolveReply {
	load := *newLoadMessage(s.cfg.Runner.Load())
	record, state := s.table.findOrFence(req, time.Now())
	if record == nil {
		return resolveReply{State: state, Load: load}
	}
	wait := min(time.Duration(max(req.WaitMS, 0))*time.Millisecond, maxResolveWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-record.done:
		return s.table.result(record)
	default:
	}
	select {
	case <-record.done:
		return s.table.result(record)
	case <-timer.C:
		return resolveReply{State: stateRunning, Load: load}
	}
}

func (s *Server) handleConfig(st drpc.Stream) error {
	var req configRequest
	if err := st.MsgRecv(&req, codec.Encoding{}); err != nil {
		return err
	}
	var reply configReply
	if s.cfg.Config != nil {
		version, data := s.cfg.Config()
		reply.Version = version
		if version > req.Version {
			reply.Data = data
		}
	}
	return st.MsgSend(&reply, codec.Encoding{})
}
