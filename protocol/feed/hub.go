package feed

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"storj.io/drpc"

	"github.com/mulberrylink/mulberrylink"
	"github.com/mulberrylink/mulberrylink/coordination/directory"
	"github.com/mulberrylink/mulberrylink/coordination/document"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

// historySize is the number of recent versions of the document that are kept. Subscribers that have
// one of them are sent only the difference.
const historySize = 16

// sessionPrefix is the prefix of the sources of records that nodes sent themselves.
const sessionPrefix = "session-"

// HubConfig configures a Hub.
type HubConfig struct {
	// Directory holds the node records that the hub receives and sends.
	Directory *directory.Directory
	// State returns the committed state and a channel that is closed when the state changes.
	State func() (*document.State, <-chan struct{})
	// HasLeader reports whether this control host knows a leader or is the leader.
	HasLeader func() bool
	// Hosts returns the control hosts that subscribers may move to.
	Hosts func() []Host
	// Domain is the failure domain of this control host.
	Domain string
	Log    *log.Logger
}

// Hub serves the feeds of the subscribers of one control host.
type Hub struct {
	cfg         HubConfig
	lastSession atomic.Uint64

	mu      sync.Mutex
	history []*document.State       // in ascending order of version
	updates map[versionRange][]byte // compressed updates to the newest version
}

// NewHub returns a hub without subscribers.
func NewHub(cfg HubConfig) *Hub {
	return &Hub{cfg: cfg, updates: make(map[versionRange][]byte)}
}

// Method returns the name and the handler of the RPC method.
func (h *Hub) Method() (string, func(drpc.Stream) error) { return methodWatch, h.serve }

// versionRange holds the versions of the document before and after an update.
type versionRange struct{ from, to uint64 }

// session is the stream of one subscriber.
type session struct {
	hub      *Hub
	stream   drpc.Stream
	source   string // source of the subscriber's record in the directory
	hostName string // set if the subscriber is a control host

	lastHeard         atomic.Int64 // Unix nanoseconds
	storedIncarnation chan uint64  // see hubMessage.StoredIncarnation
	directoryRevision uint64       // of the records sent last
	version           uint64       // of the subscriber's document
	stateRevision     uint64       // of the subscriber's state
	hosts             []Host       // sent last
}

func (h *Hub) serve(stream drpc.Stream) error {
	var first subscriberMessage
	if err := stream.MsgRecv(&first, codec.Encoding{}); err != nil {
		return err
	}
	s := &session{
		hub: h, stream: stream, hostName: first.HostName, storedIncarnation: make(chan uint64, 1),
		source:  fmt.Sprintf("%s%d", sessionPrefix, h.lastSession.Add(1)),
		version: first.Version, stateRevision: first.Revision,
	}
	s.lastHeard.Store(time.Now().UnixNano())
	s.storeRecord(first.Node)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		defer cancel()
		for {
			var m subscriberMessage
			if err := stream.MsgRecv(&m, codec.Encoding{}); err != nil {
				return
			}
			s.lastHeard.Store(time.Now().UnixNano())
			s.storeRecord(m.Node)
		}
	}()
	err := s.sendUpdates(ctx)
	if s.hostName == "" {
		time.AfterFunc(reconnectGracePeriod, func() {
			for _, name := range h.cfg.Directory.MarkSourceGone(s.source, time.Now()) {
				h.cfg.Log.Warn().Str("node", name).Msg("node lost: its feed ended and it has not come back")
			}
		})
	}
	return err
}

// storeRecord stores the subscriber's record in the directory. If the directory keeps a newer record,
// as after the clock of the node was set back, the node is sent the incarnation to exceed.
func (s *session) storeRecord(n *mulberrylink.Node) {
	if n == nil {
		return
	}
	d := s.hub.cfg.Directory
	if d.Put(*n, s.source, time.Now()) {
		s.hub.cfg.Log.Info().Str("node", n.Name).Str("state", n.State.String()).Str("upstream", n.Upstream.String()).
			Str("service", n.Service).Uint64("incarnation", n.Incarnation).Msg("node record")
		return
	}
	if e, ok := d.Get(n.Name); ok && (e.Node.Incarnation > n.Incarnation || e.Node != *n) {
		select {
		case s.storedIncarnation <- e.Node.Incarnation:
		default:
		}
	}
}

// sendUpdates sends changes and heartbeats until the stream ends or nothing has been received from
// the subscriber for silenceTimeout.
func (s *session) sendUpdates(ctx context.Context) error {
	heartbeat := time.NewTimer(0)
	defer heartbeat.Stop()
	for {
		var m hubMessage
		nodesChanged := s.addNodes(&m)
		stateChanged := s.addDocument(&m)
		s.addHostInfo(&m)
		if err := s.stream.MsgSend(&m, codec.Encoding{}); err != nil {
			return err
		}
		heartbeat.Reset(heartbeatInterval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m.StoredIncarnation = <-s.storedIncarnation:
			if err := s.stream.MsgSend(&hubMessage{StoredIncarnation: m.StoredIncarnation}, codec.Encoding{}); err != nil {
				return err
			}
		case <-nodesChanged:
			time.Sleep(batchDelay)
		case <-stateChanged:
		case <-heartbeat.C:
		}
		if time.Since(time.Unix(0, s.lastHeard.Load())) > silenceTimeout {
			return errPeerSilent
		}
	}
}

// addNodes adds the records that changed to a message, and returns a channel that is closed at the
// next change. Control hosts are sent only the records of the nodes that subscribe to this hub.
func (s *session) addNodes(m *hubMessage) <-chan struct{} {
	entries, revision, changed := s.hub.cfg.Directory.ChangedSince(s.directoryRevision)
	s.directoryRevision = revision
	for _, e := range entries {
		if e.Source != s.source && (s.hostName == "" || isSession(e.Source)) {
			m.Nodes = append(m.Nodes, e.Node)
		}
	}
	return changed
}

// isSession reports whether a source is a session of a hub.
func isSession(source string) bool {
	return len(source) > len(sessionPrefix) && source[:len(sessionPrefix)] == sessionPrefix
}

// addDocument adds the changes of the state to a message, and returns a channel that is closed at the
// next change. Control hosts are sent none: they have the state from the replicated log.
func (s *session) addDocument(m *hubMessage) <-chan struct{} {
	state, changed := s.hub.cfg.State()
	s.hub.retain(state)
	if s.hostName != "" || state.Revision <= s.stateRevision || state.Version < s.version {
		return changed
	}
	m.DomainsOut, m.Revision = state.DomainsOut, state.Revision
	if state.Version > s.version {
		m.CompressedUpdate = s.hub.compressedUpdate(s.version, state)
	}
	s.version, s.stateRevision = state.Version, state.Revision
	return changed
}

// addHostInfo adds to a message what the subscriber needs to choose a control host.
func (s *session) addHostInfo(m *hubMessage) {
	m.NoLeader = !s.hub.cfg.HasLeader()
	if hosts := s.hub.cfg.Hosts(); !slices.Equal(hosts, s.hosts) {
		s.hosts, m.Hosts, m.Domain = hosts, hosts, s.hub.cfg.Domain
	}
}

// retain appends a state to the history if its version is newer, and drops the oldest state if the
// history is full.
func (h *Hub) retain(state *document.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.history)
	if n > 0 && h.history[n-1].Version >= state.Version {
		return
	}
	h.history = append(h.history, state)
	if n >= historySize {
		h.history = slices.Delete(h.history, 0, 1)
	}
}

// compressedUpdate returns the compressed update from a version to a state. It is cached, so that
// subscribers with the same version share it.
func (h *Hub) compressedUpdate(from uint64, to *document.State) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := versionRange{from, to.Version}
	if data, ok := h.updates[key]; ok {
		return data
	}
	for k := range h.updates {
		if k.to != to.Version {
			delete(h.updates, k)
		}
	}
	update := &documentUpdate{Full: to}
	if old := h.stateAt(from); old != nil {
		update = &documentUpdate{Change: document.Diff(old, to)}
	}
	data, err := compressUpdate(update)
	if err != nil {
		h.cfg.Log.Error().Uint64("version", to.Version).Err(err).Msg("document update not compressed")
		return nil
	}
	h.updates[key] = data
	return data
}

// stateAt returns the state with a version from the history, or nil.
func (h *Hub) stateAt(version uint64) *document.State {
	for _, s := range h.history {
		if s.Version == version && version != 0 {
			return s
		}
	}
	return nil
}
