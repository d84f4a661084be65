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
	"github.com/mulberrylink/mulberrylink/coordination/rollout"
	"github.com/mulberrylink/mulberrylink/coordination/suspect"
	"github.com/mulberrylink/mulberrylink/state/codec"
)

// historySize is the number of recent versions of the document that are kept. Subscribers that have
// one of them are sent only the difference.
const historySize = 16

// maxRecordBytes bounds the texts of a node record.
const maxRecordBytes = 4 << 10

// sessionPrefix is the prefix of the sources of records that nodes sent themselves.
const sessionPrefix = "session-"

// HubConfig configures a Hub.
type HubConfig struct {
	// Directory holds the node records that the hub receives and sends.
	Directory *directory.Directory
	// Suspects holds the records of crash suspects that the hub receives and sends. It may be nil.
	Suspects *suspect.List
	// Reports holds the results that nodes report during rollouts. It may be nil.
	Reports *rollout.Board
	// State returns the committed state and a channel that is closed when the state changes.
	State func() (*document.State, <-chan struct{})
	// ConfirmedState performs a quorum read and returns the state that it covers: one that contains
	// every change that was acknowledged before the call. It returns false if the read has failed.
	// Without it, the hub confirms no probes.
	ConfirmedState func(context.Context) (*document.State, bool)
	// HasLeader reports whether this control host knows a leader or is the leader.
	HasLeader func() bool
	// Hosts returns the control hosts that subscribers may move to.
	Hosts func() []Host
	// Domain is the failure domain of this control host.
	Domain string
	// Now returns the current time, time.Now if it is nil.
	Now func() time.Time
	Log *log.Logger
}

// Hub serves the feeds of the subscribers of one control host.
type Hub struct {
	cfg         HubConfig
	lastSession atomic.Uint64
	confirmer   confirmer

	mu      sync.Mutex
	history []*document.State       // in ascending order of version
	updates map[versionRange][]byte // compressed updates to the newest version
	// compress is compressUpdate, apart from tests of its failure.
	compress func(*documentUpdate) ([]byte, error)
}

// NewHub returns a hub without subscribers.
func NewHub(cfg HubConfig) *Hub {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Hub{cfg: cfg, confirmer: confirmer{read: cfg.ConfirmedState}, updates: make(map[versionRange][]byte), compress: compressUpdate}
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

	nodeName          string // set if the subscriber is a node
	recordName        string // of the subscriber's record, used by the receiving goroutine
	lastHeard         atomic.Pointer[time.Time]
	storedIncarnation chan uint64 // see hubMessage.StoredIncarnation
	directoryRevision uint64      // of the records sent last
	version           uint64      // of the subscriber's document
	stateRevision     uint64      // of the subscriber's state
	suspects          suspectCursor
	hosts             []Host                       // sent last
	hubState          *document.State              // state of the hub at the last addDocument
	confirmation      atomic.Pointer[confirmation] // not sent yet
	confirmed         chan struct{}                // signals a new confirmation
	reportRevision    uint64                       // of the reports sent last
}

func (h *Hub) serve(stream drpc.Stream) error {
	var first subscriberMessage
	if err := stream.MsgRecv(&first, codec.Encoding{}); err != nil {
		return err
	}
	s := &session{
		hub: h, stream: stream, hostName: first.HostName, storedIncarnation: make(chan uint64, 1), confirmed: make(chan struct{}, 1),
		source:  fmt.Sprintf("%s%d", sessionPrefix, h.lastSession.Add(1)),
		version: first.Version, stateRevision: first.Revision, suspects: suspectCursor{list: h.cfg.Suspects},
	}
	s.markHeard()
	if err := s.storeFirstRecord(first.Node); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	h.confirmer.add(s, first.Probe)
	go func() {
		defer cancel()
		defer h.confirmer.remove(s)
		for {
			var m subscriberMessage
			if err := stream.MsgRecv(&m, codec.Encoding{}); err != nil {
				return
			}
			s.markHeard()
			if err := s.storeRecord(m.Node); err != nil {
				h.cfg.Log.Warn().Str("node", s.nodeName).Err(err).Msg("feed of a node ended")
				return
			}
			mergeSuspects(h.cfg.Suspects, s.source, m.Suspects)
			h.confirmer.add(s, m.Probe)
			s.storeReport(m.Report)
		}
	}()
	err := s.sendUpdates(ctx)
	if s.hostName == "" {
		time.AfterFunc(reconnectGracePeriod, func() {
			for _, name := range h.cfg.Directory.MarkSourceGone(s.source, h.cfg.Now()) {
				h.cfg.Log.Warn().Str("node", name).Msg("node lost: its feed ended and it has not come back")
			}
		})
	}
	return err
}

// markHeard records that a message of the subscriber has arrived.
func (s *session) markHeard() {
	now := s.hub.cfg.Now()
	s.lastHeard.Store(&now)
}

// storeFirstRecord stores the record of a node that has just subscribed. A process starts to count
// its incarnations at 1, so the hub raises the incarnation of a restarted one above the stored
// record and tells the node. No clock takes part in the order.
func (s *session) storeFirstRecord(n *mulberrylink.Node) error {
	if n == nil {
		return nil
	}
	s.nodeName = n.Name
	record := *n
	if e, ok := s.hub.cfg.Directory.Get(n.Name); ok && e.Node.Incarnation >= n.Incarnation {
		record.Incarnation = e.Node.Incarnation + 1
		s.storedIncarnation <- e.Node.Incarnation
	}
	return s.storeRecord(&record)
}

// storeRecord stores the subscriber's record in the directory. If the directory keeps a newer record,
// as after the clock of the node was set back, the node is sent the incarnation to exceed. A
// subscriber has one record, of limited size.
func (s *session) storeRecord(n *mulberrylink.Node) error {
	if n == nil {
		return nil
	}
	if s.recordName == "" {
		s.recordName = n.Name
	}
	switch {
	case n.Name != s.recordName:
		return errOtherNode
	case len(n.Name)+len(n.Domain)+len(n.Service)+len(n.Release)+len(n.Addr)+len(n.Front) > maxRecordBytes:
		return errRecordTooLarge
	}
	d := s.hub.cfg.Directory
	if d.Put(*n, s.source, s.hub.cfg.Now()) {
		s.hub.cfg.Log.Info().Str("node", n.Name).Str("state", n.State.String()).Str("upstream", n.Upstream.String()).
			Str("service", n.Service).Uint64("incarnation", n.Incarnation).Msg("node record")
		return nil
	}
	if e, ok := d.Get(n.Name); ok && (e.Node.Incarnation > n.Incarnation || e.Node != *n) {
		select {
		case s.storedIncarnation <- e.Node.Incarnation:
		default:
		}
	}
	return nil
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
		s.addConfirmation(&m)
		s.addHostInfo(&m)
		suspectsChanged := s.suspects.next(&m.Suspects, func(source string) bool {
			return source != s.source && (s.hostName == "" || isSession(source))
		})
		reportsChanged := s.addReports(&m)
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
		case <-reportsChanged:
			time.Sleep(reportDelay)
		case <-stateChanged:
		case <-s.confirmed:
		case <-suspectsChanged: // sent at once, because the next copy of a crashing request may be on its way
		case <-heartbeat.C:
		}
		if s.hub.cfg.Now().Sub(*s.lastHeard.Load()) > silenceTimeout {
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
		switch {
		case s.nodeName != "" && e.Node.Name == s.nodeName:
			if e.Source != s.source {
				// Another control host has a record of an earlier process of this node, or has marked
				// it as gone. The node is here and answers with a record of a higher incarnation.
				m.StoredIncarnation = e.Node.Incarnation
			}
		case e.Source != s.source && (s.hostName == "" || isSession(e.Source)):
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
	s.hubState = state
	if s.hostName != "" || state.Revision <= s.stateRevision || state.Version < s.version {
		return changed
	}
	if state.Version > s.version {
		var err error
		if m.CompressedUpdate, err = s.hub.compressedUpdate(s.version, state); err != nil {
			s.hub.cfg.Log.Error().Uint64("version", state.Version).Err(err).Msg("document update not compressed; trying again with the next message")
			return changed // the subscriber still has its earlier revision
		}
	}
	m.DomainsOut, m.Rollouts, m.Revision = state.DomainsOut, state.RolloutsSince(s.stateRevision), state.Revision
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
func (h *Hub) compressedUpdate(from uint64, to *document.State) ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.stateAt(from)
	if old == nil {
		from = 0 // all versions that are not kept share the whole state
	}
	key := versionRange{from, to.Version}
	if data, ok := h.updates[key]; ok {
		return data, nil
	}
	for k := range h.updates {
		if k.to != to.Version {
			delete(h.updates, k)
		}
	}
	update := &documentUpdate{Full: to}
	if old != nil {
		update = &documentUpdate{Change: document.Diff(old, to)}
	}
	data, err := h.compress(update)
	if err != nil {
		return nil, err
	}
	h.updates[key] = data
	return data, nil
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
