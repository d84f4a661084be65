package controlplane

import (
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

const (
	// keepAliveInterval is the time between keep-alives on a watch stream.
	keepAliveInterval = time.Second
	// maxLeaderless is how long a host keeps its watchers while it knows no leader. An election takes
	// up to 1.5 s. Without the limit, the watchers of a partitioned host would stay on an old version.
	maxLeaderless = 3 * time.Second
)

// watch sends the current version whenever it is above the last one that the watcher has, and a
// keep-alive each second. It ends the stream when the server drains or knows no leader for too long.
func (s *Server) watch(st drpc.Stream) error {
	var in watchRequest
	if err := st.MsgRecv(&in, codec.Encoding{}); err != nil {
		return err
	}
	s.cfg.Observe(methodWatch, "started")
	tick := time.NewTicker(keepAliveInterval)
	defer tick.Stop()
	sentVersion := in.KnownVersion
	leaderSeen := s.cfg.Now()
	for {
		current, changed := s.cfg.Machine.Current()
		if current.Version > sentVersion {
			if err := st.MsgSend(&watchFrame{Version: current.Version, EncodedConfig: current.EncodedConfig}, codec.Encoding{}); err != nil {
				return err
			}
			sentVersion = current.Version
		}
		select {
		case <-st.Context().Done():
			return st.Context().Err()
		case <-s.draining:
			return errors.New("control host is stopping")
		case <-changed:
		case <-tick.C:
			if leaderSeen = s.lastLeaderContact(leaderSeen); s.cfg.Now().Sub(leaderSeen) > maxLeaderless {
				return errors.New("control host knows no leader")
			}
			if err := st.MsgSend(&watchFrame{}, codec.Encoding{}); err != nil {
				return err
			}
		}
	}
}

// lastLeaderContact returns the current time if a leader is known, and last otherwise.
func (s *Server) lastLeaderContact(last time.Time) time.Time {
	if _, addr, self := s.cfg.Log.Leader(); self || addr != "" {
		return s.cfg.Now()
	}
	return last
}
