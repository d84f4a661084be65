package forward

import (
	"time"

	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

// maxResolveWait bounds how long one resolve call waits for the end of an
// exchange. It is below silence, so that the caller can tell a wait from a
// silent connection.
const maxResolveWait = 500 * time.Millisecond

func (s *Server) resolve(st drpc.Stream) error {
	var q resolveRequest
	if err := st.MsgRecv(&q, codec.Encoding{}); err != nil {
		return err
	}
	reply := s.resolveOne(q)
	return st.MsgSend(&reply, codec.Encoding{})
}

func (s *Server) resolveOne(q resolveRequest) resolveReply {
	load := *newLoad(s.cfg.Runner.Load())
	x, state := s.table.find(q, time.Now())
	if x == nil {
		return resolveReply{State: state, Load: load}
	}
	wait := min(time.Duration(max(q.Wait, 0))*time.Millisecond, maxResolveWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-x.done:
		return s.table.result(x)
	default:
	}
	select {
	case <-x.done:
		return s.table.result(x)
	case <-timer.C:
		return resolveReply{State: stateRunning, Load: load}
	}
}

func (s *Server) config(st drpc.Stream) error {
	var q configRequest
	if err := st.MsgRecv(&q, codec.Encoding{}); err != nil {
		return err
	}
	var reply configReply
	if s.cfg.Config != nil {
		version, data := s.cfg.Config()
		reply.Version = version
		if version > q.Version {
			reply.Data = data
		}
	}
	return st.MsgSend(&reply, codec.Encoding{})
}
