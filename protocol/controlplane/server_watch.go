package controlplane

import (
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

const (
	// keepAlivePeriod is the time between two frames of a watch stream.
	keepAlivePeriod = time.Second
	// maxLeaderless is how long a host keeps its watchers without knowing a
	// leader. An election takes up to 1.5 s; a host cut off from the others
	// would hold its watchers on an old version.
	maxLeaderless = 3 * time.Second
)

// watch sends each committed version above the one the watcher has, in rising
// order, and a keep-alive each second.
func (s *Server) watch(st drpc.Stream) error {
	var in watchRequest
	if err := st.MsgRecv(&in, codec.Encoding{}); err != nil {
		return err
	}
	s.cfg.Observe(methodWatch, "started")
	tick := time.NewTicker(keepAlivePeriod)
	defer tick.Stop()
	sent := in.Have
	contact := s.cfg.Now()
	for {
		cur, changed := s.cfg.Machine.Current()
		if cur.Version > sent {
			if err := st.MsgSend(&watchFrame{Version: cur.Version, Raw: cur.EncodedConfig}, codec.Encoding{}); err != nil {
				return err
			}
			sent = cur.Version
		}
		select {
		case <-st.Context().Done():
			return st.Context().Err()
		case <-s.closing:
			return errors.New("this host is stopping")
		case <-changed:
		case <-tick.C:
			if contact = s.contact(contact); s.cfg.Now().Sub(contact) > maxLeaderless {
				return errors.New("no leader is known on this host")
			}
			if err := st.MsgSend(&watchFrame{}, codec.Encoding{}); err != nil {
				return err
			}
		}
	}
}

// contact returns the time of the last contact with a leader: now when there
// is one.
func (s *Server) contact(last time.Time) time.Time {
	if _, addr, self := s.cfg.Log.Leader(); self || addr != "" {
		return s.cfg.Now()
	}
	return last
}
